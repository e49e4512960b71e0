package metering

import (
	"slices"
	"sync"
	"time"

	"keelstair.example/ids"
)

// offsetMaxAge is how long a node's clock counts for the median after the node's last report.
const offsetMaxAge = 10 * time.Second

// NodeReport is what a node sends to the collector.
type NodeReport struct {
	Node          ids.NodeID
	StartWindow   uint64 // the window in which the node started
	OwnTime       int64  // the node's own time when it built the report
	EstimatedTime int64  // its estimate of the time; the report covers all requests up to then
	Rows          []Row
}

// nodeState holds the state of one node at the collector.
type nodeState struct {
	reportedAt   ids.Tick
	clockOffset  time.Duration // how far the node's own clock is ahead of the collector's
	countedUntil int64         // the estimated time up to which the node's counts are complete
	counts       map[countKey]int
}

// Collector adds up the counts of the nodes. It keeps the counts of a node that ended, because the node
// reports under another ID after a restart. It is safe for concurrent use.
type Collector struct {
	mu          sync.Mutex
	clock       *Clock
	nodes       map[ids.NodeID]*nodeState
	firstWindow uint64 // the first window in which any node was running
}

// NewCollector returns an empty collector that uses a node's clock.
func NewCollector(clock *Clock) *Collector {
	return &Collector{clock: clock, nodes: map[ids.NodeID]*nodeState{}}
}

// Record records a node's report and returns the time by the median of all nodes' clocks. Repeated and
// reordered reports are counted once.
func (c *Collector) Record(report *NodeReport) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[report.Node]
	if n == nil {
		n = &nodeState{counts: map[countKey]int{}}
		c.nodes[report.Node] = n
	}
	own := c.clock.OwnTime()
	n.reportedAt, n.clockOffset, n.countedUntil = c.clock.Tick(), time.Duration(report.OwnTime-own), max(n.countedUntil, report.EstimatedTime)
	for _, r := range report.Rows {
		key := countKey{r.Window, r.Tenant}
		n.counts[key] = max(n.counts[key], r.Count)
	}
	if c.firstWindow == 0 || report.StartWindow < c.firstWindow {
		c.firstWindow = report.StartWindow
	}
	return own + int64(c.medianOffset())
}

// medianOffset returns the lower median of the offsets of the nodes that reported within offsetMaxAge.
func (c *Collector) medianOffset() time.Duration {
	var offsets []time.Duration
	for _, n := range c.nodes {
		if !c.clock.Tick().Past(n.reportedAt, offsetMaxAge) {
			offsets = append(offsets, n.clockOffset)
		}
	}
	if len(offsets) == 0 {
		return 0
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// FirstWindow returns the first window in which any node was running, or 0 if no node has reported.
func (c *Collector) FirstWindow() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstWindow
}

// HasRecentMajority reports whether more than half of the given nodes reported within offsetMaxAge, so that
// the median of their clocks can be trusted.
func (c *Collector) HasRecentMajority(nodes []ids.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := 0
	for _, name := range nodes {
		if n := c.nodes[name]; n != nil && !c.clock.Tick().Past(n.reportedAt, offsetMaxAge) {
			recent++
		}
	}
	return 2*recent > len(nodes)
}

// Complete reports whether all the given nodes have reported their counts up to a time.
func (c *Collector) Complete(until int64, nodes []ids.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range nodes {
		if n := c.nodes[name]; n == nil || n.countedUntil < until {
			return false
		}
	}
	return true
}

// Sum returns the counts of a window, added up by tenant.
func (c *Collector) Sum(window uint64) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, n := range c.nodes {
		for key, count := range n.counts {
			if key.window == window {
				out[key.tenant] += count
			}
		}
	}
	return out
}

// Prune deletes the counts that are too old to keep in the current window, and nodes without counts whose
// last report is older than offsetMaxAge.
func (c *Collector) Prune(current uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.nodes {
		for key := range n.counts {
			if key.window+KeptWindows < current {
				delete(n.counts, key)
			}
		}
		if len(n.counts) == 0 && c.clock.Tick().Past(n.reportedAt, offsetMaxAge) {
			delete(c.nodes, name)
		}
	}
}
