// Direct tests of redundant safety checks: in a whole cluster another check would hide the loss of
// one of these.

package coordination

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// withServingCores runs f with four cores that answer RPCs but run no loops of their own. The first is
// the primary of epoch 1, the second its backup, the third a voter without data, the last a spare.
func withServingCores(t *testing.T, f func(world *simulated.World, cores []*Core)) {
	synctest.Test(t, func(t *testing.T) {
		world := simulated.NewWorld(1)
		ctx, stop := context.WithCancel(t.Context())
		var cores []*Core
		record := Record{Epoch: firstEpoch, ClusterID: "f"}
		for _, ip := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"} {
			p := world.Machine(ip).Start()
			defer p.Kill()
			c, err := New(Options{Addr: ip + ":1", Host: p.Host(), Machine: func() StateMachine { return &listStateMachine{} }})
			require.NoError(t, err)
			defer c.caller.Close()
			mux := http.NewServeMux()
			c.Mount(mux)
			l, err := p.Host().Net.Listen(c.self.Addr)
			require.NoError(t, err)
			go rpc.Serve(ctx, l, mux)
			cores = append(cores, c)
		}
		for _, c := range cores[:3] {
			record.Voters = append(record.Voters, c.self)
		}
		record.Primary = record.Voters[0]
		record.setBackups(record.Voters[1:2])
		for _, c := range cores[:3] {
			c.readyEpoch.Store(uint64(firstEpoch))
			r, err := c.handleBallot(ctx, &BallotRequest{
				Epoch:  firstEpoch,
				From:   record.Primary,
				Accept: true,
				Record: record,
			})
			require.NoError(t, err)
			require.True(t, r.OK, r.Reason)
		}
		f(world, cores)
		stop()
	})
}

// TestProposerMustPromise checks that a proposer whose own register cannot save the promise does not
// start the second round, although the other voters are a majority and have promised.
func TestProposerMustPromise(t *testing.T) {
	withServingCores(t, func(world *simulated.World, cores []*Core) {
		world.Machine("10.0.0.1").StallDisk(true)
		cores[0].dataMu.Lock()
		_, err := cores[0].runBallot(context.Background(), ballotOptions{leadingEpoch: firstEpoch})
		cores[0].dataMu.Unlock()
		require.Error(t, err)
		for _, c := range cores[1:3] {
			record, promised := c.acceptedRecord()
			require.Equal(t, ids.Epoch(2), promised)
			require.Equal(t, firstEpoch, record.Epoch)
		}
		world.Machine("10.0.0.1").StallDisk(false)
		time.Sleep(time.Minute)
	})
}

// TestCommitNeedsMajorityOfEachVoterSet checks that a record that changes the voters is not decided by the
// proposer and its new backup alone: they are a majority of the new voters but not of the outgoing
// ones.
func TestCommitNeedsMajorityOfEachVoterSet(t *testing.T) {
	withServingCores(t, func(world *simulated.World, cores []*Core) {
		next, _ := cores[0].acceptedRecord()
		next.Epoch = 2
		next.OutgoingVoters = next.Voters
		next.Voters = []Replica{cores[0].self, cores[2].self, cores[3].self}
		next.setBackups([]Replica{cores[3].self})
		cores[3].readyEpoch.Store(2)
		others := []string{"10.0.0.2", "10.0.0.3"}
		world.Partition([]string{"10.0.0.1"}, others, true)
		err := cores[0].runSecondRound(context.Background(), next, next.backups())
		require.True(t, failure.Is(err, failure.OutcomeUnknown), "%v", err)
		record, _ := cores[3].acceptedRecord()
		require.Equal(t, ids.Epoch(2), record.Epoch, "the backup has accepted")
		world.Partition([]string{"10.0.0.1"}, others, false)
		require.NoError(t, cores[0].runSecondRound(context.Background(), next, next.backups()))
	})
}

// TestBackupMustBeReadyForEpoch checks that a replica accepts a record that names it as a backup only after
// it was brought up to date for exactly that epoch.
func TestBackupMustBeReadyForEpoch(t *testing.T) {
	withVoter(t, func(c *Core, record Record) {
		next := record
		next.Epoch = 2
		next.setBackups([]Replica{c.self})
		request := &BallotRequest{Epoch: 2, From: next.Primary, Record: next}
		r, err := c.handleBallot(t.Context(), request)
		require.NoError(t, err)
		require.True(t, r.OK, r.Reason)
		request.Accept = true
		for _, ready := range []ids.Epoch{0, 1, 3} {
			c.readyEpoch.Store(uint64(ready))
			r, err = c.handleBallot(t.Context(), request)
			require.NoError(t, err)
			require.False(t, r.OK, "it is ready for epoch %d", ready)
		}
		c.readyEpoch.Store(2)
		r, err = c.handleBallot(t.Context(), request)
		require.NoError(t, err)
		require.True(t, r.OK, r.Reason)
	})
}

// keyMachine is a state machine with one key to assign.
type keyMachine struct{ listStateMachine }

func (*keyMachine) Keys() []ids.Key { return []ids.Key{"a"} }

// TestNewPrimaryWaitsForLeases checks that a primary that took over assigns no keys until every lease that its
// predecessor may have granted has expired, while the first primary of a cluster assigns at once.
func TestNewPrimaryWaitsForLeases(t *testing.T) {
	withVoter(t, func(c *Core, record Record) {
		c.state = newReplicatedState(&keyMachine{})
		now := c.options.Host.Clock.Now()
		l := &leader{
			core:        c,
			record:      record,
			assignAfter: now.Add(c.options.LeaseDuration),
			leases:      map[ids.NodeID]*nodeLease{"n": {}},
		}
		live := []ids.NodeID{"n"}
		require.Len(t, l.assignKeys(now, live).Grants, 1, "it is the first primary")
		l.record.Epoch = 2
		require.Empty(t, l.assignKeys(now, live).Grants)
		require.Empty(t, l.assignKeys(l.assignAfter-1, live).Grants)
		require.Len(t, l.assignKeys(l.assignAfter, live).Grants, 1)
	})
}
