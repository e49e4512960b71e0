// What one request costs a node by the number of workers: requests are carried through
// the product's node with workers that answer at once, so that what is left is the
// picking and the carrying itself.

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/internal/proxy"
)

// Picked is what a run of requests cost.
type Picked struct {
	Count  int     `json:"count"`
	Done   int     `json:"done"`
	Micros float64 `json:"micros"` // for each, on one thread
	Bytes  float64 `json:"bytes"`  // taken from the heap for each
	Why    string  `json:"why"`    // the first that failed
}

// still stands in for workers that answer at once.
type still struct{ list []proxy.Worker }

func (s *still) List(context.Context) ([]proxy.Worker, error) { return s.list, nil }

func (s *still) Read(
	_ context.Context,
	w proxy.Worker,
	r *proxy.Request,
	_ time.Duration,
	_ int,
) (*proxy.PrefillResult, error) {
	return &proxy.PrefillResult{Handle: "h", Tokens: r.Prompt, Load: &proxy.Load{Concurrency: w.Concurrency}}, nil
}

func (s *still) Emit(
	_ context.Context,
	w proxy.Worker,
	_ *proxy.Request,
	_ *proxy.Source,
	_ string,
	_ time.Duration,
	_ int,
) (*proxy.Response, error) {
	return &proxy.Response{
		Status:     http.StatusOK,
		Header:     http.Header{},
		FromWorker: true,
		Events:     true,
		Length:     -1,
		Body:       io.NopCloser(strings.NewReader("id: 1\ndata: t\n\n")),
		Load:       &proxy.Load{Concurrency: w.Concurrency},
	}, nil
}

func (s *still) Free(context.Context, proxy.Worker, string) error { return nil }

func (s *still) Report(context.Context, proxy.Worker) (*proxy.Report, error) {
	return nil, failure.New(failure.Unavailable, "report", "", "none is given")
}

func (s *still) Order(context.Context, proxy.Worker, *proxy.RoleOrder) error {
	return failure.New(failure.NotExecuted, "order", "", "none is taken")
}

func (s *still) Close() {}

type sink struct{}

func (sink) Head(int, http.Header, int64) error { return nil }
func (sink) Write([]byte) error                 { return nil }

// pickMany carries so many requests, one after the other. Each shares its beginning with
// others of its tenant.
func (s *Size) pickMany(ctx context.Context, n *proxy.Node, count int) *Picked {
	host, err := host.Real("")
	if err != nil || n == nil {
		return &Picked{Why: "there is no such node"}
	}
	out := &Picked{Count: count}
	var before, after runtime.MemStats
	run := func(i int) error {
		route := i % 50
		return n.Serve(ctx, &proxy.Request{
			ID:     fmt.Sprint("r-", i),
			Method: http.MethodPost,
			Path:   fmt.Sprintf("/v1/%05d/chat", route),
			Target: "/",
			Host: fmt.Sprintf(
				"tenant-%03d.example", route%330,
			),
			Header: http.Header{},
			Body:   make([]byte, 4096),
			Model:  s.model(route),
			Segments: []proxy.PromptSegment{
				{ID: fmt.Sprint("system-", route), Tokens: 600},
				{ID: fmt.Sprint("turn-", i%400), Tokens: 900},
				{ID: fmt.Sprint("last-", i), Tokens: 100},
			},
			Prompt:    1600,
			MaxTokens: 200,
			At:        host.Clock.Now(),
		}, sink{})
	}
	for i := range count / 10 {
		run(i)
	}
	runtime.ReadMemStats(&before)
	from := time.Now()
	for i := range count {
		if err := run(i); err == nil {
			out.Done++
		} else if out.Why == "" {
			out.Why = err.Error()
		}
	}
	duration := time.Since(from)
	runtime.ReadMemStats(&after)
	out.Micros = float64(duration.Microseconds()) / float64(max(1, count))
	out.Bytes = float64(after.TotalAlloc-before.TotalAlloc) / float64(max(1, count))
	return out
}
