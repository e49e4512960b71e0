// An Agent is a node's side of the core: it holds the node's lease, follows the
// the change feed (from the core, or from a peer while the core is away) and knows
// which keys the node may act under at this very moment.

package coordination

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/logging"
	"keelstair.example/rpc"
)

// Watcher is the embedder's view, folded from the open part of the log. Fold
// tells whether the core should learn at once that the node has seen the entry.
type Watcher interface {
	Restore(open []byte) error
	Observe(seq ids.Seq, kind string, body []byte) (loud bool)
	Snapshot() []byte
}

// A Batcher is a Watcher that wants to know which entries came together: Batch runs observe,
// which calls Observe for each of them.
type Batcher interface {
	Batch(observe func())
}

// AgentOptions name a node to the core.
type AgentOptions struct {
	Self            Member
	Host            host.Host
	Seeds           []string
	Watcher         Watcher
	Ring            *logging.Ring
	LeaseDuration   time.Duration // 3s, the same as the core's
	RenewInterval   time.Duration // 500ms
	MaxTickGap      time.Duration // 1s between ticks means that the process slept
	CoreUnreachable func() bool   // tells that the core, not this node, is away
}

type clusterView struct {
	seq     ids.Seq
	fence   ids.Fence
	members []Member
	grants  map[ids.Key]Grant
}

// Agent is safe for use by many threads. NewAgent makes one, Mount and Run start it.
type Agent struct {
	options   AgentOptions
	caller    *rpc.Caller
	directory *Directory
	feed      *feed

	mu        sync.Mutex
	feedEpoch ids.Epoch // of the change feed that was taken last; an older one is not taken

	view atomic.Pointer[clusterView]

	confirmations confirmations
	prober        prober

	leaseExpiry  atomic.Int64
	confirmedAt  atomic.Int64
	minSeq       atomic.Uint64
	confirmedSeq atomic.Uint64
	lastTick     atomic.Int64
	leaving      atomic.Bool
	sample       atomic.Pointer[timeSample]
	maxTime      atomic.Int64 // the most that Time gave
	renewNow     chan struct{}
	operations   sync.Map
	revoked      sync.Map
}

// NewAgent makes an agent; zero spans of its options take their defaults. It starts nothing.
func NewAgent(opt AgentOptions) *Agent {
	ids.SetDefault(&opt.LeaseDuration, 3*time.Second)
	ids.SetDefault(&opt.RenewInterval, 500*time.Millisecond)
	ids.SetDefault(&opt.MaxTickGap, time.Second)
	if opt.Ring == nil {
		opt.Ring = logging.Discard()
	}
	a := &Agent{options: opt, caller: rpc.NewCaller(opt.Host.Net), feed: newFeed(), renewNow: make(chan struct{}, 1)}
	a.directory = NewDirectory(opt.Host, a.caller, opt.Seeds, Replica{Addr: opt.Self.Addr})
	a.view.Store(&clusterView{grants: map[ids.Key]Grant{}})
	a.lastTick.Store(int64(opt.Host.Clock.Now()))
	return a
}

// Directory is what the agent knows of where everyone is.
func (a *Agent) Directory() *Directory { return a.directory }

// Caller asks other processes over the agent's network.
func (a *Agent) Caller() *rpc.Caller { return a.caller }

// Self is the node that the agent is for.
func (a *Agent) Self() Member { return a.options.Self }

// Mount lets peers ask directory and the change feed of this node.
func (a *Agent) Mount(mux *http.ServeMux) {
	a.directory.Serve(mux)
	rpc.Handle(mux, WatchMethod, func(ctx context.Context, request *WatchRequest) (*WatchResponse, error) {
		if a.view.Load().seq == 0 {
			return nil, failure.New(failure.Unavailable, "news", a.options.Self.Addr, "nothing is known yet")
		}
		r, err := a.feed.watch(ctx, request, func() (*Snapshot, error) { return a.snapshot(), nil })
		if err == nil {
			a.mu.Lock()
			r.Epoch = a.feedEpoch
			a.mu.Unlock()
		}
		return r, err
	})
}

func (a *Agent) snapshot() *Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.view.Load()
	snapshot := &Snapshot{Seq: s.seq, Fence: s.fence, Members: s.members, State: a.options.Watcher.Snapshot()}
	for _, g := range s.grants {
		snapshot.Grants = append(snapshot.Grants, g)
	}
	return snapshot
}

// Run keeps the lease, the change feed and the directory until the context ends, and then says
// goodbye, so that its keys pass on at once.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		a.directory.Run(ctx, func() bool {
			return a.confirmedAt.Load() > 0 && a.SinceConfirmed() < 3*a.options.RenewInterval
		})
	})
	wg.Go(func() { a.follow(ctx) })
	wg.Go(func() { a.renewLoop(ctx) })
	wg.Go(func() { a.probeLoop(ctx) })
	wg.Go(func() {
		for host.Sleep(ctx, a.options.MaxTickGap/8) {
			a.LeaseValid()
		}
	})
	wg.Wait()
	if a.leaving.Load() {
		callContext, stop := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer stop()
		a.renew(callContext)
	}
	a.caller.Close()
}

// Leave makes the end of Run a goodbye.
func (a *Agent) Leave() { a.leaving.Store(true) }

// LeaseValid notes the tick. After a gap (the machine slept) the lease counts as
// lapsed until it is renewed anew.
func (a *Agent) LeaseValid() bool {
	now := a.options.Host.Clock.Now()
	previous := ids.Tick(a.lastTick.Load())
	if now.Past(previous, a.options.MaxTickGap) {
		a.leaseExpiry.Store(0)
		a.forgetTime()
		a.options.Ring.Warn().Dur("gap", now.Since(previous)).Msg("lease expired: process was suspended")
	}
	a.lastTick.Store(int64(now))
	return a.leaseExpiry.Load() > int64(now)
}

// Leased tells whether the lease holds now.
func (a *Agent) Leased() bool { return a.LeaseValid() }

// SinceConfirmed tells for how long the core has not confirmed this node.
func (a *Agent) SinceConfirmed() time.Duration {
	return a.options.Host.Clock.Now().Since(ids.Tick(a.confirmedAt.Load()))
}

// CaughtUp tells that the core confirmed this node within a span, and that the change feed up
// to that confirmation is folded here.
func (a *Agent) CaughtUp(duration time.Duration) bool {
	return a.SinceConfirmed() <= duration && uint64(a.Seq()) >= a.confirmedSeq.Load()
}

// OwnsKey gives the fence of a key if this node may act under it now. While the
// core as a whole is away the last view is kept; workers refuse older fences.
func (a *Agent) OwnsKey(k ids.Key) (ids.Fence, bool) {
	leased := a.LeaseValid()
	s := a.view.Load()
	g, ok := s.grants[k]
	if !ok || g.Node != a.options.Self.Node || uint64(s.seq) < a.minSeq.Load() {
		return 0, false
	}
	if _, gone := a.revoked.Load(k); gone {
		return 0, false
	}
	if !leased && (a.confirmedAt.Load() == 0 || a.options.CoreUnreachable == nil || !a.options.CoreUnreachable()) {
		return 0, false
	}
	return g.Fence, true
}

// BeginOperation marks an order under a key as under way, so that the key is given back
// only when it has ended.
func (a *Agent) BeginOperation(k ids.Key) (ids.Fence, func(), bool) {
	n, _ := a.operations.LoadOrStore(k, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	end := func() { n.(*atomic.Int64).Add(-1) }
	f, ok := a.OwnsKey(k)
	if !ok {
		end()
		return 0, nil, false
	}
	return f, end, true
}

// KeyOwner gives the member that does a key's duty as far as is known.
func (a *Agent) KeyOwner(k ids.Key) (Member, ids.Fence, bool) {
	s := a.view.Load()
	g, ok := s.grants[k]
	if !ok {
		return Member{}, 0, false
	}
	for _, m := range s.members {
		if m.Node == g.Node {
			return m, g.Fence, true
		}
	}
	return Member{}, 0, false
}

// OwnedKeys lists the keys granted to this node.
func (a *Agent) OwnedKeys() []Grant {
	var out []Grant
	for _, g := range a.view.Load().grants {
		if g.Node == a.options.Self.Node {
			out = append(out, g)
		}
	}
	return out
}

// Members are the nodes that hold a lease, as far as the change feed was taken.
func (a *Agent) Members() []Member { return a.view.Load().members }

// Seq is the number of the log up to which the change feed was taken.
func (a *Agent) Seq() ids.Seq { return a.view.Load().seq }

func (a *Agent) renewLoop(ctx context.Context) {
	for {
		callContext, stop := context.WithTimeout(ctx, 900*time.Millisecond)
		err := a.renew(callContext)
		stop()
		wait := a.options.RenewInterval*4/5 + rand.N(a.options.RenewInterval*2/5)
		if err != nil {
			wait = 100*time.Millisecond + rand.N(150*time.Millisecond)
			if ctx.Err() == nil {
				a.directory.Query(ctx, 3)
			}
		}
		t := host.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-a.renewNow:
			t.Stop()
		}
	}
}

// RenewNow renews now, so that the core learns how far the change feed was folded.
func (a *Agent) RenewNow() {
	select {
	case a.renewNow <- struct{}{}:
	default:
	}
}

func (a *Agent) renew(ctx context.Context) error {
	now := a.options.Host.Clock.Now()
	a.LeaseValid() // after a leap of the clock no time is told on
	request := &RenewRequest{Self: a.options.Self, Applied: a.Seq(), Leaving: a.leaving.Load()}
	request.Time, _ = a.Time()
	a.revoked.Range(func(k, g any) bool {
		if n, ok := a.operations.Load(k); !ok || n.(*atomic.Int64).Load() == 0 {
			request.Released = append(request.Released, g.(Grant))
		}
		return true
	})
	r, err := rpc.Call[RenewRequest, RenewResponse](
		ctx, a.caller, a.directory.Addr(a.directory.Record().Primary), RenewMethod, request,
	)
	if err != nil {
		return err
	}
	if a.leaseExpiry.Load() <= int64(a.options.Host.Clock.Now()) {
		a.minSeq.Store(uint64(r.Seq))
	}
	a.confirmedSeq.Store(uint64(r.Seq))
	a.confirmations.add(confirmation{now, r.Seq})
	if r.Time != 0 {
		a.sample.Store(&timeSample{r.Time, now, a.options.Host.Clock.Now()})
	}
	a.leaseExpiry.Store(int64(now.Add(a.options.LeaseDuration)))
	a.confirmedAt.Store(int64(now))
	for _, g := range r.Revoked {
		if _, had := a.revoked.LoadOrStore(g.Key, g); !had {
			a.RenewNow()
		}
	}
	return nil
}
