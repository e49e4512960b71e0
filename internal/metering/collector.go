package metering

import (
	"slices"
	"sync"
	"time"

	"keelstair.example/ids"
)

// offsetMaxAge is for how long a node's clock counts after the node was heard.
const offsetMaxAge = 10 * time.Second

// Told is what one node tells of itself.
type Told struct {
	Node  ids.NodeID
	Since uint64 // the window in which the node started
	Own   int64  // the time by the node's own clock as it told this
	Now   int64  // its estimate of the time, up to which it has told all
	Rows  []Row
}

type nodeCounts struct {
	heardAt ids.Tick
	offset  time.Duration // of the node's own clock over the collector's
	upTo    int64
	counts  map[cell]int
}

// Collector adds up what the nodes tell. Counts of a node that ended stay, since those of its next
// life are told under another name. It is safe for use by many goroutines.
type Collector struct {
	mu    sync.Mutex
	clock *Clock
	nodes map[ids.NodeID]*nodeCounts
	first uint64 // the first window that any node was there in
}

// NewCollector makes an empty collector on a node's clock.
func NewCollector(clock *Clock) *Collector {
	return &Collector{clock: clock, nodes: map[ids.NodeID]*nodeCounts{}}
}

// Take takes what a node tells and gives the time by the middle of all nodes' clocks.
func (c *Collector) Take(told *Told) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[told.Node]
	if n == nil {
		n = &nodeCounts{counts: map[cell]int{}}
		c.nodes[told.Node] = n
	}
	own := c.clock.Own()
	n.heardAt, n.offset, n.upTo = c.clock.Tick(), time.Duration(told.Own-own), max(n.upTo, told.Now)
	for _, r := range told.Rows {
		at := cell{r.Window, r.Tenant}
		n.counts[at] = max(n.counts[at], r.Count)
	}
	if c.first == 0 || told.Since < c.first {
		c.first = told.Since
	}
	return own + int64(c.offset())
}

// offset is the middle of the offsets of the nodes that were heard of late.
func (c *Collector) offset() time.Duration {
	var all []time.Duration
	for _, n := range c.nodes {
		if !c.clock.Tick().Past(n.heardAt, offsetMaxAge) {
			all = append(all, n.offset)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// First is the first window that any node was there in; 0 if none was heard.
func (c *Collector) First() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first
}

// HeardMost tells whether over half of the nodes of a list were heard of late, so that the middle of
// their clocks can be trusted.
func (c *Collector) HeardMost(nodes []ids.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	heard := 0
	for _, name := range nodes {
		if n := c.nodes[name]; n != nil && !c.clock.Tick().Past(n.heardAt, offsetMaxAge) {
			heard++
		}
	}
	return 2*heard > len(nodes)
}

// Complete tells whether all nodes of a list have told what they counted up to a time.
func (c *Collector) Complete(time int64, nodes []ids.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range nodes {
		if n := c.nodes[name]; n == nil || n.upTo < time {
			return false
		}
	}
	return true
}

// Sum adds up the counts of a window by tenant.
func (c *Collector) Sum(window uint64) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, n := range c.nodes {
		for at, count := range n.counts {
			if at.window == window {
				out[at.tenant] += count
			}
		}
	}
	return out
}

// Prune forgets the windows that are not kept any more in a window, and nodes of which nothing is left.
func (c *Collector) Prune(current uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.nodes {
		for at := range n.counts {
			if at.window+KeptWindows < current {
				delete(n.counts, at)
			}
		}
		if len(n.counts) == 0 && c.clock.Tick().Past(n.heardAt, offsetMaxAge) {
			delete(c.nodes, name)
		}
	}
}
