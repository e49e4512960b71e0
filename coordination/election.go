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
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

const (
	voteWait  = 700 * time.Millisecond // for the answers of one round
	voteGrace = 60 * time.Millisecond  // for further answers once enough said yes
)

// ballot is what a ballot is to change.
type ballot struct {
	leadingEpoch ids.Epoch  // the epoch in which the proposer leads already, or 0 for a takeover
	transfer     bool       // the primary has asked the proposer to take over
	removed      ids.DiskID // a voter that is replaced
	added        Replica    // by this one
	notBackup    ids.DiskID // no backup, if another can be
}

// observeEpoch notes an epoch that is used, so that the next ballot is above it.
func (c *Core) observeEpoch(e ids.Epoch) {
	for {
		previous := c.highestEpoch.Load()
		if uint64(e) <= previous || c.highestEpoch.CompareAndSwap(previous, uint64(e)) {
			return
		}
	}
}

// vote is one replica's answer in a round.
type vote struct {
	from     Replica
	response *BallotResponse
}

// collectVotes asks replicas in either round; it gives the newest record that was told and those who
// said yes. Once these are enough, the rest get only a moment more; a nil function waits for
// all of them.
func (c *Core) collectVotes(
	ctx context.Context,
	request *BallotRequest,
	whom []Replica,
	enough func(yes []Replica) bool,
) (Record, []Replica) {
	ctx, stop := context.WithTimeout(ctx, voteWait)
	defer stop()
	votes := make(chan vote, len(whom))
	for _, s := range whom {
		go func() { votes <- vote{s, c.requestVote(ctx, s, request)} }()
	}
	var newest Record
	var yes []Replica
	var soon <-chan time.Time
	for range whom {
		select {
		case v := <-votes:
			c.observeEpoch(v.response.Promised)
			newest = newerRecord(newest, v.response.Accepted)
			if v.response.OK {
				yes = append(yes, v.from)
			}
		case <-soon:
			return newest, yes
		}
		if soon == nil && enough != nil && enough(yes) {
			soon = host.NewTimer(voteGrace).C
		}
	}
	return newest, yes
}

// requestVote gives a replica's answer, which is a plain no where none came.
func (c *Core) requestVote(ctx context.Context, s Replica, request *BallotRequest) *BallotResponse {
	var reply *BallotResponse
	var err error
	if s.Disk == c.self.Disk {
		reply, err = c.handleBallot(ctx, request)
	} else {
		reply, err = rpc.Call[BallotRequest, BallotResponse](ctx, c.caller, c.directory.Addr(s), ballotMethod, request)
	}
	if err != nil {
		return &BallotResponse{}
	}
	return reply
}

// newerRecord gives the record of the higher epoch; of the same one, that whose change of voters
// is known to be decided.
func newerRecord(a, b Record) Record {
	if b.Epoch > a.Epoch || b.Epoch == a.Epoch && len(b.OutgoingVoters) == 0 {
		return b
	}
	return a
}

func isMajority(set, yes []Replica) bool {
	n := 0
	for _, s := range set {
		if containsDisk(yes, s.Disk) {
			n++
		}
	}
	return 2*n > len(set)
}

// campaign makes this core the primary of a new epoch with backups that are ready, by two
// rounds over the registers. The caller either leads already (and holds dataMu) or leads not
// at all.
func (c *Core) campaign(ctx context.Context, p ballot) (Record, error) {
	current, promised := c.accepted()
	c.observeEpoch(promised)
	if !c.isDataReplica(current) || p.leadingEpoch != 0 && current.Epoch != p.leadingEpoch {
		return current, failure.New(failure.Stale, "ascend", c.self.Addr, "the newest record names others")
	}
	next := c.draftRecord(current, p)
	yes, err := c.prepare(ctx, current, &next, p)
	if err != nil {
		return current, err
	}
	ready, err := c.prepareBackups(ctx, next, yes, p)
	if err != nil {
		return current, err
	}
	next.setBackups(ready)
	if err := c.commitRecord(ctx, next, ready); err != nil {
		return current, err
	}
	c.registerMu.Lock()
	c.markDecided(next.Epoch, c.self.Disk)
	c.registerMu.Unlock()
	next.OutgoingVoters = nil
	return next, nil
}

// draftRecord is the record to propose, but for its backups. Holders change only over a record that
// is known to be decided, as it is to its primary: a takeover keeps the voters, and an
// undecided change of them with it.
func (c *Core) draftRecord(current Record, p ballot) Record {
	next := current
	next.Epoch = ids.Epoch(c.highestEpoch.Load() + 1)
	next.Primary = c.self
	next.setBackups(nil)
	next.Voters = nil
	for _, s := range current.Voters {
		if s.Disk == p.removed {
			s = p.added
		}
		s.Addr = c.directory.Addr(s)
		if s.Disk == c.self.Disk {
			s = c.self
		}
		next.Voters = append(next.Voters, s)
	}
	switch {
	case p.removed != "":
		next.OutgoingVoters = current.Voters
	case p.leadingEpoch != 0:
		next.OutgoingVoters = nil
	}
	return next
}

// prepare is the first round: every quorum and the proposer itself promise the epoch. The
// proposer's own promise keeps the primary before it from acknowledging more.
func (c *Core) prepare(ctx context.Context, current Record, next *Record, p ballot) ([]Replica, error) {
	request := &BallotRequest{
		Epoch:    next.Epoch,
		From:     c.self,
		Takeover: p.leadingEpoch == 0 && !p.transfer,
		Record:   *next,
	}
	enough := func(yes []Replica) bool { return containsDisk(yes, c.self.Disk) && next.decidedBy(yes) }
	newest, yes := c.collectVotes(ctx, request, next.allVoters(), enough)
	if newest.Epoch > current.Epoch {
		c.directory.Merge(&PeerExchange{Record: newest})
		c.adoptRecord(newest)
		return nil, failure.New(failure.Stale, "ascend", c.self.Addr, "epoch %d is newer", newest.Epoch)
	}
	if newest.Epoch == current.Epoch && len(newest.OutgoingVoters) == 0 && p.removed == "" {
		next.OutgoingVoters = nil
	}
	if !enough(yes) {
		return nil, failure.New(
			failure.Unavailable,
			"ascend",
			c.self.Addr,
			"%d of %d registers promised",
			len(yes),
			len(next.allVoters()),
		)
	}
	return yes, nil
}

// prepareBackups brings as many backups as the record needs up to this core's state: those that
// had it last come first, those that are about to end come last.
func (c *Core) prepareBackups(ctx context.Context, next Record, yes []Replica, p ballot) ([]Replica, error) {
	current, _ := c.accepted()
	order := func(s Replica) int {
		switch {
		case s.Disk == p.notBackup || c.directory.isLeaving(s.Disk):
			return 2
		case isDataReplicaOf(current, s):
			return 0
		}
		return 1
	}
	sort.SliceStable(yes, func(i, op int) bool { return order(yes[i]) < order(yes[op]) })
	state := c.captureState(p.leadingEpoch != 0)
	var ready []Replica
	for _, s := range yes {
		if len(ready) < next.faultTolerance() && s.Disk != c.self.Disk && s.Disk != p.notBackup &&
			containsDisk(next.Voters, s.Disk) && c.catchUp(ctx, next.Epoch, s, state) == nil {
			ready = append(ready, s)
		}
	}
	if len(ready) < next.faultTolerance() {
		return nil, failure.New(
			failure.Unavailable,
			"ascend",
			c.self.Addr,
			"%d of %d backups took the state",
			len(ready),
			next.faultTolerance(),
		)
	}
	return ready, nil
}

// commitRecord is the second round: the backups accept first, since the rest count on them.
func (c *Core) commitRecord(ctx context.Context, next Record, ready []Replica) error {
	request := &BallotRequest{Epoch: next.Epoch, From: c.self, Accept: true, Record: next}
	if _, yes := c.collectVotes(ctx, request, ready, nil); len(yes) < len(ready) {
		return failure.New(
			failure.OutcomeUnknown, "ascend", next.Backup.Addr, "%d of %d backups accepted", len(yes), len(ready),
		)
	}
	var rest []Replica
	for _, s := range next.allVoters() {
		if next.backupRank(s.Disk) < 0 {
			rest = append(rest, s)
		}
	}
	enough := func(yes []Replica) bool {
		return containsDisk(yes, c.self.Disk) && next.decidedBy(append(slices.Clone(yes), ready...))
	}
	if _, yes := c.collectVotes(ctx, request, rest, enough); !enough(yes) {
		return failure.New(
			failure.OutcomeUnknown, "ascend", c.self.Addr, "only %d registers accepted", len(yes)+len(ready),
		)
	}
	return nil
}

func isDataReplicaOf(r Record, s Replica) bool {
	return s.Disk == r.Primary.Disk || r.backupRank(s.Disk) >= 0
}
