// An Agent is the client of the core on a node: it holds the node's lease, follows the change feed
// (of the core, or of a peer while the core is unreachable) and knows which keys the node owns now.

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

// Watcher is the embedder's view, built from the published part of the log. Observe reports whether
// the node should renew its lease immediately to tell the core that it has seen the entry.
type Watcher interface {
	Restore(published []byte) error
	Observe(seq ids.Seq, kind string, body []byte) (urgent bool)
	Snapshot() []byte
}

// Batcher is an optional interface of a Watcher that processes entries which arrived together as one
// batch. Batch must call observe, which calls Observe for each entry of the batch.
type Batcher interface {
	Batch(observe func())
}

// AgentOptions configure an agent. Durations that are zero take the defaults named beside them.
type AgentOptions struct {
	Self            Member
	Host            host.Host
	Seeds           []string
	Watcher         Watcher
	Ring            *logging.Ring
	LeaseDuration   time.Duration // 3s, the same as the core's
	RenewInterval   time.Duration // 500ms
	MaxTickGap      time.Duration // 1s: a longer time between ticks means that the process was suspended
	CoreUnreachable func() bool   // reports whether the core as a whole is unreachable, not only from this node
}

// clusterView is the core's own state as of a log entry.
type clusterView struct {
	seq     ids.Seq
	fence   ids.Fence
	members []Member
	grants  map[ids.Key]Grant
}

// Agent holds a node's lease, follows the change feed and submits commands. NewAgent creates one, Mount and
// Run start it. It is safe for concurrent use.
type Agent struct {
	options   AgentOptions
	caller    *rpc.Caller
	directory *Directory
	feed      *feed

	mu        sync.Mutex
	feedEpoch ids.Epoch // of the last accepted watch response; responses of older epochs are rejected

	view atomic.Pointer[clusterView]

	confirmations confirmations
	prober        prober

	leaseExpiry      atomic.Int64
	confirmedAt      atomic.Int64
	minSeq           atomic.Uint64
	confirmedSeq     atomic.Uint64
	lastTick         atomic.Int64
	leaving          atomic.Bool
	sample           atomic.Pointer[timeSample]
	maxTime          atomic.Int64 // the highest upper bound that Time returned
	renewRequested   chan struct{}
	activeOperations sync.Map
	revokedGrants    sync.Map
}

// NewAgent returns an agent without starting it.
func NewAgent(options AgentOptions) *Agent {
	ids.SetDefault(&options.LeaseDuration, 3*time.Second)
	ids.SetDefault(&options.RenewInterval, 500*time.Millisecond)
	ids.SetDefault(&options.MaxTickGap, time.Second)
	if options.Ring == nil {
		options.Ring = logging.Discard()
	}
	a := &Agent{
		options:        options,
		caller:         rpc.NewCaller(options.Host.Net),
		feed:           newFeed(),
		renewRequested: make(chan struct{}, 1),
	}
	a.directory = NewDirectory(options.Host, a.caller, options.Seeds, Replica{Addr: options.Self.Addr})
	a.view.Store(&clusterView{grants: map[ids.Key]Grant{}})
	a.lastTick.Store(int64(options.Host.Clock.Now()))
	return a
}

// Directory returns the agent's directory of other processes.
func (a *Agent) Directory() *Directory { return a.directory }

// Caller returns the RPC client on the agent's network.
func (a *Agent) Caller() *rpc.Caller { return a.caller }

// Self returns the node that the agent runs on.
func (a *Agent) Self() Member { return a.options.Self }

// Mount registers the handlers for directory exchanges and for peers that watch this node's change feed.
func (a *Agent) Mount(mux *http.ServeMux) {
	a.directory.Serve(mux)
	rpc.Handle(mux, WatchMethod, func(ctx context.Context, request *WatchRequest) (*WatchResponse, error) {
		if a.view.Load().seq == 0 {
			return nil, failure.New(failure.Unavailable, "news", a.options.Self.Addr, "no change feed received yet")
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

// snapshot returns the published state as this node knows it.
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

// LeaveTimeout is the time limit for giving up the lease at the end of Run.
const LeaveTimeout = 700 * time.Millisecond

// Run maintains the lease, the change feed and the directory until the context ends. After Leave it
// then gives up the lease, so that the node's keys are reassigned without waiting for its expiry.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		a.directory.Run(ctx, func() bool {
			return a.confirmedAt.Load() > 0 && a.SinceConfirmed() < 3*a.options.RenewInterval
		})
	})
	wg.Go(func() { a.followFeed(ctx) })
	wg.Go(func() { a.renewLoop(ctx) })
	wg.Go(func() { a.probeLoop(ctx) })
	wg.Go(func() {
		for host.Sleep(ctx, a.options.MaxTickGap/8) {
			a.LeaseValid()
		}
	})
	wg.Wait()
	if a.leaving.Load() {
		callContext, stop := context.WithTimeout(context.Background(), LeaveTimeout)
		defer stop()
		a.renew(callContext)
	}
	a.caller.Close()
}

// Leave makes Run give up the lease when it ends.
func (a *Agent) Leave() { a.leaving.Store(true) }

// LeaseValid reports whether the lease holds, and records the current tick. If the time since the last
// tick exceeds MaxTickGap, the machine was suspended, and the lease counts as expired until it is renewed.
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

// Leased reports whether the lease holds now.
func (a *Agent) Leased() bool { return a.LeaseValid() }

// SinceConfirmed returns the time since this node sent the last renewal that the core has confirmed.
func (a *Agent) SinceConfirmed() time.Duration {
	return a.options.Host.Clock.Now().Since(ids.Tick(a.confirmedAt.Load()))
}

// CaughtUp reports whether the last confirmed renewal was sent within a duration and this node has applied
// the change feed up to that confirmation.
func (a *Agent) CaughtUp(duration time.Duration) bool {
	return a.SinceConfirmed() <= duration && uint64(a.Seq()) >= a.confirmedSeq.Load()
}

// OwnsKey returns the fencing token of a key and whether this node owns the key now. While the core as a
// whole is unreachable, the last view stays valid, since workers refuse older fencing tokens.
func (a *Agent) OwnsKey(k ids.Key) (ids.Fence, bool) {
	leased := a.LeaseValid()
	s := a.view.Load()
	g, ok := s.grants[k]
	if !ok || g.Node != a.options.Self.Node || uint64(s.seq) < a.minSeq.Load() {
		return 0, false
	}
	if _, revoked := a.revokedGrants.Load(k); revoked {
		return 0, false
	}
	if !leased && (a.confirmedAt.Load() == 0 || a.options.CoreUnreachable == nil || !a.options.CoreUnreachable()) {
		return 0, false
	}
	return g.Fence, true
}

// BeginOperation begins an operation under a key, if this node owns it. The key is released only after the
// returned function was called at the end of the operation.
func (a *Agent) BeginOperation(k ids.Key) (ids.Fence, func(), bool) {
	n, _ := a.activeOperations.LoadOrStore(k, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	end := func() { n.(*atomic.Int64).Add(-1) }
	f, ok := a.OwnsKey(k)
	if !ok {
		end()
		return 0, nil, false
	}
	return f, end, true
}

// KeyOwner returns the member that owns a key, as far as this node knows.
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

// OwnedKeys returns the grants of this node.
func (a *Agent) OwnedKeys() []Grant {
	var out []Grant
	for _, g := range a.view.Load().grants {
		if g.Node == a.options.Self.Node {
			out = append(out, g)
		}
	}
	return out
}

// Members returns the nodes that hold a lease, as of the last applied entry.
func (a *Agent) Members() []Member { return a.view.Load().members }

// Seq returns the sequence number of the last entry that was applied from the change feed.
func (a *Agent) Seq() ids.Seq { return a.view.Load().seq }

// renewLoop renews the lease until the context ends. After a failure it queries the directory for the
// primary and retries sooner.
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
		case <-a.renewRequested:
			t.Stop()
		}
	}
}

// RenewNow triggers a renewal, which tells the core how far this node has applied the change feed.
func (a *Agent) RenewNow() {
	select {
	case a.renewRequested <- struct{}{}:
	default:
	}
}

// renew renews the lease and releases the revoked keys under which no operation is active.
func (a *Agent) renew(ctx context.Context) error {
	now := a.options.Host.Clock.Now()
	a.LeaseValid() // drops the time sample after a clock jump, so that it is not reported
	request := &RenewRequest{Self: a.options.Self, Applied: a.Seq(), Leaving: a.leaving.Load()}
	request.Time, _ = a.Time()
	a.revokedGrants.Range(func(k, g any) bool {
		if n, ok := a.activeOperations.Load(k); !ok || n.(*atomic.Int64).Load() == 0 {
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
		if _, known := a.revokedGrants.LoadOrStore(g.Key, g); !known {
			a.RenewNow()
		}
	}
	return nil
}
