// The primary's write path. One loop takes all operations, makes each batch durable here and at the
// backups in parallel (group commit), and only then answers. A lease renewal takes effect only after
// the backups have confirmed an append or heartbeat sent after the renewal arrived, so a deposed
// primary can extend no lease.

package coordination

import (
	"context"
	"sync"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// operation is a request to the primary's loop: a command, a lease renewal, a read of the state or a
// membership change. The result fields are valid once done is closed.
type operation struct {
	entry     *Entry
	renew     *RenewRequest
	readState bool
	leaver    *Replica // a replica that is shutting down
	transfer  bool     // hand the primary role over to a backup

	result   []byte
	renewal  *RenewResponse
	snapshot *Snapshot
	err      error
	done     chan struct{}
}

// leader is the state of one term as primary; a core leads while it is the primary.
type leader struct {
	core   *Core
	record Record
	// startEpoch is the epoch in which this term began. Later epochs of the term change only backups or
	// voters.
	startEpoch          ids.Epoch
	operations          chan *operation
	stopped             chan struct{}
	ledSince            ids.Tick
	membershipChangedAt ids.Tick // when the membership was last changed
	assignAfter         ids.Tick // no key is assigned before this tick
	leases              map[ids.NodeID]*nodeLease
	heartbeatAt         ids.Tick // when heartbeats were last sent
}

// submit passes an operation to the loop and waits until it is done.
func (l *leader) submit(ctx context.Context, op *operation) error {
	notLeader := failure.New(failure.NotExecuted, "ask primary", l.core.self.Addr, "it is no longer the primary")
	select {
	case <-l.stopped:
		return notLeader
	default:
	}
	select {
	case l.operations <- op:
	case <-l.stopped:
		return notLeader
	case <-ctx.Done():
		return failure.As(ctx.Err(), failure.NotExecuted, "ask primary", l.core.self.Addr)
	}
	select {
	case <-op.done:
		return nil
	case <-ctx.Done():
		return failure.As(ctx.Err(), failure.OutcomeUnknown, "ask primary", l.core.self.Addr)
	}
}

// lead acts as the primary of a record until the core loses that role or the context ends.
func (c *Core) lead(ctx context.Context, record Record) {
	now := c.options.Host.Clock.Now()
	l := &leader{
		core:        c,
		record:      record,
		startEpoch:  record.Epoch,
		operations:  make(chan *operation, 256),
		stopped:     make(chan struct{}),
		ledSince:    now,
		assignAfter: now.Add(c.options.LeaseDuration + c.options.LeaseDuration/10),
		leases:      map[ids.NodeID]*nodeLease{},
	}
	c.dataMu.Lock()
	l.assumeLeases(now)
	c.feed.reset(c.state.seq)
	c.dataMu.Unlock()
	c.leader.Store(l)
	c.options.Ring.Warn().Uint64("epoch", uint64(record.Epoch)).Str("backup", record.Backup.Addr).Msg("became primary")
	c.directory.SetMembers(l.members())
	c.directory.Broadcast(ctx)
	err := l.run(ctx)
	c.leader.Store(nil)
	close(l.stopped)
	c.options.Ring.Warn().Uint64("epoch", uint64(l.record.Epoch)).AnErr("cause", err).Msg("lost primary role")
	for {
		select {
		case op := <-l.operations:
			l.complete(op, failure.New(failure.NotExecuted, "write", c.self.Addr, "lost the primary role before executing it"))
		default:
			return
		}
	}
}

func (l *leader) complete(op *operation, err error) {
	if op.err == nil {
		op.err = err
	}
	close(op.done)
}

func (l *leader) run(ctx context.Context) error {
	heartbeat := host.NewTicker(l.core.options.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		var batch []*operation
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heartbeat.C:
			if err := l.reconcileMembership(ctx); err != nil {
				return err
			}
			batch = l.periodicOperations()
		case op := <-l.operations:
			batch = append(batch, op)
		}
	more:
		for len(batch) < 512 {
			select {
			case op := <-l.operations:
				batch = append(batch, op)
			default:
				break more
			}
		}
		if err := l.applyMembership(ctx, batch); err != nil {
			for _, op := range batch {
				l.complete(
					op,
					failure.New(failure.NotExecuted, "write", l.core.self.Addr, "lost the primary role before executing it"),
				)
			}
			return err
		}
		if err := l.commit(ctx, batch); err != nil {
			return err
		}
	}
}

// commit applies a batch, makes it durable on the primary and all backups, and answers it.
func (l *leader) commit(ctx context.Context, batch []*operation) error {
	c := l.core
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	prev := c.state.seq
	var entries []Entry
	add := func(op *operation, e *Entry) {
		if outcome, ok := c.state.outcomes[e.Op]; ok && e.Op != "" {
			op.result, e.Seq = outcome.Body, outcome.Seq
			return
		}
		switch op.result, op.err = c.state.apply(e); op.err {
		case nil:
			entries = append(entries, *e)
		case ErrUnchanged:
			op.err = nil
		}
	}
	for _, op := range batch {
		switch {
		case op.entry != nil:
			add(op, op.entry)
		case op.renew != nil:
			for _, e := range l.renewalEntries(op.renew) {
				add(op, e)
			}
		}
	}
	err := l.replicate(ctx, prev, entries)
	if err != nil {
		c.reloadNeeded = true
		err = failure.As(err, failure.OutcomeUnknown, "write", c.self.Addr)
		for _, op := range batch {
			op.err = err // a rejection, too: it was decided on a state that may be stale
			l.complete(op, err)
		}
		return err
	}
	c.feed.push(entries)
	l.completeBatch(batch)
	if c.store.logUnits > compactionThreshold {
		if err := c.store.compact(c.state.snapshot(false), chunksOf(c.state.machine)); err != nil {
			c.reloadNeeded = true
			return err
		}
	}
	return nil
}

// completeBatch completes the operations of a durable batch. The caller holds dataMu.
func (l *leader) completeBatch(batch []*operation) {
	c := l.core
	now := c.options.Host.Clock.Now()
	var snapshot *Snapshot
	for _, op := range batch {
		if op.renew != nil {
			op.renewal = l.extendLease(op.renew, now, c.state)
		}
		if op.readState {
			if snapshot == nil { // shared by all reads of one batch
				snapshot = c.state.snapshot(true)
			}
			op.snapshot = snapshot
		}
		l.complete(op, nil)
	}
}

// replicate returns nil only once the entries are synced to disk here and at every backup. If a backup
// fails, it runs a ballot for a record with other backups, which are brought up to date with these
// entries included. All operations wait meanwhile.
func (l *leader) replicate(ctx context.Context, prev ids.Seq, entries []Entry) error {
	c := l.core
	var wg sync.WaitGroup
	var localErr error
	wg.Go(func() { localErr = c.store.append(entries) })
	request := &AppendRequest{Epoch: l.record.Epoch, From: c.self, Prev: prev, Entries: entries}
	callContext, stop := context.WithTimeout(ctx, 450*time.Millisecond)
	defer stop()
	backupErrs := make([]error, len(l.record.backups()))
	for i, s := range l.record.backups() {
		wg.Go(func() { backupErrs[i] = l.replicateTo(callContext, s, request) })
	}
	wg.Wait()
	if localErr != nil {
		return localErr
	}
	all := true
	for i, s := range l.record.backups() {
		if backupErrs[i] != nil {
			all = false
			c.options.Ring.Warn().AnErr("cause", backupErrs[i]).Str("backup", s.Addr).Msg("replication to backup failed")
		}
	}
	if all {
		l.sendHeartbeats(ctx, l.record)
		return nil
	}
	for attempt := 0; ; attempt++ {
		record, err := c.runBallot(ctx, ballotOptions{leadingEpoch: l.record.Epoch})
		if err == nil {
			l.record = record
			return nil
		}
		if failure.Is(err, failure.Stale) || attempt > 4 || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// replicateTo sends a batch to one backup, which syncs it before it answers.
func (l *leader) replicateTo(ctx context.Context, s Replica, request *AppendRequest) error {
	r, err := rpc.Call[AppendRequest, AppendResponse](
		ctx, l.core.caller, l.core.directory.Addr(s), appendMethod, request,
	)
	switch {
	case err != nil:
		return err
	case !r.OK:
		if r.Promised > request.Epoch {
			l.core.observeEpoch(r.Promised)
		}
		return failure.New(failure.Stale, "append", s.Addr, "the backup refused; it has promised epoch %d", r.Promised)
	}
	l.core.recordContactFrom(s.Disk)
	return nil
}

// sendHeartbeats sends a heartbeat to the voters without data, at most about once per heartbeat interval.
func (l *leader) sendHeartbeats(ctx context.Context, record Record) {
	c := l.core
	now := c.options.Host.Clock.Now()
	if !now.Past(l.heartbeatAt, c.options.HeartbeatInterval*4/5) && l.heartbeatAt != 0 {
		return
	}
	l.heartbeatAt = now
	for _, s := range record.Voters {
		if s.Disk != c.self.Disk && record.backupRank(s.Disk) < 0 {
			go func() {
				callContext, stop := context.WithTimeout(ctx, 500*time.Millisecond)
				defer stop()
				r, err := rpc.Call[AppendRequest, AppendResponse](
					callContext,
					c.caller,
					c.directory.Addr(s),
					heartbeatMethod,
					&AppendRequest{
						Epoch: record.Epoch,
						From:  c.self,
					},
				)
				// A replica with an empty disk may answer at the address of a lost one.
				if err == nil && r.OK && r.Disk == s.Disk {
					c.recordContactFrom(s.Disk)
				}
			}()
		}
	}
}

func (l *leader) members() (ids.Seq, []Member) {
	l.core.dataMu.Lock()
	defer l.core.dataMu.Unlock()
	return l.core.state.seq, l.core.state.memberList()
}
