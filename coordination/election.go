// Elections: the proposer's side of the ballots. A proposer holds the data (it is the primary
// or a backup of the newest record that it knows), promises the new epoch itself before
// anything else counts, readies its backups, and leads once a majority of each quorum has
// accepted.

package coordination

import (
	"context"
	"slices"
	"sort"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

const (
	pollWait  = 700 * time.Millisecond // for the answers of one round
	pollGrace = 60 * time.Millisecond  // for further answers once enough said yes
)

// proposal is what a ballot is to change.
type proposal struct {
	held  ids.Epoch  // the epoch in which the proposer leads already, or 0 for a takeover
	asked bool       // the primary has asked the proposer to take over
	out   ids.DiskID // a holder that is replaced
	in    Replica    // by this one
	avoid ids.DiskID // no backup, if another can be
}

// raise notes an epoch that is used, so that the next ballot is above it.
func (c *Core) raise(e ids.Epoch) {
	for {
		old := c.top.Load()
		if uint64(e) <= old || c.top.CompareAndSwap(old, uint64(e)) {
			return
		}
	}
}

// vote is one replica's answer in a round.
type vote struct {
	from  Replica
	reply *BallotReply
}

// poll asks replicas in either round; it gives the newest record that was told and those who
// said yes. Once these are enough, the rest get only a moment more; a nil function waits for
// all of them.
func (c *Core) poll(ctx context.Context, ask *BallotAsk, whom []Replica, enough func(yes []Replica) bool) (Record, []Replica) {
	ctx, stop := context.WithTimeout(ctx, pollWait)
	defer stop()
	votes := make(chan vote, len(whom))
	for _, s := range whom {
		go func() { votes <- vote{s, c.askVote(ctx, s, ask)} }()
	}
	var newest Record
	var yes []Replica
	var soon <-chan time.Time
	for range whom {
		select {
		case v := <-votes:
			c.raise(v.reply.Promised)
			newest = newer(newest, v.reply.Accepted)
			if v.reply.Ok {
				yes = append(yes, v.from)
			}
		case <-soon:
			return newest, yes
		}
		if soon == nil && enough != nil && enough(yes) {
			soon = time.After(pollGrace)
		}
	}
	return newest, yes
}

// askVote gives a replica's answer, which is a plain no where none came.
func (c *Core) askVote(ctx context.Context, s Replica, ask *BallotAsk) *BallotReply {
	var reply *BallotReply
	var err error
	if s.Disk == c.me.Disk {
		reply, err = c.ballot(ctx, ask)
	} else {
		reply, err = rpc.Call[BallotAsk, BallotReply](ctx, c.call, c.directory.Addr(s), "crux/ballot", ask)
	}
	if err != nil {
		return &BallotReply{}
	}
	return reply
}

// newer gives the record of the higher epoch; of the same one, that whose change of holders
// is known to be decided.
func newer(a, b Record) Record {
	if b.Epoch > a.Epoch || b.Epoch == a.Epoch && len(b.Before) == 0 {
		return b
	}
	return a
}

func most(set, yes []Replica) bool {
	n := 0
	for _, s := range set {
		if holds(yes, s.Disk) {
			n++
		}
	}
	return 2*n > len(set)
}

// ascend makes this core the primary of a new epoch with backups that are ready, by two
// rounds over the registers. The caller either leads already (and holds dataMu) or leads not
// at all.
func (c *Core) ascend(ctx context.Context, p proposal) (Record, error) {
	current, promised := c.accepted()
	c.raise(promised)
	if !c.named(current) || p.held != 0 && current.Epoch != p.held {
		return current, failure.New(failure.Stale, "ascend", c.me.Addr, "the newest record names others")
	}
	next := c.draft(current, p)
	yes, err := c.prepare(ctx, current, &next, p)
	if err != nil {
		return current, err
	}
	ready, err := c.readyBackups(ctx, next, yes, p)
	if err != nil {
		return current, err
	}
	next.follow(ready)
	if err := c.decide(ctx, next, ready); err != nil {
		return current, err
	}
	c.regMu.Lock()
	c.settle(next.Epoch, c.me.Disk)
	c.regMu.Unlock()
	next.Before = nil
	return next, nil
}

// draft is the record to propose, but for its backups. Holders change only over a record that
// is known to be decided, as it is to its primary: a takeover keeps the holders, and an
// undecided change of them with it.
func (c *Core) draft(current Record, p proposal) Record {
	next := current
	next.Epoch = ids.Epoch(c.top.Load() + 1)
	next.Primary = c.me
	next.follow(nil)
	next.Holders = nil
	for _, s := range current.Holders {
		if s.Disk == p.out {
			s = p.in
		}
		s.Addr = c.directory.Addr(s)
		if s.Disk == c.me.Disk {
			s = c.me
		}
		next.Holders = append(next.Holders, s)
	}
	switch {
	case p.out != "":
		next.Before = current.Holders
	case p.held != 0:
		next.Before = nil
	}
	return next
}

// prepare is the first round: every quorum and the proposer itself promise the epoch. The
// proposer's own promise keeps the primary before it from acknowledging more.
func (c *Core) prepare(ctx context.Context, current Record, next *Record, p proposal) ([]Replica, error) {
	ask := &BallotAsk{Epoch: next.Epoch, From: c.me, Takeover: p.held == 0 && !p.asked, Record: *next}
	enough := func(yes []Replica) bool { return holds(yes, c.me.Disk) && next.decidedBy(yes) }
	newest, yes := c.poll(ctx, ask, next.voters(), enough)
	if newest.Epoch > current.Epoch {
		c.directory.Learn(&WhereAsk{Record: newest})
		c.adopt(newest)
		return nil, failure.New(failure.Stale, "ascend", c.me.Addr, "epoch %d is newer", newest.Epoch)
	}
	if newest.Epoch == current.Epoch && len(newest.Before) == 0 && p.out == "" {
		next.Before = nil
	}
	if !enough(yes) {
		return nil, failure.New(failure.Away, "ascend", c.me.Addr, "%d of %d registers promised", len(yes), len(next.voters()))
	}
	return yes, nil
}

// readyBackups brings as many backups as the record needs up to this core's state: those that
// had it last come first, those that are about to end come last.
func (c *Core) readyBackups(ctx context.Context, next Record, yes []Replica, p proposal) ([]Replica, error) {
	current, _ := c.accepted()
	order := func(s Replica) int {
		switch {
		case s.Disk == p.avoid || c.directory.leaving(s.Disk):
			return 2
		case partner(current, s):
			return 0
		}
		return 1
	}
	sort.SliceStable(yes, func(i, j int) bool { return order(yes[i]) < order(yes[j]) })
	state := c.copyState(p.held != 0)
	var ready []Replica
	for _, s := range yes {
		if len(ready) < next.losses() && s.Disk != c.me.Disk && s.Disk != p.avoid && holds(next.Holders, s.Disk) && c.bring(ctx, next.Epoch, s, state) == nil {
			ready = append(ready, s)
		}
	}
	if len(ready) < next.losses() {
		return nil, failure.New(failure.Away, "ascend", c.me.Addr, "%d of %d backups took the state", len(ready), next.losses())
	}
	return ready, nil
}

// decide is the second round: the backups accept first, since the rest count on them.
func (c *Core) decide(ctx context.Context, next Record, ready []Replica) error {
	ask := &BallotAsk{Epoch: next.Epoch, From: c.me, Accept: true, Record: next}
	if _, yes := c.poll(ctx, ask, ready, nil); len(yes) < len(ready) {
		return failure.New(failure.Unknown, "ascend", next.Backup.Addr, "%d of %d backups accepted", len(yes), len(ready))
	}
	var rest []Replica
	for _, s := range next.voters() {
		if next.rank(s.Disk) < 0 {
			rest = append(rest, s)
		}
	}
	enough := func(yes []Replica) bool {
		return holds(yes, c.me.Disk) && next.decidedBy(append(slices.Clone(yes), ready...))
	}
	if _, yes := c.poll(ctx, ask, rest, enough); !enough(yes) {
		return failure.New(failure.Unknown, "ascend", c.me.Addr, "only %d registers accepted", len(yes)+len(ready))
	}
	return nil
}

func partner(r Record, s Replica) bool { return s.Disk == r.Primary.Disk || r.rank(s.Disk) >= 0 }
