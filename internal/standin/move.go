// The decode side of the stand-in: import pays the whole block bill first or
// fails loudly, attention waits for every byte, for the digest and for the
// resume, and a cancelled attempt can never start again.

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

func (w *Worker) take(_ context.Context, q *workerclient.ImportRequest) (*workerclient.OrderResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := q.Identity
	if err := w.heed("import", q.OrderHeader, m.ID); err != nil {
		return nil, err
	}
	if w.live[m.ID] != nil {
		return &workerclient.OrderResponse{}, nil
	}
	bill := ids.Blocks(m.Computed, w.pool.size)
	complete := max(bill, ids.Blocks(len(m.Prompt)+m.Params.MaxTokens, w.pool.size))
	switch {
	case w.part != ids.Decode:
		return nil, no(http.StatusConflict, "this worker prefills")
	case !w.opt.Model.Offers(m.Model):
		return nil, no(http.StatusUnprocessableEntity, "another model")
	case m.Length != int64(kvTokenBytes*m.Computed):
		return nil, no(http.StatusUnprocessableEntity, "%d bytes for %d tokens", m.Length, m.Computed)
	case !w.pool.fits(complete):
		w.count(m.ID.Request).Bounced++
		w.tell("bounced", m.ID, q.OrderHeader)
		return nil, no(http.StatusInsufficientStorage, "no room for %d blocks", complete)
	}
	r := &run{ident: m, tab: w.pool.take(bill), pledge: complete - bill, touched: w.now(), changed: make(chan struct{})}
	w.pool.pledge += r.pledge
	w.live[m.ID] = r
	go w.fetch(r, q.Source)
	return &workerclient.OrderResponse{}, nil
}

// kvTokenBytes is how many bytes of KV the stand-in keeps for a token.
const kvTokenBytes = 8

// fetch fills the blocks of a run from the worker at source, and gives the run up if that
// fails.
func (w *Worker) fetch(r *run, source string) {
	err := w.receive(r, source)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		r.lost = true
		w.tell("lost", r.ident.ID, workerclient.OrderHeader{})
		if !r.arrived {
			w.drop(r, workerclient.FateNever)
		}
		return
	}
	r.arrived = true
	r.touched = w.now()
	w.flash(r)
	w.kick()
}

// receive reads the KV of a run into its blocks, and holds its length and digest against
// the identity.
func (w *Worker) receive(r *run, source string) error {
	id := r.ident.ID
	cx, stop := context.WithTimeout(context.Background(), w.opt.StagingTTL)
	defer stop()
	q, err := http.NewRequestWithContext(
		cx,
		http.MethodGet,
		fmt.Sprintf("http://%s/kv?request=%s&attempt=%d", source, id.Request, id.Attempt),
		nil,
	)
	if err != nil {
		return err
	}
	a, err := w.web.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return no(a.StatusCode, "source gave %d", a.StatusCode)
	}
	all, err := w.fill(r, a.Body)
	if err != nil {
		return err
	}
	if int64(len(all)) != r.ident.Length || digest(all) != r.ident.Digest {
		return no(0, "the digest does not fit")
	}
	return nil
}

// fill puts the bytes into the blocks as they come in, and returns all of them.
func (w *Worker) fill(r *run, body io.Reader) (all []byte, err error) {
	buf := make([]byte, 4096)
	for {
		n, err := body.Read(buf)
		all = append(all, buf[:n]...)
		if int64(len(all)) > r.ident.Length {
			return nil, no(0, "too many bytes")
		}
		if err := w.put(r, all, len(all)-n); err != nil {
			return nil, err
		}
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// put puts the tokens into the blocks that are whole by now and were not after the first
// before bytes.
func (w *Worker) put(r *run, all []byte, before int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.tab == nil {
		return no(0, "dropped meanwhile")
	}
	for i := before / kvTokenBytes; i < len(all)/kvTokenBytes; i++ {
		w.pool.put(r.tab, i, binary.LittleEndian.Uint64(all[kvTokenBytes*i:]))
	}
	if w.fault.Hurry && len(all) > 0 {
		r.arrived = true
		w.flash(r)
	}
	return nil
}

// resume is the point of no return.
func (w *Worker) resume(ctx context.Context, q *workerclient.IDRequest) (*workerclient.OrderResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.live[q.ID]
	if err := w.heed("resume", q.OrderHeader, q.ID); err != nil {
		return nil, err
	}
	if r == nil {
		if f := w.fates[q.ID.Request]; f != nil && f.Fate != workerclient.FateNever {
			return f, nil
		}
		return nil, no(http.StatusGone, "nothing to resume")
	}
	for !r.arrived && !r.stopped {
		news := r.changed
		w.mu.Unlock()
		select {
		case <-news:
			w.mu.Lock()
		case <-ctx.Done():
			w.mu.Lock()
			return nil, no(http.StatusGone, "the asker went away")
		}
	}
	if r.stopped {
		return nil, no(http.StatusGone, "the memory was lost")
	}
	if err := w.heed("resumed", q.OrderHeader, q.ID); err != nil {
		return nil, err
	}
	if !r.resumed {
		r.resumed = true
		t := w.count(q.ID.Request)
		t.Runs++
		t.First = append(t.First, len(r.ident.Output))
	}
	r.touched = w.now()
	w.kick()
	return &workerclient.OrderResponse{Fate: workerclient.FateRunning}, nil
}

// cancel stops an attempt for good and tells what came of the request here.
func (w *Worker) cancel(_ context.Context, q *workerclient.IDRequest) (*workerclient.OrderResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.heed("cancel", q.OrderHeader, q.ID); err != nil {
		return nil, err
	}
	if n, ok := w.tombstones[q.ID.Request]; !ok || q.ID.Attempt > n {
		w.tombstones[q.ID.Request] = q.ID.Attempt
	}
	for id := range w.staged {
		if id.Request == q.ID.Request && id.Attempt <= q.ID.Attempt {
			w.unstage(id)
		}
	}
	for id, r := range w.live {
		if id.Request != q.ID.Request || id.Attempt > q.ID.Attempt {
			continue
		}
		if r.resumed {
			w.drop(r, workerclient.FateStopped)
		} else {
			w.drop(r, workerclient.FateNever)
		}
	}
	if f := w.fates[q.ID.Request]; f != nil {
		cop := *f
		cop.Texts = nil
		return &cop, nil
	}
	return &workerclient.OrderResponse{Fate: workerclient.FateNever}, nil
}

// stream hands out pieces from an index on. A line goes out at least every
// half second, so a reader knows a silent worker from a slow one.
func (w *Worker) stream(rw http.ResponseWriter, q *http.Request) {
	n, _ := strconv.Atoi(q.FormValue("attempt"))
	at, _ := strconv.Atoi(q.FormValue("from"))
	id := workerclient.ID{Request: q.FormValue("request"), Attempt: n}
	w.mu.Lock()
	r := w.live[id]
	f := w.fates[id.Request]
	w.mu.Unlock()
	if r == nil && (f == nil || !f.Done) {
		reply(rw, http.StatusGone, workerclient.Rejection{Name: "no such run"})
		return
	}
	rows := json.NewEncoder(rw)
	put := func(out []int32, ended bool) {
		for ; at < len(out); at++ {
			rows.Encode(workerclient.TokenEvent{Index: at, Token: out[at], Text: say(out[at])})
		}
		if ended {
			rows.Encode(workerclient.TokenEvent{Index: at, End: "stop", Count: len(out)})
		}
		rw.(http.Flusher).Flush()
	}
	if r == nil {
		put(f.Output, true)
		return
	}
	for {
		w.mu.Lock()
		out, ended, stopped, news, now := r.ident.Output, r.ended, r.stopped, r.changed, w.now()
		r.touched = now
		w.mu.Unlock()
		put(out, ended)
		if ended || stopped {
			if stopped {
				panic(http.ErrAbortHandler)
			}
			return
		}
		select {
		case <-news:
		case <-q.Context().Done():
			return
		case <-host.NewTimer(400 * time.Millisecond).C:
			rw.Write([]byte("\n"))
		}
	}
}
