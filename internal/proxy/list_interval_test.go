// Tests of the rate of list calls to the platform, of the choice among equal decode workers, and of the rank of
// prefills in the workers' queues.

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

// TestListInterval: however many nodes request the worker list from the platform themselves, all of them
// together stay within the rate limit. Without a limit, or below it, each node uses the minimum interval.
func TestListInterval(t *testing.T) {
	minimum := 700 * time.Millisecond
	require.Equal(t, minimum, listInterval(minimum, 0, 0.01))
	require.Equal(t, minimum, listInterval(minimum, 42, 0.1))
	for _, nodes := range []float64{1, 10, 88, 650} {
		for _, rate := range []float64{0.5, 5, 42, 310} {
			require.LessOrEqual(t, nodes/listInterval(minimum, rate, 1/nodes).Seconds(), rate+0.001)
		}
	}
}

// TestDecodeTiesSpreadOverWorkers: while nothing is known about the workers, requests are spread over all
// of them and not concentrated on the first ones of the list.
func TestDecodeTiesSpreadOverWorkers(t *testing.T) {
	node, err := New(Options{Name: "n", Zone: "a", Host: newSimulatedHost()})
	require.NoError(t, err)
	workers := make([]Worker, 60)
	for i := range workers {
		workers[i] = Worker{ID: workerID(i), Service: "s", Zone: "a", Role: "decode", Concurrency: 8}
	}
	node.installList(workers, 1, 1)
	counts := map[string]int{}
	for i := range 3000 {
		candidates := node.decodeCandidates(
			node.startupPrograms.Set, node.view.Current(), newService("s"), &Request{ID: string(workerID(i)) + "q"}, nil, nil,
		)
		counts[string(candidates[0].worker.ID)]++
	}
	require.Len(t, counts, 60)
	for id, count := range counts {
		require.Less(t, count, 150, id)
	}
}

// newSimulatedHost returns the host of a process on a simulated machine.
func newSimulatedHost() host.Host { return simulated.NewWorld(1).Machine("10.0.0.9").Start().Host() }

// workerID returns the ID of worker i.
func workerID(i int) ids.WorkerID { return ids.WorkerID("w" + strconv.Itoa(i)) }

// newService returns a service without limits.
func newService(name string) *fleetstate.Service { return &fleetstate.Service{Name: name} }

// TestPrefillQueueRank: a longer prefill never has a lower (more urgent) rank than a shorter one of the same
// route, the rank of a short one is its route's urgency, and no rank exceeds 9, the highest that workers
// support.
func TestPrefillQueueRank(t *testing.T) {
	for urgency := range 10 {
		last := urgency
		for tokens := 1; tokens < 1<<20; tokens += 97 {
			rank := prefillQueueRank(urgency, tokens)
			require.GreaterOrEqual(t, rank, last)
			require.LessOrEqual(t, rank, 9)
			last = rank
		}
		require.Equal(t, urgency, prefillQueueRank(urgency, shortPrompt))
		require.Equal(t, min(9, urgency+6), last)
	}
	require.Less(t, prefillQueueRank(1, 633), prefillQueueRank(0, 4486), "a short prompt of a less urgent route precedes a long one of a more urgent route")
}
