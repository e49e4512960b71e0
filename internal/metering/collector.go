package metering

import (
	"slices"
	"sync"
	"time"

	"keelstair.example/ids"
)

// offsetMaxAge is the time after a node's last report for which its clock offset counts towards the median.
const offsetMaxAge = 10 * time.Second

// NodeReport is a report of a node's counts and clock to the collector. It may have only some of the node's counts;
// the collector combines those of all the node's reports.
type NodeReport struct {
	Node        ids.NodeID
	StartWindow uint64 // the window in which the node started
	OwnTime     int64  // the node's Clock.OwnTime when it built the report
	// EstimatedTime is the node's Clock.Now when it built the report. After this report, the collector regards its
	// counts of the node up to that time as complete.
	EstimatedTime int64
	Rows          []Row
}

// nodeState is what the collector knows about one node.
type nodeState struct {
	reportedAt   ids.Tick      // when the collector received the node's last report
	clockOffset  time.Duration // the node's OwnTime in its last report minus the collector's OwnTime when that report arrived
	countedUntil int64         // the largest EstimatedTime of the node; its counts up to then are regarded as complete
	counts       map[countKey]int
}

// Collector adds up the counts of the nodes. It keeps the counts of a stopped node until Prune deletes their
// windows. A restarted node reports under another ID, so that its counts are added to those of its previous
// process. A Collector is safe for concurrent use.
type Collector struct {
	mu          sync.Mutex
	clock       *Clock
	nodes       map[ids.NodeID]*nodeState
	firstWindow uint64 // the earliest StartWindow in any report; 0 before the first report
}

// NewCollector returns a collector without reports. The clock is that of the collector's node.
func NewCollector(clock *Clock) *Collector {
	return &Collector{clock: clock, nodes: map[ids.NodeID]*nodeState{}}
}

// Record stores a node's report. It returns the current time according to the median clock of all nodes that
// reported within offsetMaxAge, in nanoseconds since 1970. For each window and tenant it keeps a node's largest
// count, so that repeated and reordered reports do not count a request twice.
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

// medianOffset returns the lower median of the clock offsets of the nodes that reported within offsetMaxAge, or 0
// if there are none.
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

// FirstWindow returns the earliest window in which a node that has reported started, or 0 if no node has
// reported.
func (c *Collector) FirstWindow() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstWindow
}

// HasRecentMajority reports whether more than half of the given nodes reported within offsetMaxAge. The median
// of the clocks is regarded as reliable only if they did.
func (c *Collector) HasRecentMajority(nodes []ids.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := 0
	for _, id := range nodes {
		if n := c.nodes[id]; n != nil && !c.clock.Tick().Past(n.reportedAt, offsetMaxAge) {
			recent++
		}
	}
	return 2*recent > len(nodes)
}

// Complete reports whether all the given nodes have reported their counts up to a time, in nanoseconds since 1970.
func (c *Collector) Complete(until int64, nodes []ids.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range nodes {
		if n := c.nodes[id]; n == nil || n.countedUntil < until {
			return false
		}
	}
	return true
}

// Sum returns, for each tenant, the number of requests that all nodes together have reported for a window.
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

// Prune deletes the counts of windows that are more than KeptWindows before the current one. It then deletes the
// nodes without counts whose last report is older than offsetMaxAge.
func (c *Collector) Prune(current uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range c.nodes {
		for key := range n.counts {
			if key.window+KeptWindows < current {
				delete(n.counts, key)
			}
		}
		if len(n.counts) == 0 && c.clock.Tick().Past(n.reportedAt, offsetMaxAge) {
			delete(c.nodes, id)
		}
	}
}
