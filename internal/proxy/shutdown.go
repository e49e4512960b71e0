// The shutdown of a node, from SIGTERM until its process may exit.

package proxy

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/ids"
)

const (
	maxLoggedRequests    = 8 // unfinished requests that a shutdown logs one by one
	inflightPollInterval = 50 * time.Millisecond
)

// requestSet is the set of requests that a node is serving.
type requestSet struct {
	mu       sync.Mutex
	requests map[*Request]bool
}

func (s *requestSet) add(r *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = map[*Request]bool{}
	}
	s.requests[r] = true
}

func (s *requestSet) remove(r *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, r)
}

func (s *requestSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *requestSet) list() []*Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.requests))
}

// ShutdownPeriods divide the time from SIGTERM until the process must have exited. All are counted from
// SIGTERM.
type ShutdownPeriods struct {
	Accept time.Duration // until then new requests are accepted, while callers notice that the node is not ready
	Leave  time.Duration // then the node sends its last usage and gives up its lease, even if requests are still in flight
	Finish time.Duration // until then requests in flight may finish
}

const (
	// acceptPeriod is how long callers need to notice that a node is not ready: two readiness checks of
	// one second each, and the time until their list of nodes has changed.
	acceptPeriod = 2500 * time.Millisecond
	// exitMargin is the part of the grace period in which the process exits.
	exitMargin = 300 * time.Millisecond
)

// NewShutdownPeriods returns the periods for a process that is killed one grace period after SIGTERM.
func NewShutdownPeriods(gracePeriod time.Duration) ShutdownPeriods {
	finish := max(0, gracePeriod-exitMargin)
	return ShutdownPeriods{
		Accept: min(acceptPeriod, finish/2),
		Leave:  max(0, finish-usageTimeout-coordination.LeaveTimeout),
		Finish: finish,
	}
}

// shutdownSchedule holds the times at which the periods of a shutdown end.
type shutdownSchedule struct{ began, acceptUntil, leaveAt, finishBy ids.Tick }

func newShutdownSchedule(now ids.Tick, periods ShutdownPeriods) *shutdownSchedule {
	return &shutdownSchedule{
		began:       now,
		acceptUntil: now.Add(periods.Accept),
		leaveAt:     now.Add(periods.Leave),
		finishBy:    now.Add(periods.Finish),
	}
}

// shutDown accepts requests until the end of the accept period. It then drains the frontend and stops the node's
// background tasks once no request is in flight, or at leaveAt. Requests in flight may finish meanwhile.
func (n *Node) shutDown(schedule *shutdownSchedule, background *sync.WaitGroup) {
	n.shutdown.Store(schedule)
	host.Sleep(n.runContext, schedule.acceptUntil.Since(n.now()))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.finishRequests(schedule.finishBy.Since(n.now()))
	}()
	leave := host.NewTimer(schedule.leaveAt.Since(n.now()))
	defer leave.Stop()
	select {
	case <-ended:
	case <-leave.C:
	}
	n.sendLastUsage()
	n.agent.Leave()
	n.stop()
	background.Wait()
	<-ended
	n.logUnfinishedRequests(schedule.began)
}

// checkShutdown rejects a request whose answer might be cut off by the exit of the process. A request is accepted in
// any case if its deadline is earlier. Otherwise it must have been read within the accept period, and the longest
// of 64 answers of its route must be expected to end in time.
func (t *exchange) checkShutdown() error {
	schedule := t.node.shutdown.Load()
	if schedule == nil || !schedule.finishBy.Before(t.deadline) {
		return nil
	}
	now := t.node.now()
	expectedEnd := now.Add(t.node.answerTimesOf(t.route.Name).expectedLongest())
	if now.Before(schedule.acceptUntil) && !schedule.finishBy.Before(expectedEnd) {
		return nil
	}
	return &RejectedError{Code: http.StatusServiceUnavailable, RetryAfter: minRetryAfter, Reason: "the node is shutting down"}
}

// finishRequests drains the frontend and returns when no request is in flight or the timeout has passed.
func (n *Node) finishRequests(timeout time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), max(0, timeout))
	defer stop()
	if n.options.Drain != nil {
		if err := n.options.Drain(ctx); err != nil {
			n.options.Ring.Warn().AnErr("cause", err).Msg("shutdown: drain ended with open connections")
		}
	}
	for n.inflight.len() > 0 && host.Sleep(ctx, inflightPollInterval) {
	}
}

// logUnfinishedRequests logs how long the shutdown took and the requests that the exit of the process
// will cut off.
func (n *Node) logUnfinishedRequests(shutdownBegan ids.Tick) {
	now := n.now()
	unfinished := n.inflight.list()
	n.options.Ring.Warn().Int("unfinished", len(unfinished)).Dur("duration", now.Since(shutdownBegan)).
		Msg("shutdown: requests ended")
	for _, r := range unfinished[:min(len(unfinished), maxLoggedRequests)] {
		n.options.Ring.Warn().Str("request", r.ID).Dur("age", now.Since(r.At)).
			Dur("arrived_after_shutdown", r.At.Since(shutdownBegan)).Msg("shutdown: request is cut off")
	}
}
