// This file contains the scheduler of the stand-in worker. In each step a single loop either prefills the oldest
// queued prompt or generates one token for every resumed run. Block tables grow from the blocks that were
// reserved at import.

package standin

import (
	"context"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/workerclient"
)

func (w *Worker) runEngine(ctx context.Context) {
	for {
		duration := w.stepDuration()
		if duration == 0 {
			select {
			case <-ctx.Done():
				return
			case <-w.wake:
			}
			continue
		}
		timer := host.NewTimer(duration)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		w.finishStep()
	}
}

// stepDuration returns how long the next step takes, or 0 if there is nothing to do. finishStep applies the
// results of the step.
func (w *Worker) stepDuration() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) > 0 {
		r := w.queue[0]
		return w.opt.StepTime + time.Duration(len(r.state.Prompt)-w.cachedTokens(r))*w.opt.PrefillPerToken
	}
	running := 0
	for _, r := range w.live {
		if r.resumed && r.arrived && !r.ended {
			running++
		}
	}
	if running == 0 {
		return 0
	}
	return w.opt.StepTime + time.Duration(running)*w.opt.StepPerRun
}

func (w *Worker) finishStep() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) > 0 {
		r := w.queue[0]
		w.queue = w.queue[1:]
		w.finishPrefill(r)
		return
	}
	for _, r := range w.live {
		if r.resumed && r.arrived && !r.ended {
			w.decodeStep(r)
		}
	}
}

// prefixBlockTokens divides the length in tokens of every prompt prefix that is in the prefix cache.
const prefixBlockTokens = 32

// cachedTokens returns how many tokens of a run's prompt are in the prefix cache.
func (w *Worker) cachedTokens(r *run) int {
	hash := modelHash(r.state.Model.Name, r.state.Model.Weights, r.state.Model.Adapters)
	n := 0
	for i := 0; i+prefixBlockTokens <= len(r.state.Prompt); i += prefixBlockTokens {
		for _, t := range r.state.Prompt[i : i+prefixBlockTokens] {
			hash = mix(hash, uint64(uint32(t)))
		}
		if _, ok := w.prefixCache[hash]; !ok {
			break
		}
		n = i + prefixBlockTokens
	}
	return n
}

// cachePrefix adds the prefixes of a run's prompt to the prefix cache. The cache keeps the 512 entries that were used
// last.
func (w *Worker) cachePrefix(r *run) {
	hash := modelHash(r.state.Model.Name, r.state.Model.Weights, r.state.Model.Adapters)
	for i := 0; i+prefixBlockTokens <= len(r.state.Prompt); i += prefixBlockTokens {
		for _, t := range r.state.Prompt[i : i+prefixBlockTokens] {
			hash = mix(hash, uint64(uint32(t)))
		}
		w.prefixCache[hash] = w.now()
	}
	for len(w.prefixCache) > 512 {
		var oldest uint64
		oldestUse := ids.Tick(1 << 62)
		for k, t := range w.prefixCache {
			if t < oldestUse {
				oldest, oldestUse = k, t
			}
		}
		delete(w.prefixCache, oldest)
	}
}

// finishPrefill applies the prefill step, which computes the KV cell of every prompt token and generates one
// token.
func (w *Worker) finishPrefill(r *run) {
	if r.stopped {
		return
	}
	model := modelHash(r.state.Model.Name, r.state.Model.Weights, r.state.Model.Adapters)
	for i, t := range r.state.Prompt {
		r.lastCell = kvCell(model, r.lastCell, i, t)
		w.pool.set(r.blocks, i, r.lastCell)
	}
	r.state.Computed = len(r.state.Prompt)
	if len(r.state.Output) > 0 {
		// A recomputation also processes the tokens that were already delivered, as if they were part of the prompt,
		// except for the newest one, which the next decode step processes.
		for i, t := range r.state.Output[:len(r.state.Output)-1] {
			r.lastCell = kvCell(model, r.lastCell, len(r.state.Prompt)+i, t)
			w.pool.set(r.blocks, len(r.state.Prompt)+i, r.lastCell)
			r.state.Computed++
		}
	} else if t := sampleToken(
		w.pool.attention(r.blocks, r.state.Computed, model, r.state.Params.Seed, r.state.Params.Temperature), 0,
	); t != 0 {
		r.state.Output = append(r.state.Output, t)
	}
	w.prefixHits[0], w.prefixHits[1] = w.prefixHits[0]+w.cachedTokens(r), w.prefixHits[1]+len(r.state.Prompt)
	w.cachePrefix(r)
	r.prefilled = true
	r.lastActive = w.now()
	w.notify(r)
}

// decodeStep computes the KV cache entry of the newest token and generates the next token.
func (w *Worker) decodeStep(r *run) {
	model := modelHash(r.state.Model.Name, r.state.Model.Weights, r.state.Model.Adapters)
	out := r.state.Output
	if len(out) >= r.state.Params.MaxTokens || len(out) == 0 {
		w.finish(r)
		return
	}
	n := r.state.Computed
	if n/w.pool.blockSize >= len(r.blocks) {
		more := w.pool.allocate(1)
		if more == nil {
			w.requestCounts(r.state.ID.Request).OutOfBlocks++
			w.emit("starved", r.state.ID, workerclient.OrderHeader{})
			w.drop(r, workerclient.FateStopped)
			return
		}
		r.blocks = append(r.blocks, more...)
		if r.reserved > 0 {
			r.reserved--
			w.pool.reserved--
		}
	}
	if r.lastCell == 0 && n > 0 {
		r.lastCell = w.pool.get(r.blocks, n-1)
	}
	r.lastCell = kvCell(model, r.lastCell, n, out[len(out)-1])
	w.pool.set(r.blocks, n, r.lastCell)
	r.state.Computed++
	t := sampleToken(
		w.pool.attention(r.blocks, r.state.Computed, model, r.state.Params.Seed, r.state.Params.Temperature),
		len(out),
	)
	if t == 0 {
		w.finish(r)
		return
	}
	r.state.Output = append(out[:len(out):len(out)], t)
	w.notify(r)
	if len(r.state.Output) >= r.state.Params.MaxTokens {
		w.finish(r)
	}
}

func (w *Worker) finish(r *run) {
	r.ended = true
	w.requestCounts(r.state.ID.Request).Finished++
	w.emit("record", r.state.ID, workerclient.OrderHeader{})
	w.drop(r, workerclient.FateFinished)
}
