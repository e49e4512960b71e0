// Package retrybudget bounds the repeats that all nodes of a fleet make together, without a message
// between them: each node spends a ratio of the requests that it was asked itself, and its part of a
// common allowance by the number of nodes that there were at most of late, so that the sum holds
// while nodes do not hear of each other.
package retrybudget

import (
	"sync"
	"time"

	"keelstair.example/ids"
)

const (
	slices = 20 // of the window
	// PeerCountTTL is how long a node that is no member any more is counted, at least. One that no
	// other process has heard of for so long must not spend of the allowance.
	PeerCountTTL = 2 * time.Minute
)

// Budget counts the requests and the repeats of one node over a sliding window.
type Budget struct {
	mu          sync.Mutex
	sliceLength time.Duration
	requests    [slices + 1]int
	spent       [slices + 1]int
	last        int64
	nodes       int
	since       ids.Tick
	lastPeers   int
}

// New gives a budget over a window.
func New(window time.Duration) *Budget { return &Budget{sliceLength: window / slices} }

func (b *Budget) advance(now ids.Tick) int {
	at := int64(now) / int64(b.sliceLength)
	if b.last == 0 || at-b.last > slices {
		clear(b.requests[:])
		clear(b.spent[:])
	} else {
		for i := b.last + 1; i <= at; i++ {
			b.requests[i%(slices+1)], b.spent[i%(slices+1)] = 0, 0
		}
	}
	b.last = max(at, b.last)
	return int(at % (slices + 1))
}

// Peers notes how many nodes are seen, and gives the most that were seen at once within the last
// PeerCountTTL or two.
func (b *Budget) Peers(now ids.Tick, seen int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Past(b.since, PeerCountTTL) {
		b.lastPeers, b.nodes, b.since = b.nodes, 0, now
	}
	b.nodes = max(b.nodes, seen)
	return max(b.nodes, b.lastPeers)
}

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now ids.Tick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// Spend takes one repeat if the window's repeats stay within a ratio of its requests and an
// allowance besides.
func (b *Budget) Spend(now ids.Tick, ratio, allowance float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	// What is allowed counts over a little less than the window, what is spent over more.
	asked, spent, oldest := 0, 0, (i+1)%(slices+1)
	for k := range b.requests {
		if k != oldest {
			asked += b.requests[k]
		}
		spent += b.spent[k]
	}
	if float64(spent+1) > ratio*float64(asked)+allowance {
		return false
	}
	b.spent[i]++
	return true
}
