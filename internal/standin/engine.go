// The stand-in's schedule: one loop reads queued prompts, or makes one token for
// each resumed run a step, growing block tables out of the room that the import
// was pledged.

package standin

import (
	"context"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/workerclient"
)

func (w *Worker) engine(ctx context.Context) {
	for {
		spent := w.changeRole()
		if spent == 0 {
			select {
			case <-ctx.Done():
				return
			case <-w.wake:
			}
			continue
		}
		t := host.NewTimer(spent)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		w.recordOutcome()
	}
}

// changeRole begins a step and tells how long it takes; settle shows its results.
func (w *Worker) changeRole() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) > 0 {
		r := w.queue[0]
		return w.opt.Step + time.Duration(len(r.ident.Prompt)-w.cached(r))*w.opt.Read
	}
	n := 0
	for _, r := range w.live {
		if r.resumed && r.arrived && !r.ended {
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return w.opt.Step + time.Duration(n)*w.opt.Each
}

func (w *Worker) recordOutcome() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) > 0 {
		r := w.queue[0]
		w.queue = w.queue[1:]
		w.read(r)
		return
	}
	for _, r := range w.live {
		if r.resumed && r.arrived && !r.ended {
			w.step(r)
		}
	}
}

const prefixBlock = 32

// cached tells how many prompt tokens are warm from earlier prompts.
func (w *Worker) cached(r *run) int {
	base := stem(r.ident.Model.Name, r.ident.Model.Weights, r.ident.Model.Adapters)
	n := 0
	for i := 0; i+prefixBlock <= len(r.ident.Prompt); i += prefixBlock {
		for _, t := range r.ident.Prompt[i : i+prefixBlock] {
			base = mix(base, uint64(uint32(t)))
		}
		if _, ok := w.warm[base]; !ok {
			break
		}
		n = i + prefixBlock
	}
	return n
}

func (w *Worker) heat(r *run) {
	base := stem(r.ident.Model.Name, r.ident.Model.Weights, r.ident.Model.Adapters)
	for i := 0; i+prefixBlock <= len(r.ident.Prompt); i += prefixBlock {
		for _, t := range r.ident.Prompt[i : i+prefixBlock] {
			base = mix(base, uint64(uint32(t)))
		}
		w.warm[base] = w.now()
	}
	for len(w.warm) > 512 {
		var previous uint64
		at := ids.Tick(1 << 62)
		for k, t := range w.warm {
			if t < at {
				previous, at = k, t
			}
		}
		delete(w.warm, previous)
	}
}

// read is the one step of prefill: every prompt token's cell, and one token.
func (w *Worker) read(r *run) {
	if r.stopped {
		return
	}
	base := stem(r.ident.Model.Name, r.ident.Model.Weights, r.ident.Model.Adapters)
	for i, t := range r.ident.Prompt {
		r.last = cell(base, r.last, i, t)
		w.pool.put(r.tab, i, r.last)
	}
	r.ident.Computed = len(r.ident.Prompt)
	if len(r.ident.Output) > 0 {
		// A recompute reads what was delivered before as if it were prompt.
		for i, t := range r.ident.Output[:len(r.ident.Output)-1] {
			r.last = cell(base, r.last, len(r.ident.Prompt)+i, t)
			w.pool.put(r.tab, len(r.ident.Prompt)+i, r.last)
			r.ident.Computed++
		}
	} else if t := token(
		w.pool.attend(r.tab, r.ident.Computed, base, r.ident.Params.Seed, r.ident.Params.Temperature), 0,
	); t != 0 {
		r.ident.Output = append(r.ident.Output, t)
	}
	w.hits[0], w.hits[1] = w.hits[0]+w.cached(r), w.hits[1]+len(r.ident.Prompt)
	w.heat(r)
	r.read = true
	r.touched = w.now()
	w.flash(r)
}

// step computes the newest token's cell and makes the next token.
func (w *Worker) step(r *run) {
	base := stem(r.ident.Model.Name, r.ident.Model.Weights, r.ident.Model.Adapters)
	out := r.ident.Output
	if len(out) >= r.ident.Params.MaxTokens || len(out) == 0 {
		w.end(r)
		return
	}
	n := r.ident.Computed
	if n/w.pool.size >= len(r.tab) {
		more := w.pool.take(1)
		if more == nil {
			w.count(r.ident.ID.Request).Starved++
			w.tell("starved", r.ident.ID, workerclient.OrderHeader{})
			w.drop(r, workerclient.FateStopped)
			return
		}
		r.tab = append(r.tab, more...)
		if r.pledge > 0 {
			r.pledge--
			w.pool.pledge--
		}
	}
	if r.last == 0 && n > 0 {
		r.last = w.pool.get(r.tab, n-1)
	}
	r.last = cell(base, r.last, n, out[len(out)-1])
	w.pool.put(r.tab, n, r.last)
	r.ident.Computed++
	t := token(w.pool.attend(r.tab, r.ident.Computed, base, r.ident.Params.Seed, r.ident.Params.Temperature), len(out))
	if t == 0 {
		w.end(r)
		return
	}
	r.ident.Output = append(out[:len(out):len(out)], t)
	w.flash(r)
	if len(r.ident.Output) >= r.ident.Params.MaxTokens {
		w.end(r)
	}
}

func (w *Worker) end(r *run) {
	r.ended = true
	w.count(r.ident.ID.Request).Records++
	w.tell("record", r.ident.ID, workerclient.OrderHeader{})
	w.drop(r, workerclient.FateFinished)
}
