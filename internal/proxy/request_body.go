// The memory for the bodies of requests. A body is kept while the request may be sent to another worker, and no
// longer. If the memory is full, bodies that only a retry would need are evicted, and if that is not enough, new
// requests are rejected before their bodies are read.

package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"keelstair.example/failure"
	"keelstair.example/internal/requestbody"
)

const (
	// bodyWaitShare is the fraction of a request's latency target for which its body may wait for memory. A
	// request that is rejected after that can still be in time at another node.
	bodyWaitShare = 4
	// unroutedBodyTimeout limits the reading of a body whose request has no route.
	unroutedBodyTimeout = 10 * time.Second
	minBodyRetryAfter   = 150 * time.Millisecond // smallest retry delay if there was no memory for a body
)

// errBodyEvicted is the error of an attempt whose body has been evicted.
var errBodyEvicted = failure.New(failure.Unavailable, "emit", "", "the body has been evicted")

// BodySource is the body of a request that has not been read.
type BodySource struct {
	io.Reader
	Length int64 // -1 if unknown
	// SetReadDeadline sets the time at which reading fails; the zero time means never.
	SetReadDeadline func(time.Time) error
}

// ReadBody reads the body of a request, which must have no body yet. The caller releases it when it has served the
// request. A *RejectedError means that there is no memory for it now, or that it did not arrive within the
// request's timeout.
func (n *Node) ReadBody(ctx context.Context, r *Request, src BodySource) error {
	if src.Length == 0 {
		return nil
	}
	wait, timeout := n.bodyTimes(r)
	if err := src.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	body, err := n.bodies.Read(ctx, requestbody.Source{
		Reader:    src.Reader,
		Length:    src.Length,
		Timeout:   timeout,
		Interrupt: func() { src.SetReadDeadline(time.Now()) },
	}, wait)
	switch {
	case errors.Is(err, requestbody.ErrFull):
		return n.rejectBody(http.StatusServiceUnavailable, timeout, "no memory for the body")
	case errors.Is(err, requestbody.ErrTooSlow):
		return n.rejectBody(http.StatusRequestTimeout, timeout, "the body did not arrive in time")
	case err != nil:
		return err
	}
	r.Body = body
	return src.SetReadDeadline(time.Time{})
}

// rejectBody rejects a request with the given timeout whose body has not been read completely.
func (n *Node) rejectBody(code int, timeout time.Duration, reason string) error {
	n.counts.Requests.Add(1)
	n.counts.RejectedBodies.Add(1)
	return n.reject(code, n.scheduleRetry(minBodyRetryAfter, timeout), reason)
}

// bodyTimes returns how long a request's body may wait for memory, and how long reading it may take in all.
func (n *Node) bodyTimes(r *Request) (wait, timeout time.Duration) {
	route := n.snapshot().RouteTable.Find(r.Host, r.Path)
	if route == nil {
		return 0, unroutedBodyTimeout
	}
	timeout = r.timeoutOn(route)
	return min(route.LatencyTarget(), timeout) / bodyWaitShare, timeout
}

// BodyBytes returns the number of bytes of request bodies that the node holds in memory.
func (n *Node) BodyBytes() int64 { return n.bodies.Held() }

// EvictedBodies returns the number of bodies that were given up for others, so that no retry was possible.
func (n *Node) EvictedBodies() int64 { return n.bodies.Evictions() }

// releaseBodyIfUnneeded releases the body once a worker is answering and no other worker may be sent the request.
// The response may run for much longer than the attempts, and would keep the body until its end.
func (t *exchange) releaseBodyIfUnneeded() {
	if !t.mayRetryDecode() || !t.mayBecomeContinuable() {
		t.request.Body.Release()
	}
}

// cancelForRetry returns a function that cancels an attempt in favor of another one, unless the body for that has
// been evicted or the other one could not go on after what has been sent.
func (t *exchange) cancelForRetry(stop context.CancelCauseFunc) context.CancelCauseFunc {
	return func(cause error) {
		if !t.partSent.Load() && !t.lastHasNoID.Load() && t.request.Body.BeginAttempt() {
			stop(cause)
		}
	}
}
