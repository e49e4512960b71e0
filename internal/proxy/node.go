// A Node joins the parts: the core's agent, the view of the configuration, the list of
// workers and what is known of each.

package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/exchangemetrics"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/retrybudget"
	"keelstair.example/internal/routing"
	"keelstair.example/logging"
	"keelstair.example/rpc"
)

// Options of a node; zero spans and numbers take the defaults named beside them.
type Options struct {
	Name              string
	Addr              string
	Zone              ids.Zone
	Seeds             []string
	Host              host.Host
	Ring              *logging.Ring
	Backend           Backend
	ReadConfiguration fleetstate.ConfigurationReader // of the operators' text; fleetstate.Plain
	// routing programs until the core has a set, beside the built-in order
	Programs      []routing.Source
	ProgramSteps  uint64        // 20000: that one of these may take for one request
	LeaseDuration time.Duration // 3s
	RenewInterval time.Duration // 500ms
	ShareInterval time.Duration // 250ms between tellings of what is under way
	ListInterval  time.Duration // 700ms between askings of the list of workers
	ApplyMax      time.Duration // 2s from its acknowledgement until a version is in force everywhere
	// 0: askings of the list a second that all nodes have; 0 is no bound
	ListRate           float64
	RetryRatio         float64       // 0.2: repeats for each request
	RetryWindow        time.Duration // 10s over which repeats are counted
	RetryAllowance     int           // 0: repeats that all nodes have besides
	SlowStartOvershoot float64       // 1.5: of a cold worker's rate
	SlowStartAllowance int           // 5: requests besides that in a second
	PrefillSilence     time.Duration // 2s: a reading worker that says nothing is left, besides what it has to read
	HedgeFactor        float64       // 1.2: times what a read usually takes, before it is hedged; below 0 none is
	DecodeSilence      time.Duration // 900ms: an emitting worker that says nothing is left, if the request may run again
	PrefillTokensPerMs float64       // 50: prompt tokens that a worker reads in a ms
	// 500ms between looks at whether a worker should change its part; below 0 never
	RoleChangeInterval time.Duration
	// 0.667: of a service's workers read while nothing is under way; below 0 none is turned for it
	IdlePrefillShare float64
	// 2s: that a worker whose failures stand out is left out at first; below 0 never
	BaseEjection    time.Duration
	MaxEjectedShare float64 // 0.34: of a service's part may be out at once, by failures
	// 4: sendings that another node's word of a worker counts for; below 0 none is heard
	PeerWeight float64
	// 5: ms that a worker counts as farther that lacks all the memory needed; below 0 none
	NoCapacityCost float64
	// 3: times its aim that a request may be reckoned to take before some are refused early; below 0 none is
	AdmitFactor float64
	// 1s: the age of what is known of workers beyond which none is refused early
	AdmitMaxAge        time.Duration
	MaxRejectedCallers int // 4096: refused callers that are remembered
	FlatListNodes      int // 96: nodes up to which all ask the holder of the list
	TreeWidth          int // 12: nodes that ask one other in a larger fleet
	// Drain is called once as the node leaves: it lets no caller in any more, and returns
	// when those that are in were answered or the context ends.
	Drain func(context.Context) error
	// ClientLimitsChanged is called with the limits of each version that comes in force.
	ClientLimitsChanged func(fleetstate.ClientLimits)
	Trace               func(Event)
	// Usage is reported by it for each window, where both are set.
	UsageReporter UsageReporter
	UsageWindow   time.Duration
}

func (o *Options) setDefaults() {
	ids.SetDefault(&o.LeaseDuration, 3*time.Second)
	ids.SetDefault(&o.RenewInterval, 500*time.Millisecond)
	ids.SetDefault(&o.ShareInterval, 250*time.Millisecond)
	ids.SetDefault(&o.ListInterval, 700*time.Millisecond)
	ids.SetDefault(&o.ApplyMax, 2*time.Second)
	ids.SetDefault(&o.RetryWindow, 10*time.Second)
	ids.SetDefault(&o.RoleChangeInterval, 500*time.Millisecond)
	ids.SetDefault(&o.PrefillSilence, 2*time.Second)
	ids.SetDefault(&o.HedgeFactor, hedgeDelayFactor)
	ids.SetDefault(&o.DecodeSilence, 900*time.Millisecond)
	ids.SetDefault(&o.BaseEjection, 2*time.Second)
	ids.SetDefault(&o.RetryRatio, 0.2)
	ids.SetDefault(&o.SlowStartOvershoot, 1.5)
	ids.SetDefault(&o.SlowStartAllowance, 5)
	ids.SetDefault(&o.PrefillTokensPerMs, 50)
	ids.SetDefault(&o.IdlePrefillShare, 0.667)
	ids.SetDefault(&o.MaxEjectedShare, 0.34)
	ids.SetDefault(&o.PeerWeight, 4)
	ids.SetDefault(&o.AdmitMaxAge, time.Second)
	ids.SetDefault(&o.AdmitFactor, 3)
	ids.SetDefault(&o.MaxRejectedCallers, 4096)
	ids.SetDefault(&o.FlatListNodes, 96)
	ids.SetDefault(&o.TreeWidth, 12)
	ids.SetDefault(&o.NoCapacityCost, 5)
	ids.SetDefault(&o.ProgramSteps, 20000)
	if o.Ring == nil {
		o.Ring = logging.Discard()
	}
}

// Counts are the node's figures since it started.
type Counts struct {
	Requests, Completed, Rejected, Aborted, Direct, Retries, RejectedEarly, Ejected, Readmitted, FaultNotices, Hedges, RejectedStale atomic.Int64

	Unauthenticated atomic.Int64 // requests that were rejected for want of a known key
}

// Node is one router node for opaque requests.
type Node struct {
	options         Options
	self            coordination.Member
	agent           *coordination.Agent
	view            *fleetstate.View
	counts          Counts
	metrics         *exchangemetrics.Metrics
	budget          *retrybudget.Budget
	scores          routing.Scores               // outlive the programs' sets
	startupPrograms *fleetstate.CompiledPrograms // rules until the core has a set
	endpoints       atomic.Pointer[endpointList]
	states          sync.Map // ids.WorkerID -> *state
	slowStart       slowStart
	peerReports     sync.Map // ids.NodeID -> told
	parentSums      atomic.Pointer[parentSums]
	listLatency     atomic.Int64 // ns that the platform took for the list, or for that of who gave it
	listChanged     signal
	failbacks       sync.Map // ids.Zone -> failback, of those that were evacuated
	peerOutcomes    outcomeSums
	outcomesChanged atomic.Bool  // an outcome is yet to be judged
	ejections       atomic.Int64 // workers that are ejected or on probation
	peerOutcomesAt  atomic.Int64 // ids.Tick when others' outcomes were heard
	isolatedAt      atomic.Int64 // ids.Tick when nobody had been heard for a while, last
	loads           loadBoard
	candidates      atomic.Pointer[candidateIndex]
	admission       admission
	serviceTimes    sync.Map      // service -> *serviceTimes
	outages         chan struct{} // a worker was found to be down
	retryAfter      handoff.RetryAfterScheduler
	usage           *usageMeter // nil where usage is not reported
	lastSnapshot    atomic.Pointer[fleetstate.Snapshot]
	snapshotMu      sync.Mutex
	versionAge      versionAge
	inflight        atomic.Int64
	leaving         atomic.Bool
	runContext      context.Context // ends with Run
	stop            context.CancelFunc
}

// New makes a node; it starts nothing.
func New(options Options) (*Node, error) {
	options.setDefaults()
	n := &Node{
		options:    options,
		budget:     retrybudget.New(options.RetryWindow),
		slowStart:  newSlowStart(),
		outages:    make(chan struct{}, 1),
		retryAfter: handoff.RetryAfterScheduler{MinPerSecond: 2},
	}
	programs, err := routing.NewProgramSet(options.Programs, options.ProgramSteps, &n.scores)
	if err != nil {
		return nil, err
	}
	n.metrics = exchangemetrics.New()
	n.exportCounts()
	n.startupPrograms = &fleetstate.CompiledPrograms{Set: programs}
	n.self = coordination.Member{
		Node: ids.NodeID(options.Name + "-" + coordination.NewID()),
		Addr: options.Addr,
		Zone: options.Zone,
	}
	n.view = fleetstate.NewView(options.Ring)
	n.view.Read, n.view.Scores = options.ReadConfiguration, &n.scores
	n.agent = coordination.NewAgent(coordination.AgentOptions{
		Self:          n.self,
		Host:          options.Host,
		Seeds:         options.Seeds,
		Watcher:       n.view,
		Ring:          options.Ring,
		LeaseDuration: options.LeaseDuration,
		RenewInterval: options.RenewInterval,
	})
	n.usage = newUsageMeter(&n.options)
	n.endpoints.Store(&endpointList{})
	n.runContext, n.stop = context.WithCancel(context.Background())
	return n, nil
}

func (n *Node) now() ids.Tick { return n.options.Host.Clock.Now() }

// View shows what the node knows of the configuration.
func (n *Node) View() *fleetstate.View { return n.view }

// Directory is where the node knows others from.
func (n *Node) Directory() *coordination.Directory { return n.agent.Directory() }

// Counts gives the node's figures.
func (n *Node) Counts() *Counts { return &n.counts }

// ClientLimits tells what callers may send under the version in force.
func (n *Node) ClientLimits() fleetstate.ClientLimits { return n.snapshot().Configuration.ClientLimits }

// Mount puts the node's answers to its peers on a mux.
func (n *Node) Mount(mux *http.ServeMux) {
	n.agent.Mount(mux)
	rpc.Handle(mux, faultMethod, n.hear)
	rpc.Handle(mux, listMethod, n.serveList)
	rpc.Handle(mux, usageMethod, n.takeUsage)
	mux.Handle("GET /metrics", n.metrics.Handler())
	rpc.Handle(mux, pingMethod, func(context.Context, *Ack) (*Ack, error) { return &Ack{}, nil })
}

// Run works until the context ends; then it says that it is not ready, goes on for the
// linger so that callers hear of it, has the door drained, and lets what is under way
// finish within the grace.
func (n *Node) Run(ctx context.Context, linger, grace time.Duration) {
	inner := n.runContext
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){
		n.agent.Run, n.maintainEndpoints, n.watch, n.roleBalancer, n.ejector, n.tellUsage, n.reportUsage,
	} {
		wg.Go(func() { f(inner) })
	}
	<-ctx.Done()
	n.leaving.Store(true)
	began := n.now()
	host.Sleep(inner, linger)
	if n.options.Drain != nil {
		callContext, stop := context.WithTimeout(inner, max(0, grace-n.now().Since(began)))
		if err := n.options.Drain(callContext); err != nil {
			n.options.Ring.Info().AnErr("cause", err).Msg("shutdown: requests unanswered")
		}
		stop()
	}
	for !n.now().Past(began, grace) && n.inflight.Load() > 0 {
		host.Sleep(inner, 50*time.Millisecond)
	}
	n.agent.Leave()
	n.stop()
	wg.Wait()
	n.options.Backend.Close()
}

// Summary is one line of where the time of the node's exchanges went.
func (n *Node) Summary() string { return n.metrics.Summary() }

// exportCounts adds the node's counts to its metrics.
func (n *Node) exportCounts() {
	for _, row := range []struct {
		name, help string
		count      *atomic.Int64
	}{
		{"keelstair_requests", "Requests that came.", &n.counts.Requests},
		{"keelstair_rejected_early", "Requests that were rejected before any worker was offered them.", &n.counts.RejectedEarly},
		{"keelstair_unauthenticated", "Requests that were rejected for want of a known key.", &n.counts.Unauthenticated},
		{"keelstair_rejected_stale", "Requests that were rejected because the configuration may be out of date.", &n.counts.RejectedStale},
		{"keelstair_direct_decodes", "Prompts that the decode worker was to read by itself.", &n.counts.Direct},
		{"keelstair_retries", "Attempts after the first.", &n.counts.Retries},
		{"keelstair_hedges", "Prompts that were read at a second worker besides.", &n.counts.Hedges},
		{"keelstair_ejections", "Workers that were ejected as outliers.", &n.counts.Ejected},
		{"keelstair_fault_notices", "Warnings of silent workers that were sent to peers.", &n.counts.FaultNotices},
	} {
		n.metrics.Gauge(row.name, row.help, func() float64 { return float64(row.count.Load()) })
	}
}

// Leaving tells that the node was told to stop.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Ready tells whether new work can be served here now, and if not, why.
func (n *Node) Ready() (bool, string) {
	switch s := n.snapshot(); {
	case n.leaving.Load():
		return false, "draining"
	case s.Version == 0:
		return false, "no configuration is in force"
	case len(n.endpoints.Load().workers) == 0:
		return false, "no worker is listed"
	case n.behind():
		return false, "the configuration may be out of date"
	}
	return true, ""
}

// deal is the program set that a snapshot has, else the one the node began with.
func (n *Node) deal(s *fleetstate.Snapshot) *fleetstate.CompiledPrograms {
	if s.Programs != nil {
		return s.Programs
	}
	return n.startupPrograms
}

// Scores tell how the programs fare at this node since it started, by name.
func (n *Node) Scores() *routing.Scores { return &n.scores }

// share is one over the number of nodes that there may be.
func (n *Node) share() float64 {
	return 1 / float64(max(1, n.budget.Peers(n.now(), len(n.agent.Members()))))
}

// snapshot is what is in force. A zone that was taken back is noted before anything is sent
// there, since its workers may have turned cold.
func (n *Node) snapshot() *fleetstate.Snapshot {
	s := n.view.Current()
	if n.lastSnapshot.Load() == s {
		return s
	}
	n.snapshotMu.Lock()
	defer n.snapshotMu.Unlock()
	for z, f := range s.Failbacks {
		if v, ok := n.failbacks.Load(z); !ok || v.(failback).number != f.Number {
			n.failbacks.Store(z, failback{f.Number, n.now().Add(-time.Duration(f.ElapsedNs))})
		}
	}
	if previous := n.lastSnapshot.Swap(s); previous == nil || previous.Version != s.Version {
		n.options.Ring.Info().Uint64("version", uint64(s.Version)).Uint64("newest", uint64(s.Newest)).
			Msg("configuration in force")
	}
	if n.options.ClientLimitsChanged != nil {
		n.options.ClientLimitsChanged(s.Configuration.ClientLimits)
	}
	return s
}

// watch logs when the node turns ready or not.
func (n *Node) watch(ctx context.Context) {
	last := "-"
	for host.Sleep(ctx, 100*time.Millisecond) {
		n.isolated(n.now())
		n.putLateInForce()
		if _, reason := n.Ready(); reason != last {
			last = reason
			n.options.Ring.Warn().Str("reason", reason).Bool("ready", reason == "").Msg("readiness changed")
		}
	}
}
