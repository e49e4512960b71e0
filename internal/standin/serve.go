// This file contains the HTTP interface of the stand-in worker: orders with a fencing token, the delayed report, the
// prefill and export orders, and the transfer of KV cache to another worker.

package standin

import (
	"context"
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

// Handler serves the worker's interface over HTTP, with POST /fault and GET /tally for tests.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /prefill", orderHandler(w, w.prefill))
	mux.HandleFunc("POST /export", orderHandler(w, w.export))
	mux.HandleFunc("POST /import", orderHandler(w, w.importKV))
	mux.HandleFunc("POST /resume", orderHandler(w, w.resume))
	mux.HandleFunc("POST /cancel", orderHandler(w, w.cancelAttempt))
	mux.HandleFunc("POST /part", orderHandler(w, w.setRole))
	mux.HandleFunc("GET /report", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		var r workerclient.Report
		if len(w.pastReports) > 0 {
			r = w.pastReports[0].report
		} else {
			r = w.report()
		}
		r.Version = w.version
		w.mu.Unlock()
		writeJSON(rw, http.StatusOK, r)
	})
	mux.HandleFunc("GET /stream", w.serveStream)
	mux.HandleFunc("GET /kv", w.serveKV)
	mux.HandleFunc("GET /tally", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.RequestCounts())
	})
	mux.HandleFunc("POST /fault", func(rw http.ResponseWriter, req *http.Request) {
		var faults Faults
		if json.NewDecoder(req.Body).Decode(&faults) == nil {
			w.SetFaults(faults)
		}
		writeJSON(rw, http.StatusOK, faults)
	})
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		w.mu.Lock()
		faults := w.faults
		w.mu.Unlock()
		switch {
		case req.URL.Path == "/fault" || req.URL.Path == "/tally":
		case faults.Unresponsive:
			io.Copy(io.Discard, req.Body) // the server detects a disconnect only after the body has been read
			<-req.Context().Done()
			return
		case faults.Garbage:
			rw.Write([]byte("<<garbage>>"))
			return
		}
		mux.ServeHTTP(rw, req)
	})
}

func writeJSON(rw http.ResponseWriter, code int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(code)
	json.NewEncoder(rw).Encode(v)
}

type rejection struct {
	code int
	name string
}

func (r *rejection) Error() string { return r.name }

func reject(code int, format string, args ...any) error {
	return &rejection{code, fmt.Sprintf(format, args...)}
}

// orderHandler returns a handler that decodes an order, executes it with handle and writes the response. A rejection
// is written with its status.
func orderHandler[Q any](
	w *Worker,
	handle func(context.Context, *Q) (*workerclient.OrderResponse, error),
) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		var order Q
		if err := json.NewDecoder(io.LimitReader(req.Body, 16<<20)).Decode(&order); err != nil {
			writeJSON(rw, http.StatusBadRequest, workerclient.Rejection{Name: "malformed", Detail: err.Error()})
			return
		}
		resp, err := handle(req.Context(), &order)
		if rejected, ok := err.(*rejection); ok {
			writeJSON(rw, rejected.code, workerclient.Rejection{Name: rejected.name})
			return
		}
		w.mu.Lock()
		resp.Version, resp.Incarnation = w.version, w.incarnation
		tokens := resp.Output
		if resp.Identity != nil {
			tokens = resp.Identity.Output
		}
		for _, t := range tokens {
			resp.Texts = append(resp.Texts, tokenText(t))
		}
		w.mu.Unlock()
		writeJSON(rw, http.StatusOK, resp)
	}
}

// tokenText returns the text of a token.
func tokenText(t int32) string { return fmt.Sprintf("t%d ", t) }

// checkOrder rejects an order whose fencing token is outdated or whose attempt was cancelled, and otherwise records
// its fencing token and configuration version. The caller holds mu.
func (w *Worker) checkOrder(event string, header workerclient.OrderHeader, id workerclient.ID) error {
	if header.Fence < w.fence && !w.faults.IgnoreFencing {
		return reject(http.StatusPreconditionFailed, "fence %d is older than %d", header.Fence, w.fence)
	}
	if cancelled, ok := w.tombstones[id.Request]; ok && event != "cancel" &&
		id.Attempt <= cancelled && !w.faults.IgnoreFencing {
		return reject(http.StatusGone, "attempt %d was cancelled", id.Attempt)
	}
	w.fence, w.version = max(w.fence, header.Fence), max(w.version, header.Version)
	w.emit(event, id, header)
	return nil
}

// prefill queues the prompt of an attempt and responds when the worker has processed it.
func (w *Worker) prefill(ctx context.Context, req *workerclient.PrefillRequest) (*workerclient.OrderResponse, error) {
	id := req.Identity.ID
	w.mu.Lock()
	if err := w.checkOrder("prefill", req.OrderHeader, id); err != nil {
		w.mu.Unlock()
		return nil, err
	}
	r := w.live[id]
	if r == nil {
		blocks := ids.Blocks(len(req.Identity.Prompt)+len(req.Identity.Output)+1, w.pool.blockSize)
		switch {
		case w.role != ids.Prefill:
			w.mu.Unlock()
			return nil, reject(http.StatusConflict, "this worker decodes")
		case !w.opt.Model.Serves(req.Identity.Model):
			w.mu.Unlock()
			return nil, reject(http.StatusUnprocessableEntity, "model differs")
		case !w.pool.fits(blocks):
			w.mu.Unlock()
			return nil, reject(http.StatusInsufficientStorage, "no room for %d blocks", blocks)
		}
		r = &run{state: req.Identity, blocks: w.pool.allocate(blocks), lastActive: w.now(), changed: make(chan struct{})}
		w.live[id] = r
		w.queue = append(w.queue, r)
		w.requestCounts(id.Request).Prefills++
		w.wakeEngine()
	}
	for !r.prefilled && !r.stopped {
		changed := r.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			w.mu.Lock()
			w.drop(r, workerclient.FateNotStarted)
			w.mu.Unlock()
			return nil, reject(http.StatusGone, "client disconnected")
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if r.stopped {
		return nil, reject(http.StatusGone, "the attempt was ended")
	}
	state := r.state
	return &workerclient.OrderResponse{Identity: &state}, nil
}

// export copies a run's KV cache to the staging buffer, removes the run and frees its blocks. The copy is kept for
// StagingTTL.
func (w *Worker) export(_ context.Context, req *workerclient.ExportRequest) (*workerclient.OrderResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkOrder("export", req.OrderHeader, req.ID); err != nil {
		return nil, err
	}
	if staged, ok := w.staged[req.ID]; ok {
		state := staged.state
		return &workerclient.OrderResponse{Identity: &state}, nil
	}
	r := w.live[req.ID]
	if r == nil || w.role == ids.Prefill && !r.prefilled {
		return nil, reject(http.StatusNotFound, "nothing to export")
	}
	body, sum := w.pool.kvBytes(r.blocks, r.state.Computed)
	r.state.Length, r.state.Digest = int64(len(body)), sum
	w.staged[req.ID] = &stagedKV{r.state, body, w.now().Add(w.opt.StagingTTL)}
	state := r.state
	w.drop(r, workerclient.FateNotStarted)
	return &workerclient.OrderResponse{Identity: &state}, nil
}

// serveKV sends staged KV cache in chunks, at the transfer rate. The time is that for the nominal size of the KV
// cache, which WireBytesPerToken gives.
func (w *Worker) serveKV(rw http.ResponseWriter, req *http.Request) {
	attempt, _ := strconv.Atoi(req.FormValue("attempt"))
	id := workerclient.ID{Request: req.FormValue("request"), Attempt: attempt}
	w.mu.Lock()
	staged, ok := w.staged[id]
	faults, rate := w.faults, w.opt.TransferRate
	w.mu.Unlock()
	if !ok {
		writeJSON(rw, http.StatusGone, workerclient.Rejection{Name: "not staged"})
		return
	}
	if faults.TransferRate > 0 {
		rate = faults.TransferRate
	}
	body := append([]byte(nil), staged.body...)
	if faults.Corrupt && len(body) > 0 {
		body[len(body)/2] ^= 1
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	duration := time.Duration(len(body)/8*w.opt.WireBytesPerToken) * time.Second / time.Duration(rate)
	const chunks = 4
	for i := range chunks {
		if faults.Drop && i == chunks/2 {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-host.NewTimer(duration / chunks).C:
		case <-req.Context().Done():
			return
		}
		rw.Write(body[i*len(body)/chunks : (i+1)*len(body)/chunks])
		rw.(http.Flusher).Flush()
	}
}

func (w *Worker) setRole(_ context.Context, req *workerclient.RoleRequest) (*workerclient.OrderResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkOrder("part", req.OrderHeader, workerclient.ID{}); err != nil {
		return nil, err
	}
	if req.Role != ids.Prefill && req.Role != ids.Decode {
		return nil, reject(http.StatusBadRequest, "unknown role")
	}
	if req.Role != w.role && len(w.live) > 0 {
		return nil, reject(http.StatusConflict, "%d requests are unfinished", len(w.live))
	}
	w.role = req.Role
	return &workerclient.OrderResponse{}, nil
}
