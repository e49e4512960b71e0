// Which worker is picked, and what a pick costs.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
)

// TestTable: the table gives the same workers and homes as the whole list does, under each
// version of the list and of the snapshot.
func TestTable(t *testing.T) {
	n, err := New(Options{Name: "n", Zone: "a", Host: quietHost()})
	require.NoError(t, err)
	list := many(40)
	list[7].Role = ""
	list[9].Service = "other"
	sights := []*fleetstate.Snapshot{
		{},
		{EvacuatedZones: map[ids.Zone]bool{"b": true}},
		{DrainedWorkers: map[ids.WorkerID]bool{list[2].ID: true}},
		{RoleChanges: map[ids.WorkerID]ids.Role{list[4].ID: ids.Decode}},
	}
	for k := range 6 {
		now := n.now()
		if k > 0 {
			list = append([]Worker(nil), list...)
			list[3*k].Leaving = true
			list[5*k].Role = ids.Prefill
			list = append(list[1:], Worker{ID: wid(k), Service: "s", Zone: "c", Role: ids.Decode, Concurrency: 8})
		}
		n.installList(list, now, now)
		for _, s := range sights {
			for _, role := range []ids.Role{ids.Prefill, ids.Decode} {
				var want, got []ids.WorkerID
				var top ids.WorkerID
				best := -1.0
				for i := range list {
					w := &list[i]
					if w.Service != "s" || !acceptsWork(s, w) || w.Role != role && w.Role != "" {
						continue
					}
					want = append(want, w.ID)
					if a := routing.Affinity(77, w.ID); w.Role == ids.Prefill && a > best {
						best, top = a, w.ID
					}
				}
				for _, c := range n.cleared(s, service("s"), role, nil) {
					got = append(got, c.worker.ID)
					require.Same(t, n.state(c.worker.ID), c.state)
				}
				require.Equal(t, want, got)
				require.Equal(t, top, prefixHome(77, n.candidateIndexFor(n.endpoints.Load(), s).byRole[serviceRole{
					"s", role,
				}], n.isEjected))
			}
		}
	}
}

// TestPickedAnew: after a dial that took long nothing goes to a worker of which the node has
// heard meanwhile that it leaves, nor does the request end while another worker is there.
func TestPickedAnew(t *testing.T) {
	for _, role := range []ids.Role{ids.Prefill, ids.Decode} {
		eachSeed(t, 3, func(t *testing.T, seed uint64) {
			y := newCluster(both("svc", 3, 3)...)
			f := build(t, seed, 2, y, plain(), func(o *Options) {
				o.RetryAllowance, o.ListInterval, o.ShareInterval = 60, 100*time.Millisecond, 50*time.Millisecond
			})
			defer f.close()
			y.at(func() { y.dial = map[string]time.Duration{"svc-" + string(role) + "-0:90": 1400 * time.Millisecond} })
			f.wg.Go(func() {
				time.Sleep(150 * time.Millisecond)
				y.at(func() { y.of("svc-" + string(role) + "-1").Leaving = true })
			})
			all := f.load(200, 300*time.Millisecond, func(i int) *Request {
				return f.req(fmt.Sprint("r", i), paths[i%4], 400, 4)
			})
			late := 0
			for _, a := range all {
				require.NoError(t, a.err)
				if a.end-a.at > 400*time.Millisecond {
					late++
				}
			}
			require.Greater(t, late, 5, "some dialled the one that is not there")
			require.Empty(t, leftAlone(y.directory(), 100*time.Millisecond))
		})
	}
}

// BenchmarkPick orders the readers and the emitters of one request.
func BenchmarkPick(b *testing.B) {
	for _, workers := range []int{12, 140} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			n, err := New(Options{Name: "n", Zone: "a", Host: quietHost()})
			require.NoError(b, err)
			n.installList(many(workers), n.now(), n.now())
			s, service := n.view.Current(), service("s")
			r := &Request{
				ID:        "9c41d07be2a35f68",
				Prompt:    9190,
				MaxTokens: 4,
				Body:      make([]byte, 20_000),
				Segments:  []PromptSegment{{"5c1e07a2", 800}, {"91bd3f06", 5500}, {"e4402b7d", 2890}},
			}
			b.ReportAllocs()
			for b.Loop() {
				n.prefillCandidates(n.startupPrograms.Set, s, service, r, nil)
				n.emitters(n.startupPrograms.Set, s, service, r, nil, nil)
			}
		})
	}
}

// many makes so many workers of one service, half of them of each part, in four zones.
func many(workers int) []Worker {
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
