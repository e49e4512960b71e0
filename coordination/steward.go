// The steward decides what this core is: it founds, takes over, refits a lost
// backup, replaces a lost register holder, or waits.

package coordination

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/rpc"
	"keelstair.example/seam"
)

// meeting is who was met last, and since when nobody else.
type meeting struct {
	row []Seat
	at  ids.Tick
}

type swap struct {
	out ids.DiskId
	in  Seat
}

func (c *Core) raise(e ids.Epoch) {
	for {
		old := c.top.Load()
		if uint64(e) <= old || c.top.CompareAndSwap(old, uint64(e)) {
			return
		}
	}
}

func (c *Core) steward(ctx context.Context) {
	idle := c.opt.Host.Clock.Now()
	met := &meeting{}
	for seam.Sleep(ctx, 60*time.Millisecond+rand.N(60*time.Millisecond)) {
		now := c.opt.Host.Clock.Now()
		rec, _ := c.accepted()
		known := c.book.Record()
		if f := c.book.Foreign(); f != "" && rec.Founding != "" && c.orphan(now, rec) {
			c.fatal <- failure.New(failure.Bad, "meet neighbours", f, "this disk belongs to founding %s; the seeds to another", rec.Founding)
			return
		}
		if rec.Founding == "" {
			if known.Founding == "" {
				if !c.opt.Joins {
					c.found(ctx, met)
				}
			} else if c.named(known) {
				c.adopt(known)
			}
			continue
		}
		if known.Epoch > rec.Epoch && (c.adopt(known) || !c.named(known)) {
			idle = now
			continue
		}
		if c.store.busy.Load() > 0 || !c.named(rec) || c.soured() {
			continue
		}
		wait := time.Duration(0)
		if rank := rec.rank(c.me.Disk); rank >= 0 {
			wait = c.opt.Silence + time.Duration(rank)*c.opt.Silence/3
			c.regMu.Lock()
			if at, ok := c.heard[rec.Primary.Disk]; ok && idle.Before(at) {
				idle = at
			}
			c.regMu.Unlock()
		}
		if !now.Past(idle, wait) {
			continue
		}
		got, err := c.ascend(ctx, swap{}, 0)
		if err != nil {
			c.opt.Ring.Info().AnErr("cause", err).Msg("does not lead")
			continue
		}
		c.serve(ctx, got)
		idle = c.opt.Host.Clock.Now()
	}
}

// orphan: none of the own fleet's holders was heard for a while.
func (c *Core) orphan(now ids.Tick, rec Record) bool {
	c.regMu.Lock()
	defer c.regMu.Unlock()
	for _, s := range rec.Holders {
		if at, ok := c.heard[s.Disk]; ok && !now.Past(at, 5*time.Second) {
			return false
		}
	}
	all, _ := c.book.heard(5 * time.Second)
	for _, s := range all {
		if holds(rec.Holders, s.Disk) {
			return false
		}
	}
	return true
}

func (c *Core) named(r Record) bool {
	return r.Primary.Disk == c.me.Disk || r.rank(c.me.Disk) >= 0
}

// soured data (a failed disk step) is read again from disk before it is used.
func (c *Core) soured() bool {
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	if !c.sour {
		return false
	}
	fresh := newRoll(c.opt.Machine())
	if err := c.store.load(fresh); err != nil {
		c.opt.Ring.Error().AnErr("cause", err).Msg("disk cannot be read back")
		return true
	}
	c.roll, c.sour = fresh, false
	return false
}

// adopt takes over a newer record that others have accepted.
// It counts as an accept that came late by another way, so a promise to a newer
// epoch forbids it; and a backup accepts only what it holds the picture of.
func (c *Core) adopt(r Record) bool {
	c.regMu.Lock()
	defer c.regMu.Unlock()
	if r.Epoch <= c.reg.Accepted.Epoch || !holds(r.Holders, c.me.Disk) || c.reg.Promised > r.Epoch || r.rank(c.me.Disk) >= 0 {
		return false
	}
	if err := c.store.saveRegister(register{Promised: r.Epoch, Accepted: r}); err != nil {
		return false
	}
	c.reg = register{Promised: r.Epoch, Accepted: r}
	return true
}

// found makes the first record, only when enough empty disk machines have met (three, if
// one may be lost) and all of them accept it. The lowest identity proposes, once it heard
// of no other machine for a while.
func (c *Core) found(ctx context.Context, met *meeting) {
	all, blank := c.book.heard(2 * time.Second)
	n := 2*c.opt.Losses + 1
	if len(all) != len(blank) || len(blank) < n-1 {
		return
	}
	row := append(blank, c.me)
	sort.Slice(row, func(i, j int) bool { return row[i].Disk < row[j].Disk })
	if now := c.opt.Host.Clock.Now(); !slices.Equal(met.row, row) {
		met.row, met.at = row, now
		return
	} else if row = spread(row, n); row[0].Disk != c.me.Disk || !now.Past(met.at, c.opt.Silence/2) {
		return
	}
	rec := Record{Epoch: 1, Founding: "f-" + string(c.me.Disk), Primary: c.me, Holders: row}
	rec.follow(row[1 : 1+c.opt.Losses])
	c.dataMu.Lock()
	body, shelf := Pack(c.roll.picture(false)), sheets(c.roll.app)
	c.dataMu.Unlock()
	if c.begin(ctx, rec, body, shelf) {
		c.serve(ctx, rec)
	}
}

// poll asks holders either round; it tells how many said yes, the newest record
// and the yes-sayers. Once enough said yes, the rest get only a moment more.
func (c *Core) poll(ctx context.Context, ask *BallotAsk, whom []Seat, sets ...[]Seat) (int, Record, []Seat) {
	ctx, stop := context.WithTimeout(ctx, 700*time.Millisecond)
	defer stop()
	type vote struct {
		seat Seat
		r    *BallotReply
	}
	votes := make(chan vote, len(whom))
	for _, s := range whom {
		go func() {
			var r *BallotReply
			var err error
			if s.Disk == c.me.Disk {
				r, err = c.ballot(ctx, ask)
			} else {
				r, err = rpc.Call[BallotAsk, BallotReply](ctx, c.call, c.book.Addr(s), "crux/ballot", ask)
			}
			if err != nil {
				r = &BallotReply{}
			}
			votes <- vote{s, r}
		}()
	}
	var top Record
	var yes []Seat
	var soon <-chan time.Time
	for range whom {
		select {
		case v := <-votes:
			c.raise(v.r.Promised)
			if v.r.Accepted.Epoch > top.Epoch {
				top = v.r.Accepted
			}
			if v.r.Ok {
				yes = append(yes, v.seat)
			}
		case <-soon:
			return len(yes), top, yes
		}
		enough := len(sets) > 0
		for _, set := range sets {
			enough = enough && most(set, yes)
		}
		if enough && soon == nil {
			soon = time.After(60 * time.Millisecond)
		}
	}
	return len(yes), top, yes
}

// send brings a picture to a backup-to-be, and first the sheets that it lacks.
func (c *Core) send(ctx context.Context, e ids.Epoch, to Seat, body []byte, all []Sheet) error {
	ask := func() (*AppendReply, error) {
		cx, stop := context.WithTimeout(ctx, 2*time.Second)
		defer stop()
		return rpc.Call[PictureAsk, AppendReply](cx, c.call, c.book.Addr(to), "crux/picture", &PictureAsk{Epoch: e, From: c.me, Body: body})
	}
	r, err := ask()
	if err == nil && len(r.Lacks) > 0 {
		if err = c.lend(ctx, e, to, r.Lacks, all); err == nil {
			r, err = ask()
		}
	}
	if err == nil && !r.Ok {
		err = failure.New(failure.Stale, "send picture", to.Addr, "refused, promised %d", r.Promised)
	}
	return err
}

func most(set, yes []Seat) bool {
	n := 0
	for _, s := range set {
		if holds(yes, s.Disk) {
			n++
		}
	}
	return 2*n > len(set)
}

// ascend makes this core the primary of a new epoch with backups that hold a
// picture, by two rounds over the registers. The caller either leads already
// (held is its epoch, and it holds dataMu) or leads not at all.
func (c *Core) ascend(ctx context.Context, sw swap, held ids.Epoch) (Record, error) {
	cur, promised := c.accepted()
	c.raise(promised)
	if !c.named(cur) || held != 0 && cur.Epoch != held {
		return cur, failure.New(failure.Stale, "ascend", c.me.Addr, "the newest record names others")
	}
	next := cur
	next.Epoch = ids.Epoch(c.top.Load() + 1)
	next.Holders = nil
	for _, s := range cur.Holders {
		if s.Disk == sw.out {
			s = sw.in
		}
		s.Addr = c.book.Addr(s)
		if s.Disk == c.me.Disk {
			s = c.me
		}
		next.Holders = append(next.Holders, s)
	}
	union := append([]Seat(nil), next.Holders...)
	for _, s := range cur.Holders {
		if !holds(union, s.Disk) {
			union = append(union, s)
		}
	}
	ask := &BallotAsk{Epoch: next.Epoch, From: c.me, Takeover: held == 0, Record: cur}
	ask.Record.Holders = union
	_, top, yes := c.poll(ctx, ask, union, cur.Holders, next.Holders)
	if top.Epoch > cur.Epoch {
		c.book.Learn(&WhereAsk{Record: top})
		c.adopt(top)
		return cur, failure.New(failure.Stale, "ascend", c.me.Addr, "epoch %d is newer", top.Epoch)
	}
	if !most(cur.Holders, yes) || !most(next.Holders, yes) {
		return cur, failure.New(failure.Away, "ascend", c.me.Addr, "%d of %d registers promised", len(yes), len(union))
	}
	sort.SliceStable(yes, func(i, j int) bool { return c.named(cur) && partner(cur, yes[i]) && !partner(cur, yes[j]) })
	if held == 0 {
		c.dataMu.Lock()
	}
	body, all := Pack(c.roll.picture(false)), sheets(c.roll.app)
	if held == 0 {
		c.dataMu.Unlock()
	}
	next.Primary = c.me
	var ready []Seat
	for _, s := range yes {
		if len(ready) < next.losses() && s.Disk != c.me.Disk && holds(next.Holders, s.Disk) && c.send(ctx, next.Epoch, s, body, all) == nil {
			ready = append(ready, s)
		}
	}
	if len(ready) < next.losses() {
		return cur, failure.New(failure.Away, "ascend", c.me.Addr, "%d of %d backups took the picture", len(ready), next.losses())
	}
	next.follow(ready)
	ask = &BallotAsk{Epoch: next.Epoch, From: c.me, Accept: true, Record: next}
	if n, _, _ := c.poll(ctx, ask, ready); n < len(ready) {
		return cur, failure.New(failure.Unknown, "ascend", next.Backup.Addr, "%d of %d backups accepted", n, len(ready))
	}
	var rest []Seat
	for _, s := range union {
		if next.rank(s.Disk) < 0 {
			rest = append(rest, s)
		}
	}
	_, _, yes = c.poll(ctx, ask, rest, []Seat{c.me})
	yes = append(yes, ready...)
	if !holds(yes, c.me.Disk) || !most(cur.Holders, yes) || !most(next.Holders, yes) {
		return cur, failure.New(failure.Unknown, "ascend", c.me.Addr, "only %d registers accepted", len(yes))
	}
	return next, nil
}

func partner(r Record, s Seat) bool { return s.Disk == r.Primary.Disk || r.rank(s.Disk) >= 0 }
