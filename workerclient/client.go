// How orders, reports and streams go over the wire, and what each refusal of a
// worker means in our own kinds of breakdown.

package workerclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"keelstair.example/failure"
	"keelstair.example/rpc"
	"keelstair.example/seam"
)

const maxAnswer = 32 << 20

// Rein speaks to workers and to the platform.
type Rein struct{ web *http.Client }

func New(n seam.Net) *Rein { return &Rein{web: rpc.Web(n)} }

func (r *Rein) Close() { r.web.CloseIdleConnections() }

// Bounce is what a worker or a door says when it does not do a thing.
type Bounce struct {
	Name   string `json:"name"`
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail,omitempty"`
	After  int64  `json:"retryAfterMs,omitempty"`
}

func kind(code int) failure.Kind {
	switch code {
	case http.StatusPreconditionFailed:
		return failure.Stale
	case http.StatusInsufficientStorage, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusConflict:
		return failure.Bounced
	case http.StatusGone, http.StatusNotFound:
		return failure.Lost
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return failure.Bad
	}
	return failure.Unknown
}

func (r *Rein) ask(ctx context.Context, method, addr, path string, in, out any, span time.Duration) error {
	if _, ok := ctx.Deadline(); !ok {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, span)
		defer stop()
	}
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return failure.As(err, failure.Bad, path, addr)
		}
		body = bytes.NewReader(b)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return failure.As(err, failure.Bad, path, addr)
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := r.web.Do(q)
	if err != nil {
		return failure.As(err, unsent(err), path, addr)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	if err != nil {
		return failure.As(err, failure.Unknown, path, addr)
	}
	if a.StatusCode != http.StatusOK {
		var no Bounce
		json.Unmarshal(b, &no)
		return failure.New(kind(a.StatusCode), path, addr, "%d %s %s", a.StatusCode, no.Name, no.Detail)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return failure.As(err, failure.Unknown, path+" gave garbage", addr)
	}
	return nil
}

// unsent: an order that could not even be dialled was surely not taken.
func unsent(err error) failure.Kind {
	if rpc.Undialled(err) {
		return failure.Bounced
	}
	return failure.Unknown
}

func (r *Rein) order(ctx context.Context, addr, path string, in any, span time.Duration) (*Answer, error) {
	out := &Answer{}
	return out, r.ask(ctx, http.MethodPost, addr, path, in, out, span)
}

func (r *Rein) Prefill(ctx context.Context, addr string, q *PrefillAsk) (*Answer, error) {
	return r.order(ctx, addr, "/prefill", q, 10*time.Second)
}

func (r *Rein) Export(ctx context.Context, addr string, q *ExportAsk) (*Answer, error) {
	return r.order(ctx, addr, "/export", q, 2*time.Second)
}

func (r *Rein) Import(ctx context.Context, addr string, q *ImportAsk) (*Answer, error) {
	return r.order(ctx, addr, "/import", q, 2*time.Second)
}

func (r *Rein) Resume(ctx context.Context, addr string, q *IdAsk) (*Answer, error) {
	return r.order(ctx, addr, "/resume", q, 5*time.Second)
}

// Cancel ends an attempt. Where nobody listens any more no process is left that
// could go on with it: it is lost, which is more than not having been reached.
func (r *Rein) Cancel(ctx context.Context, addr string, q *IdAsk) (*Answer, error) {
	a, err := r.order(ctx, addr, "/cancel", q, time.Second)
	if errors.Is(err, syscall.ECONNREFUSED) {
		err = failure.As(err, failure.Lost, "cancel", addr)
	}
	return a, err
}

func (r *Rein) Part(ctx context.Context, addr string, q *PartAsk) (*Answer, error) {
	return r.order(ctx, addr, "/part", q, time.Second)
}

func (r *Rein) Report(ctx context.Context, addr string) (*Report, error) {
	out := &Report{}
	return out, r.ask(ctx, http.MethodGet, addr, "/report", nil, out, 800*time.Millisecond)
}

// Workers is the platform's list.
func (r *Rein) Workers(ctx context.Context, addr string) ([]Listed, error) {
	var out []Listed
	return out, r.ask(ctx, http.MethodGet, addr, "/workers", nil, &out, 800*time.Millisecond)
}

// Stream hands on the pieces of a resumed run from an index on, until it ends.
// The worker speaks at least every pulse; a longer silence means it is lost.
func (r *Rein) Stream(ctx context.Context, addr string, id Id, from int, pulse time.Duration, put func(Piece) error) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	path := fmt.Sprintf("/stream?request=%s&attempt=%d&from=%d", id.Request, id.Attempt, from)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return failure.As(err, failure.Bad, "stream", addr)
	}
	watch := time.AfterFunc(pulse, stop)
	defer watch.Stop()
	a, err := r.web.Do(q)
	if err != nil {
		return failure.As(err, failure.Lost, "stream", addr)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return failure.New(kind(a.StatusCode), "stream", addr, "%d", a.StatusCode)
	}
	rows := bufio.NewScanner(a.Body)
	rows.Buffer(make([]byte, 4096), 1<<20)
	for rows.Scan() {
		watch.Reset(pulse)
		if len(rows.Bytes()) == 0 {
			continue
		}
		var p Piece
		if err := json.Unmarshal(rows.Bytes(), &p); err != nil {
			return failure.As(err, failure.Lost, "stream gave garbage", addr)
		}
		if err := put(p); err != nil {
			return err
		}
		if p.End != "" {
			return nil
		}
	}
	if err := rows.Err(); err != nil {
		return failure.As(err, failure.Lost, "stream", addr)
	}
	return failure.New(failure.Lost, "stream", addr, "it stopped without an end")
}
