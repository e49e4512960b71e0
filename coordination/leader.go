// The primary's writer. One loop takes all that wants writing, makes it durable
// here and at the backups side by side (group commit), and only then answers. A
// renewal of a lease counts only with a heartbeat that the backup confirmed after
// the renewal came, so a deposed primary can lengthen no lease.

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

type operation struct {
	entry     *Entry
	renew     *RenewRequest
	readState bool
	// Changes of membership: a replica that leaves, or the lead itself.
	leaver   *Replica
	transfer bool

	result   []byte
	renewal  *RenewResponse
	snapshot *Snapshot
	err      error
	done     chan struct{}
}

type leader struct {
	core   *Core
	record Record
	// The epoch in which this lead began. Later ones of the same lead change backups or voters only.
	startEpoch          ids.Epoch
	operations          chan *operation
	stopped             chan struct{}
	ledSince            ids.Tick
	membershipChangedAt ids.Tick // when the membership was changed last
	assignAfter         ids.Tick
	leases              map[ids.NodeID]*nodeLease
	heartbeatAt         ids.Tick
}

func (l *leader) submit(ctx context.Context, op *operation) error {
	away := failure.New(failure.NotExecuted, "ask primary", l.core.self.Addr, "it has stood down")
	select {
	case <-l.stopped:
		return away
	default:
	}
	select {
	case l.operations <- op:
	case <-l.stopped:
		return away
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

// lead leads until it must stand down.
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
	err := l.loop(ctx)
	c.leader.Store(nil)
	close(l.stopped)
	c.options.Ring.Warn().Uint64("epoch", uint64(l.record.Epoch)).AnErr("cause", err).Msg("lost primary role")
	for {
		select {
		case op := <-l.operations:
			l.finish(op, failure.New(failure.NotExecuted, "write", c.self.Addr, "stood down before it was taken"))
		default:
			return
		}
	}
}

func (l *leader) finish(op *operation, err error) {
	if op.err == nil {
		op.err = err
	}
	close(op.done)
}

func (l *leader) loop(ctx context.Context) error {
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
				l.finish(
					op,
					failure.New(failure.NotExecuted, "write", l.core.self.Addr, "stood down before it was taken"),
				)
			}
			return err
		}
		if err := l.commit(ctx, batch); err != nil {
			return err
		}
	}
}

// commit writes one batch on both copies and answers it.
func (l *leader) commit(ctx context.Context, batch []*operation) error {
	c := l.core
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	prev := c.state.seq
	var entries []Entry
	add := func(op *operation, e *Entry) {
		if p, ok := c.state.outcomes[e.Op]; ok && e.Op != "" {
			op.result, e.Seq = p.Body, p.Seq
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
			op.err = err // a refusal, too, came from a state that may be old
			l.finish(op, err)
		}
		return err
	}
	c.feed.push(entries)
	l.answer(batch)
	if c.store.logUnits > compactionThreshold {
		if err := c.store.compact(c.state.snapshot(false), chunksOf(c.state.machine)); err != nil {
			c.reloadNeeded = true
			return err
		}
	}
	return nil
}

// answer ends the operations of a batch that is durable. The caller holds dataMu.
func (l *leader) answer(batch []*operation) {
	c := l.core
	now := c.options.Host.Clock.Now()
	var snapshot *Snapshot
	for _, op := range batch {
		if op.renew != nil {
			op.renewal = l.extendLease(op.renew, now, c.state)
		}
		if op.readState {
			if snapshot == nil { // the same for all that ask in one batch
				snapshot = c.state.snapshot(true)
			}
			op.snapshot = snapshot
		}
		l.finish(op, nil)
	}
}

// replicate returns only once all copies are synced. A silent backup is replaced
// on the spot, by a snapshot that holds the entries too; meanwhile all wait.
func (l *leader) replicate(ctx context.Context, prev ids.Seq, entries []Entry) error {
	c := l.core
	var wg sync.WaitGroup
	var mine error
	wg.Go(func() { mine = c.store.append(entries) })
	request := &AppendRequest{Epoch: l.record.Epoch, From: c.self, Prev: prev, Entries: entries}
	callContext, stop := context.WithTimeout(ctx, 450*time.Millisecond)
	defer stop()
	behind := make([]error, len(l.record.backups()))
	for i, s := range l.record.backups() {
		wg.Go(func() { behind[i] = l.replicateTo(callContext, s, request) })
	}
	wg.Wait()
	if mine != nil {
		return mine
	}
	all := true
	for i, s := range l.record.backups() {
		if behind[i] != nil {
			all = false
			c.options.Ring.Warn().AnErr("cause", behind[i]).Str("backup", s.Addr).Msg("replication to backup failed")
		}
	}
	if all {
		l.heartbeat(ctx, l.record)
		return nil
	}
	for n := 0; ; n++ {
		record, err := c.campaign(ctx, ballot{leadingEpoch: l.record.Epoch})
		if err == nil {
			l.record = record
			return nil
		}
		if failure.Is(err, failure.Stale) || n > 4 || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// replicateTo has one backup take a batch, synced.
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
		return failure.New(failure.Stale, "append", s.Addr, "refused, promised %d", r.Promised)
	}
	l.core.recordContactFrom(s.Disk)
	return nil
}

// heartbeat gives the other voters a sign of life, once per heartbeat.
func (l *leader) heartbeat(ctx context.Context, record Record) {
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
				// An empty disk may answer at the address of one that is lost.
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
