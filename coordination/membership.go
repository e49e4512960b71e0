// Changes of membership by agreement, one voter at a time: a voter that is lost is replaced
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
	spareMaxAge = 5 * time.Second         // within which a spare must have spoken for itself
	leaveRetry  = 150 * time.Millisecond  // between two tries to hand over
	leaveWait   = 1500 * time.Millisecond // for one such try
	// How long a record has stood before its voters are spread over the zones: longer than a
	// process takes to start again.
	spreadAfter = 10 * time.Second
)

// errLeadershipTransferred ends the lead of a primary that has asked a backup to take over.
var errLeadershipTransferred = failure.New(failure.Stale, "lead", "", "it has handed over")

// reconcileMembership gives the register of a long silent voter to a spare that is heard.
func (l *leader) reconcileMembership(ctx context.Context) error {
	now := l.core.options.Host.Clock.Now()
	l.core.directory.SetMembers(l.members())
	all := l.core.spareReplicas(l.record)
	for _, s := range l.record.Voters {
		if spare, ok := l.replacementFor(s, all, now); ok {
			return l.replace(ctx, ballot{
				leadingEpoch: l.record.Epoch,
				removed:      s.Disk,
				added:        spare,
			}, "replacing voter")
		}
	}
	if out, in, ok := l.zoneImbalance(all, now); ok {
		return l.replace(ctx, ballot{
			leadingEpoch: l.record.Epoch,
			removed:      out.Disk,
			added:        in,
		}, "rebalancing voters over zones")
	}
	return nil
}

// zoneImbalance gives a voter to replace by a spare of a zone that has fewer voters by two or
// more, so that the loss of a zone takes no more of them than it must. All voters have to be
// heard, and the record to have stood for a while.
func (l *leader) zoneImbalance(all []Replica, now ids.Tick) (out, in Replica, ok bool) {
	if !now.Past(max(l.ledSince, l.membershipChangedAt), spreadAfter) || len(all) == 0 || !l.allHeard(now) {
		return Replica{}, Replica{}, false
	}
	perZone := countByZone(l.record.Voters, "")
	in = inSmallestZone(all, perZone)
	for _, s := range l.record.Voters {
		better := perZone[in.Zone]+2 <= perZone[s.Zone]
		if better && s.Disk != l.core.self.Disk && (out.Disk == "" || l.record.backupRank(out.Disk) >= 0) {
			out = s // one without data, if there is one
		}
	}
	return out, in, out.Disk != ""
}

// countByZone counts replicas by zone, but for one.
func countByZone(list []Replica, without ids.DiskID) map[ids.Zone]int {
	perZone := map[ids.Zone]int{}
	for _, s := range list {
		if s.Disk != without {
			perZone[s.Zone]++
		}
	}
	return perZone
}

// inSmallestZone gives the spare whose zone has the fewest voters; the lowest identity of several.
func inSmallestZone(all []Replica, perZone map[ids.Zone]int) Replica {
	return slices.MinFunc(all, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(perZone[a.Zone], perZone[b.Zone]), cmp.Compare(a.Disk, b.Disk))
	})
}

// allHeard tells whether every voter gave a sign of life lately.
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

// replace decides a record in which the membership differs.
func (l *leader) replace(ctx context.Context, p ballot, what string) error {
	c := l.core
	c.dataMu.Lock()
	record, err := c.campaign(ctx, p)
	c.dataMu.Unlock()
	c.options.Ring.Warn().AnErr("cause", err).Str("removed", string(p.removed)).Str("added", p.added.Addr).Msg(what)
	if err == nil {
		l.record = record
		l.membershipChangedAt = c.options.Host.Clock.Now()
	}
	return err
}

// spareReplicas are the replicas that were heard lately, hold no register and are not about to end.
func (c *Core) spareReplicas(record Record) []Replica {
	all, _ := c.directory.recentReplicas(spareMaxAge)
	var out []Replica
	for _, s := range all {
		if !containsDisk(record.Voters, s.Disk) && !c.directory.isLeaving(s.Disk) {
			out = append(out, s)
		}
	}
	return out
}

// replacementFor gives who may take over a voter's register, if that is lost: another disk that
// stands at its very address, at once, since the one before it will not come back; any
// other after a longer silence.
func (l *leader) replacementFor(s Replica, all []Replica, now ids.Tick) (Replica, bool) {
	c := l.core
	c.registerMu.Lock()
	at := max(c.lastHeard[s.Disk], l.ledSince)
	c.registerMu.Unlock()
	if s.Disk == c.self.Disk || !now.Past(at, c.options.ElectionTimeout) {
		return Replica{}, false
	}
	addr := c.directory.Addr(s)
	for i := range all {
		if all[i].Addr == addr {
			return all[i], true
		}
	}
	if len(all) == 0 || !now.Past(at, c.options.ReplaceAfter) {
		return Replica{}, false
	}
	return inSmallestZone(all, countByZone(l.record.Voters, s.Disk)), true
}

// Leave hands over what this core has, so that it can end: the lead to a backup that is up to
// date, its copy of the data to another voter, its register to a spare. It returns once that
// is done, or with what stood in the way when the context ends. The core goes on answering
// meanwhile; a process that starts again on the same disk takes part as before.
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
		if !host.Sleep(ctx, leaveRetry) {
			c.options.Ring.Warn().AnErr("cause", err).Msg("shutdown: not handed over")
			return failure.Wrap(err, "leave", c.self.Addr)
		}
	}
}

// handOver takes the next step of leaving; it is done when nothing depends on this core.
func (c *Core) handOver(ctx context.Context) (bool, error) {
	record, _ := c.accepted()
	if known := c.directory.Record(); known.Epoch > record.Epoch {
		record = known
	}
	if !containsDisk(record.Voters, c.self.Disk) {
		return true, nil
	}
	ctx, stop := context.WithTimeout(ctx, leaveWait)
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

// handleLeave answers a replica that is about to end.
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
	record, _ := c.accepted()
	return &LeaveResponse{Done: true, Record: record}, nil
}

// applyMembership does what the jobs of a batch ask of the membership. Its error ends the lead.
func (l *leader) applyMembership(ctx context.Context, batch []*operation) error {
	for _, op := range batch {
		switch {
		case op.leaver != nil:
			err := l.release(ctx, op, *op.leaver)
			if err != nil {
				return err
			}
		case op.transfer:
			if op.err = l.transfer(ctx); op.err == nil {
				return errLeadershipTransferred
			}
		}
	}
	return nil
}

// release takes a replica that is about to end out of the record: its register passes on to a
// spare if there is one, its copy of the data to another voter.
func (l *leader) release(ctx context.Context, op *operation, leaver Replica) error {
	c := l.core
	if !containsDisk(l.record.Voters, leaver.Disk) || leaver.Disk == c.self.Disk {
		return nil
	}
	p := ballot{leadingEpoch: l.record.Epoch, notBackup: leaver.Disk}
	if all := c.spareReplicas(l.record); len(all) > 0 {
		p.removed, p.added = leaver.Disk, inSmallestZone(all, countByZone(l.record.Voters, leaver.Disk))
	} else if l.record.backupRank(leaver.Disk) < 0 {
		return nil
	}
	if !l.canRelease(leaver.Disk) {
		op.err = failure.New(
			failure.Unavailable, "leave", c.self.Addr, "too few other replicas are heard to hold the data",
		)
		return nil
	}
	err := l.replace(ctx, p, "releasing replica")
	if err != nil {
		op.err = err
	}
	return err
}

// canRelease tells whether so many voters are heard beside this one and the leaver that the data
// can have its backups there.
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

// transfer asks a backup, which has all that was ever acknowledged, to take over at once.
func (l *leader) transfer(ctx context.Context) error {
	c := l.core
	err := failure.New(failure.Unavailable, "hand over", c.self.Addr, "no backup may take over")
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

// handleTransfer answers a primary that hands over: the election loop stands for election at once.
func (c *Core) handleTransfer(_ context.Context, request *TransferRequest) (*TransferResponse, error) {
	record, _ := c.accepted()
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
