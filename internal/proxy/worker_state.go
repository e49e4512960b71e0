// What this node knows of each life of a worker.

package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/retrybudget"
)

// workerState is what this node knows of one life of a worker.
type workerState struct {
	mu             sync.Mutex
	load           Load
	loadAt         ids.Tick
	avoidUntil     ids.Tick // nothing is sent before
	failures       int
	replaced       bool // another life has its address
	prefillTokens  int  // under way from here, in prompt tokens
	prefills       int
	decodes        int
	peerPrefills   PrefillLoad // of the other nodes
	peerPrefillsAt ids.Tick
	attempts       map[*attempt]bool
	watched        atomic.Bool
	down           bool         // it gives no report
	suspected      bool         // it was silent, and is asked for its report
	lastSuccess    atomic.Int64 // ids.Tick of the last sign of life that a sending gave
	outlier        outlierState
	cached         map[uint64]ids.Tick // beginnings of prompts that it was seen to have read
	memory         memoryAccount
	eventGap       eventGap
}

func (n *Node) state(id ids.WorkerID) *workerState {
	if v, ok := n.states.Load(id); ok {
		return v.(*workerState)
	}
	v, _ := n.states.LoadOrStore(id, &workerState{cached: map[uint64]ids.Tick{}})
	return v.(*workerState)
}

// acceptsWork tells whether a worker may get new work under a snapshot.
func acceptsWork(s *fleetstate.Snapshot, w *Worker) bool {
	_, turning := s.RoleChanges[w.ID]
	return !w.Leaving && !turning && !s.EvacuatedZones[w.Zone] && !s.DrainedWorkers[w.ID]
}

// failback is when a zone was taken back, at the latest, and which time that was.
type failback struct {
	number uint64
	at     ids.Tick
}

// coldFor tells how much longer a worker counts as cold.
func (n *Node) coldFor(w *Worker, service *fleetstate.Service, got, now ids.Tick) time.Duration {
	left := w.SlowStart - now.Since(got)
	if v, ok := n.failbacks.Load(w.Zone); ok {
		left = max(left, service.SlowStart()-now.Since(v.(failback).at))
	}
	return max(left, 0)
}

const isolationTimeout = 2 * time.Second

// isolated tells that this node may have missed a zone that was emptied and taken back:
// neither the core confirmed it nor did any other process speak to it for a while, or
// they do so again for too short a time to have told the news.
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

// uncounted tells that the other nodes may no longer count this one among those that share what
// all have, since no process has heard of it for so long.
func (n *Node) uncounted() bool {
	alone := retrybudget.PeerCountTTL - n.options.RetryWindow
	return !n.agent.CaughtUp(alone) && n.now().Past(n.agent.Directory().LastContact(), alone)
}

// recordFailure notes that a worker failed; it is left alone for a while, longer each time.
func (s *workerState) recordFailure(now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = min(s.failures+1, 4)
	s.avoidUntil = now.Add(time.Duration(s.failures) * 700 * time.Millisecond)
}

// markReplaced notes that another life has the worker's address.
func (s *workerState) markReplaced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = true
}

// recordFull notes that a worker turned a request away.
func (s *workerState) recordFull(now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil = max(s.avoidUntil, now.Add(150*time.Millisecond))
}

func (s *workerState) recordSuccess(l *Load, now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = 0
	if l != nil {
		s.load, s.loadAt = *l, now
	}
}

// maxCachedPrefixes bounds the memory of what a worker has read.
const maxCachedPrefixes = 4096

func (s *workerState) begin(reads int, marks []uint64, now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reads > 0 {
		s.prefillTokens += reads
		s.prefills++
	} else {
		s.decodes++
	}
	if len(s.cached) > maxCachedPrefixes {
		clear(s.cached)
	}
	for _, m := range marks {
		s.cached[m] = now
	}
}

func (s *workerState) end(reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reads > 0 {
		s.prefillTokens -= reads
		s.prefills--
	} else {
		s.decodes--
	}
}

// queued gives the prompt tokens and the prompts that all nodes have under way there. The
// state is locked.
func (s *workerState) queued(now ids.Tick) (tokens, count int) {
	tokens, count = s.prefillTokens, s.prefills
	if !now.Past(s.peerPrefillsAt, prefillLoadTTL) {
		tokens, count = tokens+s.peerPrefills.Tokens, count+s.peerPrefills.Count
	}
	return tokens, count
}

// busy gives the requests there by the worker's own newest word; false if that is older
// than a span. The state is locked.
func (s *workerState) busy(now ids.Tick, duration time.Duration) (int, bool) {
	switch reports := s.memory.Capacity > 0; {
	case reports && s.loadAt.Before(s.memory.at) && !now.Past(s.memory.at, duration):
		return s.memory.Running + s.memory.Waiting, true
	case !now.Past(s.loadAt, duration) && s.loadAt > 0:
		return s.load.Running + s.load.Waiting, true
	}
	return 0, false
}
