// Liveness checks: calls by which a worker shows that its process still runs.

package proxy

import (
	"context"
	"sync"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
)

const (
	// livenessTimeout is how long a worker has to show that it lives. One that is busy, or has too many connections,
	// may fail some calls.
	livenessTimeout     = time.Second
	livenessCallTimeout = livenessTimeout / 2   // a busy worker lets a health check wait for a slot
	livenessPause       = 50 * time.Millisecond // between two calls
)

// livenessCheck asks a worker whether its process still runs. Only a call that begins after the question answers it.
// Questions that wait for such a call share it. The zero value is ready to use.
type livenessCheck struct {
	mu      sync.Mutex
	running bool
	next    *livenessCall // begins when the running call has ended; nil if nobody waits
}

// livenessCall is a call for one or more questions.
type livenessCall struct {
	done chan struct{} // closed when err is set
	err  error
}

// ask returns a call that begins after the question.
func (l *livenessCheck) ask(call func() error) *livenessCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next == nil {
		l.next = &livenessCall{done: make(chan struct{})}
	}
	asked := l.next
	if !l.running {
		l.running = true
		go l.run(call)
	}
	return asked
}

// run makes calls until nobody waits for one.
func (l *livenessCheck) run(call func() error) {
	for c := l.begin(); c != nil; c = l.begin() {
		c.err = call()
		close(c.done)
	}
}

// begin returns the call that is to begin now, or nil if nobody waits for one.
func (l *livenessCheck) begin() *livenessCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.next
	l.next, l.running = nil, c != nil
	return c
}

// confirmAlive returns nil if the worker's process has answered a call that began after confirmAlive did.
func (n *Node) confirmAlive(ctx context.Context, w *Worker, state *workerState) error {
	call := state.liveness.ask(func() error { return n.checkAlive(w) })
	select {
	case <-call.done:
		return call.err
	case <-ctx.Done():
		return failure.As(ctx.Err(), failure.OutcomeUnknown, "check alive", w.Addr)
	}
}

// checkAlive calls a worker until it answers, its process is known to be gone, or the time is over. The calls serve several
// exchanges, so none of these can cancel them.
func (n *Node) checkAlive(w *Worker) error {
	ctx, stop := context.WithTimeout(context.Background(), livenessTimeout)
	defer stop()
	for {
		err := n.callAlive(ctx, w)
		if err == nil || failure.Is(err, failure.Stale) || !host.Sleep(ctx, livenessPause) {
			return err
		}
	}
}

// callAlive makes one call of a liveness check.
func (n *Node) callAlive(ctx context.Context, w *Worker) error {
	ctx, stop := context.WithTimeout(ctx, livenessCallTimeout)
	defer stop()
	return n.options.Backend.CheckAlive(ctx, *w, n.snapshot().Configuration.Services[w.Service].HealthCheckPath)
}
