// A Core is one disk machine's part in the control plane: holder of a register,
// and primary, backup or spare as the newest record says. This file joins its
// pieces and answers its neighbours.

package coordination

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
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

// Options of a core; zero spans take the defaults named beside them.
type Options struct {
	Addr    string
	Zone    ids.Zone
	Host    host.Host
	Seeds   []string
	Machine func() Machine
	Ring    *logging.Ring
	Beat    time.Duration // 200ms: primary to backup and witnesses
	Silence time.Duration // 900ms: then the backup takes over
	Lease   time.Duration // 3s: of every node
	Stall   time.Duration // 1s: a disk step that takes longer
	Replace time.Duration // 2s: a register holder silent so long may be replaced, at once if another disk has its address
	Losses  int           // 1: machines that may be lost at once; counts when the core is founded
	Joins   bool          // it founds nothing and waits for a core that stands
	Anew    bool          // an operator orders the core founded anew from this disk
}

func (o *Options) fill() {
	ids.Or(&o.Beat, 200*time.Millisecond)
	ids.Or(&o.Silence, 900*time.Millisecond)
	ids.Or(&o.Lease, 3*time.Second)
	ids.Or(&o.Stall, time.Second)
	ids.Or(&o.Replace, 2*time.Second)
	o.Losses = max(1, o.Losses)
	if o.Ring == nil {
		o.Ring = logging.Mute()
	}
}

// Core is safe for use by many threads. New makes one, Mount and Run start it, Leave prepares
// its end.
type Core struct {
	opt       Options
	me        Replica
	call      *rpc.Caller
	directory *Directory
	store     *store
	feed      *feed

	regMu host.Latch
	reg   register
	heard map[ids.DiskID]ids.Tick

	dataMu     host.Latch
	state      *replicatedState
	ready      atomic.Uint64
	mustReload bool

	lead    atomic.Pointer[leader]
	top     atomic.Uint64
	leaving atomic.Bool
	asked   atomic.Uint64 // the epoch whose primary has asked this backup to take over
	wake    chan struct{} // the steward's
	copies  atomic.Uint64 // whole states sent to others
	fatal   chan error
}

// New opens the disk and reads what it holds. It starts nothing.
func New(opt Options) (*Core, error) {
	opt.fill()
	c := &Core{opt: opt, regMu: host.NewLatch(), dataMu: host.NewLatch(), feed: newFeed(), heard: map[ids.DiskID]ids.Tick{}, wake: make(chan struct{}, 1), fatal: make(chan error, 1)}
	c.store = &store{disk: opt.Host.Disk, stall: opt.Stall}
	id, err := opt.Host.Disk.Load(identityFile)
	if errors.Is(err, host.ErrGone) {
		id = []byte(Name())
		err = opt.Host.Disk.Save(identityFile, id)
	}
	if err != nil {
		return nil, failure.Wrap(err, "open identity", "disk")
	}
	c.me = Replica{Disk: ids.DiskID(id), Addr: opt.Addr, Zone: opt.Zone}
	if c.reg, err = c.store.loadRegister(); err != nil {
		return nil, err
	}
	c.state = newReplicatedState(opt.Machine())
	if err := c.store.load(c.state); err != nil {
		return nil, err
	}
	c.call = rpc.NewCaller(opt.Host.Net)
	c.directory = NewDirectory(opt.Host, c.call, opt.Seeds, c.me)
	c.directory.me.Blank = c.reg.Accepted.Founding == ""
	c.directory.Learn(&WhereAsk{Record: c.reg.Accepted})
	if body, err := opt.Host.Disk.Load(directoryFile); err == nil {
		var p WhereAsk
		if _, err := p.UnmarshalMsg(body); err == nil {
			p.Me = Replica{}
			c.directory.Learn(&p)
		}
	}
	return c, nil
}

// Name makes a fresh random id.
func Name() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Short is a fixed short name for a longer one.
func Short(long string) string {
	sum := sha256.Sum256([]byte(long))
	return hex.EncodeToString(sum[:12])
}

// Directory is what the core knows of where everyone is.
func (c *Core) Directory() *Directory { return c.directory }

// Caller asks other processes over the core's network.
func (c *Core) Caller() *rpc.Caller { return c.call }

// Leads tells whether this core is the primary now.
func (c *Core) Leads() bool { return c.lead.Load() != nil }

// Mount puts the core's answers on a mux.
func (c *Core) Mount(mux *http.ServeMux) {
	c.directory.Serve(mux)
	rpc.Handle(mux, "crux/ballot", c.ballot)
	rpc.Handle(mux, "crux/append", c.append)
	rpc.Handle(mux, "crux/picture", c.snapshot)
	rpc.Handle(mux, "crux/sheet", c.sheet)
	rpc.Handle(mux, "crux/submit", c.submit)
	rpc.Handle(mux, "crux/renew", c.renew)
	rpc.Handle(mux, "crux/news", c.news)
	rpc.Handle(mux, "crux/beat", c.beat)
	rpc.Handle(mux, "crux/leave", c.leave)
	rpc.Handle(mux, "crux/lead", c.takeOver)
}

// Run takes part until the context ends. It returns early only on a breakdown
// that an operator must see, such as a disk of another fleet.
func (c *Core) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { c.directory.Keep(ctx, c.calm) })
	wg.Go(func() {
		if c.opt.Anew {
			if err := c.anew(ctx); err != nil {
				c.fatal <- err
				return
			}
		}
		c.steward(ctx)
	})
	wg.Go(func() { c.keepDirectory(ctx) })
	wg.Go(func() { c.collect(ctx) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-c.fatal:
	}
	stop()
	wg.Wait()
	c.call.Close()
	return err
}

// calm tells that this core is a holder that leads, or hears the one that does.
func (c *Core) calm() bool {
	rec, _ := c.accepted()
	c.regMu.Lock()
	defer c.regMu.Unlock()
	return holds(rec.Holders, c.me.Disk) && c.alive(rec.Primary.Disk, c.opt.Host.Clock.Now())
}

// keepBook saves the whereabouts now and then, so that a restart finds others
// even when every seed has gone.
func (c *Core) keepDirectory(ctx context.Context) {
	var old string
	for host.Sleep(ctx, 2*time.Second) {
		p := c.directory.Page()
		body := string(Pack(p))
		if body == old || len(p.Seats)+len(p.Members) == 0 || c.store.busy.Load() > 0 {
			continue
		}
		if c.store.within("save book", func() error { return c.opt.Host.Disk.Save(directoryFile, []byte(body)) }) == nil {
			old = body
		}
	}
}

func holds(list []Replica, d ids.DiskID) bool {
	for _, s := range list {
		if s.Disk == d {
			return true
		}
	}
	return false
}

// append takes entries as the backup; they are synced before the answer. An
// older epoch is refused, so a deposed primary can acknowledge nothing.
func (c *Core) append(_ context.Context, q *AppendAsk) (*AppendReply, error) {
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	rec, promised := c.accepted()
	r := &AppendReply{Promised: promised, Last: c.state.seq}
	if q.Epoch < promised || rec.Epoch != q.Epoch || rec.Primary.Disk != q.From.Disk || rec.rank(c.me.Disk) < 0 {
		return r, nil
	}
	if c.mustReload || q.Prev != c.state.seq || !follow(q.Entries, q.Prev) {
		return r, nil
	}
	c.regMu.Lock()
	c.hear(q.From.Disk)
	c.settle(q.Epoch, q.From.Disk)
	c.regMu.Unlock()
	if err := c.store.append(q.Entries); err != nil {
		c.mustReload = true
		return nil, err
	}
	if err := c.applyAll(q.Entries); err != nil {
		return nil, failure.Wrap(err, "apply entry", q.From.Addr)
	}
	if _, promised = c.accepted(); promised > q.Epoch {
		return &AppendReply{Promised: promised}, nil
	}
	if c.store.rows > rowsPerLog {
		if err := c.store.reset(c.state.snapshot(false), sheets(c.state.app)); err != nil {
			c.mustReload = true
			return nil, err
		}
	}
	return &AppendReply{Ok: true, Last: c.state.seq, Promised: promised}, nil
}

func (c *Core) submit(ctx context.Context, q *SubmitAsk) (*SubmitReply, error) {
	l := c.lead.Load()
	if l == nil {
		return nil, failure.New(failure.Away, "submit", c.me.Addr, "not the primary")
	}
	j := &job{ent: &Entry{Kind: q.Kind, Body: q.Body, Op: q.Op}, done: make(chan struct{})}
	if err := l.ask(ctx, j); err != nil {
		return nil, err
	}
	if j.err != nil {
		return nil, j.err
	}
	return &SubmitReply{Seq: j.ent.Seq, Body: j.out}, nil
}

func (c *Core) renew(ctx context.Context, q *RenewAsk) (*RenewReply, error) {
	l := c.lead.Load()
	if l == nil {
		return nil, failure.New(failure.Away, "renew", c.me.Addr, "not the primary")
	}
	j := &job{renew: q, done: make(chan struct{})}
	if err := l.ask(ctx, j); err != nil {
		return nil, err
	}
	return j.lease, j.err
}

func (c *Core) news(ctx context.Context, q *NewsAsk) (*NewsReply, error) {
	l := c.lead.Load()
	if l == nil {
		return nil, failure.New(failure.Away, "news", c.me.Addr, "not the primary")
	}
	r, err := c.feed.news(ctx, q, func() (*Image, error) {
		j := &job{peek: true, done: make(chan struct{})}
		if err := l.ask(ctx, j); err != nil {
			return nil, err
		}
		return j.img, j.err
	})
	if err == nil {
		r.Epoch = l.founded
	}
	return r, err
}
