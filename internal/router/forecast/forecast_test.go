// Forecasts for a small fleet with three router nodes, three voters and six workers.

package forecast

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/router"
)

// fixture returns the status and the configuration of a fleet with one node, one voter, one prefill
// and one decode worker in zone a, and two of each in zone b.
func fixture() (*router.NodeStatus, *fleetstate.Configuration) {
	st := &router.NodeStatus{Version: 4}
	configuration := &fleetstate.Configuration{Zones: []ids.Zone{"a", "b"}, Workers: map[ids.WorkerID]fleetstate.Worker{}}
	for i, z := range []ids.Zone{"a", "b", "b"} {
		number := string(rune('1' + i))
		st.Members = append(st.Members, coordination.Member{
			Node: ids.NodeID("n" + number),
			Addr: "10.0.0." + number + ":1",
			Zone: z,
		})
		st.Core.Voters = append(st.Core.Voters, coordination.Replica{
			Disk: ids.DiskID(number),
			Addr: "10.0.1." + number + ":1",
			Zone: z,
		})
		for _, role := range []ids.Role{ids.Prefill, ids.Decode} {
			id := ids.WorkerID(string(role[0]) + number)
			configuration.Workers[id] = fleetstate.Worker{Role: role, Model: "m", Weights: "w", Capacity: 100, BlockSize: 16, Zone: z}
			st.Workers = append(st.Workers, router.WorkerStatus{
				ID:       id,
				Role:     role,
				Ready:    true,
				Free:     40,
				Capacity: 100,
			})
		}
	}
	return st, configuration
}

// TestForecastWarnings checks the forecasts of losses, evacuations and removed workers. The loss of
// the larger zone moves the keys of its nodes, removes two of three disk machines and leaves too
// little capacity; each must be reported.
func TestForecastWarnings(t *testing.T) {
	st, configuration := fixture()
	f, err := Compute(st, configuration, Change{LoseZone: "b"})
	require.NoError(t, err)
	require.Equal(t, [2]int{3, 1}, f.Nodes)
	require.Equal(t, [2]int{3, 1}, f.Voters)
	for _, m := range f.KeyMoves {
		require.Equal(t, ids.NodeID("n1"), m.To)
		require.Equal(t, coordination.Owner(m.Key, []ids.NodeID{"n1", "n2", "n3"}), m.From)
	}
	require.Len(t, f.Capacity, 2)
	require.Equal(t, [2]int{300, 100}, f.Capacity[0].Blocks)
	require.Contains(t, f.Warnings, "the core would have no quorum: 1 of 3 disk machines would be left")
	require.Contains(t, f.Warnings, "decode of m would have 100 blocks, 180 are in use now")
	f, err = Compute(st, configuration, Change{Evacuate: "a"})
	require.NoError(t, err)
	require.Empty(t, f.KeyMoves, "an evacuation moves no key")
	require.Contains(t, f.Warnings, "prefill of m would be over 80% full: 180 of 200 blocks")
	f, err = Compute(st, configuration, Change{LoseAddr: "10.0.1.1:1"})
	require.NoError(t, err)
	require.Equal(t, [2]int{3, 2}, f.Voters)
	require.Len(t, f.Warnings, 1)
	next := *configuration
	next.Workers = map[ids.WorkerID]fleetstate.Worker{"p1": configuration.Workers["p1"]}
	f, err = Compute(st, configuration, Change{Configuration: &next})
	require.NoError(t, err)
	require.Len(t, f.WorkerChanges, 5)
	require.Contains(t, f.Warnings, "no worker would be left for decode of m")
}

// TestUnknownNamesRejected checks that a change of an unknown zone, worker or address is an error.
func TestUnknownNamesRejected(t *testing.T) {
	st, configuration := fixture()
	for _, c := range []Change{{Evacuate: "unknown"}, {LoseZone: "unknown"}, {Drain: "x9"}, {LoseAddr: "10.9.9.9:1"}} {
		_, err := Compute(st, configuration, c)
		require.Error(t, err)
	}
}
