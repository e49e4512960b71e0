// Keys of tenants at the nodes: who is let in, under whose name workers are asked, and what becomes
// of requests whose key is taken away.

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

// tenantPolicy has the usual routes, one that is public, and tenants with a key each: that of
// amber is key-amber.
func tenantPolicy(tenants ...string) []byte {
	p := &fleetstate.Configuration{
		Routes:   defaultRoutes(),
		Services: map[string]fleetstate.Service{"svc": {Name: "svc", Concurrency: 16, RoleChangeMs: 1000}},
		Tenants:  []fleetstate.Tenant{},
	}
	open := p.Routes[1]
	open.Name, open.Prefix, open.Public = "open", "/open/", true
	p.Routes = append(p.Routes, open)
	urgent := 0
	for _, name := range tenants {
		tenant := fleetstate.Tenant{Name: name, Keys: []string{"key-" + name}}
		if name == "amber" {
			tenant.Urgency = &urgent
		}
		p.Tenants = append(p.Tenants, tenant)
	}
	text, _ := json.Marshal(p)
	return text
}

// keyed is a request that bears a tenant's key.
func (f *fleet) keyed(id, path, tenant string) *Request {
	r := f.newRequest(id, path, 400, 3)
	r.Key = "key-" + tenant
	return r
}

// statusOf is what a caller learns: 200 for a whole answer.
func statusOf(t *testing.T, err error) int {
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

// callsOf lists what came to workers under an id.
func (p *fakePlatform) callsOf(id string) []callRecord {
	var out []callRecord
	for _, k := range p.recordedCalls() {
		if k.RequestID == id && (k.Kind == "read" || k.Kind == "emit") {
			out = append(out, k)
		}
	}
	return out
}

// TestTenantAtWorkers: reads, hedged reads and decodes name the tenant and bear no key, with the
// tenant's urgency in place of the route's.
func TestTenantAtWorkers(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, 78, 2, y, tenantPolicy("amber", "birch"), func(o *Options) { o.RetryAllowance = 40 })
		defer f.close()
		form := func(prefix string) func(i int) *Request {
			return func(i int) *Request {
				return f.keyed(fmt.Sprint(prefix, i), "/again/x", []string{"amber", "birch"}[i%2])
			}
		}
		f.generateLoad(40, 2*time.Second, form("warm"))
		y.withLock(func() { y.extraPrefillTime = map[string]time.Duration{"svc-prefill-0": 2 * time.Second} })
		all := f.generateLoad(40, 4*time.Second, form("r"))
		time.Sleep(4 * time.Second)
		hedges := int64(0)
		for _, b := range f.nodes {
			hedges += b.counts.Hedges.Load()
		}
		require.Positive(t, hedges)
		for _, a := range all {
			require.NoError(t, a.err)
			for _, k := range y.callsOf(a.ID) {
				require.Empty(t, k.Key)
				require.Equal(t, a.Key, "key-"+k.Tenant)
				if k.Tenant == "amber" {
					require.Equal(t, 0, k.Urgency)
				} else {
					require.Equal(t, 5, k.Urgency, "the route's own")
				}
			}
		}
	})
}

// TestUnknownKeyRejected: without a known key nothing reaches a worker, but on a public route; a
// known key names its tenant there too.
func TestUnknownKeyRejected(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 79, 2, y, tenantPolicy("amber"), nil)
		defer f.close()
		require.Equal(t, http.StatusUnauthorized, statusOf(t, f.send(f.nodes[0], f.keyed("a", "/once/x", "birch")).err))
		require.Equal(t, http.StatusUnauthorized, statusOf(t, f.send(f.nodes[1], f.newRequest("b", "/stream/x", 400, 2)).err))
		for _, b := range f.nodes {
			require.EqualValues(t, 1, b.counts.Unauthenticated.Load())
		}
		require.Empty(t, y.callsOf("a"))
		require.Empty(t, y.callsOf("b"))
		require.NoError(t, f.send(f.nodes[0], f.newRequest("c", "/open/x", 400, 2)).err)
		require.NoError(t, f.send(f.nodes[0], f.keyed("d", "/open/x", "amber")).err)
		for _, k := range y.callsOf("c") {
			require.Empty(t, k.Tenant)
		}
		for _, k := range y.callsOf("d") {
			require.Equal(t, "amber", k.Tenant)
		}
	})
}

// TestUnknownKeyWhileBehind: a node that may be behind cannot tell whether a newer version has a
// key: it says when to come back, and not that there is no such key.
func TestUnknownKeyWhileBehind(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 80, 3, y, tenantPolicy("amber"), nil)
		defer f.close()
		cut := f.nodes[2]
		status := func(id, tenant string) int { return statusOf(t, f.send(cut, f.keyed(id, "/again/x", tenant)).err) }
		require.Equal(t, http.StatusUnauthorized, status("a", "birch"))
		peers := append([]string{f.nodes[0].ip, f.nodes[1].ip}, coreIPs...)
		f.world.Partition([]string{cut.ip}, peers, true)
		time.Sleep(time.Second)
		require.NoError(t, f.putConfiguration("two", 1, 2, tenantPolicy("amber", "birch")))
		time.Sleep(caughtUpMaxAge)
		late := f.send(cut, f.keyed("b", "/again/x", "birch"))
		require.Equal(t, http.StatusServiceUnavailable, statusOf(t, late.err))
		require.Positive(t, late.err.(*RejectedError).RetryAfter)
		f.world.Partition([]string{cut.ip}, peers, false)
		require.True(t, f.waitUntil(5*time.Second, func() bool { return f.currentOnAllNodes(2) }))
		require.True(t, f.waitUntil(5*time.Second, func() bool { return cut.agent.CaughtUp(caughtUpMaxAge) }))
		require.Equal(t, http.StatusOK, status("c", "birch"))
		require.Equal(t, http.StatusUnauthorized, status("d", "cedar"))
	})
}

// TestDroppedKeyIsNotSentAgain: a request whose key is taken away while it waits for its prompt, for
// a connection or for a worker that says nothing is not sent any more; its caller learns that from
// the status only where it has run nowhere.
func TestDroppedKeyIsNotSentAgain(t *testing.T) {
	const wait = 1500 * time.Millisecond
	for name, waiting := range map[string]struct {
		arrange func(y *fakePlatform)
		emits   int
		status  int
	}{
		"prompt": {func(y *fakePlatform) {
			y.extraPrefillTime = map[string]time.Duration{"svc-prefill-0": wait, "svc-prefill-1": wait}
		}, 0, http.StatusUnauthorized},
		"connection": {func(y *fakePlatform) {
			y.unreachable = map[string]time.Duration{"svc-decode-0:90": wait, "svc-decode-1:90": wait, "svc-decode-2:90": wait}
		}, 0, http.StatusUnauthorized},
		"silence": {func(y *fakePlatform) {
			y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
				if k.Kind == "emit" {
					return silentBeforeRun
				}
				return succeeds
			}
		}, 1, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
				f := startFleet(t, 81, 2, y, tenantPolicy("amber", "birch"), func(o *Options) { o.RetryAllowance = 40 })
				defer f.close()
				y.withLock(func() { waiting.arrange(y) })
				ended := make(chan *requestResult, 1)
				f.wg.Go(func() { ended <- f.send(f.nodes[0], f.keyed("r", "/again/x", "amber")) })
				time.Sleep(200 * time.Millisecond)
				require.NoError(t, f.putConfiguration("two", 1, 2, tenantPolicy("birch")))
				require.True(t, f.waitUntil(500*time.Millisecond, func() bool { return f.currentOnAllNodes(2) }))
				y.withLock(func() { y.unreachable = nil })
				a := <-ended
				require.Equal(t, waiting.status, statusOf(t, a.err))
				emits := 0
				for _, k := range y.callsOf("r") {
					if k.Kind == "emit" {
						emits++
					}
				}
				require.Equal(t, waiting.emits, emits)
				require.EqualValues(t, 1, f.nodes[0].counts.Unauthenticated.Load())
				time.Sleep(2 * time.Second)
				require.Empty(t, leakedHandles(y), "the memory of its prompt is given back")
			})
		})
	}
}

// TestDroppedKeyIsNotHedged: a prompt that takes long is not read at a second worker besides once
// the key of its request has been taken away.
func TestDroppedKeyIsNotHedged(t *testing.T) {
	patient := func(tenants ...string) []byte {
		var p fleetstate.Configuration
		require.NoError(t, json.Unmarshal(tenantPolicy(tenants...), &p))
		for i := range p.Routes {
			p.Routes[i].LatencyTargetMs = p.Routes[i].DeadlineMs
		}
		text, _ := json.Marshal(&p)
		return text
	}
	for _, dropped := range []bool{false, true} {
		t.Run(fmt.Sprint("dropped-", dropped), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
				f := startFleet(t, 83, 1, y, patient("amber", "birch"), func(o *Options) {
					o.RetryAllowance, o.HedgeFactor = 40, 40
				})
				defer f.close()
				f.generateLoad(40, time.Second, func(i int) *Request { return f.keyed(fmt.Sprint("warm", i), "/again/x", "amber") })
				y.withLock(func() {
					y.extraPrefillTime = map[string]time.Duration{"svc-prefill-0": 3 * time.Second, "svc-prefill-1": 3 * time.Second}
				})
				f.wg.Go(func() { f.send(f.nodes[0], f.keyed("r", "/again/x", "amber")) })
				tenants := []string{"birch"}
				if !dropped {
					tenants = []string{"amber", "birch"}
				}
				require.NoError(t, f.putConfiguration("two", 1, 2, patient(tenants...)))
				require.True(t, f.waitUntil(500*time.Millisecond, func() bool { return f.currentOnAllNodes(2) }))
				require.Len(t, y.callsOf("r"), 1)
				time.Sleep(2 * time.Second)
				if dropped {
					require.Len(t, y.callsOf("r"), 1)
				} else {
					require.Len(t, y.callsOf("r"), 2)
				}
				time.Sleep(4 * time.Second)
			})
		})
	}
}

// TestMovedKeyNamesItsNewTenant: a request that is sent again after its key went to another tenant
// names that one.
func TestMovedKeyNamesItsNewTenant(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		f := startFleet(t, 84, 2, y, tenantPolicy("amber"), func(o *Options) { o.RetryAllowance = 40 })
		defer f.close()
		y.withLock(func() {
			silent := true
			y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
				if k.Kind != "emit" || !silent {
					return succeeds
				}
				silent = false
				return silentBeforeRun
			}
		})
		ended := make(chan *requestResult, 1)
		f.wg.Go(func() { ended <- f.send(f.nodes[0], f.keyed("r", "/again/x", "amber")) })
		time.Sleep(200 * time.Millisecond)
		moved := bytes.Replace(tenantPolicy("amber"), []byte(`"name":"amber"`), []byte(`"name":"birch"`), 1)
		require.NoError(t, f.putConfiguration("two", 1, 2, moved))
		require.NoError(t, (<-ended).err)
		var names []string
		for _, k := range y.callsOf("r") {
			if k.Kind == "emit" {
				names = append(names, k.Tenant)
			}
		}
		require.Equal(t, []string{"amber", "birch"}, names)
	})
}

// TestAddedKeyIsNotMissed: while versions that add keys come one after the other, a request with a
// key is never rejected for it once its version is in force at the node that takes the request.
func TestAddedKeyIsNotMissed(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		names := []string{"amber"}
		f := startFleet(t, 82, 2, y, tenantPolicy(names...), nil)
		defer f.close()
		for i := range 10 {
			name := fmt.Sprint("tenant-", i)
			names = append(names, name)
			version := ids.Version(i + 1)
			require.NoError(t, f.putConfiguration(ids.OpID(name), version, version+1, tenantPolicy(names...)))
			for j, b := range f.nodes {
				require.True(t, f.waitUntil(2*time.Second, func() bool { return b.view.Current().Version > version }))
				require.NoError(t, f.send(b, f.keyed(fmt.Sprint(name, "-", j), "/once/x", name)).err)
			}
		}
	})
}

// TestUrgencyClassesOfTenants: the classes by which requests are refused early are those of the
// tenants where they have an urgency, and of the route for others and for requests without a key.
func TestUrgencyClassesOfTenants(t *testing.T) {
	urgency := func(n int) *int { return &n }
	c := &fleetstate.Configuration{
		Routes: []fleetstate.Route{{Service: "closed", Urgency: 5}, {Service: "open", Urgency: 6, Public: true}},
		Tenants: []fleetstate.Tenant{
			{Name: "amber", Urgency: urgency(1)}, {Name: "birch", Urgency: urgency(1)}, {Name: "cedar", Urgency: urgency(3)},
		},
	}
	classes := func() map[string][]int { return urgencyClasses(&fleetstate.Snapshot{Configuration: c}) }
	require.Equal(t, map[string][]int{"closed": {3, 1}, "open": {6, 3, 1}}, classes())
	c.Tenants[1].Urgency = nil
	require.Equal(t, map[string][]int{"closed": {5, 3, 1}, "open": {6, 3, 1}}, classes())
	c.Tenants = nil
	require.Equal(t, map[string][]int{"closed": {5}, "open": {6}}, classes())
}
