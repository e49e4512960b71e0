// Failure detection by requests: a worker that fails one, or is silent, is asked for its
// report. If that does not come either, it counts as down: nothing new is sent, what may
// run elsewhere is taken away from it at once, and the peers are warned. Each peer asks
// for itself before it believes, so a node that is cut off puts nobody out.

package proxy

import (
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

const (
	probeWait  = 250 * time.Millisecond // for a report
	probePause = 400 * time.Millisecond // between two askings of a worker that is down
	watchSpan  = 30 * time.Second       // then requests decide anew
	hush       = 300 * time.Millisecond // silence after which a worker is asked for its report
)

// flight is a request that may be taken away from a worker.
type flight struct{ cancel context.CancelCauseFunc }

func (s *state) board(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flights == nil {
		s.flights = map[*flight]bool{}
	}
	s.flights[f] = true
}

func (s *state) leave(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, f)
}

// sinks marks the worker as down and takes away what may run elsewhere.
func (s *state) sinks(until ids.Tick) {
	s.mu.Lock()
	s.shun = max(s.shun, until)
	row := s.flights
	s.flights = nil
	s.mu.Unlock()
	for f := range row {
		f.cancel(errSilent)
	}
}

// suspect asks a worker for its report, unless that is under way.
func (n *Node) suspect(w Worker, warn bool) {
	st := n.state(w.ID)
	if !st.watched.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer st.watched.Store(false)
		defer st.lift()
		n.keepWatch(w, st, warn)
	}()
}

func (n *Node) keepWatch(w Worker, st *state, warn bool) {
	ctx := n.inner
	for end := n.now().Add(watchSpan); n.now().Before(end) && ctx.Err() == nil; {
		began := n.now()
		cx, stop := context.WithTimeout(ctx, probeWait)
		_, err := n.opt.Back.Report(cx, w)
		stop()
		if err == nil {
			st.mu.Lock()
			st.faults = 0
			st.shun = min(st.shun, n.now().Add(probePause/4))
			st.mu.Unlock()
			n.rose(st)
			return
		}
		// Whoever says that it is ill, or answers requests meanwhile, is there: outcomes decide.
		if n.opt.Eject >= 0 && failure.Is(err, failure.InvalidArgument) {
			n.rose(st)
			return
		}
		if n.opt.Eject >= 0 && st.alive.Load() >= int64(began) {
			host.Sleep(ctx, probePause/4)
			continue
		}
		n.fell(st)
		st.sinks(n.now().Add(2 * (probeWait + probePause)))
		if warn {
			n.warn(w.ID)
			warn = false
		}
		if n.roster.Load().find(w.ID) == nil || !host.Sleep(ctx, probePause) {
			return
		}
	}
}

// lift ends the knowledge that a worker is down.
func (s *state) lift() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
}

func (n *Node) warn(id ids.WorkerID) {
	for _, m := range n.agent.Members() {
		if m.Node != n.me.Node {
			go rpc.Call[Alarm, Heard](n.inner, n.agent.Caller(), m.Addr, "relay/alarm", &Alarm{id})
		}
	}
}

func (n *Node) hear(_ context.Context, a *Alarm) (*Heard, error) {
	if w := n.roster.Load().find(a.Worker); w != nil {
		n.suspect(*w, false)
	}
	return &Heard{}, nil
}
