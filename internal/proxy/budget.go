// Shares that need no message: of the repeats that all nodes may make together, and of
// what a cold worker bears. Each node keeps to its part of the allowance by the number
// of nodes that there were at most of late, so the sum holds while the core is away.

package proxy

import (
	"sync"
	"time"

	"keelstair.example/ids"
)

const (
	pieces    = 20              // of the window
	peersSpan = 2 * time.Minute // for which nodes that are no members any more may still serve, at least
)

type budget struct {
	mu    sync.Mutex
	slice time.Duration
	asked [pieces + 1]int
	spent [pieces + 1]int
	last  int64
	nodes int
	since ids.Tick
	prior int
}

func newBudget(window time.Duration) budget { return budget{slice: window / pieces} }

func (b *budget) turn(now ids.Tick) int {
	at := int64(now) / int64(b.slice)
	if b.last == 0 || at-b.last > pieces {
		clear(b.asked[:])
		clear(b.spent[:])
	} else {
		for i := b.last + 1; i <= at; i++ {
			b.asked[i%(pieces+1)], b.spent[i%(pieces+1)] = 0, 0
		}
	}
	b.last = max(at, b.last)
	return int(at % (pieces + 1))
}

// peers gives the most nodes seen at once in the last span or two.
func (b *budget) peers(now ids.Tick, seen int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Past(b.since, peersSpan) {
		b.prior, b.nodes, b.since = b.nodes, 0, now
	}
	b.nodes = max(b.nodes, seen)
	return max(b.nodes, b.prior)
}

// ask counts a caller's request.
func (b *budget) ask(now ids.Tick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked[b.turn(now)]++
}

// spend takes one repeat, if there is one.
func (b *budget) spend(now ids.Tick, ratio, allow float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.turn(now)
	// What is allowed counts over a little less than the window, what is spent over more.
	asked, spent, oldest := 0, 0, (i+1)%(pieces+1)
	for k := range b.asked {
		if k != oldest {
			asked += b.asked[k]
		}
		spent += b.spent[k]
	}
	if float64(spent+1) > ratio*float64(asked)+allow {
		return false
	}
	b.spent[i]++
	return true
}

// warm spaces what this node sends to each cold worker.
type warm struct {
	mu   sync.Mutex
	last map[ids.WorkerID]ids.Tick
}

func newWarm() warm { return warm{last: map[ids.WorkerID]ids.Tick{}} }

// may tells whether the gap since the last request to a cold worker went by.
func (w *warm) may(id ids.WorkerID, gap time.Duration, now ids.Tick) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.last[id]
	return !ok || now.Past(at, gap)
}

// book notes a request to a cold worker, if it may be sent.
func (w *warm) book(id ids.WorkerID, gap time.Duration, now ids.Tick) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, ok := w.last[id]; ok && !now.Past(at, gap) {
		return false
	}
	if len(w.last) > 1000 {
		clear(w.last)
	}
	w.last[id] = now
	return true
}
