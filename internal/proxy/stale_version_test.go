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
	all := defaultRoutes()
	for i := range routes {
		all = append(all, fleetstate.Route{
			Name: fmt.Sprint("x", i), Host: fmt.Sprintf("h%d.example", i), Prefix: "/", Service: "svc", DeadlineMs: deadline,
		})
	}
	return encodeConfiguration(all, fleetstate.Service{Name: "svc", Concurrency: 16, RoleChangeMs: 1000})
}

// TestSupersededVersionsAreNotParsed: a node that was held up while 40 versions were put parses the newest alone.
func TestSupersededVersionsAreNotParsed(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const versions = 40
		var parsed [2]atomic.Int64
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 75, 2, y, defaultConfiguration(), func(o *Options) {
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
		f.setFrozen(1, true)
		before := parsed[1].Load()
		for v := ids.Version(1); v < versions; v++ {
			require.NoError(t, f.putConfiguration(ids.OpID(fmt.Sprint("storm", v)), v, v+1, largePolicy(200, 3000+int(v))))
		}
		f.setFrozen(1, false)
		require.True(t, f.waitUntil(5*time.Second, func() bool { return f.inForce(versions) }))
		require.LessOrEqual(t, parsed[1].Load()-before, int64(2))
	})
}

// rejectedStale tells that a request was refused since the version in force may be too old.
func rejectedStale(a *requestResult) bool {
	rejected, ok := a.err.(*RejectedError)
	return ok && rejected.Code == http.StatusServiceUnavailable
}

// TestNodeBehindDoesNotServe: a node that is slow to apply a version refuses requests once the version must be in force.
func TestNodeBehindDoesNotServe(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const applying = 6 * time.Second
		y := newFakePlatform(append(prefillAndDecodeWorkers("svc", 2, 2), prefillAndDecodeWorkers("other", 2, 2)...)...)
		f := startFleet(t, 76, 2, y, defaultConfiguration(), func(o *Options) {
			name := o.Name
			o.ReadConfiguration = func(text []byte) (*fleetstate.Configuration, error) {
				if name == "n1" && strings.Contains(string(text), "other") {
					time.Sleep(applying)
				}
				return fleetstate.ParseJSON(text)
			}
		})
		defer f.close()
		routes := defaultRoutes()
		routes[0].Service = "other"
		began := time.Now()
		require.NoError(t, f.putConfiguration("two", 1, 2, encodeConfiguration(routes, fleetstate.Service{Name: "svc"}, fleetstate.Service{Name: "other"})))
		for i := 0; time.Since(began) < applying+2*time.Second; i++ {
			late := time.Since(began) > 2*time.Second
			for _, b := range f.nodes {
				a := f.send(b, f.newRequest(fmt.Sprint(b.ip, "-", i), "/once/x", 400, 2))
				if b == f.nodes[0] || time.Since(began) > applying+time.Second {
					require.NoError(t, a.err, "after %v", time.Since(began))
				}
				for _, k := range y.recordedCalls() {
					if late && k.RequestID == a.ID {
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
	forEachSeed(t, 5, func(t *testing.T, seed uint64) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, seed, 4, y, defaultConfiguration(), nil)
		defer f.close()
		require.NoError(t, f.putConfiguration("two", 1, 2, largePolicy(20, 3000)))
		for i, b := range f.nodes {
			f.world.Machine(b.ip).PowerOff()
			f.killNode(i)
		}
		for _, ip := range coreIPs {
			f.powerOffCore(ip)
		}
		time.Sleep(time.Second)
		for _, ip := range coreIPs {
			f.startCore(ip)
		}
		for i := range f.nodes {
			f.startNode(i)
		}
		require.True(t, f.waitUntil(20*time.Second, func() bool {
			all := true
			for _, b := range f.runningNodes() {
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
		"power":  func(f *fleet, leader string) { f.powerOffCore(leader) },
		"frozen": func(f *fleet, leader string) { f.world.Machine(leader).Freeze(true) },
		"cut from the core": func(f *fleet, leader string) {
			f.world.Partition([]string{leader}, coreIPs, true)
		},
		"all of the core": func(f *fleet, _ string) {
			for _, ip := range coreIPs {
				f.powerOffCore(ip)
			}
		},
		"nodes cut off": func(f *fleet, _ string) {
			f.world.Partition([]string{nodeIP(0), nodeIP(1), nodeIP(2)}, coreIPs, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 5, func(t *testing.T, seed uint64) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
				f := startFleet(t, seed, 3, y, defaultConfiguration(), nil)
				defer f.close()
				fault(f, f.leader())
				f.generateLoad(20, 8*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/again/x", 400, 2) })
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
	old := &fleetstate.Snapshot{Version: 1, NewestReceivedVersion: 1}
	require.Zero(t, age.update(at(1000), at(900), old))
	require.Equal(t, int64(at(900)), age.currentAt.Load())
	for newest := ids.Version(2); newest < 5; newest++ {
		staged := &fleetstate.Snapshot{Version: 1, NewestReceivedVersion: newest}
		require.Zero(t, age.update(at(1000+100*int(newest)), at(1000+100*int(newest)), staged))
	}
	require.EqualValues(t, 2, age.update(at(1701), at(1700), &fleetstate.Snapshot{Version: 1, NewestReceivedVersion: 5}))
	require.Equal(t, int64(at(900)), age.currentAt.Load())
	require.Zero(t, age.update(at(1800), at(1800), &fleetstate.Snapshot{Version: 2, NewestReceivedVersion: 5}))
	require.Equal(t, int64(at(1200)), age.currentAt.Load(), "as of when the second was seen")
	require.Zero(t, age.update(at(1900), at(1900), &fleetstate.Snapshot{Version: 5, NewestReceivedVersion: 5}))
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
		{"never confirmed, and cut off", 0, long, coordination.Reachability{Unreachable: true}, false},
		{"confirmed, and the feed lags", old, 500 * time.Millisecond, coordination.Reachability{}, true},
		{"cut off just now", old, 500 * time.Millisecond, coordination.Reachability{Unreachable: true}, false},
		{"nothing is known yet", old, 4 * time.Second, coordination.Reachability{}, false},
		{"the primary is silent for a moment", old, 4 * time.Second, coordination.Reachability{ReachableSince: ago(2 * time.Second)}, false},
		{"the primary is silent", old, 4 * time.Second, coordination.Reachability{ReachableSince: ago(3 * time.Second)}, true},
		{"starved", old, 4 * time.Second, coordination.Reachability{StarvedAt: ago(time.Second)}, true},
		{"starved, and cut off", old, 4 * time.Second, coordination.Reachability{StarvedAt: ago(time.Second), Unreachable: true}, false},
		{"starved long ago", old, 4 * time.Second, coordination.Reachability{StarvedAt: ago(3 * time.Second)}, false},
	} {
		require.Equal(t, row.want, coreReachable(now, row.currentAt, row.sinceConfirmed, row.primary), row.name)
	}
}
