// The proposer's side of the ballots, which decide a record in two rounds, prepare and accept. A
// proposer holds the data: it is the primary or a backup of the newest record that it knows. In the
// first round it also promises the new epoch itself. It then brings the new backups up to date, and
// becomes the primary once a majority of the voters and, during a change of voters, a majority of the
// outgoing voters have accepted the record.

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
	ballotRoundTimeout = 700 * time.Millisecond // for the responses of one round
	lateResponseWait   = 60 * time.Millisecond  // for further responses once enough replicas have agreed
)

// ballotOptions describes the change that a ballot proposes.
type ballotOptions struct {
	leadingEpoch ids.Epoch  // the epoch in which the proposer is already the primary, or 0 for a takeover
	transfer     bool       // the primary has asked the proposer to take over
	removed      ids.DiskID // a voter to replace
	added        Replica    // its replacement
	notBackup    ids.DiskID // a replica that must not become a backup
}

// observeEpoch records that an epoch is in use, so that the next ballot proposes a higher one.
func (c *Core) observeEpoch(e ids.Epoch) {
	for {
		previous := c.highestEpoch.Load()
		if uint64(e) <= previous || c.highestEpoch.CompareAndSwap(previous, uint64(e)) {
			return
		}
	}
}

// replicaResponse is one replica's response to a ballot request, a refusal included.
type replicaResponse struct {
	from     Replica
	response *BallotResponse
}

// collectResponses sends a ballot request of either round to the replicas. It returns the newest record
// in their responses and the replicas that agreed. Once enough reports true for those that agreed, it
// waits only lateResponseWait for the others. If enough is nil, it waits for all of them. Calls to
// other replicas end after ballotRoundTimeout.
func (c *Core) collectResponses(
	ctx context.Context,
	request *BallotRequest,
	voters []Replica,
	enough func(yes []Replica) bool,
) (Record, []Replica) {
	ctx, stop := context.WithTimeout(ctx, ballotRoundTimeout)
	defer stop()
	responses := make(chan replicaResponse, len(voters))
	for _, s := range voters {
		go func() { responses <- replicaResponse{s, c.sendBallotRequest(ctx, s, request)} }()
	}
	var newest Record
	var yes []Replica
	var graceOver <-chan time.Time
	for range voters {
		select {
		case r := <-responses:
			c.observeEpoch(r.response.Promised)
			newest = newerRecord(newest, r.response.Accepted)
			if r.response.OK {
				yes = append(yes, r.from)
			}
		case <-graceOver:
			return newest, yes
		}
		if graceOver == nil && enough != nil && enough(yes) {
			graceOver = host.NewTimer(lateResponseWait).C
		}
	}
	return newest, yes
}

// sendBallotRequest sends a ballot request to a replica, which may be this core, and returns its response.
// If the call fails, it returns an empty response, which counts as a refusal.
func (c *Core) sendBallotRequest(ctx context.Context, s Replica, request *BallotRequest) *BallotResponse {
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

// isMajority reports whether more than half of the set are in yes.
func isMajority(set, yes []Replica) bool {
	n := 0
	for _, s := range set {
		if containsDisk(yes, s.Disk) {
			n++
		}
	}
	return 2*n > len(set)
}

// runBallot makes this core the primary of a new epoch with up-to-date backups, in two rounds over the
// voters' registers, and returns the new record. A core that is already the primary calls it to change
// its voters or backups, and must hold dataMu.
func (c *Core) runBallot(ctx context.Context, opts ballotOptions) (Record, error) {
	current, promised := c.acceptedRecord()
	c.observeEpoch(promised)
	if !c.isDataReplica(current) || opts.leadingEpoch != 0 && current.Epoch != opts.leadingEpoch {
		return current, failure.New(failure.Stale, "ascend", c.self.Addr, "a newer record excludes or deposes this replica")
	}
	next := c.draftRecord(current, opts)
	yes, err := c.runFirstRound(ctx, current, &next, opts)
	if err != nil {
		return current, err
	}
	ready, err := c.catchUpBackups(ctx, next, yes, opts)
	if err != nil {
		return current, err
	}
	next.setBackups(ready)
	if err := c.runSecondRound(ctx, next, ready); err != nil {
		return current, err
	}
	c.registerMu.Lock()
	c.markDecided(next.Epoch, c.self.Disk)
	c.registerMu.Unlock()
	next.OutgoingVoters = nil
	return next, nil
}

// draftRecord returns the record to propose, without its backups. Only the primary may change the
// voters or clear OutgoingVoters, since only the primary knows that its record is decided. A takeover
// keeps both lists: a change of voters that was in progress stays undecided.
func (c *Core) draftRecord(current Record, opts ballotOptions) Record {
	next := current
	next.Epoch = ids.Epoch(c.highestEpoch.Load() + 1)
	next.Primary = c.self
	next.setBackups(nil)
	next.Voters = nil
	for _, s := range current.Voters {
		if s.Disk == opts.removed {
			s = opts.added
		}
		s.Addr = c.directory.Addr(s)
		if s.Disk == c.self.Disk {
			s = c.self
		}
		next.Voters = append(next.Voters, s)
	}
	switch {
	case opts.removed != "":
		next.OutgoingVoters = current.Voters
	case opts.leadingEpoch != 0:
		next.OutgoingVoters = nil
	}
	return next
}

// runFirstRound asks the voters to promise the epoch and returns those that did. A majority of each
// voter set and the proposer itself must promise it. The proposer is a data replica: a previous primary
// needs its acknowledgement for every command, and gets none for an older epoch after the promise. If a
// voter reports that the change of voters in the current record is decided, runFirstRound clears
// next.OutgoingVoters, unless this ballot changes the voters itself.
func (c *Core) runFirstRound(ctx context.Context, current Record, next *Record, opts ballotOptions) ([]Replica, error) {
	request := &BallotRequest{
		Epoch:    next.Epoch,
		From:     c.self,
		Takeover: opts.leadingEpoch == 0 && !opts.transfer,
		Record:   *next,
	}
	enough := func(yes []Replica) bool { return containsDisk(yes, c.self.Disk) && next.decidedBy(yes) }
	newest, yes := c.collectResponses(ctx, request, next.allVoters(), enough)
	if newest.Epoch > current.Epoch {
		c.directory.Merge(&PeerExchange{Record: newest})
		c.adoptRecord(newest)
		return nil, failure.New(failure.Stale, "ascend", c.self.Addr, "epoch %d is newer", newest.Epoch)
	}
	if newest.Epoch == current.Epoch && len(newest.OutgoingVoters) == 0 && opts.removed == "" {
		next.OutgoingVoters = nil
	}
	if !enough(yes) {
		return nil, failure.New(
			failure.Unavailable,
			"ascend",
			c.self.Addr,
			"%d of %d voters promised",
			len(yes),
			len(next.allVoters()),
		)
	}
	return yes, nil
}

// catchUpBackups chooses as many backups as the record needs among the replicas that promised, brings
// them up to this core's state, and returns them. It tries the data replicas of the current record first
// and replicas that are shutting down last.
func (c *Core) catchUpBackups(ctx context.Context, next Record, yes []Replica, opts ballotOptions) ([]Replica, error) {
	current, _ := c.acceptedRecord()
	priority := func(s Replica) int {
		switch {
		case s.Disk == opts.notBackup || c.directory.isLeaving(s.Disk):
			return 2
		case isDataReplicaOf(current, s):
			return 0
		}
		return 1
	}
	sort.SliceStable(yes, func(i, j int) bool { return priority(yes[i]) < priority(yes[j]) })
	captured := c.captureState(opts.leadingEpoch != 0)
	var ready []Replica
	for _, s := range yes {
		if len(ready) < next.faultTolerance() && s.Disk != c.self.Disk && s.Disk != opts.notBackup &&
			containsDisk(next.Voters, s.Disk) && c.catchUp(ctx, next.Epoch, s, captured) == nil {
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

// runSecondRound asks the voters to accept the record. The backups accept first: once a majority has
// accepted, the record is in force, and all its backups must already have accepted it.
func (c *Core) runSecondRound(ctx context.Context, next Record, ready []Replica) error {
	request := &BallotRequest{Epoch: next.Epoch, From: c.self, Accept: true, Record: next}
	if _, yes := c.collectResponses(ctx, request, ready, nil); len(yes) < len(ready) {
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
	if _, yes := c.collectResponses(ctx, request, rest, enough); !enough(yes) {
		return failure.New(
			failure.OutcomeUnknown, "ascend", c.self.Addr, "only %d voters accepted", len(yes)+len(ready),
		)
	}
	return nil
}

// isDataReplicaOf reports whether a replica is the primary or a backup of a record.
func isDataReplicaOf(r Record, s Replica) bool {
	return s.Disk == r.Primary.Disk || r.backupRank(s.Disk) >= 0
}
