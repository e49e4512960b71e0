// Calls with large responses are limited by the time without incoming data, not by their total
// duration. A limit on the total duration would end every attempt at the same point on a link that
// is slow or shared by many calls.

package rpc

import (
	"context"
	"sync/atomic"
	"time"

	"keelstair.example/host"
)

type progressContextKey struct{}

// progress records when data of a response last arrived.
type progress struct {
	start       time.Time
	lastArrival atomic.Int64 // in ns after start; 0 if nothing has arrived
}

func (p *progress) recordArrival() { p.lastArrival.Store(max(1, int64(time.Since(p.start)))) }

// waitUntilSilent returns when no data arrives within first of start, when no more arrives within
// silence of the previous data, or when ctx is done.
func (p *progress) waitUntilSilent(ctx context.Context, first, silence time.Duration) {
	wait := first
	for host.Sleep(ctx, wait) {
		lastArrival := time.Duration(p.lastArrival.Load())
		if wait = lastArrival + silence - time.Since(p.start); lastArrival == 0 || wait <= 0 {
			return
		}
	}
}

// CallUntilSilent calls the named method of the process at addr. It fails when no data of the
// response arrives within first, when no more arrives within silence, or when ctx is done.
func CallUntilSilent[Req, Resp any](
	ctx context.Context,
	c *Caller,
	addr, name string,
	request *Req,
	first, silence time.Duration,
) (*Resp, error) {
	p := &progress{start: time.Now()}
	ctx, stop := context.WithCancel(context.WithValue(ctx, progressContextKey{}, p))
	defer stop()
	go func() {
		p.waitUntilSilent(ctx, first, silence)
		stop()
	}()
	return callUnary[Req, Resp](ctx, c, addr, name, request)
}
