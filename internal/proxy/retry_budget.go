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
	budgetSlices = 20              // of the window
	peerCountTTL = 2 * time.Minute // for which nodes that are no members any more may still serve, at least
)

type retryBudget struct {
	mu          sync.Mutex
	sliceLength time.Duration
	requests    [budgetSlices + 1]int
	spent       [budgetSlices + 1]int
	last        int64
	nodes       int
	since       ids.Tick
	lastPeers   int
}

func newRetryBudget(window time.Duration) retryBudget {
	return retryBudget{sliceLength: window / budgetSlices}
}

func (b *retryBudget) advance(now ids.Tick) int {
	at := int64(now) / int64(b.sliceLength)
	if b.last == 0 || at-b.last > budgetSlices {
		clear(b.requests[:])
		clear(b.spent[:])
	} else {
		for i := b.last + 1; i <= at; i++ {
			b.requests[i%(budgetSlices+1)], b.spent[i%(budgetSlices+1)] = 0, 0
		}
	}
	b.last = max(at, b.last)
	return int(at % (budgetSlices + 1))
}

// peers gives the most nodes seen at once in the last span or two.
func (b *retryBudget) peers(now ids.Tick, seen int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Past(b.since, peerCountTTL) {
		b.lastPeers, b.nodes, b.since = b.nodes, 0, now
	}
	b.nodes = max(b.nodes, seen)
	return max(b.nodes, b.lastPeers)
}

// countRequest counts a caller's request.
func (b *retryBudget) countRequest(now ids.Tick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// spend takes one repeat, if there is one.
func (b *retryBudget) spend(now ids.Tick, ratio, allow float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	// What is allowed counts over a little less than the window, what is spent over more.
	asked, spent, oldest := 0, 0, (i+1)%(budgetSlices+1)
	for k := range b.requests {
		if k != oldest {
			asked += b.requests[k]
		}
		spent += b.spent[k]
	}
	if float64(spent+1) > ratio*float64(asked)+allow {
		return false
	}
	b.spent[i]++
	return true
}
