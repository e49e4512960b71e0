// Founding anew: what an operator may order when two of three voters are
// lost for good. One disk that carries the data goes on, with two empty machines, in
// an epoch far above all that were. It is refused where it could harm: while another
// voter is heard, on a disk that is behind, or on one that carries no data.

package coordination

import (
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
)

const (
	newClusterListen = 6 * time.Second // for voters that may live after all
	newClusterWait   = 2 * time.Minute // for two empty machines
	newClusterSkip   = 1_000_000       // over epochs, fences and numbers that this disk may not know
)

func (c *Core) forceNewCluster(ctx context.Context) error {
	record, _ := c.accepted()
	switch {
	case record.ClusterID == "":
		return c.refuseNewCluster("this disk belongs to no fleet")
	case !c.isDataReplica(record):
		return c.refuseNewCluster(
			"this disk holds a register and no data; one of %s and %s has it",
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
	next.Epoch += newClusterSkip
	next.OutgoingVoters = nil
	next.Primary, next.Voters = c.self, append([]Replica{c.self}, spare...)
	next.setBackups(spare[:record.faultTolerance()])
	if !c.bootstrapRecord(ctx, next, MustMarshal(snapshot), chunks) {
		return c.refuseNewCluster(
			"the empty machines at %s and %s did not agree; order it again", spare[0].Addr, spare[1].Addr,
		)
	}
	c.options.Ring.Warn().Uint64("epoch", uint64(next.Epoch)).Uint64("seq", uint64(seq)).
		Msg("new cluster forced from this disk; acknowledged entries after seq may be lost")
	return nil
}

func (c *Core) refuseNewCluster(form string, args ...any) error {
	return failure.New(failure.InvalidArgument, "found anew", c.self.Addr, form, args...)
}

// awaitSpares waits for empty machines, as many as are needed, and for voters that may live after
// all: then the founding is refused.
func (c *Core) awaitSpares(ctx context.Context, record Record) ([]Replica, error) {
	need := 2 * record.faultTolerance()
	from := c.options.Host.Clock.Now()
	for now := from; ; now = c.options.Host.Clock.Now() {
		c.directory.Query(ctx, 8)
		if f := c.directory.ForeignCluster(); f != "" {
			return nil, c.refuseNewCluster("the seeds lead to another fleet, %s", f)
		}
		if known := c.directory.Record(); known.Epoch > record.Epoch {
			return nil, c.refuseNewCluster(
				"this disk is behind: it knows epoch %d, others know %d with the data at %s and %s",
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
					"the holder at %s lives; the core will be back when two of three are", s.Addr,
				)
			}
		}
		if now.Past(from, newClusterListen) && len(all) >= need {
			return all[:need], nil
		}
		if now.Past(from, newClusterWait) {
			return nil, c.refuseNewCluster("%d empty machines were met, %d are needed", len(all), need)
		}
		if !host.Sleep(ctx, 200*time.Millisecond) {
			return nil, ctx.Err()
		}
	}
}

// skipAhead puts fences and numbers above all that others may have seen, on disk. It gives the
// number that this disk had reached.
func (c *Core) skipAhead() (ids.Seq, *Snapshot, []Chunk, error) {
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	seq := c.state.seq
	c.state.fence += newClusterSkip
	c.state.seq += newClusterSkip
	// Who holds what may have changed beyond this disk's knowledge: all is assigned anew.
	c.state.grants = map[ids.Key]Grant{}
	c.state.digest, c.state.history = stateDigest(c.state.seq, []byte(NewID())), history{}
	snapshot, chunks := c.state.snapshot(false), chunksOf(c.state.machine)
	return seq, snapshot, chunks, c.store.compact(snapshot, chunks)
}

// bootstrapRecord makes a first record with those who hold nothing yet: all promise, the
// backup takes the snapshot, and the backup accepts first.
func (c *Core) bootstrapRecord(ctx context.Context, record Record, body []byte, chunks []Chunk) bool {
	request := &BallotRequest{Epoch: record.Epoch, From: c.self, Record: record}
	if _, yes := c.collectVotes(ctx, request, record.Voters, nil); len(yes) < len(record.Voters) {
		if _, promised := c.accepted(); promised != record.Epoch {
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
		if _, yes := c.collectVotes(ctx, request, []Replica{s}, nil); len(yes) < 1 {
			return false
		}
	}
	return true
}
