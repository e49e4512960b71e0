// Package router is the data plane: a router node that opens its door to
// origins, carries their requests from worker to worker, and does the keyed
// duties that fall to it. This file joins the parts of a node.
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
	"keelstair.example/internal/routing"
	"keelstair.example/internal/workerclient"
	"keelstair.example/logging"
	"keelstair.example/rpc"
)

// Options of a node; zero spans take the defaults named beside them.
type Options struct {
	Name              string
	Addr              string
	Zone              ids.Zone
	Seeds             []string
	Platform          string
	Host              host.Host
	Ring              *logging.Ring
	LeaseDuration     time.Duration // 3s
	RenewInterval     time.Duration // 500ms
	HeartbeatInterval time.Duration // 150ms between peers
	PollInterval      time.Duration // 200ms between reports of a worker
	ListInterval      time.Duration // 400ms between askings of the platform's list
	OrphanTimeout     time.Duration // 2s, the same as the workers'
	StreamTimeout     time.Duration // 1.2s of silence within a stream
	Trace             func(handoff.Event)
}

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

// Node is one router node.
type Node struct {
	options      Options
	self         coordination.Member
	agent        *coordination.Agent
	view         *fleetstate.View
	workerClient *workerclient.Client
	caller       *rpc.Caller
	httpClient   *http.Client // for what is passed on
	scores       *routing.Scores
	journal      *logging.Journal[handoff.Event]
	counts       Counts

	programSets       sync.Map // ids.Version -> *routing.Deck
	endpoints         atomic.Pointer[map[ids.WorkerID]workerclient.ListedWorker]
	endpointsListedAt atomic.Int64 // when the endpoint list was had
	workerStatuses    atomic.Pointer[map[ids.WorkerID]WorkerStatus]
	leaving           atomic.Pointer[map[ids.WorkerID]bool]
	peers             sync.Map // ids.NodeID -> mate
	duties            sync.Map // ids.WorkerID -> *desk
	faults            sync.Map // ids.WorkerID -> blame
	unresolved        unresolvedClaims
	roleChanges       sync.Map // ids.WorkerID -> ids.Tick
	inflight          atomic.Int64
	kinds             sync.Map // kind -> *atomic.Int64
	stopping          atomic.Bool
	retryBucket       retryBucket
	retryAfter        handoff.RetryAfterScheduler
}

// Counts are the node's figures since it started.
type Counts struct {
	Requests, Completed, Rejected, Aborted, OutcomeUnknown, Replayed, HandedOver, Reattempts, RoleChanges, Forwarded atomic.Int64
}

// New returns a node with the given options, and defaults for those that are left at zero.
// It starts nothing.
func New(opt Options) *Node {
	opt.setDefaults()
	n := &Node{options: opt, scores: &routing.Scores{}, journal: logging.NewJournal[handoff.Event](1024)}
	n.self = coordination.Member{
		Node: ids.NodeID(opt.Name + "-" + coordination.NewID()),
		Addr: opt.Addr,
		Zone: opt.Zone,
	}
	n.view = fleetstate.NewView(opt.Ring)
	n.view.Ready = n.compilePrograms
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

// Self is how the core knows this node.
func (n *Node) Self() coordination.Member { return n.self }

// View shows what the node knows of the state.
func (n *Node) View() *fleetstate.View { return n.view }

// Mount puts the node's answers to its peers on a mux.
func (n *Node) Mount(mux *http.ServeMux) {
	n.agent.Mount(mux)
	rpc.Handle(mux, OrderMethod, n.handleOrder)
	rpc.Handle(mux, heartbeatMethod, n.handleHeartbeat)
	rpc.Handle(mux, SpendMethod, n.handleSpendRetry)
	api.Streams(mux, forwardPath, n.serveForwarded)
}

// Run works until the context ends; then it takes no new work, lets streams
// finish for a while, and says goodbye to the core.
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
		for end := n.now().Add(drain); n.inflight.Load() > 0 && n.now().Before(end); {
			host.Sleep(inner, 50*time.Millisecond)
		}
		n.agent.Leave()
	}
	stop()
	wg.Wait()
	n.workerClient.Close()
	n.httpClient.CloseIdleConnections()
}

// compilePrograms readies the programs of a version before it is in force.
func (n *Node) compilePrograms(v ids.Version, p *fleetstate.Configuration) {
	programs, err := p.CompileSet(n.scores)
	if err != nil {
		n.options.Ring.Error().AnErr("cause", err).Uint64("version", uint64(v)).
			Msg("programs not compiled; built-in order serves")
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

// Ready tells whether new work can be served here now, and if not, why.
func (n *Node) Ready() (bool, string) {
	s := n.view.Current()
	switch {
	case n.stopping.Load():
		return false, "draining"
	case n.agent.Seq() == 0:
		return false, "the core has not been found yet"
	case s.Version == 0:
		return false, "no configuration is in force"
	case s.Zones[n.self.Zone]:
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

// acceptsWork tells whether a worker may get new work under a snapshot.
func (n *Node) acceptsWork(s *fleetstate.Snapshot, id ids.WorkerID) bool {
	w, ok := s.Configuration.Workers[id]
	if !ok || s.Drained[id] || s.Zones[w.Zone] {
		return false
	}
	l, ok := (*n.endpoints.Load())[id]
	return ok && !l.Leaving && !(*n.leaving.Load())[id] && !s.Zones[l.Zone]
}
