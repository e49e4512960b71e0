// Failure detection by requests: a worker that fails one, or is silent, is asked for its
// report. If that does not come either, it counts as down: nothing new is sent, what may
// run elsewhere is taken away from it at once, and the peers are warned. Each peer asks
// for itself before it believes, so a node that is cut off puts nobody out.
//
// The warning spreads as a rumor: each node whose own asking fails too passes it, once, to a
// few others chosen at random. So what one failed worker costs a node does not grow with the
// fleet, also when all nodes find out at once and half of the members do not answer; and a
// warning of a worker that is well ends where it arrives. Passed on before the node's own
// asking, it would go round for ever: a node that found the worker well has forgotten the
// warning when it comes again.

package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

const (
	healthCheckTimeout  = 250 * time.Millisecond // for a report
	healthCheckInterval = 400 * time.Millisecond // between two askings of a worker that is down
	watchDuration       = 30 * time.Second       // then requests decide anew
	healthCheckSilence  = 300 * time.Millisecond // silence after which a worker is asked for its report
	noticeFanout        = 6                      // peers that a node passes a warning to
	noticeAttempts      = 2 * noticeFanout       // peers that it tries for that
	noticeTimeout       = 500 * time.Millisecond // for a peer to take it
)

// attempt is a request that may be taken away from a worker.
type attempt struct{ cancel context.CancelCauseFunc }

func (s *workerState) addAttempt(f *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts == nil {
		s.attempts = map[*attempt]bool{}
	}
	s.attempts[f] = true
}

func (s *workerState) removeAttempt(f *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, f)
}

// cancelAttempts marks the worker as down and takes away what may run elsewhere.
func (s *workerState) cancelAttempts(until ids.Tick) {
	s.mu.Lock()
	s.avoidUntil = max(s.avoidUntil, until)
	rows := s.attempts
	s.attempts = nil
	s.mu.Unlock()
	for f := range rows {
		f.cancel(errWorkerSilent)
	}
}

// suspect asks a worker for its report, unless that is under way, and warns peers once if it
// does not come.
func (n *Node) suspect(w Worker) {
	st := n.state(w.ID)
	if !st.watched.CompareAndSwap(false, true) {
		return
	}
	st.setSuspected(true)
	go func() {
		defer st.watched.Store(false)
		defer st.clearDown()
		defer st.setSuspected(false)
		n.watchWorker(w, st)
	}()
}

func (n *Node) watchWorker(w Worker, st *workerState) {
	ctx, warned := n.runContext, false
	for end := n.now().Add(watchDuration); n.now().Before(end) && ctx.Err() == nil; {
		began := n.now()
		callContext, stop := context.WithTimeout(ctx, healthCheckTimeout)
		_, err := n.options.Backend.Report(callContext, w)
		stop()
		if err == nil {
			st.mu.Lock()
			st.failures = 0
			st.avoidUntil = min(st.avoidUntil, n.now().Add(healthCheckInterval/4))
			st.mu.Unlock()
			n.recordRecovery(st)
			return
		}
		// Whoever says that it is ill, or answers requests meanwhile, is there: outcomes decide.
		if n.options.BaseEjection >= 0 && failure.Is(err, failure.InvalidArgument) {
			n.recordRecovery(st)
			return
		}
		if n.options.BaseEjection >= 0 && st.lastSuccess.Load() >= int64(began) {
			host.Sleep(ctx, healthCheckInterval/4)
			continue
		}
		n.recordOutage(st)
		st.cancelAttempts(n.now().Add(2 * (healthCheckTimeout + healthCheckInterval)))
		if !warned {
			n.sendFaultNotice(w.ID)
			warned = true
		}
		if n.endpoints.Load().find(w.ID) == nil || !host.Sleep(ctx, healthCheckInterval) {
			return
		}
	}
}

// setSuspected notes whether a worker is being asked for its report.
func (s *workerState) setSuspected(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspected = on
}

// clearDown ends the knowledge that a worker is down.
func (s *workerState) clearDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
}

// sendFaultNotice warns a few peers of a worker that gives no report. In place of one that does not
// take the warning another is tried, within a bound, since many may be lost at once.
func (n *Node) sendFaultNotice(id ids.WorkerID) {
	peers := make(chan string, noticeAttempts)
	for _, addr := range n.noticePeers() {
		peers <- addr
	}
	close(peers)
	for range noticeFanout {
		go func() {
			for addr := range peers {
				if n.warnPeer(addr, id) {
					return
				}
			}
		}()
	}
}

// warnPeer tells whether a peer took a warning.
func (n *Node) warnPeer(addr string, id ids.WorkerID) bool {
	ctx, stop := context.WithTimeout(n.runContext, noticeTimeout)
	defer stop()
	n.counts.FaultNotices.Add(1)
	_, err := rpc.Call[FaultNotice, Ack](ctx, n.agent.Caller(), addr, faultMethod, &FaultNotice{id})
	return err == nil
}

// noticePeers draws the addresses that a warning may go to. A process that was started anew may
// stand among the members twice, at one address.
func (n *Node) noticePeers() []string {
	members := n.agent.Members()
	seen := map[string]bool{n.self.Addr: true}
	var out []string
	for _, i := range rand.Perm(len(members)) {
		addr := members[i].Addr
		if len(out) < noticeAttempts && !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	return out
}

// handleFaultNotice takes a peer's warning.
func (n *Node) handleFaultNotice(_ context.Context, a *FaultNotice) (*Ack, error) {
	if w := n.endpoints.Load().find(a.Worker); w != nil {
		n.suspect(*w)
	}
	return &Ack{}, nil
}
