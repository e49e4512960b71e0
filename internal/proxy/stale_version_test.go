// What a node does with versions that come late, or all at once.

package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

// largePolicy is the plain policy with so many routes besides.
func largePolicy(routes, deadline int) []byte {
	all := ways()
	for i := range routes {
		all = append(all, fleetstate.Route{
			Name: fmt.Sprint("x", i), Host: fmt.Sprintf("h%d.example", i), Prefix: "/", Service: "svc", DeadlineMs: deadline,
		})
	}
	return policy(all, fleetstate.Service{Name: "svc", Concurrency: 16, RoleChangeMs: 1000})
}

// TestSupersededVersionsAreNotParsed: a node that was held up while 40 versions were put parses the newest alone.
func TestSupersededVersionsAreNotParsed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const versions = 40
		var parsed [2]atomic.Int64
		y := newCluster(both("svc", 2, 2)...)
		f := build(t, 75, 2, y, plain(), func(o *Options) {
			count := &parsed[0]
			if o.Name == "n1" {
				count = &parsed[1]
			}
			o.ReadConfiguration = func(text []byte) (*fleetstate.Configuration, error) {
				count.Add(1)
				return fleetstate.ParseJSON(text)
			}
		})
		defer f.close()
		f.freeze(1, true)
		before := parsed[1].Load()
		for v := ids.Version(1); v < versions; v++ {
			require.NoError(t, f.put(ids.OpID(fmt.Sprint("storm", v)), v, v+1, largePolicy(200, 3000+int(v))))
		}
		f.freeze(1, false)
		require.True(t, f.until(5*time.Second, func() bool { return f.inForce(versions) }))
		require.LessOrEqual(t, parsed[1].Load()-before, int64(2))
	})
}

// rejectedStale tells that a request was refused since the version in force may be too old.
func rejectedStale(a *asked) bool {
	rejected, ok := a.err.(*RejectedError)
	return ok && rejected.Code == http.StatusServiceUnavailable
}

// TestNodeBehindDoesNotServe: a node that is slow to apply a version refuses requests once the version must be in force.
func TestNodeBehindDoesNotServe(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const applying = 6 * time.Second
		y := newCluster(append(both("svc", 2, 2), both("other", 2, 2)...)...)
		f := build(t, 76, 2, y, plain(), func(o *Options) {
			name := o.Name
			o.ReadConfiguration = func(text []byte) (*fleetstate.Configuration, error) {
				if name == "n1" && strings.Contains(string(text), "other") {
					time.Sleep(applying)
				}
				return fleetstate.ParseJSON(text)
			}
		})
		defer f.close()
		routes := ways()
		routes[0].Service = "other"
		began := time.Now()
		require.NoError(t, f.put("two", 1, 2, policy(routes, fleetstate.Service{Name: "svc"}, fleetstate.Service{Name: "other"})))
		for i := 0; time.Since(began) < applying+2*time.Second; i++ {
			late := time.Since(began) > 2*time.Second
			for _, b := range f.nodes {
				a := f.ask(b, f.req(fmt.Sprint(b.ip, "-", i), "/once/x", 400, 2))
				if b == f.nodes[0] || time.Since(began) > applying+time.Second {
					require.NoError(t, a.err, "after %v", time.Since(began))
				}
				for _, k := range y.directory() {
					if late && k.Req == a.ID {
						require.Contains(t, string(k.Worker), "other", "after %v", time.Since(began))
					}
				}
				if ready, _ := b.Ready(); late && b == f.nodes[1] {
					require.Equal(t, ready, !rejectedStale(a), "after %v", time.Since(began))
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestNodesStartedAfterPowerLossServeNoOlderVersion: the version was acknowledged, and all lost power before it was in force.
func TestNodesStartedAfterPowerLossServeNoOlderVersion(t *testing.T) {
	eachSeed(t, 5, func(t *testing.T, seed uint64) {
		y := newCluster(both("svc", 2, 2)...)
		f := build(t, seed, 4, y, plain(), nil)
		defer f.close()
		require.NoError(t, f.put("two", 1, 2, largePolicy(20, 3000)))
		for i, b := range f.nodes {
			f.w.Machine(b.ip).PowerOff()
			f.kill(i)
		}
		for _, ip := range coreIps {
			f.offCore(ip)
		}
		time.Sleep(time.Second)
		for _, ip := range coreIps {
			f.core(ip)
		}
		for i := range f.nodes {
			f.node(i)
		}
		require.True(t, f.until(20*time.Second, func() bool {
			all := true
			for _, b := range f.up() {
				ready, _ := b.Ready()
				if ready {
					require.EqualValues(t, 2, b.view.Current().Version, "%s is ready", b.ip)
				}
				all = all && ready
			}
			return all
		}))
	})
}

// TestTakeoverMakesNoNodeRefuse: while nobody can acknowledge a version, the one that a node has is served.
func TestTakeoverMakesNoNodeRefuse(t *testing.T) {
	for name, fault := range map[string]func(f *fleet, leader string){
		"power":  func(f *fleet, leader string) { f.offCore(leader) },
		"frozen": func(f *fleet, leader string) { f.w.Machine(leader).Freeze(true) },
		"cut from the core": func(f *fleet, leader string) {
			f.w.Partition([]string{leader}, coreIps, true)
		},
		"all of the core": func(f *fleet, _ string) {
			for _, ip := range coreIps {
				f.offCore(ip)
			}
		},
		"nodes cut off": func(f *fleet, _ string) {
			f.w.Partition([]string{nodeIP(0), nodeIP(1), nodeIP(2)}, coreIps, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, 5, func(t *testing.T, seed uint64) {
				y := newCluster(both("svc", 2, 2)...)
				f := build(t, seed, 3, y, plain(), nil)
				defer f.close()
				fault(f, f.leader())
				f.load(20, 8*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/again/x", 400, 2) })
				for _, b := range f.nodes {
					require.Zero(t, b.counts.RejectedStale.Load(), b.ip)
					ready, reason := b.Ready()
					require.True(t, ready, reason)
				}
			})
		})
	}
}

// TestPreparedVersionIsPutInForceWithoutTheCommit: the core is late to put in force what it has acknowledged.
func TestPreparedVersionIsPutInForceWithoutTheCommit(t *testing.T) {
	var age versionAge
	at := func(ms int) ids.Tick { return ids.Tick(time.Duration(ms) * time.Millisecond) }
	old := &fleetstate.Snapshot{Version: 1, NewestVersion: 1}
	require.Zero(t, age.update(at(1000), at(900), old))
	require.Equal(t, int64(at(900)), age.currentAt.Load())
	for newest := ids.Version(2); newest < 5; newest++ {
		staged := &fleetstate.Snapshot{Version: 1, NewestVersion: newest}
		require.Zero(t, age.update(at(1000+100*int(newest)), at(1000+100*int(newest)), staged))
	}
	require.EqualValues(t, 2, age.update(at(1701), at(1700), &fleetstate.Snapshot{Version: 1, NewestVersion: 5}))
	require.Equal(t, int64(at(900)), age.currentAt.Load())
	require.Zero(t, age.update(at(1800), at(1800), &fleetstate.Snapshot{Version: 2, NewestVersion: 5}))
	require.Equal(t, int64(at(1200)), age.currentAt.Load(), "as of when the second was seen")
	require.Zero(t, age.update(at(1900), at(1900), &fleetstate.Snapshot{Version: 5, NewestVersion: 5}))
	require.Equal(t, int64(at(1900)), age.currentAt.Load())
}

// TestInTouch: an old version is refused where the core can be reached, and served where it can't.
func TestInTouch(t *testing.T) {
	const now, long = ids.Tick(100 * time.Second), time.Hour
	ago := func(d time.Duration) ids.Tick { return now.Add(-d) }
	old := ago(4 * time.Second)
	for _, row := range []struct {
		name           string
		currentAt      ids.Tick
		sinceConfirmed time.Duration
		primary        coordination.Reachability
		want           bool
	}{
		{"never confirmed since its start", 0, long, coordination.Reachability{}, true},
		{"never confirmed, and cut off", 0, long, coordination.Reachability{Lost: true}, false},
		{"confirmed, and the feed lags", old, 500 * time.Millisecond, coordination.Reachability{}, true},
		{"cut off just now", old, 500 * time.Millisecond, coordination.Reachability{Lost: true}, false},
		{"nothing is known yet", old, 4 * time.Second, coordination.Reachability{}, false},
		{"the primary is silent for a moment", old, 4 * time.Second, coordination.Reachability{Since: ago(2 * time.Second)}, false},
		{"the primary is silent", old, 4 * time.Second, coordination.Reachability{Since: ago(3 * time.Second)}, true},
		{"starved", old, 4 * time.Second, coordination.Reachability{StarvedAt: ago(time.Second)}, true},
		{"starved, and cut off", old, 4 * time.Second, coordination.Reachability{StarvedAt: ago(time.Second), Lost: true}, false},
		{"starved long ago", old, 4 * time.Second, coordination.Reachability{StarvedAt: ago(3 * time.Second)}, false},
	} {
		require.Equal(t, row.want, inTouch(now, row.currentAt, row.sinceConfirmed, row.primary), row.name)
	}
}
