// Package router is the data plane. A router node accepts requests from clients, relays them
// between prefill and decode workers, and performs the duties of the coordination keys that it
// holds. The replicated coordination service, of which a node is a member, is called the core in
// names and messages. This file assembles a node from its components.
package router

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/requestbody"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/workerclient"
	"keelstair.example/logging"
	"keelstair.example/rpc"
)

// Options configure a node. A duration of zero takes the default given in its comment.
type Options struct {
	Name              string
	Addr              string
	Zone              ids.Zone
	Seeds             []string
	Platform          string
	Host              host.Host
	Ring              *logging.Ring
	LeaseDuration     time.Duration // default 3s
	RenewInterval     time.Duration // default 500ms
	HeartbeatInterval time.Duration // interval between heartbeats to peers; default 150ms
	PollInterval      time.Duration // interval between requests for a worker's report; default 200ms
	ListInterval      time.Duration // interval between requests for the platform's worker list; default 400ms
	OrphanTimeout     time.Duration // default 2s, the same as the workers' orphan timeout
	StreamTimeout     time.Duration // maximum silence within a stream; default 1.2s
	Trace             func(handoff.Event)
	MemoryLimit       int64 // memory of the process in bytes, of which a share is for the bodies of requests; default none
}

// setDefaults replaces unset options by their defaults.
func (o *Options) setDefaults() {
	ids.SetDefault(&o.LeaseDuration, 3*time.Second)
	ids.SetDefault(&o.RenewInterval, 500*time.Millisecond)
	ids.SetDefault(&o.HeartbeatInterval, 150*time.Millisecond)
	ids.SetDefault(&o.PollInterval, 200*time.Millisecond)
	ids.SetDefault(&o.ListInterval, 400*time.Millisecond)
	ids.SetDefault(&o.OrphanTimeout, 2*time.Second)
	ids.SetDefault(&o.StreamTimeout, 1200*time.Millisecond)
	if o.Ring == nil {
		o.Ring = logging.Discard()
	}
}

// Node is a router process: it serves client requests and dispatches them to workers.
type Node struct {
	options      Options
	self         coordination.Member
	agent        *coordination.Agent
	view         *fleetstate.View
	workerClient *workerclient.Client
	caller       *rpc.Caller
	httpClient   *http.Client // for forwarded requests
	scores       *routing.Scores
	journal      *logging.Journal[handoff.Event]
	counts       Counts

	programSets       sync.Map // ids.Version -> *routing.ProgramSet
	endpoints         atomic.Pointer[map[ids.WorkerID]workerclient.ListedWorker]
	endpointsListedAt atomic.Int64 // when the endpoint list was last received
	workerStatuses    atomic.Pointer[map[ids.WorkerID]WorkerStatus]
	leaving           atomic.Pointer[map[ids.WorkerID]bool]
	peers             sync.Map // ids.NodeID -> peerStatus
	duties            sync.Map // ids.WorkerID -> *workerDuty
	faults            sync.Map // ids.WorkerID -> faultCount
	unresolved        unresolvedClaims
	roleChanges       sync.Map     // ids.WorkerID -> ids.Tick of its last role change
	inProgress        atomic.Int64 // requests of clients and peers, including those that are forwarded
	inflight          atomic.Int64 // streams that count against the limit of the configuration
	kinds             sync.Map     // kind -> *atomic.Int64, its requests in flight
	stopping          atomic.Bool
	retryBucket       retryBucket
	retryAfter        handoff.RetryAfterScheduler
	bodies            *requestbody.Memory
}

// Counts holds the node's counters since it started. Rejected requests may be retried later, Aborted
// ones broke off after the first token, HandedOver counts resumes at a decode worker, and
// RoleChanges counts role changes of workers.
type Counts struct {
	Requests, Completed, Rejected, Aborted, OutcomeUnknown,
	Replayed, HandedOver, Reattempts, RoleChanges, Forwarded atomic.Int64
}

// New returns a node that has not been started. Options left at zero take their defaults.
func New(opt Options) *Node {
	opt.setDefaults()
	n := &Node{
		options: opt,
		scores:  &routing.Scores{},
		journal: logging.NewJournal[handoff.Event](1024),
		bodies:  requestbody.NewProcessMemory(opt.MemoryLimit),
	}
	n.self = coordination.Member{
		Node: ids.NodeID(opt.Name + "-" + coordination.NewID()),
		Addr: opt.Addr,
		Zone: opt.Zone,
	}
	n.view = fleetstate.NewView(opt.Ring)
	n.view.OnParsed = n.compilePrograms
	n.agent = coordination.NewAgent(coordination.AgentOptions{
		Self:            n.self,
		Host:            opt.Host,
		Seeds:           opt.Seeds,
		Watcher:         n.view,
		Ring:            opt.Ring,
		LeaseDuration:   opt.LeaseDuration,
		RenewInterval:   opt.RenewInterval,
		CoreUnreachable: n.coreUnreachable,
	})
	n.caller = n.agent.Caller()
	n.workerClient = workerclient.New(opt.Host.Net)
	n.httpClient = rpc.NewHTTPClient(opt.Host.Net)
	n.endpoints.Store(&map[ids.WorkerID]workerclient.ListedWorker{})
	n.workerStatuses.Store(&map[ids.WorkerID]WorkerStatus{})
	n.leaving.Store(&map[ids.WorkerID]bool{})
	n.journal.Subscribe(n.countEvent)
	if opt.Trace != nil {
		n.journal.Subscribe(opt.Trace)
	}
	return n
}

// countEvent updates the counters from an event of the handoff journal.
func (n *Node) countEvent(e handoff.Event) {
	switch e.Step {
	case handoff.Resumed:
		n.counts.HandedOver.Add(1)
	case handoff.Granted:
		if e.ID.Attempt > 1 {
			n.counts.Reattempts.Add(1)
		}
	}
}

func (n *Node) now() ids.Tick { return n.options.Host.Clock.Now() }

// Self returns this node's entry in the membership.
func (n *Node) Self() coordination.Member { return n.self }

// View returns the node's view of the replicated state.
func (n *Node) View() *fleetstate.View { return n.view }

// Mount registers the handlers for requests from other nodes.
func (n *Node) Mount(mux *http.ServeMux) {
	n.agent.Mount(mux)
	rpc.Handle(mux, OrderMethod, n.handleOrder)
	rpc.Handle(mux, heartbeatMethod, n.handleHeartbeat)
	rpc.Handle(mux, SpendMethod, n.handleSpendRetry)
	forwarded := http.NewServeMux()
	api.HandleStreams(forwarded, forwardPath, n.serveForwarded)
	mux.Handle(forwardPath, n.limitBodies(forwarded))
}

// Run runs the node until the context ends. It then accepts no new requests, waits up to the drain
// time for running streams, and leaves the membership. If the drain time is zero, it stops at once
// and does not leave.
func (n *Node) Run(ctx context.Context, drain time.Duration) {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){
		n.agent.Run, n.heartbeatLoop, n.watchEndpoints, n.dutyLoop, n.resolutionLoop, n.unresolvedClaimsLoop,
		n.roleBalanceLoop,
	} {
		wg.Go(func() { f(inner) })
	}
	<-ctx.Done()
	n.stopping.Store(true)
	if drain > 0 {
		for deadline := n.now().Add(drain); n.inProgress.Load() > 0 && n.now().Before(deadline); {
			host.Sleep(inner, 50*time.Millisecond)
		}
		n.agent.Leave()
	}
	stop()
	wg.Wait()
	n.workerClient.Close()
	n.httpClient.CloseIdleConnections()
}

// compilePrograms compiles the routing programs of a version before it is in force. It keeps those
// of the eight versions before it.
func (n *Node) compilePrograms(v ids.Version, configuration *fleetstate.Configuration) {
	programs, err := configuration.CompilePrograms(n.scores)
	if err != nil {
		n.options.Ring.Error().AnErr("cause", err).Uint64("version", uint64(v)).
			Msg("failed to compile routing programs, using the built-in order")
		programs, _ = routing.NewProgramSet(nil, 0, n.scores)
	}
	n.programSets.Store(v, programs)
	n.programSets.Range(func(k, _ any) bool {
		if k.(ids.Version)+8 < v {
			n.programSets.Delete(k)
		}
		return true
	})
}

// Ready reports whether this node can serve new requests now and, if not, the reason.
func (n *Node) Ready() (bool, string) {
	s := n.view.Current()
	switch {
	case n.stopping.Load():
		return false, "draining"
	case n.agent.Seq() == 0:
		return false, "the core has not been found yet"
	case s.Version == 0:
		return false, "no configuration is in force"
	case s.EvacuatedZones[n.self.Zone]:
		return false, "the zone is evacuated"
	case !n.agent.Leased() && !n.coreUnreachable():
		return false, "the lease has lapsed"
	}
	ready := map[ids.Role]bool{}
	for _, st := range *n.workerStatuses.Load() {
		if st.Ready && n.acceptsWork(s, st.ID) {
			ready[st.Role] = true
		}
	}
	if !ready[ids.Prefill] || !ready[ids.Decode] {
		return false, "no prefill and decode worker is ready"
	}
	return true, ""
}

// acceptsWork reports whether a worker may get new work under a snapshot.
func (n *Node) acceptsWork(s *fleetstate.Snapshot, id ids.WorkerID) bool {
	w, ok := s.Configuration.Workers[id]
	if !ok || s.DrainedWorkers[id] || s.EvacuatedZones[w.Zone] {
		return false
	}
	endpoint, ok := (*n.endpoints.Load())[id]
	return ok && !endpoint.Leaving && !(*n.leaving.Load())[id] && !s.EvacuatedZones[endpoint.Zone]
}
