// Changes of membership by consensus, one voter at a time: a lost voter is replaced by a spare
// replica, and a replica that is shutting down first hands over its roles.

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
	spareMaxSilence       = 5 * time.Second         // within which a spare must have been heard
	handOverRetryInterval = 150 * time.Millisecond  // between two attempts to hand over
	handOverTimeout       = 1500 * time.Millisecond // timeout of one attempt
	// rebalanceDelay is the age from which a record's voters may be rebalanced over the zones: more
	// than a process takes to restart.
	rebalanceDelay = 10 * time.Second
)

// errLeadershipTransferred ends the term of a primary that has asked a backup to take over.
var errLeadershipTransferred = failure.New(failure.Stale, "lead", "", "leadership was transferred to a backup")

// reconcileMembership replaces a voter that was silent for too long by a spare, or else rebalances
// the voters over the zones.
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
			}, "replacing voter")
		}
	}
	if out, in, ok := l.zoneImbalance(spares, now); ok {
		return l.changeMembership(ctx, ballotOptions{
			leadingEpoch: l.record.Epoch,
			removed:      out.Disk,
			added:        in,
		}, "rebalancing voters over zones")
	}
	return nil
}

// zoneImbalance returns a voter to replace, and as its replacement a spare in a zone that has at
// least two voters fewer, so that the loss of a zone takes as few voters as possible. It requires
// that all voters are heard and that the record is older than rebalanceDelay.
func (l *leader) zoneImbalance(spares []Replica, now ids.Tick) (out, in Replica, ok bool) {
	if !now.Past(max(l.ledSince, l.membershipChangedAt), rebalanceDelay) || len(spares) == 0 || !l.allHeard(now) {
		return Replica{}, Replica{}, false
	}
	perZone := countByZone(l.record.Voters, "")
	in = inSmallestZone(spares, perZone)
	for _, s := range l.record.Voters {
		better := perZone[in.Zone]+2 <= perZone[s.Zone]
		if better && s.Disk != l.core.self.Disk && (out.Disk == "" || l.record.backupRank(out.Disk) >= 0) {
			out = s // prefers a voter without data
		}
	}
	return out, in, out.Disk != ""
}

// countByZone counts the replicas in each zone, except one replica.
func countByZone(list []Replica, without ids.DiskID) map[ids.Zone]int {
	perZone := map[ids.Zone]int{}
	for _, s := range list {
		if s.Disk != without {
			perZone[s.Zone]++
		}
	}
	return perZone
}

// inSmallestZone returns the spare whose zone has the fewest voters; of several, the one with the
// lowest disk id.
func inSmallestZone(spares []Replica, perZone map[ids.Zone]int) Replica {
	return slices.MinFunc(spares, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(perZone[a.Zone], perZone[b.Zone]), cmp.Compare(a.Disk, b.Disk))
	})
}

// allHeard reports whether every other voter was recently heard.
func (l *leader) allHeard(now ids.Tick) bool {
	l.core.registerMu.Lock()
	defer l.core.registerMu.Unlock()
	for _, s := range l.record.Voters {
		if s.Disk != l.core.self.Disk && !l.core.recentlyHeard(s.Disk, now) {
			return false
		}
	}
	return true
}

// changeMembership runs a ballot that changes the membership, and logs it under the given message.
func (l *leader) changeMembership(ctx context.Context, p ballotOptions, message string) error {
	c := l.core
	c.dataMu.Lock()
	record, err := c.campaign(ctx, p)
	c.dataMu.Unlock()
	c.options.Ring.Warn().AnErr("cause", err).Str("removed", string(p.removed)).Str("added", p.added.Addr).Msg(message)
	if err == nil {
		l.record = record
		l.membershipChangedAt = c.options.Host.Clock.Now()
	}
	return err
}

// spareReplicas returns the recently heard replicas that are not voters and not shutting down.
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

// replacementFor returns the spare that replaces a voter that is considered lost. A spare at the
// voter's own address replaces it after ElectionTimeout, since the previous disk there will not come
// back; any other spare replaces it after ReplaceAfter.
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

// Leave hands over this core's roles, so that it can shut down: leadership to an up-to-date backup,
// its copy of the data to another voter, its register to a spare. It returns nil once that is done,
// or the last error when the context ends. The core keeps serving meanwhile; a process that
// restarts on the same disk participates as before.
func (c *Core) Leave(ctx context.Context) error {
	c.leaving.Store(true)
	c.directory.setLeaving()
	c.directory.Broadcast(ctx)
	for {
		done, err := c.handOver(ctx)
		if done {
			c.options.Ring.Info().Msg("shutdown: handed over")
			return nil
		}
		if !host.Sleep(ctx, handOverRetryInterval) {
			c.options.Ring.Warn().AnErr("cause", err).Msg("shutdown: not handed over")
			return failure.Wrap(err, "leave", c.self.Addr)
		}
	}
}

// handOver takes the next step of Leave. It returns true once nothing depends on this core.
func (c *Core) handOver(ctx context.Context) (bool, error) {
	record, _ := c.acceptedRecord()
	if known := c.directory.Record(); known.Epoch > record.Epoch {
		record = known
	}
	if !containsDisk(record.Voters, c.self.Disk) {
		return true, nil
	}
	ctx, stop := context.WithTimeout(ctx, handOverTimeout)
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

// handleLeave releases a replica that is shutting down from the record.
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
			err := l.releaseReplica(ctx, op, *op.leaver)
			if err != nil {
				return err
			}
		case op.transfer:
			if op.err = l.transferLeadership(ctx); op.err == nil {
				return errLeadershipTransferred
			}
		}
	}
	return nil
}

// releaseReplica removes a replica that is shutting down from the record: a spare, if there is one,
// becomes a voter in its place, and another voter becomes a backup in its place.
func (l *leader) releaseReplica(ctx context.Context, op *operation, leaver Replica) error {
	c := l.core
	if !containsDisk(l.record.Voters, leaver.Disk) || leaver.Disk == c.self.Disk {
		return nil
	}
	p := ballotOptions{leadingEpoch: l.record.Epoch, notBackup: leaver.Disk}
	if spares := c.spareReplicas(l.record); len(spares) > 0 {
		p.removed, p.added = leaver.Disk, inSmallestZone(spares, countByZone(l.record.Voters, leaver.Disk))
	} else if l.record.backupRank(leaver.Disk) < 0 {
		return nil
	}
	if !l.canRelease(leaver.Disk) {
		op.err = failure.New(
			failure.Unavailable, "leave", c.self.Addr, "not enough other replicas are reachable to hold the data",
		)
		return nil
	}
	err := l.changeMembership(ctx, p, "releasing replica")
	if err != nil {
		op.err = err
	}
	return err
}

// canRelease reports whether enough voters other than this core and the leaver are heard to be the
// backups.
func (l *leader) canRelease(leaver ids.DiskID) bool {
	c := l.core
	now := c.options.Host.Clock.Now()
	c.registerMu.Lock()
	defer c.registerMu.Unlock()
	n := 0
	for _, s := range l.record.Voters {
		if s.Disk != c.self.Disk && s.Disk != leaver && c.recentlyHeard(s.Disk, now) {
			n++
		}
	}
	return n >= l.record.faultTolerance()
}

// transferLeadership asks a backup to take over at once. Every backup has all acknowledged entries.
func (l *leader) transferLeadership(ctx context.Context) error {
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

// handleTransfer accepts a primary's request to take over and makes the election loop start an
// election at once.
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
