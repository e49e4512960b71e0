// Messages between members that are cut short, changed, or from another fleet.

package coordination

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/ids"
)

// withMember runs f with a member that holds two entries and has promised epoch 2 to
// the proposer of the founding "f".
func withMember(t *testing.T, f func(c *Core, proposer Replica)) {
	synctest.Test(t, func(t *testing.T) {
		machine := simulated.NewWorld(1).Machine("10.0.0.1")
		c, err := New(Options{
			Addr:    "10.0.0.1:1",
			Host:    machine.Start().Host(),
			Machine: func() StateMachine { return &listStateMachine{} },
		})
		require.NoError(t, err)
		proposer := Replica{Disk: "proposer", Addr: "10.0.0.2:1"}
		for _, body := range []string{"one", "two"} {
			e := Entry{Kind: "put", Body: []byte(body)}
			_, err := c.state.apply(&e)
			require.NoError(t, err)
			require.NoError(t, c.store.append([]Entry{e}))
		}
		c.register = register{
			Promised: 2,
			Accepted: Record{
				Epoch:     1,
				ClusterID: "f",
				Primary:   proposer,
				Backup:    c.self,
				Voters:    []Replica{proposer, c.self},
			},
		}
		f(c, proposer)
		machine.PowerOff()
		time.Sleep(time.Minute)
	})
}

// snapshotOf gives a snapshot of a machine with seven other values.
func snapshotOf(t *testing.T) (body []byte, all []Chunk) {
	r := newReplicatedState(&listStateMachine{})
	for range 7 {
		_, err := r.apply(&Entry{Kind: "put", Op: "op", Body: []byte("other")})
		require.NoError(t, err)
	}
	return MustMarshal(r.snapshot(false)), chunksOf(r.machine)
}

func requireUnchanged(t *testing.T, c *Core) {
	require.Equal(t, "one,two", c.state.machine.(*listStateMachine).all())
	require.EqualValues(t, 2, c.state.seq)
	require.Zero(t, c.readyEpoch.Load())
}

// TestTruncatedSnapshot: a snapshot that a proposer sent and that was cut short anywhere is
// refused, and the data stays as it was; whole, it is taken.
func TestTruncatedSnapshot(t *testing.T) {
	withMember(t, func(c *Core, proposer Replica) {
		body, all := snapshotOf(t)
		for _, one := range all {
			require.NoError(t, c.store.saveChunk(one))
		}
		for size := range body {
			r, err := c.handleSnapshot(context.Background(), &SnapshotRequest{
				Epoch: 2,
				From:  proposer,
				State: body[:size],
			})
			require.True(t, err != nil || !r.OK, "cut to %d of %d bytes", size, len(body))
			if err != nil {
				require.NotContains(t, err.Error(), "\n")
			}
			requireUnchanged(t, c)
		}
		r, err := c.handleSnapshot(context.Background(), &SnapshotRequest{Epoch: 2, From: proposer, State: body})
		require.NoError(t, err)
		require.True(t, r.OK)
		require.Equal(t, strings.Repeat("other,", 6)+"other", c.state.machine.(*listStateMachine).all())
	})
}

// TestWrongChunk: a chunk whose content doesn't fit its name is refused, in a message
// as well as in a snapshot.
func TestWrongChunk(t *testing.T) {
	withMember(t, func(c *Core, proposer Replica) {
		body, all := snapshotOf(t)
		changed := bytes.ToUpper(all[0].Body)
		_, err := c.handleChunk(context.Background(), &ChunkRequest{Epoch: 2, Name: all[0].Name, Body: changed})
		require.ErrorContains(t, err, "does not fit its name")
		r, err := c.handleSnapshot(context.Background(), &SnapshotRequest{Epoch: 2, From: proposer, State: body})
		require.NoError(t, err)
		require.Equal(t, []string{all[0].Name}, r.MissingChunks)
		requireUnchanged(t, c)
	})
}

// TestOtherEpoch: a snapshot of an epoch that wasn't promised, or a register's ballot of
// another founding, changes nothing.
func TestOtherEpoch(t *testing.T) {
	withMember(t, func(c *Core, proposer Replica) {
		body, all := snapshotOf(t)
		require.NoError(t, c.store.saveChunk(all[0]))
		for _, epoch := range []ids.Epoch{0, 1, 3} {
			r, err := c.handleSnapshot(context.Background(), &SnapshotRequest{
				Epoch: epoch,
				From:  proposer,
				State: body,
			})
			require.NoError(t, err)
			require.False(t, r.OK, "epoch %d", epoch)
			requireUnchanged(t, c)
		}
		ballot, err := c.handleBallot(context.Background(), &BallotRequest{
			Epoch:  9,
			From:   proposer,
			Record: Record{Epoch: 9, ClusterID: "another", Primary: proposer, Voters: []Replica{c.self}},
		})
		require.NoError(t, err)
		require.False(t, ballot.OK)
		require.Equal(t, "another founding", ballot.Reason)
		require.EqualValues(t, 2, c.register.Promised)
	})
}

// TestOtherAppend: entries that don't follow, or of another epoch, change nothing.
func TestOtherAppend(t *testing.T) {
	withMember(t, func(c *Core, proposer Replica) {
		c.register.Accepted.Epoch = 2
		entry := Entry{Seq: 3, Kind: "put", Body: []byte("three")}
		for name, request := range map[string]*AppendRequest{
			"gap":         {Epoch: 2, From: proposer, Prev: 3, Entries: []Entry{entry}},
			"repeat":      {Epoch: 2, From: proposer, Prev: 1, Entries: []Entry{entry}},
			"older epoch": {Epoch: 1, From: proposer, Prev: 2, Entries: []Entry{entry}},
			"newer epoch": {Epoch: 3, From: proposer, Prev: 2, Entries: []Entry{entry}},
		} {
			r, err := c.handleAppend(context.Background(), request)
			require.NoError(t, err, name)
			require.False(t, r.OK, name)
			requireUnchanged(t, c)
		}
	})
}
