// Changes of membership by agreement, one holder at a time: a holder that is lost is replaced
// by a spare replica, and one that is about to end hands over first what it has.

package coordination

import (
	"cmp"
	"context"
	"slices"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

const (
	spareHeard = 5 * time.Second         // within which a spare must have spoken for itself
	leaveRetry = 150 * time.Millisecond  // between two tries to hand over
	leaveWait  = 1500 * time.Millisecond // for one such try
	// How long a record has stood before its holders are spread over the zones: longer than a
	// process takes to start again.
	spreadAfter = 10 * time.Second
)

// errHandedOver ends the lead of a primary that has asked a backup to take over.
var errHandedOver = failure.New(failure.Stale, "lead", "", "it has handed over")

// heal gives the register of a long silent holder to a spare that is heard.
func (l *leader) heal(ctx context.Context) error {
	now := l.c.opt.Host.Clock.Now()
	l.c.directory.SetMembers(l.members())
	all := l.c.spares(l.rec)
	for _, s := range l.rec.Holders {
		if spare, ok := l.spare(s, all, now); ok {
			return l.replace(ctx, proposal{held: l.rec.Epoch, out: s.Disk, in: spare}, "replaces a register holder")
		}
	}
	if out, in, ok := l.crowded(all, now); ok {
		return l.replace(ctx, proposal{held: l.rec.Epoch, out: out.Disk, in: in}, "spreads the register holders over the zones")
	}
	return nil
}

// crowded gives a holder to replace by a spare of a zone that has fewer holders by two or
// more, so that the loss of a zone takes no more of them than it must. All holders have to be
// heard, and the record to have stood for a while.
func (l *leader) crowded(all []Replica, now ids.Tick) (out, in Replica, ok bool) {
	if !now.Past(max(l.since, l.changed), spreadAfter) || len(all) == 0 || !l.allHeard(now) {
		return Replica{}, Replica{}, false
	}
	perZone := zonesOf(l.rec.Holders, "")
	in = emptiest(all, perZone)
	for _, s := range l.rec.Holders {
		better := perZone[in.Zone]+2 <= perZone[s.Zone]
		if better && s.Disk != l.c.me.Disk && (out.Disk == "" || l.rec.rank(out.Disk) >= 0) {
			out = s // one without data, if there is one
		}
	}
	return out, in, out.Disk != ""
}

// zonesOf counts replicas by zone, but for one.
func zonesOf(list []Replica, without ids.DiskID) map[ids.Zone]int {
	perZone := map[ids.Zone]int{}
	for _, s := range list {
		if s.Disk != without {
			perZone[s.Zone]++
		}
	}
	return perZone
}

// emptiest gives the spare whose zone has the fewest holders; the lowest identity of several.
func emptiest(all []Replica, perZone map[ids.Zone]int) Replica {
	return slices.MinFunc(all, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(perZone[a.Zone], perZone[b.Zone]), cmp.Compare(a.Disk, b.Disk))
	})
}

// allHeard tells whether every holder gave a sign of life lately.
func (l *leader) allHeard(now ids.Tick) bool {
	l.c.regMu.Lock()
	defer l.c.regMu.Unlock()
	for _, s := range l.rec.Holders {
		if s.Disk != l.c.me.Disk && !l.c.alive(s.Disk, now) {
			return false
		}
	}
	return true
}

// replace decides a record in which the membership differs.
func (l *leader) replace(ctx context.Context, p proposal, what string) error {
	c := l.c
	c.dataMu.Lock()
	rec, err := c.ascend(ctx, p)
	c.dataMu.Unlock()
	c.opt.Ring.Warn().AnErr("cause", err).Str("out", string(p.out)).Str("in", p.in.Addr).Msg(what)
	if err == nil {
		l.rec = rec
		l.changed = c.opt.Host.Clock.Now()
	}
	return err
}

// spares are the replicas that were heard lately, hold no register and are not about to end.
func (c *Core) spares(rec Record) []Replica {
	all, _ := c.directory.heard(spareHeard)
	var out []Replica
	for _, s := range all {
		if !holds(rec.Holders, s.Disk) && !c.directory.leaving(s.Disk) {
			out = append(out, s)
		}
	}
	return out
}

// spare gives who may take over a holder's register, if that is lost: another disk that
// stands at its very address, at once, since the one before it will not come back; any
// other after a longer silence.
func (l *leader) spare(s Replica, all []Replica, now ids.Tick) (Replica, bool) {
	c := l.c
	c.regMu.Lock()
	at := max(c.heard[s.Disk], l.since)
	c.regMu.Unlock()
	if s.Disk == c.me.Disk || !now.Past(at, c.opt.Silence) {
		return Replica{}, false
	}
	place := c.directory.Addr(s)
	for i := range all {
		if all[i].Addr == place {
			return all[i], true
		}
	}
	if len(all) == 0 || !now.Past(at, c.opt.Replace) {
		return Replica{}, false
	}
	return emptiest(all, zonesOf(l.rec.Holders, s.Disk)), true
}

// Leave hands over what this core has, so that it can end: the lead to a backup that is up to
// date, its copy of the data to another holder, its register to a spare. It returns once that
// is done, or with what stood in the way when the context ends. The core goes on answering
// meanwhile; a process that starts again on the same disk takes part as before.
func (c *Core) Leave(ctx context.Context) error {
	c.leaving.Store(true)
	c.directory.setLeaving()
	c.directory.Tell(ctx)
	for {
		done, err := c.handOver(ctx)
		if done {
			c.opt.Ring.Info().Msg("has handed over and may end")
			return nil
		}
		if !host.Sleep(ctx, leaveRetry) {
			c.opt.Ring.Warn().AnErr("cause", err).Msg("ends without having handed over")
			return failure.Wrap(err, "leave", c.me.Addr)
		}
	}
}

// handOver takes the next step of leaving; it is done when nothing depends on this core.
func (c *Core) handOver(ctx context.Context) (bool, error) {
	rec, _ := c.accepted()
	if known := c.directory.Record(); known.Epoch > rec.Epoch {
		rec = known
	}
	if !holds(rec.Holders, c.me.Disk) {
		return true, nil
	}
	ctx, stop := context.WithTimeout(ctx, leaveWait)
	defer stop()
	if l := c.lead.Load(); l != nil {
		j := &job{transfer: true, done: make(chan struct{})}
		err := l.ask(ctx, j)
		if err == nil {
			err = j.err
		}
		return false, err
	}
	r, err := rpc.Call[LeaveAsk, LeaveReply](ctx, c.call, c.directory.Addr(rec.Primary), "crux/leave", &LeaveAsk{Me: c.me})
	if err != nil {
		c.directory.Ask(ctx, 3)
		return false, err
	}
	c.directory.Learn(&WhereAsk{Record: r.Record})
	return r.Done, nil
}

// leave answers a replica that is about to end.
func (c *Core) leave(ctx context.Context, q *LeaveAsk) (*LeaveReply, error) {
	l := c.lead.Load()
	if l == nil {
		return nil, failure.New(failure.Away, "leave", c.me.Addr, "not the primary")
	}
	j := &job{release: &q.Me, done: make(chan struct{})}
	if err := l.ask(ctx, j); err != nil {
		return nil, err
	}
	if j.err != nil {
		return nil, j.err
	}
	rec, _ := c.accepted()
	return &LeaveReply{Done: true, Record: rec}, nil
}

// change does what the jobs of a batch ask of the membership. Its error ends the lead.
func (l *leader) change(ctx context.Context, batch []*job) error {
	for _, j := range batch {
		switch {
		case j.release != nil:
			err := l.release(ctx, j, *j.release)
			if err != nil {
				return err
			}
		case j.transfer:
			if j.err = l.transfer(ctx); j.err == nil {
				return errHandedOver
			}
		}
	}
	return nil
}

// release takes a replica that is about to end out of the record: its register passes on to a
// spare if there is one, its copy of the data to another holder.
func (l *leader) release(ctx context.Context, j *job, leaver Replica) error {
	c := l.c
	if !holds(l.rec.Holders, leaver.Disk) || leaver.Disk == c.me.Disk {
		return nil
	}
	p := proposal{held: l.rec.Epoch, avoid: leaver.Disk}
	if all := c.spares(l.rec); len(all) > 0 {
		p.out, p.in = leaver.Disk, emptiest(all, zonesOf(l.rec.Holders, leaver.Disk))
	} else if l.rec.rank(leaver.Disk) < 0 {
		return nil
	}
	if !l.enough(leaver.Disk) {
		j.err = failure.New(failure.Away, "leave", c.me.Addr, "too few other replicas are heard to hold the data")
		return nil
	}
	err := l.replace(ctx, p, "lets a replica leave")
	if err != nil {
		j.err = err
	}
	return err
}

// enough tells whether so many holders are heard beside this one and the leaver that the data
// can have its backups there.
func (l *leader) enough(leaver ids.DiskID) bool {
	c := l.c
	now := c.opt.Host.Clock.Now()
	c.regMu.Lock()
	defer c.regMu.Unlock()
	n := 0
	for _, s := range l.rec.Holders {
		if s.Disk != c.me.Disk && s.Disk != leaver && c.alive(s.Disk, now) {
			n++
		}
	}
	return n >= l.rec.losses()
}

// transfer asks a backup, which has all that was ever acknowledged, to take over at once.
func (l *leader) transfer(ctx context.Context) error {
	c := l.c
	err := failure.New(failure.Away, "hand over", c.me.Addr, "no backup may take over")
	for _, s := range l.rec.backups() {
		if c.directory.leaving(s.Disk) {
			continue
		}
		var r *LeadReply
		r, err = rpc.Call[LeadAsk, LeadReply](ctx, c.call, c.directory.Addr(s), "crux/lead", &LeadAsk{Epoch: l.rec.Epoch, From: c.me})
		if err == nil && r.Ok {
			return nil
		}
	}
	return err
}

// takeOver answers a primary that hands over: the steward stands for election at once.
func (c *Core) takeOver(_ context.Context, q *LeadAsk) (*LeadReply, error) {
	rec, _ := c.accepted()
	if rec.Epoch != q.Epoch || rec.Primary.Disk != q.From.Disk || rec.rank(c.me.Disk) < 0 || c.leaving.Load() {
		return &LeadReply{}, nil
	}
	c.asked.Store(uint64(q.Epoch))
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return &LeadReply{Ok: true}, nil
}
