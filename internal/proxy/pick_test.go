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
// version of the list and of the sight.
func TestTable(t *testing.T) {
	n, err := New(Options{Name: "n", Zone: "a", Host: quietHost()})
	require.NoError(t, err)
	list := many(40)
	list[7].Part = ""
	list[9].Service = "other"
	sights := []*fleetstate.Snapshot{{}, {Zones: map[ids.Zone]bool{"b": true}}, {Drained: map[ids.WorkerID]bool{list[2].ID: true}}, {RoleChanges: map[ids.WorkerID]ids.Role{list[4].ID: ids.Decode}}}
	for k := range 6 {
		now := n.now()
		if k > 0 {
			list = append([]Worker(nil), list...)
			list[3*k].Leaving = true
			list[5*k].Part = ids.Prefill
			list = append(list[1:], Worker{ID: wid(k), Service: "s", Zone: "c", Part: ids.Decode, Slots: 8})
		}
		n.take(list, now, now)
		for _, s := range sights {
			for _, part := range []ids.Role{ids.Prefill, ids.Decode} {
				var want, got []ids.WorkerID
				var top ids.WorkerID
				best := -1.0
				for i := range list {
					w := &list[i]
					if w.Service != "s" || !fit(s, w) || w.Part != part && w.Part != "" {
						continue
					}
					want = append(want, w.ID)
					if a := routing.Affinity(77, w.ID); w.Part == ids.Prefill && a > best {
						best, top = a, w.ID
					}
				}
				for _, c := range n.cleared(s, service("s"), part, nil) {
					got = append(got, c.w.ID)
					require.Same(t, n.state(c.w.ID), c.st)
				}
				require.Equal(t, want, got)
				require.Equal(t, top, home(77, n.tabled(n.roster.Load(), s).by[role{"s", part}], n.out))
			}
		}
	}
}

// TestPickedAnew: after a dial that took long nothing goes to a worker of which the node has
// heard meanwhile that it leaves, nor does the request end while another worker is there.
func TestPickedAnew(t *testing.T) {
	for _, part := range []ids.Role{ids.Prefill, ids.Decode} {
		eachSeed(t, 3, func(t *testing.T, seed uint64) {
			y := newYard(both("svc", 3, 3)...)
			f := build(t, seed, 2, y, plain(), func(o *Options) { o.Allow, o.Roster, o.Share = 60, 100*time.Millisecond, 50*time.Millisecond })
			defer f.close()
			y.at(func() { y.dial = map[string]time.Duration{"svc-" + string(part) + "-0:90": 1400 * time.Millisecond} })
			f.wg.Go(func() {
				time.Sleep(150 * time.Millisecond)
				y.at(func() { y.of("svc-" + string(part) + "-1").Leaving = true })
			})
			all := f.load(200, 300*time.Millisecond, func(i int) *Request { return f.req(fmt.Sprint("r", i), paths[i%4], 400, 4) })
			late := 0
			for _, a := range all {
				require.NoError(t, a.err)
				if a.end-a.at > 400*time.Millisecond {
					late++
				}
			}
			require.Greater(t, late, 5, "some dialled the one that is not there")
			require.Empty(t, leftAlone(y.book(), 100*time.Millisecond))
		})
	}
}

// BenchmarkPick orders the readers and the emitters of one request.
func BenchmarkPick(b *testing.B) {
	for _, workers := range []int{12, 140} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			n, err := New(Options{Name: "n", Zone: "a", Host: quietHost()})
			require.NoError(b, err)
			n.take(many(workers), n.now(), n.now())
			s, svc := n.view.Current(), service("s")
			r := &Request{ID: "9c41d07be2a35f68", Prompt: 9190, Most: 4, Body: make([]byte, 20_000),
				Parts: []Part{{"5c1e07a2", 800}, {"91bd3f06", 5500}, {"e4402b7d", 2890}}}
			b.ReportAllocs()
			for b.Loop() {
				n.readers(n.first.Set, s, svc, r, nil)
				n.emitters(n.first.Set, s, svc, r, nil, nil)
			}
		})
	}
}

// many makes so many workers of one service, half of them of each part, in four zones.
func many(workers int) []Worker {
	list := make([]Worker, workers)
	for i := range list {
		list[i] = Worker{ID: ids.WorkerID(fmt.Sprintf("i-7f3a%04d", i)), Service: "s", Zone: ids.Zone("abcd"[i%4:][:1]), Part: []ids.Role{ids.Prefill, ids.Decode}[i%2], Slots: 24}
	}
	return list
}
