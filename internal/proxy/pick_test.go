// The selection of workers and its cost in time and allocations.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/requestbody"
	"keelstair.example/internal/routing"
)

// TestCandidateIndexMatchesWorkerList: the candidate index yields the same workers and preferred workers as a scan
// of the worker list, for several versions of the list and of the snapshot.
func TestCandidateIndexMatchesWorkerList(t *testing.T) {
	n, err := New(Options{Name: "n", Zone: "a", Host: newSimulatedHost()})
	require.NoError(t, err)
	list := newWorkers(40)
	list[7].Role = ""
	list[9].Service = "other"
	snapshots := []*fleetstate.Snapshot{
		{},
		{EvacuatedZones: map[ids.Zone]bool{"b": true}},
		{DrainedWorkers: map[ids.WorkerID]bool{list[2].ID: true}},
		{RoleChanges: map[ids.WorkerID]ids.Role{list[4].ID: ids.Decode}},
	}
	for round := range 6 {
		now := n.now()
		if round > 0 {
			list = append([]Worker(nil), list...)
			list[3*round].Leaving = true
			list[5*round].Role = ids.Prefill
			list = append(list[1:], Worker{ID: workerID(round), Service: "s", Zone: "c", Role: ids.Decode, Concurrency: 8})
		}
		n.installList(list, now, now)
		for _, s := range snapshots {
			for _, role := range []ids.Role{ids.Prefill, ids.Decode} {
				var want, got []ids.WorkerID
				var preferred ids.WorkerID
				best := -1.0
				for i := range list {
					w := &list[i]
					if w.Service != "s" || !acceptsWork(s, w) || w.Role != role && w.Role != "" {
						continue
					}
					want = append(want, w.ID)
					if a := routing.Affinity(77, w.ID); w.Role == ids.Prefill && a > best {
						best, preferred = a, w.ID
					}
				}
				for _, c := range n.eligibleWorkers(s, newService("s"), role, nil) {
					got = append(got, c.worker.ID)
					require.Same(t, n.state(c.worker.ID), c.state)
				}
				require.Equal(t, want, got)
				require.Equal(t, preferred, preferredWorker(77, n.candidateIndexFor(n.currentList.Load(), s).byRole[serviceRole{
					"s", role,
				}], n.isNotServing))
			}
		}
	}
}

// TestPickRepeatedAfterSlowDial: if a worker starts leaving during a slow dial to another one, the request
// doesn't go to the leaving worker, and it doesn't fail while a third one is available.
func TestPickRepeatedAfterSlowDial(t *testing.T) {
	for _, role := range []ids.Role{ids.Prefill, ids.Decode} {
		forEachSeed(t, 3, func(t *testing.T, seed uint64) {
			platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
			f := startFleet(t, seed, 2, platform, defaultConfiguration(), func(o *Options) {
				o.RetryAllowance, o.ListInterval, o.ShareInterval = 60, 100*time.Millisecond, 50*time.Millisecond
			})
			defer f.close()
			platform.withLock(func() {
				platform.unreachable = map[string]time.Duration{"svc-" + string(role) + "-0:90": 1400 * time.Millisecond}
			})
			f.wg.Go(func() {
				time.Sleep(150 * time.Millisecond)
				platform.withLock(func() { platform.worker("svc-" + string(role) + "-1").Leaving = true })
			})
			results := f.generateLoad(200, 300*time.Millisecond, func(i int) *Request {
				return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4)
			})
			slowRequests := 0
			for _, result := range results {
				require.NoError(t, result.err)
				if result.endedAt-result.sentAt > 400*time.Millisecond {
					slowRequests++
				}
			}
			require.Greater(t, slowRequests, 5, "few requests dialed the unreachable worker")
			require.Empty(t, checkUnavailableWorkers(platform.recordedCalls(), 100*time.Millisecond))
		})
	}
}

// BenchmarkPick ranks the prefill and the decode candidates of one request.
func BenchmarkPick(b *testing.B) {
	for _, workers := range []int{12, 140} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			n, err := New(Options{Name: "n", Zone: "a", Host: newSimulatedHost()})
			require.NoError(b, err)
			n.installList(newWorkers(workers), n.now(), n.now())
			s, service := n.view.Current(), newService("s")
			r := &Request{
				ID:        "9c41d07be2a35f68",
				Prompt:    9190,
				MaxTokens: 4,
				Body:      requestbody.FromBytes(make([]byte, 20_000)),
				Segments:  []PromptSegment{{"5c1e07a2", 800}, {"91bd3f06", 5500}, {"e4402b7d", 2890}},
			}
			b.ReportAllocs()
			for b.Loop() {
				n.prefillCandidates(n.startupPrograms.Set, s, service, r, nil)
				n.decodeCandidates(n.startupPrograms.Set, s, service, r, nil, nil)
			}
		})
	}
}

// newWorkers returns workers of one service in four zones, half of them in each role.
func newWorkers(workers int) []Worker {
	list := make([]Worker, workers)
	for i := range list {
		list[i] = Worker{
			ID:          ids.WorkerID(fmt.Sprintf("i-7f3a%04d", i)),
			Service:     "s",
			Zone:        ids.Zone("abcd"[i%4:][:1]),
			Role:        []ids.Role{ids.Prefill, ids.Decode}[i%2],
			Concurrency: 24,
		}
	}
	return list
}
