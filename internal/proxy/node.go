// The router node: it combines the coordination agent, the view of the configuration, the worker list
// and the state of each worker.

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
	"keelstair.example/internal/requestbody"
	"keelstair.example/internal/retrybudget"
	"keelstair.example/internal/routing"
	"keelstair.example/logging"
	"keelstair.example/rpc"
)

// Options configure a node. Zero durations and numbers take the defaults given in the comments.
type Options struct {
	Name               string
	Addr               string
	Zone               ids.Zone
	Seeds              []string
	Host               host.Host
	Ring               *logging.Ring
	Backend            Backend
	ParseConfiguration fleetstate.ConfigurationParser // parses the text of a configuration; default ParseJSON
	// Programs are the routing programs, in addition to the built-in order, until the core has a set.
	Programs      []routing.Source
	ProgramSteps  uint64        // step limit of one program for one request; default 20000
	LeaseDuration time.Duration // default 3s
	RenewInterval time.Duration // default 500ms
	ShareInterval time.Duration // interval between reports of in-flight requests to peers; default 250ms
	ListInterval  time.Duration // interval between requests for the worker list; default 700ms
	ApplyMax      time.Duration // maximum time from a version's acknowledgement until it is in force everywhere; default 2s
	// ListRate limits the requests for the worker list per second, of all nodes together; 0 means no limit.
	ListRate           float64
	RetryRatio         float64       // retries for each request; default 0.2
	RetryWindow        time.Duration // period over which retries are counted; default 10s
	RetryAllowance     int           // additional retries in the window, of all nodes together; default 0
	SlowStartOvershoot float64       // factor on a cold worker's slow-start rate; default 1.5
	SlowStartAllowance int           // requests per second in addition to the slow-start rate times SlowStartOvershoot; default 5
	PrefillSilence     time.Duration // silence after which a prefill worker is given up, in addition to its estimated work; default 2s
	HedgeFactor        float64       // multiple of the usual prefill time after which a prefill is hedged; default 1.2, negative disables hedging
	DecodeSilence      time.Duration // silence after which a decode worker is given up, if the request may be retried; default 900ms
	PrefillTokensPerMs float64       // prompt tokens that a worker prefills in a millisecond; default 50
	// RoleCheckInterval is the interval between two checks of the workers' roles. The default is 500ms; a
	// negative value disables role changes.
	RoleCheckInterval time.Duration
	// IdlePrefillShare is the share of a service's workers in the prefill role while the service is idle.
	// The default is 0.667; a negative value makes no role changes for it.
	IdlePrefillShare float64
	// BaseEjection is the duration of an outlier's first ejection. The default is 2s; a negative value
	// disables ejection.
	BaseEjection    time.Duration
	MaxEjectedShare float64 // share of a service's workers of one role that may be ejected at the same time; default 0.34
	// PeerWeight is the maximum weight, in requests, of another node's outcomes of a worker. The default is
	// 4; a negative value ignores them.
	PeerWeight float64
	// NoCapacityCost is the cost in ms of a worker without any of the memory needed. The default is 5; a
	// negative value disables it.
	NoCapacityCost float64
	// AdmitFactor is the multiple of a request's latency target that its estimated latency may reach before
	// requests are rejected early. The default is 3; a negative value disables early rejection.
	AdmitFactor float64
	// AdmitMaxAge is the maximum age of the workers' loads for early rejection. The default is 1s.
	AdmitMaxAge        time.Duration
	MaxRejectedCallers int // number of early-rejected callers that are remembered; default 4096
	MaxFlatListNodes   int // largest fleet in which every node requests the list from its owner; default 96
	ListTreeFanOut     int // maximum children of a node in the list tree of a larger fleet; default 12
	// Drain is called once when the node shuts down. It accepts no new requests, and returns when the
	// current ones have been answered or the context ends.
	Drain func(context.Context) error
	// ClientLimitsChanged is called with the limits of each version that comes into force.
	ClientLimitsChanged func(fleetstate.ClientLimits)
	// ConnectionsClosed returns how many connections of clients were closed so that others had room.
	ConnectionsClosed func() int64
	Trace             func(Event)
	// MemoryLimit is the memory of the process in bytes, of which a share is for the bodies of requests. Without
	// it, bodies may take 256 MiB.
	MemoryLimit int64
	// UsageReporter reports usage for each UsageWindow, if both are set.
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
	ids.SetDefault(&o.RoleCheckInterval, 500*time.Millisecond)
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
	ids.SetDefault(&o.MaxFlatListNodes, 96)
	ids.SetDefault(&o.ListTreeFanOut, 12)
	ids.SetDefault(&o.NoCapacityCost, 5)
	ids.SetDefault(&o.ProgramSteps, 20000)
	if o.Ring == nil {
		o.Ring = logging.Discard()
	}
}

// Counts are the node's counters since it started.
type Counts struct {
	Requests, Completed, Rejected, Aborted, Direct, Retries, RejectedEarly, Ejected, Readmitted,
	FaultNotices, Hedges, RejectedStale atomic.Int64

	Unauthenticated atomic.Int64 // requests rejected for lack of a known key
	Continuations   atomic.Int64 // streams that another worker continued within one answer
	RejectedBodies  atomic.Int64 // requests rejected for lack of memory for their bodies, or because these took too long
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
	scores          routing.Scores               // kept across program sets
	startupPrograms *fleetstate.CompiledPrograms // routing programs until the core has a set
	currentList     atomic.Pointer[workerListVersion]
	states          sync.Map // ids.WorkerID -> *workerState
	slowStart       slowStart
	peerReports     sync.Map // ids.NodeID -> peerReport
	sourceTotals    atomic.Pointer[sourceTotals]
	listLatency     atomic.Int64 // ns that the platform took to answer the list request, here or at the node the list came from
	listChanged     changeSignal
	failbacks       sync.Map // ids.Zone -> failback, for zones that were evacuated
	peerOutcomes    outcomeSums
	outcomesChanged atomic.Bool  // an outcome has not been evaluated yet
	notServing      atomic.Int64 // number of workers that are ejected or on probation
	peerOutcomesAt  atomic.Int64 // ids.Tick at which peers' outcomes last arrived
	isolatedAt      atomic.Int64 // ids.Tick at which the node was last found isolated
	loads           loadBoard
	candidates      atomic.Pointer[candidateIndex]
	admission       admission
	serviceTimes    sync.Map      // service -> *serviceTimes
	answerTimes     sync.Map      // route -> *answerTimes
	outages         chan struct{} // signals that a worker was found down
	retryAfter      handoff.RetryAfterScheduler
	usage           *usageMeter // nil where usage is not reported
	lastSnapshot    atomic.Pointer[fleetstate.Snapshot]
	snapshotMu      sync.Mutex
	versionAge      versionAge
	inflight        requestSet
	bodies          *requestbody.Memory
	shutdown        atomic.Pointer[shutdownSchedule] // nil until the node shuts down
	runContext      context.Context                  // ends with Run
	stop            context.CancelFunc
}

// New creates a node without starting anything.
func New(options Options) (*Node, error) {
	options.setDefaults()
	n := &Node{
		options:    options,
		budget:     retrybudget.New(options.RetryWindow),
		slowStart:  newSlowStart(),
		outages:    make(chan struct{}, 1),
		bodies:     requestbody.NewProcessMemory(options.MemoryLimit),
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
	n.view.Parse, n.view.Scores = options.ParseConfiguration, &n.scores
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
	n.currentList.Store(&workerListVersion{})
	n.runContext, n.stop = context.WithCancel(context.Background())
	return n, nil
}

func (n *Node) now() ids.Tick { return n.options.Host.Clock.Now() }

// View returns the node's view of the configuration.
func (n *Node) View() *fleetstate.View { return n.view }

// Directory returns the node's directory of other processes.
func (n *Node) Directory() *coordination.Directory { return n.agent.Directory() }

// Counts returns the node's counters.
func (n *Node) Counts() *Counts { return &n.counts }

// ClientLimits returns the limits on callers' requests under the version in force.
func (n *Node) ClientLimits() fleetstate.ClientLimits { return n.snapshot().Configuration.ClientLimits }

// Mount registers the node's RPC handlers and the metrics endpoint.
func (n *Node) Mount(mux *http.ServeMux) {
	n.agent.Mount(mux)
	rpc.Handle(mux, faultMethod, n.handleFaultNotice)
	rpc.Handle(mux, listMethod, n.serveList)
	rpc.Handle(mux, usageMethod, n.recordUsage)
	mux.Handle("GET /metrics", n.metrics.Handler())
	rpc.Handle(mux, pingMethod, func(context.Context, *Ack) (*Ack, error) { return &Ack{}, nil })
}

// Run runs the node until the context ends, and then shuts it down: the node reports not ready, keeps serving
// so that clients notice, drains the frontend and lets requests in flight finish, within the given periods.
func (n *Node) Run(ctx context.Context, periods ShutdownPeriods) {
	var background sync.WaitGroup
	for _, f := range []func(context.Context){
		n.agent.Run, n.maintainWorkerList, n.logReadiness, n.roleBalancer, n.runOutlierDetection, n.sendUsage, n.reportUsage,
	} {
		background.Go(func() { f(n.runContext) })
	}
	<-ctx.Done()
	n.shutDown(newShutdownSchedule(n.now(), periods), &background)
	n.options.Backend.Close()
}

// Summary returns one line on how the time of the node's exchanges was spent.
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
		{"keelstair_rejected_bodies", "Requests that were rejected before their bodies were read.", &n.counts.RejectedBodies},
		{"keelstair_direct_decodes", "Prompts that the decode worker was to read by itself.", &n.counts.Direct},
		{"keelstair_retries", "Attempts after the first.", &n.counts.Retries},
		{"keelstair_continuations", "Streams that another worker continued within one answer.", &n.counts.Continuations},
		{"keelstair_hedges", "Prompts that were read at a second worker besides.", &n.counts.Hedges},
		{"keelstair_ejections", "Workers that were ejected as outliers.", &n.counts.Ejected},
		{"keelstair_fault_notices", "Warnings of silent workers that were sent to peers.", &n.counts.FaultNotices},
	} {
		n.metrics.RegisterGauge(row.name, row.help, func() float64 { return float64(row.count.Load()) })
	}
	n.metrics.RegisterGauge("keelstair_body_bytes", "Bytes of request bodies in memory.", func() float64 {
		return float64(n.BodyBytes())
	})
	if closed := n.options.ConnectionsClosed; closed != nil {
		n.metrics.RegisterGauge("keelstair_connections_closed", "Connections closed so that others had room.", func() float64 {
			return float64(closed())
		})
	}
	n.metrics.RegisterGauge("keelstair_evicted_bodies", "Bodies that were given up, so that no retry was possible.", func() float64 {
		return float64(n.EvictedBodies())
	})
}

// ShuttingDown reports whether the node is shutting down.
func (n *Node) ShuttingDown() bool { return n.shutdown.Load() != nil }

// Ready reports whether new requests can be served here now, and if not, why.
func (n *Node) Ready() (bool, string) {
	switch s := n.snapshot(); {
	case n.ShuttingDown():
		return false, "draining"
	case s.Version == 0:
		return false, "no configuration is in force"
	case len(n.currentList.Load().workers) == 0:
		return false, "no worker is listed"
	case n.versionStale():
		return false, "the configuration may be out of date"
	}
	return true, ""
}

// programsFor returns a snapshot's program set, or else the set that the node started with.
func (n *Node) programsFor(s *fleetstate.Snapshot) *fleetstate.CompiledPrograms {
	if s.Programs != nil {
		return s.Programs
	}
	return n.startupPrograms
}

// Scores returns the scores of the routing programs on this node since it started, by name.
func (n *Node) Scores() *routing.Scores { return &n.scores }

// nodeShare returns one over the estimated number of nodes.
func (n *Node) nodeShare() float64 {
	return 1 / float64(max(1, n.budget.RecordNodeCount(n.now(), len(n.agent.Members()))))
}

// snapshot returns the configuration in force. The failback of a zone is recorded before any request
// is sent there, since its workers may have become cold.
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
		n.options.Ring.Info().Uint64("version", uint64(s.Version)).Uint64("newest", uint64(s.NewestReceivedVersion)).
			Msg("configuration in force")
	}
	if n.options.ClientLimitsChanged != nil {
		n.options.ClientLimitsChanged(s.Configuration.ClientLimits)
	}
	return s
}

// logReadiness logs changes of the node's readiness.
func (n *Node) logReadiness(ctx context.Context) {
	last := "-"
	for host.Sleep(ctx, 100*time.Millisecond) {
		n.isolated(n.now())
		n.applyOverdueVersion()
		if _, reason := n.Ready(); reason != last {
			last = reason
			n.options.Ring.Warn().Str("reason", reason).Bool("ready", reason == "").Msg("readiness changed")
		}
	}
}
