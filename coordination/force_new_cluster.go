// A forced new cluster: the operation with which an operator recovers when two of three voters are
// lost for good. One disk with the data continues with two empty machines, in an epoch far above all
// earlier ones. It is refused where it could do harm: while another voter is reachable, on a disk that is
// behind, and on a disk without the data.

package coordination

import (
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
)

const (
	newClusterMinWait = 6 * time.Second // minimum time to wait for responses of other voters, in case some are still alive
	newClusterMaxWait = 2 * time.Minute // maximum time to wait until enough empty machines have been found
	// newClusterOffset is added to the epoch, fence and sequence number, since others may have used
	// higher ones than this disk knows.
	newClusterOffset = 1_000_000
)

// forceNewCluster creates a new cluster from this disk's data and empty machines, or returns
// an error with the reason if it refuses to.
func (c *Core) forceNewCluster(ctx context.Context) error {
	record, _ := c.acceptedRecord()
	switch {
	case record.ClusterID == "":
		return c.refuseNewCluster("this disk belongs to no cluster")
	case !c.isDataReplica(record):
		return c.refuseNewCluster(
			"this disk holds a register and no data; %s or %s has the data",
			record.Primary.Addr,
			record.Backup.Addr,
		)
	}
	spare, err := c.awaitSpares(ctx, record)
	if err != nil {
		return err
	}
	seq, snapshot, chunks, err := c.skipAhead()
	if err != nil {
		return err
	}
	next := record
	next.Epoch += newClusterOffset
	next.OutgoingVoters = nil
	next.Primary, next.Voters = c.self, append([]Replica{c.self}, spare...)
	next.setBackups(spare[:record.faultTolerance()])
	if !c.bootstrapRecord(ctx, next, MustMarshal(snapshot), chunks) {
		return c.refuseNewCluster(
			"the empty machines at %s and %s did not accept the record; run the command again",
			spare[0].Addr,
			spare[1].Addr,
		)
	}
	c.options.Ring.Warn().Uint64("epoch", uint64(next.Epoch)).Uint64("seq", uint64(seq)).
		Msg("new cluster forced from this disk; acknowledged entries after seq may be lost")
	return nil
}

func (c *Core) refuseNewCluster(format string, args ...any) error {
	return failure.New(failure.InvalidArgument, "found anew", c.self.Addr, format, args...)
}

// awaitSpares waits at least newClusterMinWait, until enough machines with empty disks have responded. It
// returns an error if another voter responds, if a newer record or another cluster is reported, or after
// newClusterMaxWait.
func (c *Core) awaitSpares(ctx context.Context, record Record) ([]Replica, error) {
	needed := 2 * record.faultTolerance()
	start := c.options.Host.Clock.Now()
	for now := start; ; now = c.options.Host.Clock.Now() {
		c.directory.Query(ctx, 8)
		if f := c.directory.ForeignCluster(); f != "" {
			return nil, c.refuseNewCluster("the seeds belong to another cluster, %s", f)
		}
		if known := c.directory.Record(); known.Epoch > record.Epoch {
			return nil, c.refuseNewCluster(
				"this disk is behind: it has epoch %d, others have epoch %d with the data at %s and %s",
				record.Epoch,
				known.Epoch,
				known.Primary.Addr,
				known.Backup.Addr,
			)
		}
		all, _ := c.directory.recentReplicas(2 * time.Second)
		for _, s := range all {
			if containsDisk(record.Voters, s.Disk) {
				return nil, c.refuseNewCluster(
					"voter %s is alive; the cluster recovers once two of three voters are up", s.Addr,
				)
			}
		}
		if now.Past(start, newClusterMinWait) && len(all) >= needed {
			return all[:needed], nil
		}
		if now.Past(start, newClusterMaxWait) {
			return nil, c.refuseNewCluster("%d empty machines were found, %d are needed", len(all), needed)
		}
		if !host.Sleep(ctx, 200*time.Millisecond) {
			return nil, ctx.Err()
		}
	}
}

// skipAhead raises the fence and the sequence number above all that others may have seen and saves
// the state. It returns the previous sequence number of this disk, with the new snapshot and chunks.
func (c *Core) skipAhead() (ids.Seq, *Snapshot, []Chunk, error) {
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	seq := c.state.seq
	c.state.fence += newClusterOffset
	c.state.seq += newClusterOffset
	// Keys may have changed owners without this disk knowing, so all of them are reassigned.
	c.state.grants = map[ids.Key]Grant{}
	c.state.digest, c.state.history = stateDigest(c.state.seq, []byte(NewID())), history{}
	snapshot, chunks := c.state.snapshot(false), chunksOf(c.state.machine)
	return seq, snapshot, chunks, c.store.compact(snapshot, chunks)
}

// bootstrapRecord establishes a record among voters that hold no data yet: all promise it, the
// backups install the snapshot, and the backups accept before the other voters.
func (c *Core) bootstrapRecord(ctx context.Context, record Record, body []byte, chunks []Chunk) bool {
	request := &BallotRequest{Epoch: record.Epoch, From: c.self, Record: record}
	if _, yes := c.collectResponses(ctx, request, record.Voters, nil); len(yes) < len(record.Voters) {
		if _, promised := c.acceptedRecord(); promised != record.Epoch {
			return false
		}
	}
	order := record.backups()
	for _, s := range order {
		if c.sendSnapshot(ctx, record.Epoch, s, body, chunks) != nil {
			return false
		}
	}
	request.Accept = true
	for _, s := range record.Voters {
		if record.backupRank(s.Disk) < 0 && s.Disk != c.self.Disk {
			order = append(order, s)
		}
	}
	for _, s := range append(order, c.self) {
		if _, yes := c.collectResponses(ctx, request, []Replica{s}, nil); len(yes) < 1 {
			return false
		}
	}
	return true
}
