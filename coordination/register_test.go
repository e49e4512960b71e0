// Direct tests of the register of one replica.

package coordination

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/ids"
)

// withVoter runs f with one core of a cluster of three, whose register has accepted epoch 1.
func withVoter(t *testing.T, f func(c *Core, record Record)) {
	synctest.Test(t, func(t *testing.T) {
		p := simulated.NewWorld(1).Machine("10.0.0.1").Start()
		c, err := New(Options{Addr: "10.0.0.1:1", Host: p.Host(), Machine: func() StateMachine { return nil }})
		require.NoError(t, err)
		record := Record{
			Epoch:     1,
			ClusterID: "f",
			Primary:   Replica{Disk: "x"},
			Voters:    []Replica{{Disk: "x"}, {Disk: "y"}, c.self},
		}
		record.setBackups([]Replica{{Disk: "y"}})
		r, err := c.handleBallot(t.Context(), &BallotRequest{
			Epoch:  1,
			From:   record.Primary,
			Accept: true,
			Record: record,
		})
		require.NoError(t, err)
		require.True(t, r.OK, r.Reason)
		f(c, record)
		p.Kill()
	})
}

// TestEpochPromisedToOneProposer checks that an epoch promised to one proposer is not accepted from another, neither
// by a ballot nor by adoption, and that the promise survives a restart.
func TestEpochPromisedToOneProposer(t *testing.T) {
	withVoter(t, func(c *Core, record Record) {
		r, err := c.handleBallot(t.Context(), &BallotRequest{Epoch: 2, From: Replica{Disk: "x"}, Record: record})
		require.NoError(t, err)
		require.True(t, r.OK, r.Reason)
		c.register, err = c.store.loadRegister()
		require.NoError(t, err)
		other := record
		other.Epoch, other.Primary = 2, Replica{Disk: "y"}
		other.setBackups([]Replica{{Disk: "x"}})
		r, err = c.handleBallot(t.Context(), &BallotRequest{Epoch: 2, From: other.Primary, Accept: true, Record: other})
		require.NoError(t, err)
		require.False(t, r.OK)
		require.False(t, c.adoptRecord(other))
		mine := record
		mine.Epoch = 2
		r, err = c.handleBallot(t.Context(), &BallotRequest{Epoch: 2, From: mine.Primary, Accept: true, Record: mine})
		require.NoError(t, err)
		require.True(t, r.OK, r.Reason)
	})
}

// TestOutgoingVotersVote checks that the outgoing voters still vote while a change of voters is not known
// to be decided, and that a heartbeat of the change's primary ends that, on disk as well.
func TestOutgoingVotersVote(t *testing.T) {
	withVoter(t, func(c *Core, record Record) {
		change := record
		change.Epoch = 2
		change.OutgoingVoters = record.Voters
		change.Voters = []Replica{{Disk: "x"}, {Disk: "y"}, {Disk: "z"}}
		r, err := c.handleBallot(t.Context(), &BallotRequest{
			Epoch:  2,
			From:   change.Primary,
			Accept: true,
			Record: change,
		})
		require.NoError(t, err)
		require.True(t, r.OK, "an outgoing voter votes on its replacement: %s", r.Reason)
		require.Len(t, c.register.Accepted.allVoters(), 4)
		require.False(t, change.decidedBy([]Replica{{Disk: "y"}, {Disk: "z"}}))
		require.True(t, change.decidedBy([]Replica{{Disk: "y"}, {Disk: "x"}}))
		_, err = c.handleHeartbeat(t.Context(), &AppendRequest{Epoch: 2, From: Replica{Disk: "y"}})
		require.NoError(t, err)
		require.NotEmpty(t, c.register.Accepted.OutgoingVoters, "only a heartbeat of the record's primary marks it as decided")
		_, err = c.handleHeartbeat(t.Context(), &AppendRequest{Epoch: 2, From: change.Primary})
		require.NoError(t, err)
		require.Empty(t, c.register.Accepted.OutgoingVoters)
		kept, err := c.store.loadRegister()
		require.NoError(t, err)
		require.Equal(t, c.register, kept)
	})
}

// TestUpToDateNeedsSameLog checks that a replica is up to date only if its log equals the proposer's, not just
// if it has the same length, and that the history offers no entries for a log that diverges.
func TestUpToDateNeedsSameLog(t *testing.T) {
	withVoter(t, func(c *Core, record Record) {
		entry := func(body string) Entry {
			return Entry{Kind: joinKind, Body: MustMarshal(&Member{Node: ids.NodeID(body)})}
		}
		mine, theirs := []Entry{entry("a"), entry("b")}, newReplicatedState(nil)
		require.NoError(t, c.applyAll(mine))
		for _, e := range []Entry{entry("a"), entry("c")} {
			_, err := theirs.apply(&e)
			require.NoError(t, err)
		}
		_, err := c.handleBallot(t.Context(), &BallotRequest{Epoch: 2, From: record.Primary, Record: record})
		require.NoError(t, err)
		request := &CatchUpRequest{Epoch: 2, From: record.Primary, Seq: theirs.seq, Digest: theirs.digest}
		r, err := c.handleCatchUp(t.Context(), request)
		require.NoError(t, err)
		require.True(t, r.Behind && !r.OK)
		_, ok := theirs.history.entriesAfter(r.LastSeq, r.Digest)
		require.False(t, ok, "the log differs at that sequence number")
		require.NotEqual(t, ids.Epoch(c.readyEpoch.Load()), ids.Epoch(2))
		request.Digest = c.state.digest
		r, err = c.handleCatchUp(t.Context(), request)
		require.NoError(t, err)
		require.True(t, r.OK)
		other := *request
		other.From = Replica{Disk: "y"}
		r, err = c.handleCatchUp(t.Context(), &other)
		require.NoError(t, err)
		require.False(t, r.OK, "only the proposer to which the epoch is promised may bring the backup up to date")
	})
}
