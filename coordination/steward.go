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
)

const (
	stewardLook   = 60 * time.Millisecond // between two looks, and as much again by chance
	leaverSilence = 2 * time.Second       // longer than others wait, since a replica that is about to end leads only if nobody else does
)

// meeting is who was met last, and since when nobody else.
type meeting struct {
	row []Replica
	at  ids.Tick
}

func (c *Core) steward(ctx context.Context) {
	idle := c.opt.Host.Clock.Now()
	met := &meeting{}
	for c.pause(ctx) {
		now := c.opt.Host.Clock.Now()
		rec, _ := c.accepted()
		known := c.directory.Record()
		if f := c.directory.Foreign(); f != "" && rec.Founding != "" && c.orphan(now, rec) {
			c.fatal <- failure.New(failure.Bad, "meet neighbours", f, "this disk belongs to founding %s; the seeds to another", rec.Founding)
			return
		}
		if rec.Founding == "" {
			if known.Founding == "" {
				if !c.opt.Joins {
					c.found(ctx, met)
					idle = c.opt.Host.Clock.Now() // it may have led all the while
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
		if c.store.busy.Load() > 0 || !c.named(rec) || c.reloaded() {
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
		asked := c.asked.Load() == uint64(rec.Epoch)
		if c.leaving.Load() {
			wait += leaverSilence
		}
		if !asked && !now.Past(idle, wait) {
			continue
		}
		got, err := c.ascend(ctx, proposal{asked: asked})
		if err != nil {
			c.opt.Ring.Info().AnErr("cause", err).Msg("does not lead")
			continue
		}
		c.serve(ctx, got)
		idle = c.opt.Host.Clock.Now()
	}
}

// pause waits for the steward's next look, or until it is woken; it is false once the context
// has ended.
func (c *Core) pause(ctx context.Context) bool {
	t := time.NewTimer(stewardLook + rand.N(stewardLook))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.wake:
	case <-t.C:
	}
	return true
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
	all, _ := c.directory.heard(5 * time.Second)
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
func (c *Core) reloaded() bool {
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	if !c.mustReload {
		return false
	}
	fresh := newReplicatedState(c.opt.Machine())
	if err := c.store.load(fresh); err != nil {
		c.opt.Ring.Error().AnErr("cause", err).Msg("disk cannot be read back")
		return true
	}
	c.state, c.mustReload = fresh, false
	return false
}

// found makes the first record, only when enough empty disk machines have met (three, if
// one may be lost) and all of them accept it. The lowest identity proposes, once it heard
// of no other machine for a while.
func (c *Core) found(ctx context.Context, met *meeting) {
	all, blank := c.directory.heard(2 * time.Second)
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
	body, shelf := Pack(c.state.snapshot(false)), sheets(c.state.app)
	c.dataMu.Unlock()
	if c.begin(ctx, rec, body, shelf) {
		c.serve(ctx, rec)
	}
}
