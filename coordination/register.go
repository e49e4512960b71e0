// The register of one replica: the acceptor's side of the ballots that decide a record
// (who leads, with which backups, and who the holders are). A ballot is named by its epoch
// and its proposer; a register promises an epoch to one proposer only and accepts no older
// one. Every change is on disk before it is answered.

package coordination

import (
	"context"

	"keelstair.example/ids"
)

// firstEpoch is that of a founding, which all holders must accept, so that it needs no promise.
const firstEpoch ids.Epoch = 1

// register is what a replica has promised and accepted.
type register struct {
	Promised   ids.Epoch
	PromisedTo ids.DiskID
	Accepted   Record
}

// refuses tells why an accepting of this record must be refused, or nothing.
func (r register) refuses(record Record) string {
	switch {
	case record.Epoch < r.Promised:
		return "a newer epoch is promised"
	case record.Epoch == r.Promised && record.Epoch > firstEpoch && r.PromisedTo != "" && r.PromisedTo != record.Primary.Disk:
		return "the epoch is promised to another"
	}
	return ""
}

// accept is the register once it has accepted a record.
func (r register) accept(record Record) register {
	if record.Epoch == r.Accepted.Epoch && r.Accepted.Founding != "" {
		return r // it came again; the change of holders may be known to be decided by now
	}
	return register{Promised: record.Epoch, PromisedTo: record.Primary.Disk, Accepted: record}
}

// accepted gives the register's record and the epoch that it has promised.
func (c *Core) accepted() (Record, ids.Epoch) {
	c.regMu.Lock()
	defer c.regMu.Unlock()
	return c.reg.Accepted, c.reg.Promised
}

// ballot answers either round of a ballot, synced before the answer.
func (c *Core) ballot(_ context.Context, q *BallotAsk) (*BallotReply, error) {
	ready := ids.Epoch(c.ready.Load())
	c.regMu.Lock()
	defer c.regMu.Unlock()
	now := c.opt.Host.Clock.Now()
	answer := func(why string) (*BallotReply, error) {
		return &BallotReply{Ok: why == "", Promised: c.reg.Promised, Accepted: c.reg.Accepted, Why: why}, nil
	}
	next := c.reg
	switch primary := c.reg.Accepted.Primary.Disk; {
	case c.reg.Accepted.Founding != "" && c.reg.Accepted.Founding != q.Record.Founding:
		return answer("another founding")
	case !holds(q.Record.voters(), c.me.Disk):
		return answer("not a holder")
	case !q.Accept && q.Epoch <= c.reg.Promised:
		return answer("a newer epoch is promised")
	case q.Accept && c.reg.refuses(q.Record) != "":
		return answer(c.reg.refuses(q.Record))
	case q.Takeover && q.From.Disk != primary && c.alive(primary, now):
		return answer("the primary is heard")
	case q.Accept && q.Record.rank(c.me.Disk) >= 0 && ready != q.Epoch:
		return answer("the picture of this epoch is missing")
	case q.Accept:
		next = c.reg.accept(q.Record)
	default:
		next.Promised, next.PromisedTo = q.Epoch, q.From.Disk
	}
	if err := c.store.saveRegister(next); err != nil {
		return nil, err
	}
	c.reg = next
	if q.Accept {
		c.heard[q.From.Disk] = now
		c.directory.Learn(&WhereAsk{Record: q.Record})
	}
	return answer("")
}

// adopt takes over a newer record that others have accepted.
// It counts as an accept that came late by another way, so a promise to a newer
// epoch forbids it; and a backup accepts only what it holds the snapshot of.
func (c *Core) adopt(r Record) bool {
	c.regMu.Lock()
	defer c.regMu.Unlock()
	if r.Epoch <= c.reg.Accepted.Epoch || !holds(r.voters(), c.me.Disk) || c.reg.refuses(r) != "" || r.rank(c.me.Disk) >= 0 {
		return false
	}
	next := c.reg.accept(r)
	if err := c.store.saveRegister(next); err != nil {
		return false
	}
	c.reg = next
	return true
}

// settle notes that the record of an epoch is decided: its primary leads, which it does only
// then. A change of holders is over with that, and the holders before it have no say any
// more. The caller holds regMu. A disk that refuses is asked again at the next heartbeat.
func (c *Core) settle(epoch ids.Epoch, primary ids.DiskID) {
	if c.reg.Accepted.Epoch != epoch || c.reg.Accepted.Primary.Disk != primary || len(c.reg.Accepted.Before) == 0 {
		return
	}
	next := c.reg
	next.Accepted.Before = nil
	if err := c.store.saveRegister(next); err != nil {
		c.opt.Ring.Warn().AnErr("cause", err).Msg("a decided change of holders is not noted yet")
		return
	}
	c.reg = next
}

// beat is the primary's sign of life to those it sends no entries.
func (c *Core) beat(_ context.Context, q *AppendAsk) (*AppendReply, error) {
	c.regMu.Lock()
	defer c.regMu.Unlock()
	if q.Epoch < c.reg.Accepted.Epoch || q.Epoch < c.reg.Promised {
		return &AppendReply{Disk: c.me.Disk, Promised: c.reg.Promised}, nil
	}
	c.hear(q.From.Disk)
	c.settle(q.Epoch, q.From.Disk)
	return &AppendReply{Disk: c.me.Disk, Ok: true, Promised: c.reg.Promised}, nil
}

// hear notes a sign of life of another replica. The caller holds regMu.
func (c *Core) hear(d ids.DiskID) { c.heard[d] = c.opt.Host.Clock.Now() }

// heardFrom notes a sign of life of another replica.
func (c *Core) heardFrom(d ids.DiskID) {
	c.regMu.Lock()
	defer c.regMu.Unlock()
	c.hear(d)
}

// alive tells whether a replica was heard lately. The caller holds regMu.
func (c *Core) alive(d ids.DiskID, now ids.Tick) bool {
	if d == c.me.Disk {
		return c.Leads()
	}
	at, ok := c.heard[d]
	return ok && !now.Past(at, c.opt.Silence*2/3)
}
