package cli

import (
	"context"
	"net/http"
	"sync"
)

// RequestGate lets a process finish the requests in progress before it shuts down. The zero value is open.
// It is safe for concurrent use.
type RequestGate struct {
	mu         sync.Mutex
	closed     bool
	inProgress sync.WaitGroup
}

// Handler wraps a handler. While the gate is closed, requests are rejected with status 503 and not passed on.
func (g *RequestGate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.enter() {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer g.inProgress.Done()
		next.ServeHTTP(w, r)
	})
}

// enter counts a request unless the gate is closed.
func (g *RequestGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inProgress.Add(1)
	return true
}

// Close closes the gate and returns when no request is in progress or the context ends.
func (g *RequestGate) Close(ctx context.Context) {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		g.inProgress.Wait()
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
