// How often nodes ask for the list of workers.

package proxy

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host"
	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

// TestListPause: however many nodes ask by themselves, all together stay within the rate;
// without a rate, or with room, each asks as often as it likes.
func TestListPause(t *testing.T) {
	minimum := 700 * time.Millisecond
	require.Equal(t, minimum, listInterval(minimum, 0, 0.01))
	require.Equal(t, minimum, listInterval(minimum, 42, 0.1))
	for _, nodes := range []float64{1, 10, 88, 650} {
		for _, rate := range []float64{0.5, 5, 42, 310} {
			require.LessOrEqual(t, nodes/listInterval(minimum, rate, 1/nodes).Seconds(), rate+0.001)
		}
	}
}

// TestTies: where nothing is known of the workers, requests spread over all of them, and
// not over those that the list names first.
func TestTies(t *testing.T) {
	n, err := New(Options{Name: "n", Zone: "a", Host: newSimulatedHost()})
	require.NoError(t, err)
	list := make([]Worker, 60)
	for i := range list {
		list[i] = Worker{ID: workerID(i), Service: "s", Zone: "a", Role: "decode", Concurrency: 8}
	}
	n.installList(list, 1, 1)
	got := map[string]int{}
	for i := range 3000 {
		rows := n.decodeCandidates(
			n.startupPrograms.Set, n.view.Current(), newService("s"), &Request{ID: string(workerID(i)) + "q"}, nil, nil,
		)
		got[string(rows[0].worker.ID)]++
	}
	require.Len(t, got, 60)
	for id, k := range got {
		require.Less(t, k, 150, id)
	}
}

func newSimulatedHost() host.Host { return simulated.NewWorld(1).Machine("10.0.0.9").Start().Host() }

func workerID(i int) ids.WorkerID { return ids.WorkerID("w" + strconv.Itoa(i)) }

func newService(name string) *fleetstate.Service { return &fleetstate.Service{Name: name} }

// TestRank: a longer reading is never more urgent than a shorter one of the same route, a
// short one keeps its route's urgency, and none passes the worker's scale.
func TestRank(t *testing.T) {
	for urgency := range 10 {
		last := urgency
		for need := 1; need < 1<<20; need += 97 {
			r := urgencyRank(urgency, need)
			require.GreaterOrEqual(t, r, last)
			require.LessOrEqual(t, r, 9)
			last = r
		}
		require.Equal(t, urgency, urgencyRank(urgency, shortPrompt))
		require.Equal(t, min(9, urgency+6), last)
	}
	require.Less(t, urgencyRank(1, 633), urgencyRank(0, 4486), "a rider's question before a long ruling")
}
