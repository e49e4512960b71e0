// Changes of the membership record, which names the primary, backups and voters of an epoch. The
// primary replaces a lost voter by a spare replica and spreads the voters over the zones, one voter per
// ballot. A replica that is shutting down first hands over its roles.

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
	spareMaxSilence      = 5 * time.Second         // a spare silent for longer is not used
	handoffRetryInterval = 150 * time.Millisecond  // between two attempts to hand over the roles
	handoffTimeout       = 1500 * time.Millisecond // timeout of one attempt
	// rebalanceDelay is how long the membership must be unchanged before voters are rebalanced over the
	// zones. It is longer than a process takes to restart.
	rebalanceDelay = 10 * time.Second
)

// errPrimaryRoleTransferred ends the term of a primary after a backup has agreed to take over.
var errPrimaryRoleTransferred = failure.New(failure.Stale, "lead", "", "the primary role was transferred to a backup")

// reconcileMembership replaces a voter that has been silent for too long by a spare. If there is none
// to replace, it rebalances the voters over the zones.
func (l *leader) reconcileMembership(ctx context.Context) error {
	now := l.core.options.Host.Clock.Now()
	l.core.directory.SetMembers(l.members())
	spares := l.core.spareReplicas(l.record)
	for _, s := range l.record.Voters {
		if spare, ok := l.replacementFor(s, spares, now); ok {
			return l.changeMembership(ctx, ballotOptions{
				leadingEpoch: l.record.Epoch,
				removed:      s.Disk,
				added:        spare,
			}, "ballot to replace a lost voter ended")
		}
	}
	if out, in, ok := l.zoneImbalance(spares, now); ok {
		return l.changeMembership(ctx, ballotOptions{
			leadingEpoch: l.record.Epoch,
			removed:      out.Disk,
			added:        in,
		}, "ballot to rebalance voters over zones ended")
	}
	return nil
}

// zoneImbalance returns a voter to replace, and as its replacement a spare in a zone that has at
// least two voters fewer, so that the loss of a zone loses as few voters as possible. It never
// replaces this core. It returns false unless the membership has not changed for rebalanceDelay and
// this core has recently heard from all other voters.
func (l *leader) zoneImbalance(spares []Replica, now ids.Tick) (out, in Replica, ok bool) {
	if !now.Past(max(l.ledSince, l.membershipChangedAt), rebalanceDelay) || len(spares) == 0 || !l.recentlyHeardFromAll(now) {
		return Replica{}, Replica{}, false
	}
	perZone := countByZone(l.record.Voters, "")
	in = inSmallestZone(spares, perZone)
	for _, s := range l.record.Voters {
		evensZones := perZone[in.Zone]+2 <= perZone[s.Zone]
		// A backup is chosen only if no voter without data qualifies.
		if evensZones && s.Disk != l.core.self.Disk && (out.Disk == "" || l.record.backupRank(out.Disk) >= 0) {
			out = s
		}
	}
	return out, in, out.Disk != ""
}

// countByZone returns the number of replicas in each zone, not counting the one with the given disk.
func countByZone(list []Replica, without ids.DiskID) map[ids.Zone]int {
	perZone := map[ids.Zone]int{}
	for _, s := range list {
		if s.Disk != without {
			perZone[s.Zone]++
		}
	}
	return perZone
}

// inSmallestZone returns the spare whose zone has the fewest voters. Ties go to the lowest disk id.
func inSmallestZone(spares []Replica, perZone map[ids.Zone]int) Replica {
	return slices.MinFunc(spares, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(perZone[a.Zone], perZone[b.Zone]), cmp.Compare(a.Disk, b.Disk))
	})
}

// recentlyHeardFromAll reports whether this core has recently heard from every other voter.
func (l *leader) recentlyHeardFromAll(now ids.Tick) bool {
	l.core.registerMu.Lock()
	defer l.core.registerMu.Unlock()
	for _, s := range l.record.Voters {
		if s.Disk != l.core.self.Disk && !l.core.recentlyHeardFrom(s.Disk, now) {
			return false
		}
	}
	return true
}

// changeMembership runs a ballot that changes the membership, and logs its end under the given
// message, with the cause if it failed.
func (l *leader) changeMembership(ctx context.Context, opts ballotOptions, message string) error {
	c := l.core
	c.dataMu.Lock()
	record, err := c.runBallot(ctx, opts)
	c.dataMu.Unlock()
	c.options.Ring.Warn().AnErr("cause", err).Str("removed", string(opts.removed)).Str("added", opts.added.Addr).Msg(message)
	if err == nil {
		l.record = record
		l.membershipChangedAt = c.options.Host.Clock.Now()
	}
	return err
}

// spareReplicas returns the replicas that were heard from within spareMaxSilence and are neither voters
// nor shutting down.
func (c *Core) spareReplicas(record Record) []Replica {
	all, _ := c.directory.recentReplicas(spareMaxSilence)
	var out []Replica
	for _, s := range all {
		if !containsDisk(record.Voters, s.Disk) && !c.directory.isLeaving(s.Disk) {
			out = append(out, s)
		}
	}
	return out
}

// replacementFor returns the spare that should replace a voter, if the voter has been silent for too
// long. A spare at the voter's own address replaces it after ElectionTimeout, since the previous disk
// at that address will not come back; any other spare replaces it after ReplaceAfter.
func (l *leader) replacementFor(s Replica, spares []Replica, now ids.Tick) (Replica, bool) {
	c := l.core
	c.registerMu.Lock()
	at := max(c.lastHeard[s.Disk], l.ledSince)
	c.registerMu.Unlock()
	if s.Disk == c.self.Disk || !now.Past(at, c.options.ElectionTimeout) {
		return Replica{}, false
	}
	addr := c.directory.Addr(s)
	for i := range spares {
		if spares[i].Addr == addr {
			return spares[i], true
		}
	}
	if len(spares) == 0 || !now.Past(at, c.options.ReplaceAfter) {
		return Replica{}, false
	}
	return inSmallestZone(spares, countByZone(l.record.Voters, s.Disk)), true
}

// Leave hands over this core's roles, so that it can shut down: the primary role to an up-to-date
// backup, the backup role to another voter, and its place as a voter to a spare. It returns nil once
// that is done, or the last error when the context ends. The core keeps serving meanwhile. A process
// that restarts on the same disk participates as before.
func (c *Core) Leave(ctx context.Context) error {
	c.leaving.Store(true)
	c.directory.setLeaving()
	c.directory.Broadcast(ctx)
	for {
		done, err := c.attemptHandoff(ctx)
		if done {
			c.options.Ring.Info().Msg("shutting down: all roles handed over")
			return nil
		}
		if !host.Sleep(ctx, handoffRetryInterval) {
			c.options.Ring.Warn().AnErr("cause", err).Msg("shutting down: not all roles were handed over")
			return failure.Wrap(err, "leave", c.self.Addr)
		}
	}
}

// attemptHandoff takes the next step of Leave. It returns true once the membership no longer depends on this
// core.
func (c *Core) attemptHandoff(ctx context.Context) (bool, error) {
	record, _ := c.acceptedRecord()
	if known := c.directory.Record(); known.Epoch > record.Epoch {
		record = known
	}
	if !containsDisk(record.Voters, c.self.Disk) {
		return true, nil
	}
	ctx, stop := context.WithTimeout(ctx, handoffTimeout)
	defer stop()
	if l := c.leader.Load(); l != nil {
		op := &operation{transfer: true, done: make(chan struct{})}
		err := l.submit(ctx, op)
		if err == nil {
			err = op.err
		}
		return false, err
	}
	r, err := rpc.Call[LeaveRequest, LeaveResponse](
		ctx, c.caller, c.directory.Addr(record.Primary), leaveMethod, &LeaveRequest{Self: c.self},
	)
	if err != nil {
		c.directory.Query(ctx, 3)
		return false, err
	}
	c.directory.Merge(&PeerExchange{Record: r.Record})
	return r.Done, nil
}

// handleLeave removes a replica that is shutting down from the membership.
func (c *Core) handleLeave(ctx context.Context, request *LeaveRequest) (*LeaveResponse, error) {
	l := c.leader.Load()
	if l == nil {
		return nil, failure.New(failure.Unavailable, "leave", c.self.Addr, "not the primary")
	}
	op := &operation{leaver: &request.Self, done: make(chan struct{})}
	if err := l.submit(ctx, op); err != nil {
		return nil, err
	}
	if op.err != nil {
		return nil, op.err
	}
	record, _ := c.acceptedRecord()
	return &LeaveResponse{Done: true, Record: record}, nil
}

// applyMembership runs the membership changes of a batch. An error ends this core's term as primary.
func (l *leader) applyMembership(ctx context.Context, batch []*operation) error {
	for _, op := range batch {
		switch {
		case op.leaver != nil:
			err := l.removeLeavingReplica(ctx, op, *op.leaver)
			if err != nil {
				return err
			}
		case op.transfer:
			if op.err = l.transferPrimaryRole(ctx); op.err == nil {
				return errPrimaryRoleTransferred
			}
		}
	}
	return nil
}

// removeLeavingReplica removes a replica that is shutting down from the membership. A spare, if there is
// one, becomes a voter in its place. If the replica is a backup, another voter becomes a backup in its
// place.
func (l *leader) removeLeavingReplica(ctx context.Context, op *operation, leaver Replica) error {
	c := l.core
	if !containsDisk(l.record.Voters, leaver.Disk) || leaver.Disk == c.self.Disk {
		return nil
	}
	opts := ballotOptions{leadingEpoch: l.record.Epoch, notBackup: leaver.Disk}
	if spares := c.spareReplicas(l.record); len(spares) > 0 {
		opts.removed, opts.added = leaver.Disk, inSmallestZone(spares, countByZone(l.record.Voters, leaver.Disk))
	} else if l.record.backupRank(leaver.Disk) < 0 {
		return nil
	}
	if !l.canRemove(leaver.Disk) {
		op.err = failure.New(
			failure.Unavailable, "leave", c.self.Addr, "not enough other replicas are reachable to hold the data",
		)
		return nil
	}
	err := l.changeMembership(ctx, opts, "ballot to remove a leaving replica ended")
	if err != nil {
		op.err = err
	}
	return err
}

// canRemove reports whether this core has recently heard from enough other voters, not counting the
// leaver, for them to be the backups.
func (l *leader) canRemove(leaver ids.DiskID) bool {
	c := l.core
	now := c.options.Host.Clock.Now()
	c.registerMu.Lock()
	defer c.registerMu.Unlock()
	n := 0
	for _, s := range l.record.Voters {
		if s.Disk != c.self.Disk && s.Disk != leaver && c.recentlyHeardFrom(s.Disk, now) {
			n++
		}
	}
	return n >= l.record.faultTolerance()
}

// transferPrimaryRole asks the backups that are not shutting down, in the order of their rank, to take over
// at once, until one agrees. Every backup has all acknowledged entries.
func (l *leader) transferPrimaryRole(ctx context.Context) error {
	c := l.core
	err := failure.New(failure.Unavailable, "hand over", c.self.Addr, "no backup is available to take over")
	for _, s := range l.record.backups() {
		if c.directory.isLeaving(s.Disk) {
			continue
		}
		var r *TransferResponse
		r, err = rpc.Call[TransferRequest, TransferResponse](
			ctx,
			c.caller,
			c.directory.Addr(s),
			transferMethod,
			&TransferRequest{
				Epoch: l.record.Epoch,
				From:  c.self,
			},
		)
		if err == nil && r.OK {
			return nil
		}
	}
	return err
}

// handleTransfer handles a primary's request to take over. If this core is a backup of that primary and
// not shutting down, it agrees, and its election loop starts an election at once.
func (c *Core) handleTransfer(_ context.Context, request *TransferRequest) (*TransferResponse, error) {
	record, _ := c.acceptedRecord()
	if record.Epoch != request.Epoch || record.Primary.Disk != request.From.Disk ||
		record.backupRank(c.self.Disk) < 0 || c.leaving.Load() {
		return &TransferResponse{}, nil
	}
	c.transferEpoch.Store(uint64(request.Epoch))
	select {
	case c.wakeElection <- struct{}{}:
	default:
	}
	return &TransferResponse{OK: true}, nil
}
