// Metering: each node counts the requests of tenants that began to run, and tells the holder of the
// duty. The holder reports each window to the platform once it is over.

package proxy

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
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
	usageInterval     = time.Second            // between two tellings of a node
	usagePerNode      = 10 * time.Millisecond  // of the interval, at least, in a large fleet
	usageTimeout      = 600 * time.Millisecond // for the holder to take them
	maxClockRoundTrip = 300 * time.Millisecond // an answer that took longer does not set the clock
	meteringTick      = 250 * time.Millisecond
	windowSettles     = 500 * time.Millisecond // after its end, before a window is added up
	windowMaxWait     = 3 * time.Second        // after its end, for nodes that have not told theirs
	meteringSubject   = "metering"
)

// UsageReporter reports the usage of a window to the platform, on a connection of its own that is
// closed when the context ends. A nil error says that it was accepted.
type UsageReporter interface {
	ReportUsage(ctx context.Context, act *duty.Act, window uint64, counts map[string]int) error
}

type usageMeter struct {
	windows   metering.Windows
	clock     *metering.Clock
	ledger    *metering.Ledger
	collector *metering.Collector
	since     uint64
	heardBy   ids.Fence // the tenure of the holder that the ledger goes with
}

func newUsageMeter(options *Options) *usageMeter {
	if options.UsageReporter == nil || options.UsageWindow <= 0 {
		return nil
	}
	clock := metering.NewClock(options.Host.Clock)
	windows := metering.Windows(options.UsageWindow)
	return &usageMeter{
		windows:   windows,
		clock:     clock,
		ledger:    metering.NewLedger(),
		collector: metering.NewCollector(clock),
		since:     windows.At(clock.Now()),
	}
}

// countBegun counts the request as begun, when the first of its answer is seen.
func (t *exchange) countBegun() {
	if meter := t.node.usage; meter != nil && t.tenant != nil && !t.usageCounted {
		t.usageCounted = true
		meter.ledger.Add(meter.windows.At(meter.clock.Now()), t.tenant.Name)
	}
}

// tellUsage tells the holder of the duty what this node has counted.
func (n *Node) tellUsage(ctx context.Context) {
	meter := n.usage
	if meter == nil {
		return
	}
	for {
		interval := max(usageInterval, usagePerNode*time.Duration(len(n.agent.Members())))
		if !host.Sleep(ctx, interval*4/5+rand.N(interval*2/5)) {
			return
		}
		current := meter.windows.At(meter.clock.Now())
		meter.ledger.Prune(current)
		meter.collector.Prune(current)
		if to, fence, ok := n.agent.KeyOwner(fleetstate.MeteringKey); ok {
			if meter.heardBy != fence {
				meter.heardBy = fence
				meter.ledger.NewCollector()
			}
			meter.tell(ctx, n, to)
		}
	}
}

func (m *usageMeter) request(node ids.NodeID, rows []metering.Row) *UsageRequest {
	request := &UsageRequest{Node: node, Since: m.since, Now: m.clock.Now(), Own: m.clock.Own()}
	for _, r := range rows {
		request.Rows = append(request.Rows, UsageRow(r))
	}
	return request
}

func (m *usageMeter) tell(ctx context.Context, n *Node, to coordination.Member) {
	rows := m.ledger.Unheard()
	request := m.request(n.self.Node, rows)
	if to.Node == n.self.Node {
		r, err := n.takeUsage(ctx, request)
		m.heard(rows, r, request.Own, err)
		m.tellSuccessor(ctx, n)
		return
	}
	callContext, stop := context.WithTimeout(ctx, usageTimeout)
	defer stop()
	r, err := rpc.Call[UsageRequest, UsageResponse](callContext, n.agent.Caller(), to.Addr, usageMethod, request)
	m.heard(rows, r, request.Own, err)
}

// tellSuccessor tells the node to which the duty falls if this one, its holder, ends: else this
// node's own counts would end with it.
func (m *usageMeter) tellSuccessor(ctx context.Context, n *Node) {
	others := slices.DeleteFunc(slices.Clone(n.agent.Members()), func(member coordination.Member) bool {
		return member.Node == n.self.Node
	})
	at := slices.IndexFunc(others, func(member coordination.Member) bool {
		return coordination.Rank(fleetstate.MeteringKey, member.Node, others) == 0
	})
	if at < 0 {
		return
	}
	callContext, stop := context.WithTimeout(ctx, usageTimeout)
	defer stop()
	request := m.request(n.self.Node, m.ledger.All())
	rpc.Call[UsageRequest, UsageResponse](callContext, n.agent.Caller(), others[at].Addr, usageMethod, request)
}

// heard takes the holder's answer: the rows need not be told again, and the clock is set.
func (m *usageMeter) heard(rows []metering.Row, r *UsageResponse, asked int64, err error) {
	if err != nil {
		return
	}
	m.ledger.Hear(rows)
	now := m.clock.Own()
	if roundTrip := time.Duration(now - asked); roundTrip <= maxClockRoundTrip {
		m.clock.Correct(time.Duration(r.Time-now) + roundTrip/2)
	}
}

// takeUsage takes what another node has counted, as the holder of the duty or, from the holder, as
// its successor.
func (n *Node) takeUsage(_ context.Context, request *UsageRequest) (*UsageResponse, error) {
	_, owned := n.agent.OwnsKey(fleetstate.MeteringKey)
	holder, _, known := n.agent.KeyOwner(fleetstate.MeteringKey)
	if n.usage == nil || !owned && !(known && holder.Node == request.Node) {
		return nil, failure.New(failure.Unavailable, "take usage", string(request.Node), "the duty is not held here")
	}
	told := &metering.Told{Node: request.Node, Since: request.Since, Own: request.Own, Now: request.Now}
	for _, r := range request.Rows {
		told.Rows = append(told.Rows, metering.Row(r))
	}
	return &UsageResponse{Time: n.usage.collector.Take(told)}, nil
}

// reportUsage reports the windows that are over while this node holds the duty.
func (n *Node) reportUsage(ctx context.Context) {
	if n.usage == nil {
		return
	}
	holder := duty.NewHolder(n.agent, n.options.Host.Clock, fleetstate.MeteringKey, n.options.LeaseDuration)
	next := uint64(0) // all windows before it are done
	for host.Sleep(ctx, meteringTick) {
		owned, mayAct := holder.Owned()
		if !owned {
			next = 0
			continue
		}
		if mayAct {
			next = n.reportWindows(ctx, holder, next)
		}
	}
}

// reportWindows reports what is due, oldest first, and gives the first window that is not done.
func (n *Node) reportWindows(ctx context.Context, holder *duty.Holder, next uint64) uint64 {
	meter := n.usage
	now := meter.clock.Now()
	current := meter.windows.At(now)
	first := meter.collector.First()
	if first == 0 || !meter.collector.HeardMost(n.memberNames()) {
		return next
	}
	if current > metering.KeptWindows {
		first = max(first, current-metering.KeptWindows)
	}
	for next = max(next, first); n.windowSettled(next, now); next++ {
		content := coordination.MustMarshal(usageContent(meter.collector.Sum(next)))
		err := holder.Perform(ctx, meteringSubject, next, content, n.callUsage)
		if err == nil {
			continue
		}
		n.options.Ring.Warn().AnErr("cause", err).Uint64("window", next).Msg("usage not reported yet")
		// A window that the log has forgotten is passed over, unless it was the fence that was old.
		if _, mayAct := holder.Owned(); !mayAct || !failure.Is(err, failure.Stale) {
			return next
		}
	}
	return next
}

// memberNames names the nodes that hold a lease.
func (n *Node) memberNames() []ids.NodeID {
	var out []ids.NodeID
	for _, m := range n.agent.Members() {
		out = append(out, m.Node)
	}
	return out
}

// windowSettled tells whether a window may be added up: all members have told their counts of it, or
// were waited for long enough.
func (n *Node) windowSettled(window uint64, now int64) bool {
	since := time.Duration(now - n.usage.windows.End(window))
	if since < windowSettles {
		return false
	}
	if since >= windowMaxWait {
		return true
	}
	return n.usage.collector.Complete(n.usage.windows.End(window), n.memberNames())
}

// usageContent lists counts by tenant.
func usageContent(counts map[string]int) *UsageContent {
	content := &UsageContent{}
	for _, tenant := range slices.SortedFunc(maps.Keys(counts), cmp.Compare[string]) {
		content.Rows = append(content.Rows, UsageCount{tenant, counts[tenant]})
	}
	return content
}

func (n *Node) callUsage(ctx context.Context, act *duty.Act) error {
	var content UsageContent
	if _, err := content.UnmarshalMsg(act.Content); err != nil {
		return failure.As(err, failure.InvalidArgument, "read usage", "")
	}
	counts := make(map[string]int, len(content.Rows))
	for _, r := range content.Rows {
		counts[r.Tenant] = r.Count
	}
	return n.options.UsageReporter.ReportUsage(ctx, act, act.Number, counts)
}
