// The planner against a small fleet that is known by heart.

package forecast

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/router"
)

func fixture() (*router.NodeStatus, *fleetstate.Configuration) {
	st := &router.NodeStatus{Version: 4}
	p := &fleetstate.Configuration{Zones: []ids.Zone{"a", "b"}, Workers: map[ids.WorkerID]fleetstate.Worker{}}
	for i, z := range []ids.Zone{"a", "b", "b"} {
		n := string(rune('1' + i))
		st.Members = append(st.Members, coordination.Member{
			Node: ids.NodeID("n" + n),
			Addr: "10.0.0." + n + ":1",
			Zone: z,
		})
		st.Core.Voters = append(st.Core.Voters, coordination.Replica{
			Disk: ids.DiskID(n),
			Addr: "10.0.1." + n + ":1",
			Zone: z,
		})
		for _, part := range []ids.Role{ids.Prefill, ids.Decode} {
			id := ids.WorkerID(string(part[0]) + n)
			p.Workers[id] = fleetstate.Worker{Role: part, Model: "m", Weights: "w", Capacity: 100, Block: 16, Zone: z}
			st.Workers = append(st.Workers, router.WorkerStatus{
				ID:       id,
				Role:     part,
				Ready:    true,
				Free:     40,
				Capacity: 100,
			})
		}
	}
	return st, p
}

// TestForecastWarnings: the loss of the larger zone moves its nodes' keys, takes two of
// three disk machines and leaves too little room; all of it is warned of.
func TestForecastWarnings(t *testing.T) {
	st, p := fixture()
	f, err := Compute(st, p, Change{LoseZone: "b"})
	require.NoError(t, err)
	require.Equal(t, [2]int{3, 1}, f.Nodes)
	require.Equal(t, [2]int{3, 1}, f.Voters)
	for _, m := range f.KeyMoves {
		require.Equal(t, ids.NodeID("n1"), m.To)
		require.Equal(t, coordination.Owner(m.Key, []ids.NodeID{"n1", "n2", "n3"}), m.From)
	}
	require.Len(t, f.Capacity, 2)
	require.Equal(t, [2]int{300, 100}, f.Capacity[0].Blocks)
	require.Contains(t, f.Warnings, "the core could not decide: 1 of 3 disk machines would be left")
	require.Contains(t, f.Warnings, "decode of m would have 100 blocks, 180 are taken now")
	f, err = Compute(st, p, Change{Evacuate: "a"})
	require.NoError(t, err)
	require.Empty(t, f.KeyMoves, "an evacuation moves no duty")
	require.Contains(t, f.Warnings, "prefill of m would be over four fifths full: 180 of 200 blocks")
	f, err = Compute(st, p, Change{LoseAddr: "10.0.1.1:1"})
	require.NoError(t, err)
	require.Equal(t, [2]int{3, 2}, f.Voters)
	require.Len(t, f.Warnings, 1)
	next := *p
	next.Workers = map[ids.WorkerID]fleetstate.Worker{"p1": p.Workers["p1"]}
	f, err = Compute(st, p, Change{Configuration: &next})
	require.NoError(t, err)
	require.Len(t, f.WorkerChanges, 5)
	require.Contains(t, f.Warnings, "no worker would be left for decode of m")
}

// TestUnknownNamesRejected: what does not exist is named.
func TestUnknownNamesRejected(t *testing.T) {
	st, p := fixture()
	for _, c := range []Change{{Evacuate: "moon"}, {LoseZone: "moon"}, {Drain: "x9"}, {LoseAddr: "10.9.9.9:1"}} {
		_, err := Compute(st, p, c)
		require.Error(t, err)
	}
}
