// The proposer's side of the ballots. A proposer holds the data: it is the primary or a backup of
// the newest record that it knows. It must promise the new epoch itself, then brings its backups up
// to date, and is the primary once a majority of each quorum has accepted the record.

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
	voteTimeout = 700 * time.Millisecond // for the responses of one round
	voteGrace   = 60 * time.Millisecond  // for further responses once a quorum has agreed
)

// ballotOptions describes the change that a ballot proposes.
type ballotOptions struct {
	leadingEpoch ids.Epoch  // the epoch in which the proposer is already the primary, or 0 for a takeover
	transfer     bool       // the primary has asked the proposer to take over
	removed      ids.DiskID // a voter to replace
	added        Replica    // its replacement
	notBackup    ids.DiskID // a replica that must not become a backup
}

// observeEpoch records an epoch that is in use, so that the next ballot proposes a higher one.
func (c *Core) observeEpoch(e ids.Epoch) {
	for {
		previous := c.highestEpoch.Load()
		if uint64(e) <= previous || c.highestEpoch.CompareAndSwap(previous, uint64(e)) {
			return
		}
	}
}

// vote is one replica's response in a round.
type vote struct {
	from     Replica
	response *BallotResponse
}

// collectVotes sends a ballot request of either round to the replicas. It returns the newest record
// in their responses and the replicas that agreed. Once enough have agreed, it waits for the others
// for voteGrace only; if enough is nil, it waits for all of them.
func (c *Core) collectVotes(
	ctx context.Context,
	request *BallotRequest,
	voters []Replica,
	enough func(yes []Replica) bool,
) (Record, []Replica) {
	ctx, stop := context.WithTimeout(ctx, voteTimeout)
	defer stop()
	votes := make(chan vote, len(voters))
	for _, s := range voters {
		go func() { votes <- vote{s, c.requestVote(ctx, s, request)} }()
	}
	var newest Record
	var yes []Replica
	var graceOver <-chan time.Time
	for range voters {
		select {
		case v := <-votes:
			c.observeEpoch(v.response.Promised)
			newest = newerRecord(newest, v.response.Accepted)
			if v.response.OK {
				yes = append(yes, v.from)
			}
		case <-graceOver:
			return newest, yes
		}
		if graceOver == nil && enough != nil && enough(yes) {
			graceOver = host.NewTimer(voteGrace).C
		}
	}
	return newest, yes
}

// requestVote returns a replica's response, or an empty response, which is a refusal, on an error.
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

// newerRecord returns the record with the higher epoch. If the epochs are equal, it prefers the one
// whose change of voters is known to be decided.
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

// campaign makes this core the primary of a new epoch with up-to-date backups, in two rounds over the
// registers. A caller that is already the primary must hold dataMu.
func (c *Core) campaign(ctx context.Context, p ballotOptions) (Record, error) {
	current, promised := c.acceptedRecord()
	c.observeEpoch(promised)
	if !c.isDataReplica(current) || p.leadingEpoch != 0 && current.Epoch != p.leadingEpoch {
		return current, failure.New(failure.Stale, "ascend", c.self.Addr, "the newest record names other replicas")
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

// draftRecord returns the record to propose, without its backups. Voters change only relative to a
// record that is known to be decided, and only its primary knows that; so a takeover keeps the
// voters, together with an undecided change of them.
func (c *Core) draftRecord(current Record, p ballotOptions) Record {
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

// prepare runs the first round: a majority of each quorum and the proposer itself must promise the
// epoch. The proposer's own promise keeps the previous primary from acknowledging more commands.
func (c *Core) prepare(ctx context.Context, current Record, next *Record, p ballotOptions) ([]Replica, error) {
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

// prepareBackups brings as many backups as the record needs up to this core's state. It tries the
// replicas of the current record first and those that are shutting down last.
func (c *Core) prepareBackups(ctx context.Context, next Record, yes []Replica, p ballotOptions) ([]Replica, error) {
	current, _ := c.acceptedRecord()
	priority := func(s Replica) int {
		switch {
		case s.Disk == p.notBackup || c.directory.isLeaving(s.Disk):
			return 2
		case isDataReplicaOf(current, s):
			return 0
		}
		return 1
	}
	sort.SliceStable(yes, func(i, j int) bool { return priority(yes[i]) < priority(yes[j]) })
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
			"%d of %d backups are up to date",
			len(ready),
			next.faultTolerance(),
		)
	}
	return ready, nil
}

// commitRecord runs the second round. The backups must accept before the other voters are asked: a
// record that the voters have decided relies on its backups.
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
