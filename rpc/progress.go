// Calls with large responses are limited by the time without incoming data, not by their total
// duration. With a limit on the total duration, every attempt would fail at the same point on a
// link that is slow or shared by many calls.

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

// waitUntilSilent returns if no data arrives within firstTimeout after the start, if no more data
// arrives within silenceTimeout after the last, or if ctx is done. Unless ctx is done, it does not
// return before firstTimeout has passed.
func (p *progress) waitUntilSilent(ctx context.Context, firstTimeout, silenceTimeout time.Duration) {
	wait := firstTimeout
	for host.Sleep(ctx, wait) {
		lastArrival := time.Duration(p.lastArrival.Load())
		if wait = lastArrival + silenceTimeout - time.Since(p.start); lastArrival == 0 || wait <= 0 {
			return
		}
	}
}

// CallUntilSilent calls the named method of the process at addr. It fails if no data of the
// response arrives within firstTimeout, if no more data arrives within silenceTimeout after the
// last, or if ctx is done. It does not fail for silence before firstTimeout has passed.
func CallUntilSilent[Req, Resp any](
	ctx context.Context,
	c *Caller,
	addr, name string,
	request *Req,
	firstTimeout, silenceTimeout time.Duration,
) (*Resp, error) {
	p := &progress{start: time.Now()}
	ctx, stop := context.WithCancel(context.WithValue(ctx, progressContextKey{}, p))
	defer stop()
	go func() {
		p.waitUntilSilent(ctx, firstTimeout, silenceTimeout)
		stop()
	}()
	return callUnary[Req, Resp](ctx, c, addr, name, request)
}
