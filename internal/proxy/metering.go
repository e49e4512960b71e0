// Usage metering. Each node counts each tenant's requests whose answer has begun, and sends the counts
// to the owner of the metering duty, a task that the coordination service leases to one node at a time.
// The owner reports each window of time to the platform once it is over.

package proxy

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/duty"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/metering"
	"keelstair.example/rpc"
)

const (
	usageInterval        = time.Second            // between two messages of a node
	usageIntervalPerNode = 10 * time.Millisecond  // the interval is at least this times the number of nodes
	usageTimeout         = 600 * time.Millisecond // for the owner to accept the counts
	maxClockRoundTrip    = 300 * time.Millisecond // an answer that took longer doesn't set the clock
	meteringInterval     = 250 * time.Millisecond // between checks for windows that are due
	windowSettleDelay    = 500 * time.Millisecond // after the end, before a window is summed up
	windowMaxWait        = 3 * time.Second        // after the end, for nodes that have not sent their counts
	meteringSubject      = "metering"
)

// UsageReporter reports the usage of a window to the platform, on a connection of its own that is
// closed when the context ends. A nil error means that the platform accepted the report.
type UsageReporter interface {
	ReportUsage(ctx context.Context, action *duty.Action, window uint64, counts map[string]int) error
}

// usageMeter counts the usage at one node and, at the owner of the metering duty and its successor,
// collects the counts of all nodes.
type usageMeter struct {
	windows        metering.Windows
	clock          *metering.Clock
	ledger         *metering.Ledger    // this node's own counts, and which of them the owner has acknowledged
	collector      *metering.Collector // the counts that this node received as owner or successor
	startWindow    uint64              // the window in which this node started
	sendMu         sync.Mutex          // held while counts are sent
	collectorFence ids.Fence           // fence of the owner whose acknowledgements the ledger has recorded
}

// newUsageMeter returns nil if the options don't enable usage reports.
func newUsageMeter(options *Options) *usageMeter {
	if options.UsageReporter == nil || options.UsageWindow <= 0 {
		return nil
	}
	clock := metering.NewClock(options.Host.Clock)
	windows := metering.Windows(options.UsageWindow)
	return &usageMeter{
		windows:     windows,
		clock:       clock,
		ledger:      metering.NewLedger(),
		collector:   metering.NewCollector(clock),
		startWindow: windows.At(clock.Now()),
	}
}

// countAnswerStarted counts the request as started, once, when the first part of its answer arrives.
func (t *exchange) countAnswerStarted() {
	if meter := t.node.usage; meter != nil && t.tenant != nil && !t.usageCounted {
		t.usageCounted = true
		meter.ledger.Add(meter.windows.At(meter.clock.Now()), t.tenant.Name)
	}
}

// sendUsage periodically sends this node's counts to the owner of the metering duty.
func (n *Node) sendUsage(ctx context.Context) {
	meter := n.usage
	if meter == nil {
		return
	}
	for {
		interval := max(usageInterval, usageIntervalPerNode*time.Duration(len(n.agent.Members())))
		if !host.Sleep(ctx, interval*4/5+rand.N(interval*2/5)) {
			return
		}
		n.sendUsageOnce(ctx)
	}
}

// sendUsageOnce sends this node's counts that the owner of the metering duty, if one is known, has not acknowledged.
func (n *Node) sendUsageOnce(ctx context.Context) {
	meter := n.usage
	meter.sendMu.Lock()
	defer meter.sendMu.Unlock()
	current := meter.windows.At(meter.clock.Now())
	meter.ledger.Prune(current)
	meter.collector.Prune(current)
	owner, fence, ok := n.agent.KeyOwner(fleetstate.MeteringKey)
	if !ok {
		return
	}
	if meter.collectorFence != fence {
		meter.collectorFence = fence
		meter.ledger.ResetAcknowledgements() // forgets the acknowledgements of the previous owner
	}
	meter.send(ctx, n, owner)
}

// sendLastUsage sends the counts of a node that is shutting down. It must be called before the node gives up
// its lease, because a successor takes an owner's counts only while it knows it as the owner.
func (n *Node) sendLastUsage() {
	if n.usage != nil {
		n.sendUsageOnce(context.Background())
	}
}

// newRequest builds the request that sends the given counts.
func (m *usageMeter) newRequest(node ids.NodeID, rows []metering.Row) *UsageRequest {
	request := &UsageRequest{Node: node, StartWindow: m.startWindow, EstimatedTime: m.clock.Now(), OwnTime: m.clock.OwnTime()}
	for _, r := range rows {
		request.Rows = append(request.Rows, UsageRow(r))
	}
	return request
}

// send sends the counts that the owner has not acknowledged. If this node is the owner, it takes them
// itself and sends all its counts to its successor.
func (m *usageMeter) send(ctx context.Context, n *Node, owner coordination.Member) {
	rows := m.ledger.Unacknowledged()
	request := m.newRequest(n.self.Node, rows)
	if owner.Node == n.self.Node {
		r, err := n.recordUsage(ctx, request)
		m.handleResponse(rows, r, request.OwnTime, err)
		m.sendToSuccessor(ctx, n)
		return
	}
	callContext, stop := context.WithTimeout(ctx, usageTimeout)
	defer stop()
	r, err := rpc.Call[UsageRequest, UsageResponse](callContext, n.agent.Caller(), owner.Addr, usageMethod, request)
	m.handleResponse(rows, r, request.OwnTime, err)
}

// sendToSuccessor sends the owner's own counts to the node that gets the metering duty if the owner
// fails. Otherwise these counts would be lost with the owner.
func (m *usageMeter) sendToSuccessor(ctx context.Context, n *Node) {
	others := slices.DeleteFunc(slices.Clone(n.agent.Members()), func(member coordination.Member) bool {
		return member.Node == n.self.Node
	})
	successor := slices.IndexFunc(others, func(member coordination.Member) bool {
		return coordination.Rank(fleetstate.MeteringKey, member.Node, others) == 0
	})
	if successor < 0 {
		return
	}
	callContext, stop := context.WithTimeout(ctx, usageTimeout)
	defer stop()
	request := m.newRequest(n.self.Node, m.ledger.All())
	rpc.Call[UsageRequest, UsageResponse](callContext, n.agent.Caller(), others[successor].Addr, usageMethod, request)
}

// handleResponse processes the owner's response: it marks the rows as acknowledged and corrects the
// clock. SentAt is this node's own time when it sent the request.
func (m *usageMeter) handleResponse(rows []metering.Row, r *UsageResponse, sentAt int64, err error) {
	if err != nil {
		return
	}
	m.ledger.Acknowledge(rows)
	now := m.clock.OwnTime()
	if roundTrip := time.Duration(now - sentAt); roundTrip <= maxClockRoundTrip {
		m.clock.Correct(time.Duration(r.Time-now) + roundTrip/2)
	}
}

// recordUsage records the counts of a node: any node's counts if this node owns the metering duty, else
// only those of the owner, whose successor this node is.
func (n *Node) recordUsage(_ context.Context, request *UsageRequest) (*UsageResponse, error) {
	_, owned := n.agent.OwnsKey(fleetstate.MeteringKey)
	owner, _, known := n.agent.KeyOwner(fleetstate.MeteringKey)
	if n.usage == nil || !owned && !(known && owner.Node == request.Node) {
		return nil, failure.New(failure.Unavailable, "take usage", string(request.Node), "this node does not own the metering duty")
	}
	nodeCounts := &metering.NodeReport{
		Node:          request.Node,
		StartWindow:   request.StartWindow,
		OwnTime:       request.OwnTime,
		EstimatedTime: request.EstimatedTime,
	}
	for _, r := range request.Rows {
		nodeCounts.Rows = append(nodeCounts.Rows, metering.Row(r))
	}
	return &UsageResponse{Time: n.usage.collector.Record(nodeCounts)}, nil
}

// While this node owns the metering duty, reportUsage reports the usage of every metering window that
// has ended.
func (n *Node) reportUsage(ctx context.Context) {
	if n.usage == nil {
		return
	}
	runner := duty.NewRunner(n.agent, n.options.Host.Clock, fleetstate.MeteringKey, n.options.LeaseDuration)
	next := uint64(0) // all earlier windows are reported or skipped
	for host.Sleep(ctx, meteringInterval) {
		owned, mayAct := runner.CheckOwnership()
		if !owned {
			next = 0
			continue
		}
		if mayAct {
			next = n.reportWindows(ctx, runner, next)
		}
	}
}

// reportWindows reports the usage of the windows that are due, oldest first, and returns the first one that is still
// to be reported. Each report is recorded in the replicated log as an action of the duty before and
// after it is sent, so that a window whose report is recorded as done is not sent again.
func (n *Node) reportWindows(ctx context.Context, runner *duty.Runner, next uint64) uint64 {
	meter := n.usage
	now := meter.clock.Now()
	current := meter.windows.At(now)
	first := meter.collector.FirstWindow()
	if first == 0 || !meter.collector.HasRecentMajority(n.memberIDs()) {
		return next
	}
	if current > metering.KeptWindows {
		first = max(first, current-metering.KeptWindows)
	}
	for next = max(next, first); n.windowSettled(next, now); next++ {
		content := coordination.MustMarshal(usageContent(meter.collector.Sum(next)))
		err := runner.Perform(ctx, meteringSubject, next, content, n.performUsageReport)
		if err == nil {
			continue
		}
		n.options.Ring.Warn().AnErr("cause", err).Uint64("window", next).Msg("could not report usage")
		// Stale means that the replicated log no longer has the window, which is then skipped, or that
		// this node's fence is outdated, in which case it may no longer perform actions.
		if _, mayAct := runner.CheckOwnership(); !mayAct || !failure.Is(err, failure.Stale) {
			return next
		}
	}
	return next
}

// memberIDs returns the IDs of the nodes that hold a lease.
func (n *Node) memberIDs() []ids.NodeID {
	var out []ids.NodeID
	for _, m := range n.agent.Members() {
		out = append(out, m.Node)
	}
	return out
}

// windowSettled reports whether a window may be summed up: windowSettleDelay has passed since its end,
// and either all members have sent their counts or windowMaxWait has passed too.
func (n *Node) windowSettled(window uint64, now int64) bool {
	elapsed := time.Duration(now - n.usage.windows.End(window))
	if elapsed < windowSettleDelay {
		return false
	}
	if elapsed >= windowMaxWait {
		return true
	}
	return n.usage.collector.Complete(n.usage.windows.End(window), n.memberIDs())
}

// usageContent converts counts to the content of a report, sorted by tenant name.
func usageContent(counts map[string]int) *UsageContent {
	content := &UsageContent{}
	for _, tenant := range slices.SortedFunc(maps.Keys(counts), cmp.Compare[string]) {
		content.Rows = append(content.Rows, UsageCount{tenant, counts[tenant]})
	}
	return content
}

// performUsageReport sends the usage report of an action to the platform.
func (n *Node) performUsageReport(ctx context.Context, action *duty.Action) error {
	var content UsageContent
	if _, err := content.UnmarshalMsg(action.Content); err != nil {
		return failure.As(err, failure.InvalidArgument, "read usage", "")
	}
	counts := make(map[string]int, len(content.Rows))
	for _, r := range content.Rows {
		counts[r.Tenant] = r.Count
	}
	return n.options.UsageReporter.ReportUsage(ctx, action, action.Number, counts)
}
