// The shutdown of a node, from SIGTERM until its process may exit.

package proxy

import (
	"context"
	"sync"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
)

// maxLoggedRequests is the number of unfinished requests that a shutdown logs one by one.
const maxLoggedRequests = 8

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
	out := make([]*Request, 0, len(s.requests))
	for r := range s.requests {
		out = append(out, r)
	}
	return out
}

// finishRequests accepts requests for drainDelay, then drains the frontend and waits until the requests
// in flight have ended, until shutdownTimeout after the start of the shutdown at the latest.
func (n *Node) finishRequests(inner context.Context, drainDelay, shutdownTimeout time.Duration) {
	began := n.now()
	host.Sleep(inner, drainDelay)
	if n.options.Drain != nil {
		callContext, stop := context.WithTimeout(inner, max(0, shutdownTimeout-n.now().Since(began)))
		if err := n.options.Drain(callContext); err != nil {
			n.options.Ring.Warn().AnErr("cause", err).Msg("shutdown: drain ended with open connections")
		}
		stop()
	}
	for !n.now().Past(began, shutdownTimeout) && n.inflight.len() > 0 {
		host.Sleep(inner, 50*time.Millisecond)
	}
	n.logUnfinishedRequests(began)
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
