// Failure detection by requests. When a worker fails a request or stays silent, the node requests
// its report as a health check. If the report fails too, the worker counts as down: it gets no new
// requests, attempts that may run elsewhere are canceled at once, and peers get a fault notice.
// Each peer runs its own health check before it acts on a notice, so a node that is cut off from
// the workers can't take them out of service for others.
//
// Notices spread by gossip: each node whose own health check fails too forwards the notice once to
// a few random peers. The cost of one failed worker per node therefore doesn't grow with the fleet,
// even if all nodes detect the failure at once and half of the members don't answer, and a notice
// about a healthy worker ends at the node that receives it. Forwarding before the node's own health
// check would make notices circulate forever, because a node that found the worker healthy has
// forgotten the notice by the time it comes again.

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
	healthCheckTimeout  = 250 * time.Millisecond // for one report
	healthCheckInterval = 400 * time.Millisecond // between two health checks of a worker that is down
	watchDuration       = 30 * time.Second       // after which new requests decide whether to check again
	healthCheckSilence  = 300 * time.Millisecond // silence of a worker after which its health is checked
	noticeFanout        = 6                      // peers to which a node sends a notice
	noticeAttempts      = 2 * noticeFanout       // peers that it tries, since some may not answer
	noticeTimeout       = 500 * time.Millisecond // for a peer to accept a notice
)

// attempt is a running request that may be canceled at its worker and repeated at another.
type attempt struct{ cancel context.CancelCauseFunc }

func (s *workerState) addAttempt(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts == nil {
		s.attempts = map[*attempt]bool{}
	}
	s.attempts[a] = true
}

func (s *workerState) removeAttempt(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, a)
}

// cancelAttempts excludes the worker from new requests until the given time and cancels the attempts
// that may run elsewhere.
func (s *workerState) cancelAttempts(until ids.Tick) {
	s.mu.Lock()
	s.avoidUntil = max(s.avoidUntil, until)
	canceled := s.attempts
	s.attempts = nil
	s.mu.Unlock()
	for a := range canceled {
		a.cancel(errWorkerSilent)
	}
}

// suspect starts health checks of a worker in the background, unless they are already running. Peers
// get one notice if the worker sends no report.
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

// watchWorker checks a worker's health until it answers, is no longer listed or watchDuration has
// passed.
func (n *Node) watchWorker(w Worker, st *workerState) {
	ctx, notified := n.runContext, false
	for end := n.now().Add(watchDuration); n.now().Before(end) && ctx.Err() == nil; {
		startedAt := n.now()
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
		// A worker that reports itself unhealthy, or answers requests meanwhile, is reachable. The
		// outcomes of its requests decide whether it is ejected.
		if n.options.BaseEjection >= 0 && failure.Is(err, failure.InvalidArgument) {
			n.recordRecovery(st)
			return
		}
		if n.options.BaseEjection >= 0 && st.lastSuccess.Load() >= int64(startedAt) {
			host.Sleep(ctx, healthCheckInterval/4)
			continue
		}
		n.recordOutage(st)
		st.cancelAttempts(n.now().Add(2 * (healthCheckTimeout + healthCheckInterval)))
		if !notified {
			n.sendFaultNotice(w.ID)
			notified = true
		}
		if n.currentList.Load().find(w.ID) == nil || !host.Sleep(ctx, healthCheckInterval) {
			return
		}
	}
}

// setSuspected records whether health checks of the worker are running.
func (s *workerState) setSuspected(suspected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspected = suspected
}

// clearDown records that the worker is no longer known to be down, so that the outcomes of its requests
// are counted again.
func (s *workerState) clearDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
}

// sendFaultNotice notifies noticeFanout peers that a worker sends no report. A peer that doesn't
// accept the notice is replaced by another one, for up to noticeAttempts peers in all, since many
// may have failed at once.
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

// warnPeer sends a notice to a peer and reports whether the peer accepted it.
func (n *Node) warnPeer(addr string, id ids.WorkerID) bool {
	ctx, stop := context.WithTimeout(n.runContext, noticeTimeout)
	defer stop()
	n.counts.FaultNotices.Add(1)
	_, err := rpc.Call[FaultNotice, Ack](ctx, n.agent.Caller(), addr, faultMethod, &FaultNotice{id})
	return err == nil
}

// noticePeers returns the addresses of random peers to notify. A restarted process may be listed
// twice among the members with the same address; each address is used once.
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

// handleFaultNotice starts this node's own health check of the worker that a peer's notice names.
func (n *Node) handleFaultNotice(_ context.Context, notice *FaultNotice) (*Ack, error) {
	if w := n.currentList.Load().find(notice.Worker); w != nil {
		n.suspect(*w)
	}
	return &Ack{}, nil
}
