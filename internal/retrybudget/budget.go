// Package retrybudget limits the total number of retries of all nodes of a fleet in a sliding window, without
// messages between the nodes. Each node may make retries up to a ratio of the requests that it received itself,
// plus its share of a fleet-wide allowance. The caller computes the share: it divides the allowance by the number
// of nodes that RecordNodeCount returns, the largest number that was visible recently, so that the total stays
// within the limit while nodes are partitioned from each other.
package retrybudget

import (
	"sync"
	"time"

	"keelstair.example/ids"
)

const (
	bucketCount = 20 // buckets in a window
	// NodeCountTTL is the minimum time for which a node that is no longer visible still counts. It counts for at
	// most about twice this time if RecordNodeCount is called often. A node that no other process has contacted
	// for NodeCountTTL must not spend from the allowance.
	NodeCountTTL = 2 * time.Minute
)

// Budget counts the requests and the retries of one node over a sliding window. Its buckets are a ring with
// one bucket more than the window, so that the window stays covered while the newest bucket fills.
type Budget struct {
	mu               sync.Mutex
	bucketLength     time.Duration
	requests         [bucketCount + 1]int
	retries          [bucketCount + 1]int
	lastBucket       int64    // number of the newest bucket since tick 0, not its index in the ring
	maxNodes         int      // the largest number of visible nodes in the current period of NodeCountTTL
	periodStart      ids.Tick // the start of the current period of NodeCountTTL
	previousMaxNodes int      // the largest number of visible nodes in the previous period
}

// New returns a budget for a sliding window of the given length.
func New(window time.Duration) *Budget { return &Budget{bucketLength: window / bucketCount} }

// advance clears the buckets that have expired and returns the index of the current one.
func (b *Budget) advance(now ids.Tick) int {
	bucket := int64(now) / int64(b.bucketLength)
	if b.lastBucket == 0 || bucket-b.lastBucket > bucketCount {
		clear(b.requests[:])
		clear(b.retries[:])
	} else {
		for i := b.lastBucket + 1; i <= bucket; i++ {
			b.requests[i%(bucketCount+1)], b.retries[i%(bucketCount+1)] = 0, 0
		}
	}
	b.lastBucket = max(bucket, b.lastBucket)
	return int(bucket % (bucketCount + 1))
}

// RecordNodeCount records how many nodes are visible now, and returns the largest number that was visible
// within the current and the previous period of NodeCountTTL.
func (b *Budget) RecordNodeCount(now ids.Tick, visible int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Past(b.periodStart, NodeCountTTL) {
		b.previousMaxNodes, b.maxNodes, b.periodStart = b.maxNodes, 0, now
	}
	b.maxNodes = max(b.maxNodes, visible)
	return max(b.maxNodes, b.previousMaxNodes)
}

// CountRequest counts a request from a client.
func (b *Budget) CountRequest(now ids.Tick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// Spend counts one more retry and returns true if the retries in the window, including this one, are at most ratio
// times the requests in the window plus allowance, which is this node's share of the fleet-wide allowance.
// Otherwise it returns false and the caller must not retry.
func (b *Budget) Spend(now ids.Tick, ratio, allowance float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	// Requests are counted over slightly less than the window and retries over slightly more, so that the
	// bound holds for every interval of the window's length.
	requests, retries, oldest := 0, 0, (i+1)%(bucketCount+1)
	for k := range b.requests {
		if k != oldest {
			requests += b.requests[k]
		}
		retries += b.retries[k]
	}
	if float64(retries+1) > ratio*float64(requests)+allowance {
		return false
	}
	b.retries[i]++
	return true
}
