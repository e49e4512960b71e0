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
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/routing"
	"keelstair.example/logging"
	"keelstair.example/rpc"
)

// Options of a node; zero spans and numbers take the defaults named beside them.
type Options struct {
	Name    string
	Addr    string
	Zone    ids.Zone
	Seeds   []string
	Host    host.Host
	Ring    *logging.Ring
	Back    Backend
	Read    fleetstate.ConfigurationReader // of the operators' text; fleetstate.Plain
	Deck    []routing.Source               // routing programs until the core has a set, beside the built-in order
	Steps   uint64                         // 20000: that one of these may take for one request
	Lease   time.Duration                  // 3s
	Renew   time.Duration                  // 500ms
	Share   time.Duration                  // 250ms between tellings of what is under way
	Roster  time.Duration                  // 700ms between askings of the list of workers
	Rate    float64                        // 0: askings of the list a second that all nodes have; 0 is no bound
	Ratio   float64                        // 0.2: repeats for each request
	Window  time.Duration                  // 10s over which repeats are counted
	Allow   int                            // 0: repeats that all nodes have besides
	Over    float64                        // 1.5: of a cold worker's rate
	Spare   int                            // 5: requests besides that in a second
	Silence time.Duration                  // 900ms: a reading worker that says nothing is left
	Pace    float64                        // 50: prompt tokens that a worker reads in a ms
	Turn    time.Duration                  // 500ms between looks at whether a worker should change its part; below 0 never
	Rest    float64                        // 0.55: of a service's workers read while nothing is under way; below 0 none is turned for it
	Eject   time.Duration                  // 2s: that a worker whose failures stand out is left out at first; below 0 never
	Out     float64                        // 0.34: of a service's part may be out at once, by failures
	Say     float64                        // 4: sendings that another node's word of a worker counts for; below 0 none is heard
	NoRoom  float64                        // 5: ms that a worker counts as farther that lacks all the memory needed; below 0 none
	Admit   float64                        // 3: times its aim that a request may be reckoned to take before some are refused early; below 0 none is
	Fresh   time.Duration                  // 1s: the age of what is known of workers beyond which none is refused early
	Callers int                            // 4096: refused callers that are remembered
	Flat    int                            // 96: nodes up to which all ask the holder of the list
	Width   int                            // 12: nodes that ask one other in a larger fleet
	// Drain is called once as the node leaves: it lets no caller in any more, and returns
	// when those that are in were answered or the context ends.
	Drain func(context.Context) error
	Trace func(Event)
}

func (o *Options) fill() {
	ids.SetDefault(&o.Lease, 3*time.Second)
	ids.SetDefault(&o.Renew, 500*time.Millisecond)
	ids.SetDefault(&o.Share, 250*time.Millisecond)
	ids.SetDefault(&o.Roster, 700*time.Millisecond)
	ids.SetDefault(&o.Window, 10*time.Second)
	ids.SetDefault(&o.Turn, 500*time.Millisecond)
	ids.SetDefault(&o.Silence, 900*time.Millisecond)
	ids.SetDefault(&o.Eject, 2*time.Second)
	if o.Ratio == 0 {
		o.Ratio = 0.2
	}
	if o.Over == 0 {
		o.Over = 1.5
	}
	if o.Spare == 0 {
		o.Spare = 5
	}
	if o.Pace == 0 {
		o.Pace = 50
	}
	if o.Rest == 0 {
		o.Rest = 0.55
	}
	if o.Out == 0 {
		o.Out = 0.34
	}
	if o.Say == 0 {
		o.Say = 4
	}
	ids.SetDefault(&o.Fresh, time.Second)
	if o.Admit == 0 {
		o.Admit = 3
	}
	if o.Callers == 0 {
		o.Callers = 4096
	}
	if o.Flat == 0 {
		o.Flat = 96
	}
	if o.Width == 0 {
		o.Width = 12
	}
	if o.NoRoom == 0 {
		o.NoRoom = 5
	}
	if o.Steps == 0 {
		o.Steps = 20000
	}
	if o.Ring == nil {
		o.Ring = logging.Discard()
	}
}

// Counts are the node's figures since it started.
type Counts struct {
	Asked, Done, Refused, Broken, Direct, Again, Early, Ejected, Readmitted atomic.Int64
}

// Node is one router node for opaque requests.
type Node struct {
	opt         Options
	me          coordination.Member
	agent       *coordination.Agent
	view        *fleetstate.View
	counts      Counts
	budget      budget
	scores      routing.Scores               // outlive the programs' sets
	first       *fleetstate.CompiledPrograms // rules until the core has a set
	roster      atomic.Pointer[roster]
	states      sync.Map // ids.WorkerID -> *state
	warm        warm
	told        sync.Map // ids.NodeID -> told
	above       atomic.Pointer[above]
	listTook    atomic.Int64 // ns that the platform took for the list, or for that of who gave it
	listChanged signal
	backs       sync.Map // ids.Zone -> failback, of those that were evacuated
	tally       tally
	stir        atomic.Bool  // an outcome is yet to be judged
	outs        atomic.Int64 // workers that are ejected or on probation
	toldAt      atomic.Int64 // ids.Tick when others' outcomes were heard
	deaf        atomic.Int64 // ids.Tick when nobody had been heard for a while, last
	board       board
	table       atomic.Pointer[table]
	gate        gate
	tide        handoff.Tide
	seen        atomic.Pointer[fleetstate.Snapshot]
	seeing      sync.Mutex
	inflight    atomic.Int64
	leaving     atomic.Bool
	inner       context.Context // ends with Run
	stop        context.CancelFunc
}

// New makes a node; it starts nothing.
func New(opt Options) (*Node, error) {
	opt.fill()
	n := &Node{opt: opt, budget: newBudget(opt.Window), warm: newWarm(), tide: handoff.Tide{Least: 2}}
	deck, err := routing.NewProgramSet(opt.Deck, opt.Steps, &n.scores)
	if err != nil {
		return nil, err
	}
	n.first = &fleetstate.CompiledPrograms{Set: deck}
	n.me = coordination.Member{Node: ids.NodeID(opt.Name + "-" + coordination.NewID()), Addr: opt.Addr, Zone: opt.Zone}
	n.view = fleetstate.NewView(opt.Ring)
	n.view.Read, n.view.Scores = opt.Read, &n.scores
	n.agent = coordination.NewAgent(coordination.AgentOptions{Self: n.me, Host: opt.Host, Seeds: opt.Seeds, Watcher: n.view, Ring: opt.Ring, LeaseDuration: opt.Lease, RenewInterval: opt.Renew})
	n.roster.Store(&roster{})
	n.inner, n.stop = context.WithCancel(context.Background())
	return n, nil
}

func (n *Node) now() ids.Tick { return n.opt.Host.Clock.Now() }

// View shows what the node knows of the configuration.
func (n *Node) View() *fleetstate.View { return n.view }

// Directory is where the node knows others from.
func (n *Node) Directory() *coordination.Directory { return n.agent.Directory() }

// Counts gives the node's figures.
func (n *Node) Counts() *Counts { return &n.counts }

// Intake tells what callers may send under the version in force.
func (n *Node) Intake() fleetstate.ClientLimits { return n.sight().Configuration.ClientLimits }

// Mount puts the node's answers to its peers on a mux.
func (n *Node) Mount(mux *http.ServeMux) {
	n.agent.Mount(mux)
	rpc.Handle(mux, "relay/alarm", n.hear)
	rpc.Handle(mux, "relay/list", n.serveList)
	rpc.Handle(mux, "relay/alive", func(context.Context, *Heard) (*Heard, error) { return &Heard{}, nil })
}

// Run works until the context ends; then it says that it is not ready, goes on for the
// linger so that callers hear of it, has the door drained, and lets what is under way
// finish within the grace.
func (n *Node) Run(ctx context.Context, linger, grace time.Duration) {
	inner := n.inner
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){n.agent.Run, n.rosters, n.watch, n.turner, n.ejector} {
		wg.Go(func() { f(inner) })
	}
	<-ctx.Done()
	n.leaving.Store(true)
	began := n.now()
	host.Sleep(inner, linger)
	if n.opt.Drain != nil {
		cx, stop := context.WithTimeout(inner, max(0, grace-n.now().Since(began)))
		if err := n.opt.Drain(cx); err != nil {
			n.opt.Ring.Info().AnErr("cause", err).Msg("callers are left unanswered")
		}
		stop()
	}
	for !n.now().Past(began, grace) && n.inflight.Load() > 0 {
		host.Sleep(inner, 50*time.Millisecond)
	}
	n.agent.Leave()
	n.stop()
	wg.Wait()
	n.opt.Back.Close()
}

// Leaving tells that the node was told to stop.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Ready tells whether new work can be served here now, and if not, why.
func (n *Node) Ready() (bool, string) {
	switch s := n.sight(); {
	case n.leaving.Load():
		return false, "draining"
	case s.Version == 0:
		return false, "no configuration is in force"
	case len(n.roster.Load().all) == 0:
		return false, "no worker is listed"
	}
	return true, ""
}

// deal is the program set that a sight has, else the one the node began with.
func (n *Node) deal(s *fleetstate.Snapshot) *fleetstate.CompiledPrograms {
	if s.Programs != nil {
		return s.Programs
	}
	return n.first
}

// Scores tell how the programs fare at this node since it started, by name.
func (n *Node) Scores() *routing.Scores { return &n.scores }

// share is one over the number of nodes that there may be.
func (n *Node) share() float64 {
	return 1 / float64(max(1, n.budget.peers(n.now(), len(n.agent.Members()))))
}

// sight is what is in force. A zone that was taken back is noted before anything is sent
// there, since its workers may have turned cold.
func (n *Node) sight() *fleetstate.Snapshot {
	s := n.view.Current()
	if n.seen.Load() == s {
		return s
	}
	n.seeing.Lock()
	defer n.seeing.Unlock()
	for z, f := range s.Failbacks {
		if v, ok := n.backs.Load(z); !ok || v.(failback).no != f.Number {
			n.backs.Store(z, failback{f.Number, n.now().Add(-time.Duration(f.Ago))})
		}
	}
	n.seen.Store(s)
	return s
}

// watch logs when the node turns ready or not.
func (n *Node) watch(ctx context.Context) {
	last := "-"
	for host.Sleep(ctx, 100*time.Millisecond) {
		n.unheard(n.now())
		if _, why := n.Ready(); why != last {
			last = why
			n.opt.Ring.Info().Str("why", why).Bool("ready", why == "").Msg("readiness")
		}
	}
}
