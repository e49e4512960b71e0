// Calls whose answers are large: they are bounded by silence, not by the time that the whole takes.
// A bound on the whole ends every attempt at the same place where a link is slow or shared by many.

package rpc

import (
	"context"
	"sync/atomic"
	"time"

	"keelstair.example/host"
)

type progressKey struct{}

// progress tells when bytes of a call's answer arrived last.
type progress struct {
	start time.Time
	last  atomic.Int64 // ns after start; 0: nothing has arrived
}

func (p *progress) note() { p.last.Store(max(1, int64(time.Since(p.start)))) }

// watch ends when nothing came within first, or nothing more within silence of the bytes before.
func (p *progress) watch(ctx context.Context, first, silence time.Duration) {
	wait := first
	for host.Sleep(ctx, wait) {
		last := time.Duration(p.last.Load())
		if wait = last + silence - time.Since(p.start); last == 0 || wait <= 0 {
			return
		}
	}
}

// CallUntilSilent asks the process at addr. It gives up when nothing of the answer came within
// first, or nothing more within silence, or when the context ends.
func CallUntilSilent[Q, A any](
	ctx context.Context,
	c *Caller,
	addr, name string,
	q *Q,
	first, silence time.Duration,
) (*A, error) {
	p := &progress{start: time.Now()}
	ctx, stop := context.WithCancel(context.WithValue(ctx, progressKey{}, p))
	defer stop()
	go func() {
		p.watch(ctx, first, silence)
		stop()
	}()
	return callUnary[Q, A](ctx, c, addr, name, q)
}
