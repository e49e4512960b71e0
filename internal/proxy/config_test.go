// Configurations: staged at the core, in force at the nodes.

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

func (f *fleet) currentOnAllNodes(v ids.Version) bool {
	for _, b := range f.runningNodes() {
		if b.view.Current().Version != v {
			return false
		}
	}
	return true
}

func (f *fleet) newest(t *testing.T) fleetstate.VersionedText {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	b := f.runningNodes()[0]
	got, _, err := fleetstate.Newest(ctx, b.agent.Caller(), b.Directory())
	require.NoError(t, err)
	return got
}

// TestPut: a version gets the number that it asks for, uneven steps included; one over a
// stale base, or with a number that is not above the newest, changes nothing; the same
// operation asked again gives its one outcome, also after others came. Newest reads what
// was staged at once, and the outcome of an operation can be asked for.
func TestPut(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 71, 2, y, defaultConfiguration(), nil)
		defer f.close()
		b := f.nodes[0]
		put := func(op ids.OpID, base, next ids.Version, text string) (ids.Version, error) {
			ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
			defer stop()
			return fleetstate.Put(ctx, b.agent.Caller(), b.Directory(), op, base, next, []byte(text))
		}
		outcome := func(op ids.OpID, base ids.Version) (ids.Version, error) {
			ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
			defer stop()
			return fleetstate.Outcome(ctx, b.agent.Caller(), b.Directory(), op, fleetstate.OutcomeQuery{Base: base})
		}
		require.True(t, f.waitUntil(3*time.Second, func() bool { return f.currentOnAllNodes(1) }))
		v, err := put("seven", 1, 7, `{"zones":["seven"]}`)
		require.NoError(t, err)
		require.EqualValues(t, 7, v)
		require.Equal(t, fleetstate.VersionedText{
			Version: 7,
			Text:    []byte(`{"zones":["seven"]}`),
		}, f.newest(t), "staged or in force, at once")
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
		require.NoError(t, err, "asked again")
		require.EqualValues(t, 7, v)
		v, err = put("plain", 12, 0, `{"zones":["thirteen"]}`)
		require.NoError(t, err)
		require.EqualValues(t, 13, v)
		require.Equal(t, `{"zones":["thirteen"]}`, string(f.newest(t).Text))
		_, err = put("stale", 1, 9, `{}`)
		require.True(t, failure.Is(err, failure.Stale), "a refusal stays one")
		v, err = outcome("twelve", 7)
		require.NoError(t, err)
		require.EqualValues(t, 12, v)
		_, err = outcome("never", 7)
		require.True(t, failure.Is(err, failure.Stale))
		require.True(t, f.waitUntil(3*time.Second, func() bool { return f.currentOnAllNodes(13) }))
	})
}

// TestPutPacked: a large text is kept and sent on short, and is in force and read back byte
// for byte.
func TestPutPacked(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 74, 2, y, defaultConfiguration(), nil)
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
		require.Equal(t, text, f.newest(t).Text)
		for _, b := range f.nodes {
			require.Equal(t, text, b.view.Current().Text)
			require.Less(t, len(b.view.Snapshot()), len(text)/5)
		}
	})
}

// TestNewestReadsStaged: while a node is frozen and a version only staged, Newest gives it
// already, though the nodes still serve the older one.
func TestNewestReadsStaged(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 72, 3, y, defaultConfiguration(), nil)
		defer f.close()
		f.setFrozen(2, true)
		require.NoError(t, f.putConfiguration("two", 1, 2, defaultConfiguration()))
		require.EqualValues(t, 2, f.newest(t).Version)
		require.EqualValues(t, 1, f.nodes[0].view.Current().Version, "only staged yet")
		f.setFrozen(2, false)
		require.True(t, f.waitUntil(3*time.Second, func() bool { return f.currentOnAllNodes(2) }))
	})
}

// TestNeverBack: versions come while leaders lose power, nodes are cut off from the core
// and follow their peers, and nodes start anew: the version in force at a node never
// falls, the same number has the same text at all, and in the end all have the newest.
func TestNeverBack(t *testing.T) {
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, seed, 3, y, defaultConfiguration(), nil)
		defer f.close()
		var mu sync.Mutex
		texts := map[ids.Version]string{}
		var faults []string
		over := make(chan bool)
		halt := sync.OnceFunc(func() { close(over) })
		defer halt()
		f.wg.Go(func() {
			last := map[*Node]ids.Version{}
			for {
				mu.Lock()
				for _, b := range f.runningNodes() {
					s := b.view.Current()
					if s.Version < last[b.Node] {
						faults = append(faults, fmt.Sprintf("%s went from %d to %d", b.ip, last[b.Node], s.Version))
					}
					if previous, ok := texts[s.Version]; ok && previous != string(s.Text) {
						faults = append(faults, fmt.Sprintf("two texts of %d", s.Version))
					}
					texts[s.Version], last[b.Node] = string(s.Text), s.Version
				}
				mu.Unlock()
				select {
				case <-over:
					return
				case <-host.NewTimer(3 * time.Millisecond).C:
				}
			}
		})
		v := ids.Version(1)
		for i := range 8 {
			n := (int(seed) + i) % 3
			ip := []string{nodeIP(n)}
			switch (int(seed) + i) % 4 {
			case 0:
				if l := f.leader(); l != "" {
					f.powerOffCore(l)
				}
			case 1:
				f.world.Partition(ip, coreIPs, true)
			case 2:
				f.setFrozen(n, true)
			case 3:
				f.killNode(n)
			}
			next := v + ids.Version(1+i%3)
			var err error
			f.waitUntil(20*time.Second, func() bool {
				err = f.putConfigurationVia(
					f.nodes[(n+1)%3],
					ids.OpID(fmt.Sprint("op", i)),
					v,
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
			v = next
			time.Sleep(2 * time.Second)
			f.world.Partition(ip, coreIPs, false)
			f.setFrozen(n, false)
			if !f.nodes[n].running {
				f.startNode(n)
			}
			for _, core := range coreIPs {
				if f.cores[core] == nil {
					f.startCore(core)
				}
			}
			time.Sleep(2 * time.Second)
		}
		require.True(t, f.waitUntil(10*time.Second, func() bool { return f.currentOnAllNodes(v) }))
		halt()
		mu.Lock()
		defer mu.Unlock()
		require.Empty(t, faults)
	})
}

// TestKeepsRoute: a request keeps the route and the service that it began with, though the
// route goes elsewhere or is dropped meanwhile; it is taken up again by the old one's
// rules. A request that comes after goes by the new ones.
func TestKeepsRoute(t *testing.T) {
	for _, dropped := range []bool{false, true} {
		t.Run(fmt.Sprint("dropped-", dropped), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(append(prefillAndDecodeWorkers("svc", 2, 2), prefillAndDecodeWorkers("other", 2, 2)...)...)
				f := startFleet(t, 73, 2, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 10 })
				defer f.close()
				long := make(chan *requestResult, 1)
				f.wg.Go(func() { long <- f.send(f.nodes[0], f.newRequest("long", "/sresume/x", 400, 150)) })
				time.Sleep(500 * time.Millisecond)
				routes := defaultRoutes()
				routes[3].Service, routes[3].Resumable = "other", false
				if dropped {
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
				late := f.send(f.nodes[0], f.newRequest("late", "/sresume/x", 400, 3))
				for _, k := range y.recordedCalls() {
					if k.Kind == "emit" && k.RequestID == "long" {
						y.restartWorker(string(k.Worker[:len(k.Worker)-2]))
					}
				}
				a := <-long
				require.NoError(t, a.err)
				require.Empty(t, checkResponses([]*requestResult{a}))
				emits := 0
				for _, k := range y.recordedCalls() {
					if k.Kind == "emit" && k.RequestID == "long" {
						require.Contains(t, string(k.Worker), "svc")
						emits++
					}
					if k.RequestID == "late" {
						require.Contains(t, string(k.Worker), "other")
					}
				}
				require.Equal(t, 2, emits)
				if dropped {
					require.Equal(t, 404, late.err.(*RejectedError).Code)
				} else {
					require.NoError(t, late.err)
				}
			})
		})
	}
}

// TestRoutesComeAndGo: a route that is added is found at every node, one that is dropped
// is not, and the longest prefix wins; a request without a route never reaches a worker.
func TestRoutesComeAndGo(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(append(prefillAndDecodeWorkers("svc", 2, 2), prefillAndDecodeWorkers("other", 2, 2)...)...)
		f := startFleet(t, 74, 3, y, defaultConfiguration(), nil)
		defer f.close()
		try := func(id, path string) []string {
			var out []string
			for _, b := range f.nodes {
				a := f.send(b, f.newRequest(id+b.ip, path, 400, 2))
				if no, ok := a.err.(*RejectedError); ok {
					require.Equal(t, 404, no.Code)
					out = append(out, "404")
					continue
				}
				require.NoError(t, a.err)
				for _, k := range y.recordedCalls() {
					if k.Kind == "emit" && k.RequestID == a.ID {
						out = append(out, string(k.Worker[:3]))
					}
				}
			}
			return out
		}
		require.Equal(t, []string{"404", "404", "404"}, try("a", "/new/x"))
		require.Equal(t, []string{"svc", "svc", "svc"}, try("b", "/once/deep/x"))
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
		require.Equal(t, []string{"svc", "svc", "svc"}, try("c", "/new/x"))
		require.Equal(t, []string{"404", "404", "404"}, try("d", "/once/x"))
		require.Equal(t, []string{"svc", "svc", "svc"}, try("e", "/again/x"))
		require.Equal(t, []string{"oth", "oth", "oth"}, try("g", "/again/deep/x"))
	})
}

// TestSplit: a route's requests fall to its services by their weights, each by its id, so
// that the same try falls to the same service on every node.
func TestSplit(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(append(prefillAndDecodeWorkers("svc", 2, 3), prefillAndDecodeWorkers("other", 2, 3)...)...)
		split := fleetstate.Route{
			Name:   "r",
			Host:   routeHost,
			Prefix: "/once/",
			Split: []fleetstate.Share{
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
			y,
			encodeConfiguration([]fleetstate.Route{split}, fleetstate.Service{Name: "svc"}, fleetstate.Service{Name: "other"}),
			nil,
		)
		defer f.close()
		all := f.generateLoad(80, 5*time.Second, func(i int) *Request {
			return f.newRequest(fmt.Sprint("try-", i/2), "/once/x", 200, 2)
		})
		at := map[string]string{}
		count := map[string]int{}
		for _, k := range y.recordedCalls() {
			if k.Kind == "emit" {
				to := string(k.Worker[:3])
				if previous, ok := at[k.RequestID]; ok {
					require.Equal(t, previous, to, k.RequestID)
				}
				at[k.RequestID] = to
				count[to]++
			}
		}
		require.InDelta(t, 0.75, float64(count["svc"])/float64(len(all)), 0.08)
	})
}

// TestNotReady: a node without a configuration, or without a worker on its list, is not
// ready, and refuses without reaching any worker; a node that lost the core goes on.
func TestNotReady(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 76, 2, y, defaultConfiguration(), nil)
		defer f.close()
		for _, ip := range coreIPs {
			f.powerOffCore(ip)
		}
		y.withLock(func() { y.listFails = true })
		time.Sleep(10 * time.Second)
		all := f.generateLoad(20, 4*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 3) })
		for _, a := range all {
			require.NoError(t, a.err, "the last list and configuration are kept")
		}
		f.killNode(0)
		f.killNode(1)
		b := f.startNode(0)
		time.Sleep(2 * time.Second)
		ok, reason := b.Ready()
		require.False(t, ok)
		require.NotEmpty(t, reason)
		a := f.send(b, f.newRequest("late", "/once/x", 400, 3))
		require.Equal(t, 503, a.err.(*RejectedError).Code)
	})
}

// TestUnknownRouteWhileBehind: a node that is cut off from the core cannot tell whether a newer
// version has a route. Once it may be behind it says when to come back, and not that there is
// no such route; in touch again it serves a route that was added meanwhile, and is sure of one
// that there is not.
func TestUnknownRouteWhileBehind(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 76, 3, y, defaultConfiguration(), nil)
		defer f.close()
		cut := f.nodes[2]
		status := func(id, path string) int {
			a := f.send(cut, f.newRequest(id, path, 400, 2))
			var rejected *RejectedError
			if errors.As(a.err, &rejected) {
				return rejected.Code
			}
			require.NoError(t, a.err)
			return http.StatusOK
		}
		require.Equal(t, http.StatusNotFound, status("a", "/new/x"))
		peers := append([]string{f.nodes[0].ip, f.nodes[1].ip}, coreIPs...)
		f.world.Partition([]string{cut.ip}, peers, true)
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
		require.Equal(t, http.StatusOK, status("d", "/again/x"), "what it knows is served")
		f.world.Partition([]string{cut.ip}, peers, false)
		require.True(t, f.waitUntil(5*time.Second, func() bool { return f.currentOnAllNodes(2) }))
		require.True(t, f.waitUntil(5*time.Second, func() bool { return cut.agent.CaughtUp(caughtUpMaxAge) }))
		require.Equal(t, http.StatusOK, status("e", "/new/x"))
		require.Equal(t, http.StatusNotFound, status("g", "/none/x"))
	})
}
