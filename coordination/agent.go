// An Agent is a node's side of the core: it holds the node's lease, follows the
// news (from the core, or from a neighbour while the core is away) and knows
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

// Follower is the embedder's view, folded from the open part of the log. Fold
// tells whether the core should learn at once that the node has seen the entry.
type Follower interface {
	Restore(open []byte) error
	Fold(seq ids.Seq, kind string, body []byte) (loud bool)
	Snapshot() []byte
}

// AgentOptions name a node to the core.
type AgentOptions struct {
	Me     Member
	Host   host.Host
	Seeds  []string
	View   Follower
	Ring   *logging.Ring
	Lease  time.Duration // 3s, the same as the core's
	Renew  time.Duration // 500ms
	Gap    time.Duration // 1s between ticks means that the process slept
	Lonely func() bool   // tells that the core, not this node, is away
}

type sight struct {
	seq     ids.Seq
	fence   ids.Fence
	members []Member
	grants  map[ids.Key]Grant
}

// Agent is safe for use by many threads. NewAgent makes one, Mount and Run start it.
type Agent struct {
	opt       AgentOptions
	call      *rpc.Caller
	directory *Directory
	feed      *feed

	mu        sync.Mutex
	newsEpoch ids.Epoch // of the news that was taken last; older news is not taken

	sight atomic.Pointer[sight]

	until atomic.Int64
	sent  atomic.Int64
	floor atomic.Uint64
	told  atomic.Uint64
	tick  atomic.Int64
	bye   atomic.Bool
	clock atomic.Pointer[heardTime]
	high  atomic.Int64 // the most that Time gave
	poke  chan struct{}
	busy  sync.Map
	given sync.Map
}

// NewAgent makes an agent; zero spans of its options take their defaults. It starts nothing.
func NewAgent(opt AgentOptions) *Agent {
	ids.Or(&opt.Lease, 3*time.Second)
	ids.Or(&opt.Renew, 500*time.Millisecond)
	ids.Or(&opt.Gap, time.Second)
	if opt.Ring == nil {
		opt.Ring = logging.Mute()
	}
	a := &Agent{opt: opt, call: rpc.NewCaller(opt.Host.Net), feed: newFeed(), poke: make(chan struct{}, 1)}
	a.directory = NewDirectory(opt.Host, a.call, opt.Seeds, Replica{Addr: opt.Me.Addr})
	a.sight.Store(&sight{grants: map[ids.Key]Grant{}})
	a.tick.Store(int64(opt.Host.Clock.Now()))
	return a
}

// Directory is what the agent knows of where everyone is.
func (a *Agent) Directory() *Directory { return a.directory }

// Caller asks other processes over the agent's network.
func (a *Agent) Caller() *rpc.Caller { return a.call }

// Me is the node that the agent is for.
func (a *Agent) Me() Member { return a.opt.Me }

// Mount lets neighbours ask whereabouts and news of this node.
func (a *Agent) Mount(mux *http.ServeMux) {
	a.directory.Serve(mux)
	rpc.Handle(mux, "crux/news", func(ctx context.Context, q *NewsAsk) (*NewsReply, error) {
		if a.sight.Load().seq == 0 {
			return nil, failure.New(failure.Away, "news", a.opt.Me.Addr, "nothing is known yet")
		}
		r, err := a.feed.news(ctx, q, func() (*Image, error) { return a.image(), nil })
		if err == nil {
			a.mu.Lock()
			r.Epoch = a.newsEpoch
			a.mu.Unlock()
		}
		return r, err
	})
}

func (a *Agent) image() *Image {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.sight.Load()
	img := &Image{Seq: s.seq, Fence: s.fence, Members: s.members, App: a.opt.View.Snapshot()}
	for _, g := range s.grants {
		img.Grants = append(img.Grants, g)
	}
	return img
}

// Run keeps lease, news and whereabouts until the context ends, and then says
// goodbye, so that its keys pass on at once.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { a.directory.Keep(ctx, func() bool { return a.sent.Load() > 0 && a.Fresh() < 3*a.opt.Renew }) })
	wg.Go(func() { a.follow(ctx) })
	wg.Go(func() { a.keep(ctx) })
	wg.Go(func() {
		for host.Sleep(ctx, a.opt.Gap/8) {
			a.Awake()
		}
	})
	wg.Wait()
	if a.bye.Load() {
		cx, stop := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer stop()
		a.renew(cx)
	}
	a.call.Close()
}

// Leave makes the end of Run a goodbye.
func (a *Agent) Leave() { a.bye.Store(true) }

// Awake notes the tick. After a gap (the machine slept) the lease counts as
// lapsed until it is renewed anew.
func (a *Agent) Awake() bool {
	now := a.opt.Host.Clock.Now()
	old := ids.Tick(a.tick.Load())
	if now.Past(old, a.opt.Gap) {
		a.until.Store(0)
		a.forget()
		a.opt.Ring.Warn().Dur("gap", now.Since(old)).Msg("slept; the lease is asked for anew")
	}
	a.tick.Store(int64(now))
	return a.until.Load() > int64(now)
}

// Leased tells whether the lease holds now.
func (a *Agent) Leased() bool { return a.Awake() }

// Fresh tells for how long the core has not confirmed this node.
func (a *Agent) Fresh() time.Duration {
	return a.opt.Host.Clock.Now().Since(ids.Tick(a.sent.Load()))
}

// Caught tells that the core confirmed this node within a span, and that the news up
// to that confirmation is folded here.
func (a *Agent) Caught(span time.Duration) bool {
	return a.Fresh() <= span && uint64(a.Seq()) >= a.told.Load()
}

// Held gives the fence of a key if this node may act under it now. While the
// core as a whole is away the last view is kept; workers refuse older fences.
func (a *Agent) Held(k ids.Key) (ids.Fence, bool) {
	leased := a.Awake()
	s := a.sight.Load()
	g, ok := s.grants[k]
	if !ok || g.Node != a.opt.Me.Node || uint64(s.seq) < a.floor.Load() {
		return 0, false
	}
	if _, gone := a.given.Load(k); gone {
		return 0, false
	}
	if !leased && (a.sent.Load() == 0 || a.opt.Lonely == nil || !a.opt.Lonely()) {
		return 0, false
	}
	return g.Fence, true
}

// Begin marks an order under a key as under way, so that the key is given back
// only when it has ended.
func (a *Agent) Begin(k ids.Key) (ids.Fence, func(), bool) {
	n, _ := a.busy.LoadOrStore(k, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	end := func() { n.(*atomic.Int64).Add(-1) }
	f, ok := a.Held(k)
	if !ok {
		end()
		return 0, nil, false
	}
	return f, end, true
}

// Holder gives the member that does a key's duty as far as is known.
func (a *Agent) Holder(k ids.Key) (Member, ids.Fence, bool) {
	s := a.sight.Load()
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

// Mine lists the keys granted to this node.
func (a *Agent) Mine() []Grant {
	var out []Grant
	for _, g := range a.sight.Load().grants {
		if g.Node == a.opt.Me.Node {
			out = append(out, g)
		}
	}
	return out
}

// Members are the nodes that hold a lease, as far as the news was taken.
func (a *Agent) Members() []Member { return a.sight.Load().members }

// Seq is the number of the log up to which the news was taken.
func (a *Agent) Seq() ids.Seq { return a.sight.Load().seq }

func (a *Agent) keep(ctx context.Context) {
	for {
		cx, stop := context.WithTimeout(ctx, 900*time.Millisecond)
		err := a.renew(cx)
		stop()
		wait := a.opt.Renew*4/5 + rand.N(a.opt.Renew*2/5)
		if err != nil {
			wait = 100*time.Millisecond + rand.N(150*time.Millisecond)
			if ctx.Err() == nil {
				a.directory.Ask(ctx, 3)
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-a.poke:
			t.Stop()
		}
	}
}

// Poke renews now, so that the core learns how far the news was folded.
func (a *Agent) Poke() {
	select {
	case a.poke <- struct{}{}:
	default:
	}
}

func (a *Agent) renew(ctx context.Context) error {
	now := a.opt.Host.Clock.Now()
	a.Awake() // after a leap of the clock no time is told on
	q := &RenewAsk{Me: a.opt.Me, Seen: a.Seq(), Bye: a.bye.Load()}
	q.Time, _ = a.Time()
	a.given.Range(func(k, g any) bool {
		if n, ok := a.busy.Load(k); !ok || n.(*atomic.Int64).Load() == 0 {
			q.Done = append(q.Done, g.(Grant))
		}
		return true
	})
	r, err := rpc.Call[RenewAsk, RenewReply](ctx, a.call, a.directory.Addr(a.directory.Record().Primary), "crux/renew", q)
	if err != nil {
		return err
	}
	if a.until.Load() <= int64(a.opt.Host.Clock.Now()) {
		a.floor.Store(uint64(r.Seq))
	}
	a.told.Store(uint64(r.Seq))
	if r.Time != 0 {
		a.clock.Store(&heardTime{r.Time, now, a.opt.Host.Clock.Now()})
	}
	a.until.Store(int64(now.Add(a.opt.Lease)))
	a.sent.Store(int64(now))
	for _, g := range r.Drop {
		if _, had := a.given.LoadOrStore(g.Key, g); !had {
			a.Poke()
		}
	}
	return nil
}
