// Tests of tenant keys on the nodes: which requests are accepted, which tenant the workers see, and what
// happens to requests whose key is removed.

package proxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

// tenantConfiguration returns a configuration as JSON with the default routes, a public route, and tenants with
// one key each. The key of amber is key-amber, and only amber has an urgency of its own, 0.
func tenantConfiguration(tenants ...string) []byte {
	configuration := &fleetstate.Configuration{
		Routes:   defaultRoutes(),
		Services: map[string]fleetstate.Service{"svc": {Name: "svc", Concurrency: 16, RoleChangeMs: 1000}},
		Tenants:  []fleetstate.Tenant{},
	}
	publicRoute := configuration.Routes[1]
	publicRoute.Name, publicRoute.Prefix, publicRoute.Public = "open", "/open/", true
	configuration.Routes = append(configuration.Routes, publicRoute)
	urgent := 0
	for _, name := range tenants {
		tenant := fleetstate.Tenant{Name: name, Keys: []string{"key-" + name}}
		if name == "amber" {
			tenant.Urgency = &urgent
		}
		configuration.Tenants = append(configuration.Tenants, tenant)
	}
	text, _ := json.Marshal(configuration)
	return text
}

// newTenantRequest returns a request with the key of a tenant.
func (f *fleet) newTenantRequest(id, path, tenant string) *Request {
	request := f.newRequest(id, path, 400, 3)
	request.Key = "key-" + tenant
	return request
}

// responseStatus returns the HTTP status that the caller gets: 200 for a complete response.
func responseStatus(t *testing.T, err error) int {
	t.Helper()
	var rejected *RejectedError
	var aborted *AbortedError
	switch {
	case errors.As(err, &rejected):
		return rejected.Code
	case errors.As(err, &aborted):
		return aborted.Code
	}
	require.NoError(t, err)
	return http.StatusOK
}

// callsOfRequest lists the prefills and decodes that workers received for a request.
func (p *fakePlatform) callsOfRequest(id string) []callRecord {
	var out []callRecord
	for _, call := range p.recordedCalls() {
		if call.RequestID == id && (call.Kind == "read" || call.Kind == "emit") {
			out = append(out, call)
		}
	}
	return out
}

// TestWorkersReceiveTenantWithoutKey: prefills, hedged prefills and decodes name the tenant, carry no key,
// and have the tenant's urgency in place of the route's.
func TestWorkersReceiveTenantWithoutKey(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, 78, 2, platform, tenantConfiguration("amber", "birch"), func(o *Options) { o.RetryAllowance = 40 })
		defer f.close()
		request := func(prefix string) func(i int) *Request {
			return func(i int) *Request {
				return f.newTenantRequest(fmt.Sprint(prefix, i), "/again/x", []string{"amber", "birch"}[i%2])
			}
		}
		f.generateLoad(40, 2*time.Second, request("warm"))
		platform.withLock(func() { platform.extraPrefillTime = map[string]time.Duration{"svc-prefill-0": 2 * time.Second} })
		results := f.generateLoad(40, 4*time.Second, request("r"))
		time.Sleep(4 * time.Second)
		hedges := int64(0)
		for _, node := range f.nodes {
			hedges += node.counts.Hedges.Load()
		}
		require.Positive(t, hedges)
		for _, result := range results {
			require.NoError(t, result.err)
			for _, call := range platform.callsOfRequest(result.ID) {
				require.Empty(t, call.Key)
				require.Equal(t, result.Key, "key-"+call.Tenant)
				if call.Tenant == "amber" {
					require.Equal(t, 0, call.Urgency)
				} else {
					require.Equal(t, 5, call.Urgency, "the urgency of the route")
				}
			}
		}
	})
}

// TestUnknownKeyRejected: a request without a known key is rejected with 401 and sent to no worker, except on a
// public route. On a public route, too, a known key sets the tenant.
func TestUnknownKeyRejected(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 79, 2, platform, tenantConfiguration("amber"), nil)
		defer f.close()
		require.Equal(t, http.StatusUnauthorized, responseStatus(t, f.send(f.nodes[0], f.newTenantRequest("a", "/once/x", "birch")).err))
		require.Equal(t, http.StatusUnauthorized, responseStatus(t, f.send(f.nodes[1], f.newRequest("b", "/stream/x", 400, 2)).err))
		for _, node := range f.nodes {
			require.EqualValues(t, 1, node.counts.Unauthenticated.Load())
		}
		require.Empty(t, platform.callsOfRequest("a"))
		require.Empty(t, platform.callsOfRequest("b"))
		require.NoError(t, f.send(f.nodes[0], f.newRequest("c", "/open/x", 400, 2)).err)
		require.NoError(t, f.send(f.nodes[0], f.newTenantRequest("d", "/open/x", "amber")).err)
		for _, call := range platform.callsOfRequest("c") {
			require.Empty(t, call.Tenant)
		}
		for _, call := range platform.callsOfRequest("d") {
			require.Equal(t, "amber", call.Tenant)
		}
	})
}

// TestUnknownKeyWithOutdatedConfiguration: a node whose configuration may be outdated can't know whether a newer
// version has a key. It responds with 503 and a time to retry after, and not with 401.
func TestUnknownKeyWithOutdatedConfiguration(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 80, 3, platform, tenantConfiguration("amber"), nil)
		defer f.close()
		partitioned := f.nodes[2]
		status := func(id, tenant string) int {
			return responseStatus(t, f.send(partitioned, f.newTenantRequest(id, "/again/x", tenant)).err)
		}
		require.Equal(t, http.StatusUnauthorized, status("a", "birch"))
		peers := append([]string{f.nodes[0].ip, f.nodes[1].ip}, coreIPs...)
		f.world.Partition([]string{partitioned.ip}, peers, true)
		time.Sleep(time.Second)
		require.NoError(t, f.putConfiguration("two", 1, 2, tenantConfiguration("amber", "birch")))
		time.Sleep(caughtUpMaxAge)
		result := f.send(partitioned, f.newTenantRequest("b", "/again/x", "birch"))
		require.Equal(t, http.StatusServiceUnavailable, responseStatus(t, result.err))
		require.Positive(t, result.err.(*RejectedError).RetryAfter)
		f.world.Partition([]string{partitioned.ip}, peers, false)
		require.True(t, f.waitUntil(5*time.Second, func() bool { return f.currentOnAllNodes(2) }))
		require.True(t, f.waitUntil(5*time.Second, func() bool { return partitioned.agent.CaughtUp(caughtUpMaxAge) }))
		require.Equal(t, http.StatusOK, status("c", "birch"))
		require.Equal(t, http.StatusUnauthorized, status("d", "cedar"))
	})
}

// TestRequestWithRemovedKeyIsNotRetried: the key of a request is removed while the request waits for its
// prefill, for a connection or for a worker that does not respond. The request is not sent again, and its
// caller gets 401 only if it was executed nowhere.
func TestRequestWithRemovedKeyIsNotRetried(t *testing.T) {
	const wait = 1500 * time.Millisecond
	for name, c := range map[string]struct {
		arrange func(platform *fakePlatform)
		decodes int
		status  int
	}{
		"prompt": {func(platform *fakePlatform) {
			platform.extraPrefillTime = map[string]time.Duration{"svc-prefill-0": wait, "svc-prefill-1": wait}
		}, 0, http.StatusUnauthorized},
		"connection": {func(platform *fakePlatform) {
			platform.unreachable = map[string]time.Duration{"svc-decode-0:90": wait, "svc-decode-1:90": wait, "svc-decode-2:90": wait}
		}, 0, http.StatusUnauthorized},
		"silence": {func(platform *fakePlatform) {
			platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
				if call.Kind == "emit" {
					return silentBeforeRun
				}
				return succeeds
			}
		}, 1, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
				f := startFleet(t, 81, 2, platform, tenantConfiguration("amber", "birch"), func(o *Options) { o.RetryAllowance = 40 })
				defer f.close()
				platform.withLock(func() { c.arrange(platform) })
				done := make(chan *requestResult, 1)
				f.wg.Go(func() { done <- f.send(f.nodes[0], f.newTenantRequest("r", "/again/x", "amber")) })
				time.Sleep(200 * time.Millisecond)
				require.NoError(t, f.putConfiguration("two", 1, 2, tenantConfiguration("birch")))
				require.True(t, f.waitUntil(500*time.Millisecond, func() bool { return f.currentOnAllNodes(2) }))
				platform.withLock(func() { platform.unreachable = nil })
				result := <-done
				require.Equal(t, c.status, responseStatus(t, result.err))
				decodes := 0
				for _, call := range platform.callsOfRequest("r") {
					if call.Kind == "emit" {
						decodes++
					}
				}
				require.Equal(t, c.decodes, decodes)
				require.EqualValues(t, 1, f.nodes[0].counts.Unauthenticated.Load())
				time.Sleep(2 * time.Second)
				require.Empty(t, leakedHandles(platform), "the KV cache of its prompt is freed")
			})
		})
	}
}

// TestRequestWithRemovedKeyIsNotHedged: a slow prefill is not hedged at a second worker once the key of its
// request has been removed.
func TestRequestWithRemovedKeyIsNotHedged(t *testing.T) {
	withTargetAtDeadline := func(tenants ...string) []byte {
		var configuration fleetstate.Configuration
		require.NoError(t, json.Unmarshal(tenantConfiguration(tenants...), &configuration))
		for i := range configuration.Routes {
			configuration.Routes[i].LatencyTargetMs = configuration.Routes[i].DeadlineMs
		}
		text, _ := json.Marshal(&configuration)
		return text
	}
	for _, removed := range []bool{false, true} {
		t.Run(fmt.Sprint("removed-", removed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
				f := startFleet(t, 83, 1, platform, withTargetAtDeadline("amber", "birch"), func(o *Options) {
					o.RetryAllowance, o.HedgeFactor = 40, 40
				})
				defer f.close()
				f.generateLoad(40, time.Second, func(i int) *Request { return f.newTenantRequest(fmt.Sprint("warm", i), "/again/x", "amber") })
				platform.withLock(func() {
					platform.extraPrefillTime = map[string]time.Duration{"svc-prefill-0": 3 * time.Second, "svc-prefill-1": 3 * time.Second}
				})
				f.wg.Go(func() { f.send(f.nodes[0], f.newTenantRequest("r", "/again/x", "amber")) })
				tenants := []string{"birch"}
				if !removed {
					tenants = []string{"amber", "birch"}
				}
				require.NoError(t, f.putConfiguration("two", 1, 2, withTargetAtDeadline(tenants...)))
				require.True(t, f.waitUntil(500*time.Millisecond, func() bool { return f.currentOnAllNodes(2) }))
				require.Len(t, platform.callsOfRequest("r"), 1)
				time.Sleep(2 * time.Second)
				if removed {
					require.Len(t, platform.callsOfRequest("r"), 1)
				} else {
					require.Len(t, platform.callsOfRequest("r"), 2)
				}
				time.Sleep(4 * time.Second)
			})
		})
	}
}

// TestRetryUsesNewTenantOfKey: a request that is retried after its key moved to another tenant names the
// new tenant.
func TestRetryUsesNewTenantOfKey(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		f := startFleet(t, 84, 2, platform, tenantConfiguration("amber"), func(o *Options) { o.RetryAllowance = 40 })
		defer f.close()
		platform.withLock(func() {
			silent := true
			platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
				if call.Kind != "emit" || !silent {
					return succeeds
				}
				silent = false
				return silentBeforeRun
			}
		})
		done := make(chan *requestResult, 1)
		f.wg.Go(func() { done <- f.send(f.nodes[0], f.newTenantRequest("r", "/again/x", "amber")) })
		time.Sleep(200 * time.Millisecond)
		moved := bytes.Replace(tenantConfiguration("amber"), []byte(`"name":"amber"`), []byte(`"name":"birch"`), 1)
		require.NoError(t, f.putConfiguration("two", 1, 2, moved))
		require.NoError(t, (<-done).err)
		var names []string
		for _, call := range platform.callsOfRequest("r") {
			if call.Kind == "emit" {
				names = append(names, call.Tenant)
			}
		}
		require.Equal(t, []string{"amber", "birch"}, names)
	})
}

// TestAddedKeyIsAccepted: while successive versions add keys, a request with an added key is accepted as soon
// as the version with that key is current on the node that gets the request.
func TestAddedKeyIsAccepted(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		names := []string{"amber"}
		f := startFleet(t, 82, 2, platform, tenantConfiguration(names...), nil)
		defer f.close()
		for i := range 10 {
			name := fmt.Sprint("tenant-", i)
			names = append(names, name)
			version := ids.Version(i + 1)
			require.NoError(t, f.putConfiguration(ids.OpID(name), version, version+1, tenantConfiguration(names...)))
			for j, node := range f.nodes {
				require.True(t, f.waitUntil(2*time.Second, func() bool { return node.view.Current().Version > version }))
				require.NoError(t, f.send(node, f.newTenantRequest(fmt.Sprint(name, "-", j), "/once/x", name)).err)
			}
		}
	})
}

// TestUrgencyClassesOfTenants: the urgency classes of a service, by which requests are rejected early, are the
// urgencies of the tenants that have one, and the route's urgency if there are other tenants or requests
// without a key.
func TestUrgencyClassesOfTenants(t *testing.T) {
	urgency := func(n int) *int { return &n }
	configuration := &fleetstate.Configuration{
		Routes: []fleetstate.Route{{Service: "closed", Urgency: 5}, {Service: "open", Urgency: 6, Public: true}},
		Tenants: []fleetstate.Tenant{
			{Name: "amber", Urgency: urgency(1)}, {Name: "birch", Urgency: urgency(1)}, {Name: "cedar", Urgency: urgency(3)},
		},
	}
	classes := func() map[string][]int { return urgencyClasses(&fleetstate.Snapshot{Configuration: configuration}) }
	require.Equal(t, map[string][]int{"closed": {3, 1}, "open": {6, 3, 1}}, classes())
	configuration.Tenants[1].Urgency = nil
	require.Equal(t, map[string][]int{"closed": {5, 3, 1}, "open": {6, 3, 1}}, classes())
	configuration.Tenants = nil
	require.Equal(t, map[string][]int{"closed": {5}, "open": {6}}, classes())
}
