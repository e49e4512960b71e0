// The primary's writer. One loop takes all that wants writing, makes it durable
// here and at the backups side by side (group commit), and only then answers. A
// renewal of a lease counts only with a beat that the backup confirmed after
// the renewal came, so a deposed primary can lengthen no lease.

package coordination

import (
	"context"
	"sync"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

type job struct {
	ent   *Entry
	renew *RenewAsk
	peek  bool
	// Changes of membership: a replica that leaves, or the lead itself.
	release  *Replica
	transfer bool

	out   []byte
	lease *RenewReply
	img   *Image
	err   error
	done  chan struct{}
}

type leader struct {
	c   *Core
	rec Record
	// The epoch in which this lead began. Later ones of the same lead change backups or holders only.
	founded ids.Epoch
	jobs    chan *job
	end     chan struct{}
	since   ids.Tick
	changed ids.Tick // when the membership was changed last
	deals   ids.Tick
	nodes   map[ids.NodeID]*leaseHolder
	asked   ids.Tick
}

func (l *leader) ask(ctx context.Context, j *job) error {
	away := failure.New(failure.Bounced, "ask primary", l.c.me.Addr, "it has stood down")
	select {
	case <-l.end:
		return away
	default:
	}
	select {
	case l.jobs <- j:
	case <-l.end:
		return away
	case <-ctx.Done():
		return failure.As(ctx.Err(), failure.Bounced, "ask primary", l.c.me.Addr)
	}
	select {
	case <-j.done:
		return nil
	case <-ctx.Done():
		return failure.As(ctx.Err(), failure.Unknown, "ask primary", l.c.me.Addr)
	}
}

// serve leads until it must stand down.
func (c *Core) serve(ctx context.Context, rec Record) {
	now := c.opt.Host.Clock.Now()
	l := &leader{c: c, rec: rec, founded: rec.Epoch, jobs: make(chan *job, 256), end: make(chan struct{}), since: now,
		deals: now.Add(c.opt.Lease + c.opt.Lease/10), nodes: map[ids.NodeID]*leaseHolder{}}
	c.dataMu.Lock()
	for n, m := range c.state.members {
		l.nodes[n] = &leaseHolder{Member: m, last: now}
	}
	c.feed.start(c.state.seq)
	c.dataMu.Unlock()
	c.lead.Store(l)
	c.opt.Ring.Warn().Uint64("epoch", uint64(rec.Epoch)).Str("backup", rec.Backup.Addr).Msg("leads")
	c.directory.SetMembers(l.members())
	c.directory.Tell(ctx)
	err := l.loop(ctx)
	c.lead.Store(nil)
	close(l.end)
	c.opt.Ring.Warn().Uint64("epoch", uint64(l.rec.Epoch)).AnErr("cause", err).Msg("stands down")
	for {
		select {
		case j := <-l.jobs:
			l.finish(j, failure.New(failure.Bounced, "write", c.me.Addr, "stood down before it was taken"))
		default:
			return
		}
	}
}

func (l *leader) finish(j *job, err error) {
	if j.err == nil {
		j.err = err
	}
	close(j.done)
}

func (l *leader) loop(ctx context.Context) error {
	beat := time.NewTicker(l.c.opt.Beat)
	defer beat.Stop()
	for {
		var batch []*job
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-beat.C:
			if err := l.heal(ctx); err != nil {
				return err
			}
			batch = l.duty()
		case j := <-l.jobs:
			batch = append(batch, j)
		}
	more:
		for len(batch) < 512 {
			select {
			case j := <-l.jobs:
				batch = append(batch, j)
			default:
				break more
			}
		}
		if err := l.change(ctx, batch); err != nil {
			for _, j := range batch {
				l.finish(j, failure.New(failure.Bounced, "write", l.c.me.Addr, "stood down before it was taken"))
			}
			return err
		}
		if err := l.commit(ctx, batch); err != nil {
			return err
		}
	}
}

// commit writes one batch on both copies and answers it.
func (l *leader) commit(ctx context.Context, batch []*job) error {
	c := l.c
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	prev := c.state.seq
	var ents []Entry
	add := func(j *job, e *Entry) {
		if p, ok := c.state.past[e.Op]; ok && e.Op != "" {
			j.out, e.Seq = p.Body, p.Seq
			return
		}
		switch j.out, j.err = c.state.apply(e); j.err {
		case nil:
			ents = append(ents, *e)
		case ErrUnchanged:
			j.err = nil
		}
	}
	for _, j := range batch {
		switch {
		case j.ent != nil:
			add(j, j.ent)
		case j.renew != nil:
			for _, e := range l.hear(j.renew) {
				add(j, e)
			}
		}
	}
	err := l.write(ctx, prev, ents)
	if err != nil {
		c.mustReload = true
		err = failure.As(err, failure.Unknown, "write", c.me.Addr)
		for _, j := range batch {
			j.err = err // a refusal, too, came from a state that may be old
			l.finish(j, err)
		}
		return err
	}
	c.feed.push(ents)
	now := c.opt.Host.Clock.Now()
	for _, j := range batch {
		if j.renew != nil {
			j.lease = l.extend(j.renew, now, c.state)
		}
		if j.peek {
			j.img = c.state.snapshot(true)
		}
		l.finish(j, nil)
	}
	if c.store.rows > rowsPerLog {
		if err := c.store.reset(c.state.snapshot(false), sheets(c.state.app)); err != nil {
			c.mustReload = true
			return err
		}
	}
	return nil
}

// write returns only once all copies are synced. A silent backup is replaced
// on the spot, by a snapshot that holds the entries too; meanwhile all wait.
func (l *leader) write(ctx context.Context, prev ids.Seq, ents []Entry) error {
	c := l.c
	var wg sync.WaitGroup
	var mine error
	wg.Go(func() { mine = c.store.append(ents) })
	ask := &AppendAsk{Epoch: l.rec.Epoch, From: c.me, Prev: prev, Entries: ents}
	cx, stop := context.WithTimeout(ctx, 450*time.Millisecond)
	defer stop()
	behind := make([]error, len(l.rec.backups()))
	for i, s := range l.rec.backups() {
		wg.Go(func() { behind[i] = l.copyTo(cx, s, ask) })
	}
	wg.Wait()
	if mine != nil {
		return mine
	}
	all := true
	for i, s := range l.rec.backups() {
		if behind[i] != nil {
			all = false
			c.opt.Ring.Warn().AnErr("cause", behind[i]).Str("backup", s.Addr).Msg("backup does not follow")
		}
	}
	if all {
		l.tell(ctx, l.rec)
		return nil
	}
	for n := 0; ; n++ {
		rec, err := c.ascend(ctx, proposal{held: l.rec.Epoch})
		if err == nil {
			l.rec = rec
			return nil
		}
		if failure.Is(err, failure.Stale) || n > 4 || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// copyTo has one backup take a batch, synced.
func (l *leader) copyTo(ctx context.Context, s Replica, ask *AppendAsk) error {
	r, err := rpc.Call[AppendAsk, AppendReply](ctx, l.c.call, l.c.directory.Addr(s), "crux/append", ask)
	switch {
	case err != nil:
		return err
	case !r.Ok:
		if r.Promised > ask.Epoch {
			l.c.raise(r.Promised)
		}
		return failure.New(failure.Stale, "append", s.Addr, "refused, promised %d", r.Promised)
	}
	l.c.heardFrom(s.Disk)
	return nil
}

// tell gives the other holders a sign of life, once per beat.
func (l *leader) tell(ctx context.Context, rec Record) {
	c := l.c
	now := c.opt.Host.Clock.Now()
	if !now.Past(l.asked, c.opt.Beat*4/5) && l.asked != 0 {
		return
	}
	l.asked = now
	for _, s := range rec.Holders {
		if s.Disk != c.me.Disk && rec.rank(s.Disk) < 0 {
			go func() {
				cx, stop := context.WithTimeout(ctx, 500*time.Millisecond)
				defer stop()
				r, err := rpc.Call[AppendAsk, AppendReply](cx, c.call, c.directory.Addr(s), "crux/beat", &AppendAsk{Epoch: rec.Epoch, From: c.me})
				// An empty disk may answer at the address of one that is lost.
				if err == nil && r.Ok && r.Disk == s.Disk {
					c.heardFrom(s.Disk)
				}
			}()
		}
	}
}

func (l *leader) members() (ids.Seq, []Member) {
	l.c.dataMu.Lock()
	defer l.c.dataMu.Unlock()
	return l.c.state.seq, l.c.state.list()
}
