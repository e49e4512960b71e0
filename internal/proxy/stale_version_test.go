// Tests of nodes that get configuration versions late, or many at once.

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

// largeConfiguration is the default configuration with additional routes.
func largeConfiguration(extraRoutes, deadlineMs int) []byte {
	routes := defaultRoutes()
	for i := range extraRoutes {
		routes = append(routes, fleetstate.Route{
			Name: fmt.Sprint("x", i), Host: fmt.Sprintf("h%d.example", i), Prefix: "/", Service: "svc", DeadlineMs: deadlineMs,
		})
	}
	return encodeConfiguration(routes, fleetstate.Service{Name: "svc", Concurrency: 16, RoleChangeMs: 1000})
}

// TestSupersededVersionsAreNotParsed: a node is frozen while 39 new versions are put. It then parses at most two
// of them, and not all those that were superseded.
func TestSupersededVersionsAreNotParsed(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const versions = 40
		var parsed [2]atomic.Int64
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 75, 2, platform, defaultConfiguration(), func(o *Options) {
			count := &parsed[0]
			if o.Name == "n1" {
				count = &parsed[1]
			}
			o.ParseConfiguration = func(text []byte) (*fleetstate.Configuration, error) {
				count.Add(1)
				return fleetstate.ParseJSON(text)
			}
		})
		defer f.close()
		f.setFrozen(1, true)
		before := parsed[1].Load()
		for version := ids.Version(1); version < versions; version++ {
			require.NoError(t, f.putConfiguration(ids.OpID(fmt.Sprint("storm", version)), version, version+1, largeConfiguration(200, 3000+int(version))))
		}
		f.setFrozen(1, false)
		require.True(t, f.waitUntil(5*time.Second, func() bool { return f.currentOnAllNodes(versions) }))
		require.LessOrEqual(t, parsed[1].Load()-before, int64(2))
	})
}

// rejectedStale reports whether a request was rejected with 503, the status with which a node rejects requests
// while its configuration may be outdated.
func rejectedStale(result *requestResult) bool {
	rejected, ok := result.err.(*RejectedError)
	return ok && rejected.Code == http.StatusServiceUnavailable
}

// TestOutdatedNodeRejectsRequests: a node takes 6 s to apply a version, which must be current on all nodes
// after 2 s. From then on, the node serves no request with the older version: it rejects requests and is not
// ready until it has applied the new one. The other node serves all requests.
func TestOutdatedNodeRejectsRequests(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const applying = 6 * time.Second
		platform := newFakePlatform(append(prefillAndDecodeWorkers("svc", 2, 2), prefillAndDecodeWorkers("other", 2, 2)...)...)
		f := startFleet(t, 76, 2, platform, defaultConfiguration(), func(o *Options) {
			name := o.Name
			o.ParseConfiguration = func(text []byte) (*fleetstate.Configuration, error) {
				if name == "n1" && strings.Contains(string(text), "other") {
					time.Sleep(applying)
				}
				return fleetstate.ParseJSON(text)
			}
		})
		defer f.close()
		routes := defaultRoutes()
		routes[0].Service = "other"
		putAt := time.Now()
		require.NoError(t, f.putConfiguration("two", 1, 2, encodeConfiguration(routes, fleetstate.Service{Name: "svc"}, fleetstate.Service{Name: "other"})))
		for i := 0; time.Since(putAt) < applying+2*time.Second; i++ {
			mustBeCurrent := time.Since(putAt) > 2*time.Second
			for _, node := range f.nodes {
				result := f.send(node, f.newRequest(fmt.Sprint(node.ip, "-", i), "/once/x", 400, 2))
				if node == f.nodes[0] || time.Since(putAt) > applying+time.Second {
					require.NoError(t, result.err, "after %v", time.Since(putAt))
				}
				for _, call := range platform.recordedCalls() {
					if mustBeCurrent && call.RequestID == result.ID {
						require.Contains(t, string(call.Worker), "other", "after %v", time.Since(putAt))
					}
				}
				if ready, _ := node.Ready(); mustBeCurrent && node == f.nodes[1] {
					require.Equal(t, ready, !rejectedStale(result), "after %v", time.Since(putAt))
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestNodesStartedAfterPowerLossServeNoOlderVersion: all machines lose power right after a version was
// acknowledged. No restarted node is ready with an older version.
func TestNodesStartedAfterPowerLossServeNoOlderVersion(t *testing.T) {
	forEachSeed(t, 5, func(t *testing.T, seed uint64) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, seed, 4, platform, defaultConfiguration(), nil)
		defer f.close()
		require.NoError(t, f.putConfiguration("two", 1, 2, largeConfiguration(20, 3000)))
		for i, node := range f.nodes {
			f.world.Machine(node.ip).PowerOff()
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
			allReady := true
			for _, node := range f.runningNodes() {
				ready, _ := node.Ready()
				if ready {
					require.EqualValues(t, 2, node.view.Current().Version, "%s is ready", node.ip)
				}
				allReady = allReady && ready
			}
			return allReady
		}))
	})
}

// TestCoreFailureCausesNoRejections: while the core (the coordination service) fails or the nodes cannot reach
// it, nodes are ready, serve the version that they have and reject no request as outdated.
func TestCoreFailureCausesNoRejections(t *testing.T) {
	for name, fault := range map[string]func(f *fleet, leader string){
		"power":  func(f *fleet, leader string) { f.powerOffCore(leader) },
		"frozen": func(f *fleet, leader string) { f.world.Machine(leader).Freeze(true) },
		"partitioned from the other cores": func(f *fleet, leader string) {
			f.world.Partition([]string{leader}, coreIPs, true)
		},
		"power of all cores": func(f *fleet, _ string) {
			for _, ip := range coreIPs {
				f.powerOffCore(ip)
			}
		},
		"nodes partitioned from the core": func(f *fleet, _ string) {
			f.world.Partition([]string{nodeIP(0), nodeIP(1), nodeIP(2)}, coreIPs, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 5, func(t *testing.T, seed uint64) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
				f := startFleet(t, seed, 3, platform, defaultConfiguration(), nil)
				defer f.close()
				fault(f, f.leader())
				f.generateLoad(20, 8*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/again/x", 400, 2) })
				for _, node := range f.nodes {
					require.Zero(t, node.counts.RejectedStale.Load(), node.ip)
					ready, reason := node.Ready()
					require.True(t, ready, reason)
				}
			})
		})
	}
}

// TestPreparedVersionActivatedWithoutCommit: if the core's commit of an acknowledged version is late, update
// returns that version, so that the node makes it current by itself. currentAt follows the versions that are
// current.
func TestPreparedVersionActivatedWithoutCommit(t *testing.T) {
	var age versionAge
	tickAt := func(ms int) ids.Tick { return ids.Tick(time.Duration(ms) * time.Millisecond) }
	snapshot := &fleetstate.Snapshot{Version: 1, NewestReceivedVersion: 1}
	require.Zero(t, age.update(tickAt(1000), tickAt(900), snapshot))
	require.Equal(t, int64(tickAt(900)), age.currentAt.Load())
	for newest := ids.Version(2); newest < 5; newest++ {
		staged := &fleetstate.Snapshot{Version: 1, NewestReceivedVersion: newest}
		require.Zero(t, age.update(tickAt(1000+100*int(newest)), tickAt(1000+100*int(newest)), staged))
	}
	require.EqualValues(t, 2, age.update(tickAt(1701), tickAt(1700), &fleetstate.Snapshot{Version: 1, NewestReceivedVersion: 5}))
	require.Equal(t, int64(tickAt(900)), age.currentAt.Load())
	require.Zero(t, age.update(tickAt(1800), tickAt(1800), &fleetstate.Snapshot{Version: 2, NewestReceivedVersion: 5}))
	require.Equal(t, int64(tickAt(1200)), age.currentAt.Load(), "the time at which the second version was seen")
	require.Zero(t, age.update(tickAt(1900), tickAt(1900), &fleetstate.Snapshot{Version: 5, NewestReceivedVersion: 5}))
	require.Equal(t, int64(tickAt(1900)), age.currentAt.Load())
}

// TestCoreReachable: coreReachable decides whether a node with an outdated version rejects requests, because the
// core can be reached, or serves them, because it can't.
func TestCoreReachable(t *testing.T) {
	const now, anHour = ids.Tick(100 * time.Second), time.Hour
	ago := func(d time.Duration) ids.Tick { return now.Add(-d) }
	lastCurrentAt := ago(4 * time.Second)
	for _, test := range []struct {
		name           string
		currentAt      ids.Tick
		sinceConfirmed time.Duration
		primary        coordination.Reachability
		want           bool
	}{
		{"never confirmed since the start", 0, anHour, coordination.Reachability{}, true},
		{"never confirmed, and partitioned", 0, anHour, coordination.Reachability{Unreachable: true}, false},
		{"confirmed, but updates are late", lastCurrentAt, 500 * time.Millisecond, coordination.Reachability{}, true},
		{"just partitioned", lastCurrentAt, 500 * time.Millisecond, coordination.Reachability{Unreachable: true}, false},
		{"no probe was sent yet", lastCurrentAt, 4 * time.Second, coordination.Reachability{}, false},
		{"the primary accepts probes for 2 s but confirms nothing", lastCurrentAt, 4 * time.Second, coordination.Reachability{ReachableSince: ago(2 * time.Second)}, false},
		{"the primary accepts probes for 3 s but confirms nothing", lastCurrentAt, 4 * time.Second, coordination.Reachability{ReachableSince: ago(3 * time.Second)}, true},
		{"short of processor time", lastCurrentAt, 4 * time.Second, coordination.Reachability{StarvedAt: ago(time.Second)}, true},
		{"short of processor time, and partitioned", lastCurrentAt, 4 * time.Second, coordination.Reachability{StarvedAt: ago(time.Second), Unreachable: true}, false},
		{"short of processor time 3 s ago", lastCurrentAt, 4 * time.Second, coordination.Reachability{StarvedAt: ago(3 * time.Second)}, false},
	} {
		require.Equal(t, test.want, coreReachable(now, test.currentAt, test.sinceConfirmed, test.primary), test.name)
	}
}
