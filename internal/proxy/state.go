// What this node knows of each life of a worker.

package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

// state is what this node knows of one life of a worker.
type state struct {
	mu      sync.Mutex
	load    Load
	loadAt  ids.Tick
	shun    ids.Tick // nothing is sent before
	faults  int
	left    bool // another life has its address
	reads   int  // under way from here, in prompt tokens
	readers int
	emits   int
	other   Reads // of the other nodes
	otherAt ids.Tick
	flights map[*flight]bool
	watched atomic.Bool
	down    bool         // it gives no report
	alive   atomic.Int64 // ids.Tick of the last sign of life that a sending gave
	verdict verdict
	cached  map[uint64]ids.Tick // beginnings of prompts that it was seen to have read
	mem     ledger
}

func (n *Node) state(id ids.WorkerID) *state {
	if v, ok := n.states.Load(id); ok {
		return v.(*state)
	}
	v, _ := n.states.LoadOrStore(id, &state{cached: map[uint64]ids.Tick{}})
	return v.(*state)
}

// fit tells whether a worker may get new work under a sight.
func fit(s *fleetstate.Snapshot, w *Worker) bool {
	_, turning := s.RoleChanges[w.ID]
	return !w.Leaving && !turning && !s.Zones[w.Zone] && !s.Drained[w.ID]
}

// failback is when a zone was taken back, at the latest, and which time that was.
type failback struct {
	no uint64
	at ids.Tick
}

// coldFor tells how much longer a worker counts as cold.
func (n *Node) coldFor(w *Worker, svc *fleetstate.Service, got, now ids.Tick) time.Duration {
	left := w.Cold - now.Since(got)
	if v, ok := n.backs.Load(w.Zone); ok {
		left = max(left, svc.SlowStart()-now.Since(v.(failback).at))
	}
	return max(left, 0)
}

const deafSpan = 2 * time.Second

// unheard tells that this node may have missed a zone that was emptied and taken back:
// neither the core confirmed it nor did any other process speak to it for a while, or
// they do so again for too short a time to have told the news.
func (n *Node) unheard(now ids.Tick) bool {
	if n.agent.CaughtUp(deafSpan) {
		return false
	}
	if now.Past(n.agent.Directory().LastContact(), deafSpan) {
		n.deaf.Store(int64(now))
		return true
	}
	at := ids.Tick(n.deaf.Load())
	return at != 0 && !now.Past(at, deafSpan)
}

// fault notes that a worker failed; it is left alone for a while, longer each time.
func (s *state) fault(now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = min(s.faults+1, 4)
	s.shun = now.Add(time.Duration(s.faults) * 700 * time.Millisecond)
}

// gone notes that another life has the worker's address.
func (s *state) gone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
}

// full notes that a worker turned a request away.
func (s *state) full(now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shun = max(s.shun, now.Add(150*time.Millisecond))
}

func (s *state) well(l *Load, now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = 0
	if l != nil {
		s.load, s.loadAt = *l, now
	}
}

// keepParts bounds the memory of what a worker has read.
const keepParts = 4096

func (s *state) begin(reads int, marks []uint64, now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reads > 0 {
		s.reads += reads
		s.readers++
	} else {
		s.emits++
	}
	if len(s.cached) > keepParts {
		clear(s.cached)
	}
	for _, m := range marks {
		s.cached[m] = now
	}
}

func (s *state) end(reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reads > 0 {
		s.reads -= reads
		s.readers--
	} else {
		s.emits--
	}
}

// ahead gives the prompt tokens and the prompts that all nodes have under way there. The
// state is locked.
func (s *state) ahead(now ids.Tick) (tokens, count int) {
	tokens, count = s.reads, s.readers
	if !now.Past(s.otherAt, readSpan) {
		tokens, count = tokens+s.other.Tokens, count+s.other.Count
	}
	return tokens, count
}

// busy gives the requests there by the worker's own newest word; false if that is older
// than a span. The state is locked.
func (s *state) busy(now ids.Tick, span time.Duration) (int, bool) {
	switch told := s.mem.Room > 0; {
	case told && s.loadAt.Before(s.mem.at) && !now.Past(s.mem.at, span):
		return s.mem.Running + s.mem.Waiting, true
	case !now.Past(s.loadAt, span) && s.loadAt > 0:
		return s.load.Running + s.load.Waiting, true
	}
	return 0, false
}
