// The register of one replica: the acceptor's side of the ballots that decide a record (the primary,
// its backups and the voters). A ballot is identified by its epoch and its proposer; a register
// promises an epoch to one proposer only and accepts no older epoch. Every change is on disk before
// it is answered.

package coordination

import (
	"context"

	"keelstair.example/ids"
)

// firstEpoch is the epoch of a bootstrap, which all voters must accept, so that it needs no promise.
const firstEpoch ids.Epoch = 1

// register is what a replica has promised and accepted.
type register struct {
	Promised   ids.Epoch
	PromisedTo ids.DiskID
	Accepted   Record
}

// rejectionReason returns the reason why the register must not accept this record, or "" if it may.
func (r register) rejectionReason(record Record) string {
	switch {
	case record.Epoch < r.Promised:
		return "a newer epoch is promised"
	case record.Epoch == r.Promised && record.Epoch > firstEpoch && r.PromisedTo != "" &&
		r.PromisedTo != record.Primary.Disk:
		return "the epoch is promised to another"
	}
	return ""
}

// withAccepted returns the register after it has accepted a record.
func (r register) withAccepted(record Record) register {
	if record.Epoch == r.Accepted.Epoch && r.Accepted.ClusterID != "" {
		return r // a repeat: the stored record may already be marked as decided
	}
	return register{Promised: record.Epoch, PromisedTo: record.Primary.Disk, Accepted: record}
}

// acceptedRecord returns the accepted record and the promised epoch.
func (c *Core) acceptedRecord() (Record, ids.Epoch) {
	c.registerMu.Lock()
	defer c.registerMu.Unlock()
	return c.register.Accepted, c.register.Promised
}

// handleBallot answers either round of a ballot. It saves the register before it answers.
func (c *Core) handleBallot(_ context.Context, request *BallotRequest) (*BallotResponse, error) {
	ready := ids.Epoch(c.readyEpoch.Load())
	c.registerMu.Lock()
	defer c.registerMu.Unlock()
	now := c.options.Host.Clock.Now()
	answer := func(reason string) (*BallotResponse, error) {
		return &BallotResponse{
			OK:       reason == "",
			Promised: c.register.Promised,
			Accepted: c.register.Accepted,
			Reason:   reason,
		}, nil
	}
	next := c.register
	switch primary := c.register.Accepted.Primary.Disk; {
	case c.register.Accepted.ClusterID != "" && c.register.Accepted.ClusterID != request.Record.ClusterID:
		return answer("another founding")
	case !containsDisk(request.Record.allVoters(), c.self.Disk):
		return answer("not a holder")
	case !request.Accept && request.Epoch <= c.register.Promised:
		return answer("a newer epoch is promised")
	case request.Accept && c.register.rejectionReason(request.Record) != "":
		return answer(c.register.rejectionReason(request.Record))
	case request.Takeover && request.From.Disk != primary && c.recentlyHeardFrom(primary, now):
		return answer("the primary is heard")
	case request.Accept && request.Record.backupRank(c.self.Disk) >= 0 && ready != request.Epoch:
		return answer("the snapshot of this epoch is missing")
	case request.Accept:
		next = c.register.withAccepted(request.Record)
	default:
		next.Promised, next.PromisedTo = request.Epoch, request.From.Disk
	}
	if err := c.store.saveRegister(next); err != nil {
		return nil, err
	}
	c.register = next
	if request.Accept {
		c.lastHeard[request.From.Disk] = now
		c.directory.Merge(&PeerExchange{Record: request.Record})
	}
	return answer("")
}

// adoptRecord accepts a newer record that others have accepted. It is equivalent to a delayed accept
// message, so a promise to a newer epoch forbids it; and a core never adopts a record that names it
// as a backup, since a backup accepts only a record whose snapshot it holds.
func (c *Core) adoptRecord(r Record) bool {
	c.registerMu.Lock()
	defer c.registerMu.Unlock()
	if r.Epoch <= c.register.Accepted.Epoch || !containsDisk(r.allVoters(), c.self.Disk) ||
		c.register.rejectionReason(r) != "" || r.backupRank(c.self.Disk) >= 0 {
		return false
	}
	next := c.register.withAccepted(r)
	if err := c.store.saveRegister(next); err != nil {
		return false
	}
	c.register = next
	return true
}

// markDecided marks the record of an epoch as decided: its primary leads, which it does only once the
// record is decided. That completes a change of voters, and the outgoing voters no longer vote. The
// caller holds registerMu. A failed save is repeated at the next heartbeat.
func (c *Core) markDecided(epoch ids.Epoch, primary ids.DiskID) {
	if c.register.Accepted.Epoch != epoch || c.register.Accepted.Primary.Disk != primary ||
		len(c.register.Accepted.OutgoingVoters) == 0 {
		return
	}
	next := c.register
	next.Accepted.OutgoingVoters = nil
	if err := c.store.saveRegister(next); err != nil {
		c.options.Ring.Warn().AnErr("cause", err).Msg("decided change of voters not saved yet")
		return
	}
	c.register = next
}

// handleHeartbeat records a heartbeat of the primary, which goes to the voters without data.
func (c *Core) handleHeartbeat(_ context.Context, request *AppendRequest) (*AppendResponse, error) {
	c.registerMu.Lock()
	defer c.registerMu.Unlock()
	if request.Epoch < c.register.Accepted.Epoch || request.Epoch < c.register.Promised {
		return &AppendResponse{Disk: c.self.Disk, Promised: c.register.Promised}, nil
	}
	c.recordContact(request.From.Disk)
	c.markDecided(request.Epoch, request.From.Disk)
	return &AppendResponse{Disk: c.self.Disk, OK: true, Promised: c.register.Promised}, nil
}

// recordContact records that this core has heard from another replica. The caller holds registerMu.
func (c *Core) recordContact(d ids.DiskID) { c.lastHeard[d] = c.options.Host.Clock.Now() }

// recordContactFrom is like recordContact and acquires registerMu.
func (c *Core) recordContactFrom(d ids.DiskID) {
	c.registerMu.Lock()
	defer c.registerMu.Unlock()
	c.recordContact(d)
}

// recentlyHeardFrom reports whether this core has heard from a replica within two thirds of the election
// timeout. For this core itself, it reports whether it is the primary. The caller holds registerMu.
func (c *Core) recentlyHeardFrom(d ids.DiskID, now ids.Tick) bool {
	if d == c.self.Disk {
		return c.Leads()
	}
	at, ok := c.lastHeard[d]
	return ok && !now.Past(at, c.options.ElectionTimeout*2/3)
}
