// Tests of how configurations are staged at the coordination service (the core) and become current on the
// nodes, and of their effect on requests.

package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

// currentOnAllNodes reports whether every running node uses the version.
func (f *fleet) currentOnAllNodes(version ids.Version) bool {
	for _, node := range f.runningNodes() {
		if node.view.Current().Version != version {
			return false
		}
	}
	return true
}

// newestConfiguration returns the newest configuration that the core has, staged or current.
func (f *fleet) newestConfiguration(t *testing.T) fleetstate.VersionedText {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	node := f.runningNodes()[0]
	got, _, err := fleetstate.ReadNewest(ctx, node.agent.Caller(), node.Directory())
	require.NoError(t, err)
	return got
}

// TestPutConfiguration: a version gets the number that the caller requests, even if numbers are skipped, or
// the next number if the caller requests 0. A version based on an outdated one, or with a number that is not
// above the newest, is rejected. An operation that is repeated returns its first outcome, even after later
// operations. ReadNewest returns a new version immediately, and the outcome of an operation can be queried.
func TestPutConfiguration(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 71, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		node := f.nodes[0]
		put := func(op ids.OpID, base, next ids.Version, text string) (ids.Version, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			return fleetstate.PutConfiguration(ctx, node.agent.Caller(), node.Directory(), op, base, next, []byte(text))
		}
		outcome := func(op ids.OpID, base ids.Version) (ids.Version, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			return fleetstate.QueryOutcome(ctx, node.agent.Caller(), node.Directory(), op, fleetstate.OutcomeQuery{Base: base})
		}
		require.True(t, f.waitUntil(3*time.Second, func() bool { return f.currentOnAllNodes(1) }))
		v, err := put("seven", 1, 7, `{"zones":["seven"]}`)
		require.NoError(t, err)
		require.EqualValues(t, 7, v)
		require.Equal(t, fleetstate.VersionedText{
			Version: 7,
			Text:    []byte(`{"zones":["seven"]}`),
		}, f.newestConfiguration(t), "a version can be read as soon as it was put")
		_, err = put("stale", 1, 9, `{}`)
		require.True(t, failure.Is(err, failure.Stale), "%v", err)
		for _, low := range []ids.Version{3, 7} {
			_, err = put(ids.OpID(fmt.Sprint("low", low)), 7, low, `{}`)
			require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
		}
		v, err = put("twelve", 7, 12, `{"zones":["twelve"]}`)
		require.NoError(t, err)
		require.EqualValues(t, 12, v)
		v, err = put("seven", 1, 7, `{"zones":["seven"]}`)
		require.NoError(t, err, "the operation is repeated")
		require.EqualValues(t, 7, v)
		v, err = put("plain", 12, 0, `{"zones":["thirteen"]}`)
		require.NoError(t, err)
		require.EqualValues(t, 13, v)
		require.Equal(t, `{"zones":["thirteen"]}`, string(f.newestConfiguration(t).Text))
		_, err = put("stale", 1, 9, `{}`)
		require.True(t, failure.Is(err, failure.Stale), "a repeated operation is rejected again")
		v, err = outcome("twelve", 7)
		require.NoError(t, err)
		require.EqualValues(t, 12, v)
		_, err = outcome("never", 7)
		require.True(t, failure.Is(err, failure.Stale))
		require.True(t, f.waitUntil(3*time.Second, func() bool { return f.currentOnAllNodes(13) }))
	})
}

// TestLargeConfigurationIsCompressed: the encoded state of a node, which its peers get, contains a large
// configuration in less than a fifth of its size. The current text and the text that is read back are
// identical to it byte for byte.
func TestLargeConfigurationIsCompressed(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 74, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		require.True(t, f.waitUntil(3*time.Second, func() bool { return f.currentOnAllNodes(1) }))
		routes := defaultRoutes()
		for i := range 1400 {
			routes = append(routes, fleetstate.Route{
				Name:    fmt.Sprint("x", i),
				Host:    fmt.Sprintf("h%d.example", i),
				Prefix:  "/",
				Service: "svc",
			})
		}
		text := encodeConfiguration(routes, fleetstate.Service{Name: "svc", Concurrency: 16})
		require.NoError(t, f.putConfiguration("large", 1, 2, text))
		require.True(t, f.waitUntil(3*time.Second, func() bool { return f.currentOnAllNodes(2) }))
		require.Equal(t, text, f.newestConfiguration(t).Text)
		for _, node := range f.nodes {
			require.Equal(t, text, node.view.Current().Text)
			require.Less(t, len(node.view.Snapshot()), len(text)/5)
		}
	})
}

// TestReadNewestReturnsStagedVersion: while one node is frozen, a version is only staged. ReadNewest already
// returns it, although the nodes still use the older one.
func TestReadNewestReturnsStagedVersion(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 72, 3, platform, defaultConfiguration(), nil)
		defer f.close()
		f.setFrozen(2, true)
		require.NoError(t, f.putConfiguration("two", 1, 2, defaultConfiguration()))
		require.EqualValues(t, 2, f.newestConfiguration(t).Version)
		require.EqualValues(t, 1, f.nodes[0].view.Current().Version, "version 2 is only staged")
		f.setFrozen(2, false)
		require.True(t, f.waitUntil(3*time.Second, func() bool { return f.currentOnAllNodes(2) }))
	})
}

// TestCurrentVersionNeverDecreases: new versions are put while leaders lose power, nodes are partitioned
// from the core and get updates from their peers, and nodes restart. The current version of a node process
// never decreases, a version number has the same text on all nodes, and in the end all nodes have the newest
// version.
func TestCurrentVersionNeverDecreases(t *testing.T) {
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, seed, 3, platform, defaultConfiguration(), nil)
		defer f.close()
		var mu sync.Mutex
		texts := map[ids.Version]string{}
		var violations []string
		done := make(chan bool)
		stop := sync.OnceFunc(func() { close(done) })
		defer stop()
		f.wg.Go(func() {
			last := map[*Node]ids.Version{}
			for {
				mu.Lock()
				for _, node := range f.runningNodes() {
					current := node.view.Current()
					if current.Version < last[node.Node] {
						violations = append(violations, fmt.Sprintf("%s: version changed from %d to %d", node.ip, last[node.Node], current.Version))
					}
					if previous, ok := texts[current.Version]; ok && previous != string(current.Text) {
						violations = append(violations, fmt.Sprintf("version %d has two texts", current.Version))
					}
					texts[current.Version], last[node.Node] = string(current.Text), current.Version
				}
				mu.Unlock()
				select {
				case <-done:
					return
				case <-host.NewTimer(3 * time.Millisecond).C:
				}
			}
		})
		version := ids.Version(1)
		for i := range 8 {
			faulty := (int(seed) + i) % 3
			faultyIPs := []string{nodeIP(faulty)}
			switch (int(seed) + i) % 4 {
			case 0:
				if leader := f.leader(); leader != "" {
					f.powerOffCore(leader)
				}
			case 1:
				f.world.Partition(faultyIPs, coreIPs, true)
			case 2:
				f.setFrozen(faulty, true)
			case 3:
				f.killNode(faulty)
			}
			next := version + ids.Version(1+i%3)
			var err error
			f.waitUntil(20*time.Second, func() bool {
				err = f.putConfigurationVia(
					f.nodes[(faulty+1)%3],
					ids.OpID(fmt.Sprint("op", i)),
					version,
					next,
					encodeConfiguration(append(defaultRoutes(), fleetstate.Route{
						Name:    fmt.Sprint("x", next),
						Host:    "x",
						Prefix:  "/",
						Service: "svc",
					}), fleetstate.Service{Name: "svc"}),
				)
				return err == nil
			})
			require.NoError(t, err)
			version = next
			time.Sleep(2 * time.Second)
			f.world.Partition(faultyIPs, coreIPs, false)
			f.setFrozen(faulty, false)
			if !f.nodes[faulty].running {
				f.startNode(faulty)
			}
			for _, core := range coreIPs {
				if !f.coreRunning(core) {
					f.startCore(core)
				}
			}
			time.Sleep(2 * time.Second)
		}
		require.True(t, f.waitUntil(10*time.Second, func() bool { return f.currentOnAllNodes(version) }))
		stop()
		mu.Lock()
		defer mu.Unlock()
		require.Empty(t, violations)
	})
}

// TestRunningRequestKeepsItsRoute: a request keeps the route and the service that it started with, although
// the route is moved to another service or removed meanwhile, and it is resumed according to the old route.
// A later request follows the new configuration.
func TestRunningRequestKeepsItsRoute(t *testing.T) {
	for _, removed := range []bool{false, true} {
		t.Run(fmt.Sprint("removed-", removed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(append(prefillAndDecodeWorkers("svc", 2, 2), prefillAndDecodeWorkers("other", 2, 2)...)...)
				f := startFleet(t, 73, 2, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 10 })
				defer f.close()
				earlyResult := make(chan *requestResult, 1)
				f.wg.Go(func() { earlyResult <- f.send(f.nodes[0], f.newRequest("long", "/sresume/x", 400, 150)) })
				time.Sleep(500 * time.Millisecond)
				routes := defaultRoutes()
				// The route of /sresume/ is the last one.
				routes[3].Service, routes[3].Resumable = "other", false
				if removed {
					routes = routes[:3]
				}
				require.NoError(
					t,
					f.putConfiguration(
						"two",
						1,
						2,
						encodeConfiguration(routes, fleetstate.Service{Name: "svc"}, fleetstate.Service{Name: "other"}),
					),
				)
				require.True(t, f.waitUntil(2*time.Second, func() bool { return f.currentOnAllNodes(2) }))
				lateResult := f.send(f.nodes[0], f.newRequest("late", "/sresume/x", 400, 3))
				for _, call := range platform.recordedCalls() {
					if call.Kind == "emit" && call.RequestID == "long" {
						// A worker ID is the worker's name and its incarnation, such as svc-decode-0.1.
						platform.restartWorker(string(call.Worker[:len(call.Worker)-2]))
					}
				}
				result := <-earlyResult
				require.NoError(t, result.err)
				require.Empty(t, checkResponses([]*requestResult{result}))
				decodes := 0
				for _, call := range platform.recordedCalls() {
					if call.Kind == "emit" && call.RequestID == "long" {
						require.Contains(t, string(call.Worker), "svc")
						decodes++
					}
					if call.RequestID == "late" {
						require.Contains(t, string(call.Worker), "other")
					}
				}
				require.Equal(t, 2, decodes)
				if removed {
					require.Equal(t, 404, lateResult.err.(*RejectedError).Code)
				} else {
					require.NoError(t, lateResult.err)
				}
			})
		})
	}
}

// TestAddedAndRemovedRoutes: every node finds an added route and no longer finds a removed one, and the
// longest matching prefix wins. A request without a route is rejected with 404.
func TestAddedAndRemovedRoutes(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(append(prefillAndDecodeWorkers("svc", 2, 2), prefillAndDecodeWorkers("other", 2, 2)...)...)
		f := startFleet(t, 74, 3, platform, defaultConfiguration(), nil)
		defer f.close()
		// It returns for each node the first three letters of the service that served the request, or 404.
		serviceOrStatusPerNode := func(id, path string) []string {
			var out []string
			for _, node := range f.nodes {
				result := f.send(node, f.newRequest(id+node.ip, path, 400, 2))
				if rejected, ok := result.err.(*RejectedError); ok {
					require.Equal(t, 404, rejected.Code)
					out = append(out, "404")
					continue
				}
				require.NoError(t, result.err)
				for _, call := range platform.recordedCalls() {
					if call.Kind == "emit" && call.RequestID == result.ID {
						out = append(out, string(call.Worker[:3]))
					}
				}
			}
			return out
		}
		require.Equal(t, []string{"404", "404", "404"}, serviceOrStatusPerNode("a", "/new/x"))
		require.Equal(t, []string{"svc", "svc", "svc"}, serviceOrStatusPerNode("b", "/once/deep/x"))
		routes := append(defaultRoutes()[1:], fleetstate.Route{
			Name:            "new",
			Host:            routeHost,
			Prefix:          "/new/",
			Service:         "svc",
			Disaggregated:   true,
			MaxAttempts:     1,
			DeadlineMs:      3000,
			LatencyTargetMs: 100,
		},
			fleetstate.Route{
				Name:            "deep",
				Host:            routeHost,
				Prefix:          "/again/deep/",
				Service:         "other",
				Disaggregated:   true,
				MaxAttempts:     1,
				DeadlineMs:      3000,
				LatencyTargetMs: 100,
			})
		require.NoError(
			t,
			f.putConfiguration("two", 1, 2, encodeConfiguration(routes, fleetstate.Service{Name: "svc"}, fleetstate.Service{Name: "other"})),
		)
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.currentOnAllNodes(2) }))
		require.Equal(t, []string{"svc", "svc", "svc"}, serviceOrStatusPerNode("c", "/new/x"))
		require.Equal(t, []string{"404", "404", "404"}, serviceOrStatusPerNode("d", "/once/x"))
		require.Equal(t, []string{"svc", "svc", "svc"}, serviceOrStatusPerNode("e", "/again/x"))
		require.Equal(t, []string{"oth", "oth", "oth"}, serviceOrStatusPerNode("g", "/again/deep/x"))
	})
}

// TestTrafficSplitByWeight: a route's requests are divided among its services by weight. The request ID
// determines the service, so that all attempts with one ID reach the same service, on whichever node.
func TestTrafficSplitByWeight(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(append(prefillAndDecodeWorkers("svc", 2, 3), prefillAndDecodeWorkers("other", 2, 3)...)...)
		split := fleetstate.Route{
			Name:   "r",
			Host:   routeHost,
			Prefix: "/once/",
			Split: []fleetstate.WeightedService{
				{Service: "svc", Weight: 3},
				{Service: "other", Weight: 1},
				{Service: "svc", Weight: 0},
			},
			Disaggregated:   true,
			MaxAttempts:     2,
			DeadlineMs:      4000,
			LatencyTargetMs: 400,
		}
		f := startFleet(
			t,
			75,
			2,
			platform,
			encodeConfiguration([]fleetstate.Route{split}, fleetstate.Service{Name: "svc"}, fleetstate.Service{Name: "other"}),
			nil,
		)
		defer f.close()
		results := f.generateLoad(80, 5*time.Second, func(i int) *Request {
			return f.newRequest(fmt.Sprint("try-", i/2), "/once/x", 200, 2)
		})
		serviceOf := map[string]string{}
		count := map[string]int{}
		for _, call := range platform.recordedCalls() {
			if call.Kind == "emit" {
				service := string(call.Worker[:3]) // the first letters of the worker's service
				if previous, ok := serviceOf[call.RequestID]; ok {
					require.Equal(t, previous, service, call.RequestID)
				}
				serviceOf[call.RequestID] = service
				count[service]++
			}
		}
		require.InDelta(t, 0.75, float64(count["svc"])/float64(len(results)), 0.08)
	})
}

// TestReadinessWithoutCore: nodes that lose the core and the platform's list of workers after they were ready
// continue to serve. A node that starts in this situation, with neither a configuration nor workers, is not
// ready and rejects requests with 503.
func TestReadinessWithoutCore(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 76, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		for _, ip := range coreIPs {
			f.powerOffCore(ip)
		}
		platform.withLock(func() { platform.listFails = true })
		time.Sleep(10 * time.Second)
		results := f.generateLoad(20, 4*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 3) })
		for _, result := range results {
			require.NoError(t, result.err, "the node keeps its last list and configuration")
		}
		f.killNode(0)
		f.killNode(1)
		node := f.startNode(0)
		time.Sleep(2 * time.Second)
		ready, reason := node.Ready()
		require.False(t, ready)
		require.NotEmpty(t, reason)
		result := f.send(node, f.newRequest("late", "/once/x", 400, 3))
		require.Equal(t, 503, result.err.(*RejectedError).Code)
	})
}

// TestUnknownRouteWithOutdatedConfiguration: a node that is partitioned from the core can't know whether a newer
// version has a route. Once its configuration may be outdated, it responds to an unknown route with 503 and not
// with 404, so that callers retry. After the partition ends, it serves a route that was added meanwhile, and
// responds with 404 to one that doesn't exist.
func TestUnknownRouteWithOutdatedConfiguration(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 76, 3, platform, defaultConfiguration(), nil)
		defer f.close()
		partitioned := f.nodes[2]
		status := func(id, path string) int {
			result := f.send(partitioned, f.newRequest(id, path, 400, 2))
			var rejected *RejectedError
			if errors.As(result.err, &rejected) {
				return rejected.Code
			}
			require.NoError(t, result.err)
			return http.StatusOK
		}
		require.Equal(t, http.StatusNotFound, status("a", "/new/x"))
		peers := append([]string{f.nodes[0].ip, f.nodes[1].ip}, coreIPs...)
		f.world.Partition([]string{partitioned.ip}, peers, true)
		time.Sleep(time.Second)
		routes := append(defaultRoutes(), fleetstate.Route{
			Name:            "new",
			Host:            routeHost,
			Prefix:          "/new/",
			Service:         "svc",
			Disaggregated:   true,
			MaxAttempts:     1,
			DeadlineMs:      3000,
			LatencyTargetMs: 100,
		})
		require.NoError(t, f.putConfiguration("two", 1, 2, encodeConfiguration(routes, fleetstate.Service{Name: "svc"})))
		time.Sleep(caughtUpMaxAge)
		require.Equal(t, http.StatusServiceUnavailable, status("b", "/new/x"))
		require.Equal(t, http.StatusServiceUnavailable, status("c", "/none/x"))
		require.Equal(t, http.StatusOK, status("d", "/again/x"), "known routes are still served")
		f.world.Partition([]string{partitioned.ip}, peers, false)
		require.True(t, f.waitUntil(5*time.Second, func() bool { return f.currentOnAllNodes(2) }))
		require.True(t, f.waitUntil(5*time.Second, func() bool { return partitioned.agent.CaughtUp(caughtUpMaxAge) }))
		require.Equal(t, http.StatusOK, status("e", "/new/x"))
		require.Equal(t, http.StatusNotFound, status("g", "/none/x"))
	})
}
