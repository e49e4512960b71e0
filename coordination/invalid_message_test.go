// Messages between replicas that are truncated, altered, out of order or from another cluster.

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

// withPreparedCore runs f with a core that holds two entries and has promised epoch 2 in the cluster "f".
func withPreparedCore(t *testing.T, f func(c *Core, proposer Replica)) {
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

// snapshotOf returns a snapshot of a state machine with seven other values, and its chunks.
func snapshotOf(t *testing.T) (body []byte, chunks []Chunk) {
	r := newReplicatedState(&listStateMachine{})
	for range 7 {
		_, err := r.apply(&Entry{Kind: "put", Op: "op", Body: []byte("other")})
		require.NoError(t, err)
	}
	return MustMarshal(r.snapshot(false)), chunksOf(r.machine)
}

// requireUnchanged checks that the core still has its two entries and is ready for no epoch.
func requireUnchanged(t *testing.T, c *Core) {
	require.Equal(t, "one,two", c.state.machine.(*listStateMachine).all())
	require.EqualValues(t, 2, c.state.seq)
	require.Zero(t, c.readyEpoch.Load())
}

// TestTruncatedSnapshotRefused checks that a snapshot truncated at any byte is refused and leaves the data
// unchanged, and that the complete snapshot is installed.
func TestTruncatedSnapshotRefused(t *testing.T) {
	withPreparedCore(t, func(c *Core, proposer Replica) {
		body, chunks := snapshotOf(t)
		for _, chunk := range chunks {
			require.NoError(t, c.store.saveChunk(chunk))
		}
		for size := range body {
			r, err := c.handleCatchUp(context.Background(), &CatchUpRequest{
				Epoch: 2,
				From:  proposer,
				State: body[:size],
			})
			require.True(t, err != nil || !r.OK, "truncated to %d of %d bytes", size, len(body))
			if err != nil {
				require.NotContains(t, err.Error(), "\n")
			}
			requireUnchanged(t, c)
		}
		r, err := c.handleCatchUp(context.Background(), &CatchUpRequest{Epoch: 2, From: proposer, State: body})
		require.NoError(t, err)
		require.True(t, r.OK)
		require.Equal(t, strings.Repeat("other,", 6)+"other", c.state.machine.(*listStateMachine).all())
	})
}

// TestChunkContentMismatchRefused checks that a chunk whose content does not match its name is refused, and that a
// snapshot that refers to it is not installed.
func TestChunkContentMismatchRefused(t *testing.T) {
	withPreparedCore(t, func(c *Core, proposer Replica) {
		body, chunks := snapshotOf(t)
		changed := bytes.ToUpper(chunks[0].Body)
		_, err := c.handleChunk(context.Background(), &ChunkRequest{Epoch: 2, Name: chunks[0].Name, Body: changed})
		require.ErrorContains(t, err, "does not fit its name")
		r, err := c.handleCatchUp(context.Background(), &CatchUpRequest{Epoch: 2, From: proposer, State: body})
		require.NoError(t, err)
		require.Equal(t, []string{chunks[0].Name}, r.MissingChunks)
		requireUnchanged(t, c)
	})
}

// TestOtherEpochOrClusterRefused checks that a snapshot of an epoch that was not promised, or a ballot of another
// cluster, changes nothing.
func TestOtherEpochOrClusterRefused(t *testing.T) {
	withPreparedCore(t, func(c *Core, proposer Replica) {
		body, chunks := snapshotOf(t)
		require.NoError(t, c.store.saveChunk(chunks[0]))
		for _, epoch := range []ids.Epoch{0, 1, 3} {
			r, err := c.handleCatchUp(context.Background(), &CatchUpRequest{
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

// TestNonconsecutiveAppendRefused checks that entries that do not follow the log, or that are of another epoch, change
// nothing.
func TestNonconsecutiveAppendRefused(t *testing.T) {
	withPreparedCore(t, func(c *Core, proposer Replica) {
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
