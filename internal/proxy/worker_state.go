// The state that this node keeps of each worker incarnation.

package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/retrybudget"
)

// workerState is what this node knows of one worker incarnation, by its worker id.
type workerState struct {
	mu             sync.Mutex
	load           Load
	loadAt         ids.Tick
	avoidUntil     ids.Tick // no requests are sent before, unless no other worker is left
	failures       int
	replaced       bool // another incarnation has its address
	prefillTokens  int  // prompt tokens of this node's prefills in flight
	prefills       int
	decodes        int
	peerPrefills   PrefillLoad // in flight from other nodes
	peerPrefillsAt ids.Tick
	attempts       map[*attempt]bool
	watched        atomic.Bool
	down           bool         // it does not answer report requests
	suspected      bool         // it was silent, and its report has been requested
	lastSuccess    atomic.Int64 // ids.Tick of the last success or received bytes
	outlier        outlierState
	cached         map[uint64]ids.Tick // hashes of prompt prefixes that this node sent it
	memory         memoryAccount
	eventGap       eventGap
	liveness       livenessCheck
	trouble        answerTrouble
}

// state returns the state of a worker, and creates it if there is none.
func (n *Node) state(id ids.WorkerID) *workerState {
	if v, ok := n.states.Load(id); ok {
		return v.(*workerState)
	}
	v, _ := n.states.LoadOrStore(id, &workerState{cached: map[uint64]ids.Tick{}})
	return v.(*workerState)
}

// acceptsWork reports whether a worker may get new requests under a snapshot.
func acceptsWork(s *fleetstate.Snapshot, w *Worker) bool {
	_, changing := s.RoleChanges[w.ID]
	return !w.Leaving && !changing && !s.EvacuatedZones[w.Zone] && !s.DrainedWorkers[w.ID]
}

// failback is the number of a zone's failback and the latest tick at which it may have happened.
type failback struct {
	number uint64
	at     ids.Tick
}

// coldFor returns how much longer a worker counts as cold, given when the list with it was received.
func (n *Node) coldFor(w *Worker, service *fleetstate.Service, received, now ids.Tick) time.Duration {
	remaining := w.SlowStart - now.Since(received)
	if v, ok := n.failbacks.Load(w.Zone); ok {
		remaining = max(remaining, service.SlowStart()-now.Since(v.(failback).at))
	}
	return max(remaining, 0)
}

const isolationTimeout = 2 * time.Second

// isolated reports whether this node may have missed a zone's evacuation and failback: for
// isolationTimeout neither the core has confirmed it nor has any other process contacted it, or
// contact has been back for too short a time for the change to have arrived.
func (n *Node) isolated(now ids.Tick) bool {
	if n.agent.CaughtUp(isolationTimeout) {
		return false
	}
	if now.Past(n.agent.Directory().LastContact(), isolationTimeout) {
		n.isolatedAt.Store(int64(now))
		return true
	}
	at := ids.Tick(n.isolatedAt.Load())
	return at != 0 && !now.Past(at, isolationTimeout)
}

// mayBeUncounted reports whether the other nodes may no longer count this one among those that share
// the fleet-wide retry budget, because no process has been in contact with it for too long.
func (n *Node) mayBeUncounted() bool {
	maxSilence := retrybudget.NodeCountTTL - n.options.RetryWindow
	return !n.agent.CaughtUp(maxSilence) && n.now().Past(n.agent.Directory().LastContact(), maxSilence)
}

// recordFailure records a failure of a worker, which is then avoided, longer after each failure.
func (s *workerState) recordFailure(now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = min(s.failures+1, 4)
	s.avoidUntil = now.Add(time.Duration(s.failures) * 700 * time.Millisecond)
}

// markReplaced records that another incarnation has the worker's address.
func (s *workerState) markReplaced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = true
}

// recordFull records that a worker rejected a request, and avoids it for 150 ms.
func (s *workerState) recordFull(now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil = max(s.avoidUntil, now.Add(150*time.Millisecond))
}

// recordAnswer resets the failure count, since the worker answered with whichever status, and records
// the load that came with the answer, if any.
func (s *workerState) recordAnswer(l *Load, now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = 0
	if l != nil {
		s.load, s.loadAt = *l, now
	}
}

// maxCachedPrefixes bounds the prefixes that are recorded of a worker.
const maxCachedPrefixes = 4096

// beginRequest counts a request in flight: a prefill of that many tokens, or a decode if tokens is 0.
// It records the prompt's prefixes as cached.
func (s *workerState) beginRequest(tokens int, hashes []uint64, now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tokens > 0 {
		s.prefillTokens += tokens
		s.prefills++
	} else {
		s.decodes++
	}
	if len(s.cached) > maxCachedPrefixes {
		clear(s.cached)
	}
	for _, h := range hashes {
		s.cached[h] = now
	}
}

// endRequest uncounts a request that beginRequest counted with the same tokens.
func (s *workerState) endRequest(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tokens > 0 {
		s.prefillTokens -= tokens
		s.prefills--
	} else {
		s.decodes--
	}
}

// queuedPrefills returns the prompt tokens and the number of prefills in flight from all nodes. The
// caller holds the lock.
func (s *workerState) queuedPrefills(now ids.Tick) (tokens, count int) {
	tokens, count = s.prefillTokens, s.prefills
	if !now.Past(s.peerPrefillsAt, prefillLoadTTL) {
		tokens, count = tokens+s.peerPrefills.Tokens, count+s.peerPrefills.Count
	}
	return tokens, count
}

// activeRequests returns the running and waiting requests by the worker's newest load or report; false
// if that is older than maxAge. The caller holds the lock.
func (s *workerState) activeRequests(now ids.Tick, maxAge time.Duration) (int, bool) {
	switch reports := s.memory.Capacity > 0; {
	case reports && s.loadAt.Before(s.memory.at) && !now.Past(s.memory.at, maxAge):
		return s.memory.Running + s.memory.Waiting, true
	case !now.Past(s.loadAt, maxAge) && s.loadAt > 0:
		return s.load.Running + s.load.Waiting, true
	}
	return 0, false
}
