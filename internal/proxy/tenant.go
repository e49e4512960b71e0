// Authentication by tenant keys. If the configuration has tenants, a request on a non-public route
// must carry the key of one of them. The key is looked up again in the current configuration before
// each attempt, so that a request that is waiting when its key is revoked is not sent to a worker.

package proxy

import (
	"net/http"

	"keelstair.example/internal/fleetstate"
)

// authenticate finds the tenant whose key the request carries, and prepares the outgoing request with
// the tenant's name in place of the key.
func (t *exchange) authenticate(s *fleetstate.Snapshot) error {
	if t.outgoing != nil && t.keys == s.TenantKeys {
		return nil
	}
	tenant := s.TenantKeys.Find(t.request.Key)
	if tenant == nil && s.TenantKeys.KeyRequired() && !t.route.Public {
		return t.node.unknownResource(http.StatusUnauthorized, "no tenant has the key")
	}
	outgoing := *t.request
	outgoing.Key, outgoing.Tenant = "", ""
	if tenant != nil {
		outgoing.Tenant = tenant.Name
	}
	t.keys, t.tenant, t.outgoing = s.TenantKeys, tenant, &outgoing
	return nil
}

// urgency returns the tenant's urgency or, if it has none, the route's. 0 is the most urgent.
func (t *exchange) urgency() int { return urgencyOf(t.route, t.tenant) }

// urgencyOf returns the tenant's urgency or, if it has none, the route's.
func urgencyOf(route *fleetstate.Route, tenant *fleetstate.Tenant) int {
	if tenant != nil && tenant.Urgency != nil {
		return *tenant.Urgency
	}
	return route.Urgency
}

// endRejected ends a request that must not be sent to another worker. It returns the rejection only if
// the request surely never ran, and an AbortedError otherwise.
func (t *exchange) endRejected(rejected *RejectedError) error {
	t.node.counts.Unauthenticated.Add(1)
	if t.mayHaveRun || t.headSent {
		return &AbortedError{Code: http.StatusBadGateway, HeadSent: t.headSent, Reason: rejected.Reason}
	}
	return rejected
}
