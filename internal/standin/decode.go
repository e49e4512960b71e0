// This file contains the decode side of the stand-in worker. An import first allocates or reserves all blocks that
// the request may need, and fails if there are too few. Decoding starts only after all bytes have arrived, their
// digest has been verified and the attempt has been resumed. A cancelled attempt can never start.

package standin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/workerclient"
)

func (w *Worker) importKV(_ context.Context, req *workerclient.ImportRequest) (*workerclient.OrderResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := req.Identity
	if err := w.checkOrder("import", req.OrderHeader, state.ID); err != nil {
		return nil, err
	}
	if w.live[state.ID] != nil {
		return &workerclient.OrderResponse{}, nil
	}
	importBlocks := ids.Blocks(state.Computed, w.pool.blockSize)
	totalBlocks := max(importBlocks, ids.Blocks(len(state.Prompt)+state.Params.MaxTokens, w.pool.blockSize))
	switch {
	case w.role != ids.Decode:
		return nil, reject(http.StatusConflict, "this worker prefills")
	case !w.opt.Model.Serves(state.Model):
		return nil, reject(http.StatusUnprocessableEntity, "model differs")
	case state.Length != int64(kvTokenBytes*state.Computed):
		return nil, reject(http.StatusUnprocessableEntity, "%d bytes for %d tokens", state.Length, state.Computed)
	case !w.pool.fits(totalBlocks):
		w.requestCounts(state.ID.Request).RejectedImports++
		w.emit("bounced", state.ID, req.OrderHeader)
		return nil, reject(http.StatusInsufficientStorage, "no room for %d blocks", totalBlocks)
	}
	r := &run{
		state:      state,
		blocks:     w.pool.allocate(importBlocks),
		reserved:   totalBlocks - importBlocks,
		lastActive: w.now(),
		changed:    make(chan struct{}),
	}
	w.pool.reserved += r.reserved
	w.live[state.ID] = r
	go w.fetchKV(r, req.Source)
	return &workerclient.OrderResponse{}, nil
}

// kvTokenBytes is the size of a token's KV cache in the stand-in.
const kvTokenBytes = 8

// fetchKV copies the KV cache of a run from the worker at source, and drops the run if that fails. A run that already
// counts as arrived, because of the fault SkipArrivalCheck, is kept.
func (w *Worker) fetchKV(r *run, source string) {
	err := w.downloadKV(r, source)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		r.transferFailed = true
		w.emit("lost", r.state.ID, workerclient.OrderHeader{})
		if !r.arrived {
			w.drop(r, workerclient.FateNotStarted)
		}
		return
	}
	r.arrived = true
	r.lastActive = w.now()
	w.notify(r)
	w.wakeEngine()
}

// downloadKV copies the KV cache of a run from the worker at source into its blocks, and compares its length and
// digest with the request's identity.
func (w *Worker) downloadKV(r *run, source string) error {
	id := r.state.ID
	fetchCtx, cancel := context.WithTimeout(context.Background(), w.opt.StagingTTL)
	defer cancel()
	req, err := http.NewRequestWithContext(
		fetchCtx,
		http.MethodGet,
		fmt.Sprintf("http://%s/kv?request=%s&attempt=%d", source, id.Request, id.Attempt),
		nil,
	)
	if err != nil {
		return err
	}
	resp, err := w.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reject(resp.StatusCode, "the source worker responded with status %d", resp.StatusCode)
	}
	data, err := w.readKV(r, resp.Body)
	if err != nil {
		return err
	}
	if int64(len(data)) != r.state.Length || digest(data) != r.state.Digest {
		return reject(0, "the length or the digest of the KV cache differs from that of the export")
	}
	return nil
}

// readKV stores the bytes in the run's blocks as they arrive, and returns all of them.
func (w *Worker) readKV(r *run, body io.Reader) (data []byte, err error) {
	buf := make([]byte, 4096)
	for {
		n, err := body.Read(buf)
		data = append(data, buf[:n]...)
		if int64(len(data)) > r.state.Length {
			return nil, reject(0, "too many bytes were received")
		}
		if err := w.storeKV(r, data, len(data)-n); err != nil {
			return nil, err
		}
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// storeKV stores the tokens that are complete in data but were not complete in its first before bytes.
func (w *Worker) storeKV(r *run, data []byte, before int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.blocks == nil {
		return reject(0, "the run was dropped during the transfer")
	}
	for i := before / kvTokenBytes; i < len(data)/kvTokenBytes; i++ {
		w.pool.set(r.blocks, i, binary.LittleEndian.Uint64(data[kvTokenBytes*i:]))
	}
	if w.faults.SkipArrivalCheck && len(data) > 0 {
		r.arrived = true
		w.notify(r)
	}
	return nil
}

// resume starts to decode an imported attempt, once its KV cache has arrived. From then on the attempt counts as run,
// even if it is stopped.
func (w *Worker) resume(ctx context.Context, req *workerclient.IDRequest) (*workerclient.OrderResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.live[req.ID]
	if err := w.checkOrder("resume", req.OrderHeader, req.ID); err != nil {
		return nil, err
	}
	if r == nil {
		if outcome := w.outcomes[req.ID.Request]; outcome != nil && outcome.Fate != workerclient.FateNotStarted {
			return outcome, nil
		}
		return nil, reject(http.StatusGone, "nothing to resume")
	}
	for !r.arrived && !r.stopped {
		changed := r.changed
		w.mu.Unlock()
		select {
		case <-changed:
			w.mu.Lock()
		case <-ctx.Done():
			w.mu.Lock()
			return nil, reject(http.StatusGone, "client disconnected")
		}
	}
	if r.stopped {
		return nil, reject(http.StatusGone, "the run was stopped")
	}
	if err := w.checkOrder("resumed", req.OrderHeader, req.ID); err != nil {
		return nil, err
	}
	if !r.resumed {
		r.resumed = true
		counts := w.requestCounts(req.ID.Request)
		counts.Runs++
		counts.FirstTokens = append(counts.FirstTokens, len(r.state.Output))
	}
	r.lastActive = w.now()
	w.wakeEngine()
	return &workerclient.OrderResponse{Fate: workerclient.FateRunning}, nil
}

// cancelAttempt permanently stops an attempt and all earlier attempts of its request, and returns the request's
// outcome on this worker.
func (w *Worker) cancelAttempt(_ context.Context, req *workerclient.IDRequest) (*workerclient.OrderResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkOrder("cancel", req.OrderHeader, req.ID); err != nil {
		return nil, err
	}
	if latest, ok := w.tombstones[req.ID.Request]; !ok || req.ID.Attempt > latest {
		w.tombstones[req.ID.Request] = req.ID.Attempt
	}
	for id := range w.staged {
		if id.Request == req.ID.Request && id.Attempt <= req.ID.Attempt {
			w.unstage(id)
		}
	}
	for id, r := range w.live {
		if id.Request != req.ID.Request || id.Attempt > req.ID.Attempt {
			continue
		}
		if r.resumed {
			w.drop(r, workerclient.FateStopped)
		} else {
			w.drop(r, workerclient.FateNotStarted)
		}
	}
	if outcome := w.outcomes[req.ID.Request]; outcome != nil {
		result := *outcome
		result.Texts = nil
		return &result, nil
	}
	return &workerclient.OrderResponse{Fate: workerclient.FateNotStarted}, nil
}

// serveStream sends the tokens of an attempt, starting at an index. It writes a line at least every half second, so
// that the client can distinguish a slow worker from a failed one.
func (w *Worker) serveStream(rw http.ResponseWriter, req *http.Request) {
	attempt, _ := strconv.Atoi(req.FormValue("attempt"))
	index, _ := strconv.Atoi(req.FormValue("from"))
	id := workerclient.ID{Request: req.FormValue("request"), Attempt: attempt}
	w.mu.Lock()
	r := w.live[id]
	outcome := w.outcomes[id.Request]
	w.mu.Unlock()
	if r == nil && (outcome == nil || !outcome.Done) {
		writeJSON(rw, http.StatusGone, workerclient.Rejection{Name: "no such run"})
		return
	}
	encoder := json.NewEncoder(rw)
	send := func(output []int32, ended bool) {
		for ; index < len(output); index++ {
			encoder.Encode(workerclient.TokenEvent{Index: index, Token: output[index], Text: tokenText(output[index])})
		}
		if ended {
			encoder.Encode(workerclient.TokenEvent{Index: index, End: "stop", Count: len(output)})
		}
		rw.(http.Flusher).Flush()
	}
	if r == nil {
		send(outcome.Output, true)
		return
	}
	for {
		w.mu.Lock()
		output, ended, stopped, changed, now := r.state.Output, r.ended, r.stopped, r.changed, w.now()
		r.lastActive = now
		w.mu.Unlock()
		send(output, ended)
		if ended || stopped {
			if stopped {
				panic(http.ErrAbortHandler)
			}
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		case <-host.NewTimer(400 * time.Millisecond).C:
			rw.Write([]byte("\n"))
		}
	}
}
