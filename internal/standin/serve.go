// The stand-in's HTTP side: orders under a fence, the late report, the stream,
// and the KV that another worker fetches.

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
	mux.HandleFunc("POST /prefill", order(w, w.prefill))
	mux.HandleFunc("POST /export", order(w, w.export))
	mux.HandleFunc("POST /import", order(w, w.take))
	mux.HandleFunc("POST /resume", order(w, w.resume))
	mux.HandleFunc("POST /cancel", order(w, w.cancel))
	mux.HandleFunc("POST /part", order(w, w.orderRole))
	mux.HandleFunc("GET /report", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		var r workerclient.Report
		if len(w.late) > 0 {
			r = w.late[0].r
		} else {
			r = w.report()
		}
		r.Version = w.version
		w.mu.Unlock()
		reply(rw, http.StatusOK, r)
	})
	mux.HandleFunc("GET /stream", w.stream)
	mux.HandleFunc("GET /kv", w.kvTransfer)
	mux.HandleFunc("GET /tally", func(rw http.ResponseWriter, _ *http.Request) {
		reply(rw, http.StatusOK, w.Tallies())
	})
	mux.HandleFunc("POST /fault", func(rw http.ResponseWriter, q *http.Request) {
		var f Faults
		if json.NewDecoder(q.Body).Decode(&f) == nil {
			w.Order(f)
		}
		reply(rw, http.StatusOK, f)
	})
	return http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		w.mu.Lock()
		f := w.fault
		w.mu.Unlock()
		switch {
		case q.URL.Path == "/fault" || q.URL.Path == "/tally":
		case f.Dark:
			io.Copy(io.Discard, q.Body) // else the server would not notice a caller that leaves
			<-q.Context().Done()
			return
		case f.Garbage:
			rw.Write([]byte("<<garbage>>"))
			return
		}
		mux.ServeHTTP(rw, q)
	})
}

func reply(rw http.ResponseWriter, code int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(code)
	json.NewEncoder(rw).Encode(v)
}

type refusal struct {
	code int
	name string
}

func (r *refusal) Error() string { return r.name }

func no(code int, form string, args ...any) error { return &refusal{code, fmt.Sprintf(form, args...)} }

// order reads an order and turns a refusal into its code.
func order[Q any](w *Worker, f func(context.Context, *Q) (*workerclient.OrderResponse, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, q *http.Request) {
		var in Q
		if err := json.NewDecoder(io.LimitReader(q.Body, 16<<20)).Decode(&in); err != nil {
			reply(rw, http.StatusBadRequest, workerclient.Rejection{Name: "malformed", Detail: err.Error()})
			return
		}
		a, err := f(q.Context(), &in)
		if r, ok := err.(*refusal); ok {
			reply(rw, r.code, workerclient.Rejection{Name: r.name})
			return
		}
		w.mu.Lock()
		a.Version, a.Incarnation = w.version, w.incarnation
		toks := a.Output
		if a.Identity != nil {
			toks = a.Identity.Output
		}
		for _, t := range toks {
			a.Texts = append(a.Texts, say(t))
		}
		w.mu.Unlock()
		reply(rw, http.StatusOK, a)
	}
}

// say is a token as text.
func say(t int32) string { return fmt.Sprintf("t%d ", t) }

// heed checks the fence and notes the version. The caller holds mu.
func (w *Worker) heed(what string, l workerclient.OrderHeader, id workerclient.ID) error {
	if l.Fence < w.fence && !w.fault.Forget {
		return no(http.StatusPreconditionFailed, "fence %d is older than %d", l.Fence, w.fence)
	}
	if n, ok := w.tombstones[id.Request]; ok && what != "cancel" && id.Attempt <= n && !w.fault.Forget {
		return no(http.StatusGone, "attempt %d was cancelled", id.Attempt)
	}
	w.fence, w.version = max(w.fence, l.Fence), max(w.version, l.Version)
	w.tell(what, id, l)
	return nil
}

func (w *Worker) prefill(ctx context.Context, q *workerclient.PrefillRequest) (*workerclient.OrderResponse, error) {
	id := q.Identity.ID
	w.mu.Lock()
	if err := w.heed("prefill", q.OrderHeader, id); err != nil {
		w.mu.Unlock()
		return nil, err
	}
	r := w.live[id]
	if r == nil {
		n := ids.Blocks(len(q.Identity.Prompt)+len(q.Identity.Output)+1, w.pool.size)
		switch {
		case w.part != ids.Prefill:
			w.mu.Unlock()
			return nil, no(http.StatusConflict, "this worker decodes")
		case !w.opt.Model.Offers(q.Identity.Model):
			w.mu.Unlock()
			return nil, no(http.StatusUnprocessableEntity, "another model")
		case !w.pool.fits(n):
			w.mu.Unlock()
			return nil, no(http.StatusInsufficientStorage, "no room for %d blocks", n)
		}
		r = &run{ident: q.Identity, tab: w.pool.take(n), touched: w.now(), changed: make(chan struct{})}
		w.live[id] = r
		w.queue = append(w.queue, r)
		w.count(id.Request).Reads++
		w.kick()
	}
	for !r.read && !r.stopped {
		news := r.changed
		w.mu.Unlock()
		select {
		case <-news:
		case <-ctx.Done():
			w.mu.Lock()
			w.drop(r, workerclient.FateNever)
			w.mu.Unlock()
			return nil, no(http.StatusGone, "the asker went away")
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if r.stopped {
		return nil, no(http.StatusGone, "stopped while reading")
	}
	got := r.ident
	return &workerclient.OrderResponse{Identity: &got}, nil
}

// export snapshots the token state, takes the request off the schedule and
// frees all its blocks; the bytes wait in the staging buffer for a while.
func (w *Worker) export(_ context.Context, q *workerclient.ExportRequest) (*workerclient.OrderResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.heed("export", q.OrderHeader, q.ID); err != nil {
		return nil, err
	}
	if p, ok := w.staged[q.ID]; ok {
		got := p.ident
		return &workerclient.OrderResponse{Identity: &got}, nil
	}
	r := w.live[q.ID]
	if r == nil || w.part == ids.Prefill && !r.read {
		return nil, no(http.StatusNotFound, "nothing to export")
	}
	body, sum := w.pool.kvBytes(r.tab, r.ident.Computed)
	r.ident.Length, r.ident.Digest = int64(len(body)), sum
	w.staged[q.ID] = &parcel{r.ident, body, w.now().Add(w.opt.StagingTTL)}
	got := r.ident
	w.drop(r, workerclient.FateNever)
	return &workerclient.OrderResponse{Identity: &got}, nil
}

func (w *Worker) kvTransfer(rw http.ResponseWriter, q *http.Request) {
	n, _ := strconv.Atoi(q.FormValue("attempt"))
	id := workerclient.ID{Request: q.FormValue("request"), Attempt: n}
	w.mu.Lock()
	p, ok := w.staged[id]
	f, speed := w.fault, w.opt.Speed
	w.mu.Unlock()
	if !ok {
		reply(rw, http.StatusGone, workerclient.Rejection{Name: "not staged"})
		return
	}
	if f.Speed > 0 {
		speed = f.Speed
	}
	body := append([]byte(nil), p.body...)
	if f.Corrupt && len(body) > 0 {
		body[len(body)/2] ^= 1
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	duration := time.Duration(len(body)/8*w.opt.Weight) * time.Second / time.Duration(speed)
	const parts = 4
	for i := range parts {
		if f.Drop && i == parts/2 {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-host.NewTimer(duration / parts).C:
		case <-q.Context().Done():
			return
		}
		rw.Write(body[i*len(body)/parts : (i+1)*len(body)/parts])
		rw.(http.Flusher).Flush()
	}
}

func (w *Worker) orderRole(_ context.Context, q *workerclient.RoleRequest) (*workerclient.OrderResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.heed("part", q.OrderHeader, workerclient.ID{}); err != nil {
		return nil, err
	}
	if q.Role != ids.Prefill && q.Role != ids.Decode {
		return nil, no(http.StatusBadRequest, "no such part")
	}
	if q.Role != w.part && len(w.live) > 0 {
		return nil, no(http.StatusConflict, "%d requests are still here", len(w.live))
	}
	w.part = q.Role
	return &workerclient.OrderResponse{}, nil
}
