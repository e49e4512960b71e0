// Authentication: where the configuration has tenants, a request on a route that is not public
// bears a key of one of them. The key is looked up again in the newest configuration before each
// sending, so that a request which waits while its key is taken away is not sent any more.

package proxy

import (
	"net/http"

	"keelstair.example/internal/fleetstate"
)

// authenticate finds the tenant whose key the request bears.
func (t *exchange) authenticate(s *fleetstate.Snapshot) error {
	if t.outgoing != nil && t.keys == s.TenantKeys {
		return nil
	}
	tenant := s.TenantKeys.Find(t.request.Key)
	if tenant == nil && s.TenantKeys.KeyRequired() && !t.route.Public {
		return t.node.unknown(http.StatusUnauthorized, "no tenant has the key")
	}
	outgoing := *t.request
	outgoing.Key, outgoing.Tenant = "", ""
	if tenant != nil {
		outgoing.Tenant = tenant.Name
	}
	t.keys, t.tenant, t.outgoing = s.TenantKeys, tenant, &outgoing
	return nil
}

// urgency is the tenant's, or else the route's; 0 is the most urgent.
func (t *exchange) urgency() int { return urgencyOf(t.route, t.tenant) }

func urgencyOf(route *fleetstate.Route, tenant *fleetstate.Tenant) int {
	if tenant != nil && tenant.Urgency != nil {
		return *tenant.Urgency
	}
	return route.Urgency
}

// endRejected ends a request that must not be sent any more. Only where it has run nowhere may
// the answer say so.
func (t *exchange) endRejected(rejected *RejectedError) error {
	t.node.counts.Unauthenticated.Add(1)
	if t.mayHaveRun || t.headSent {
		return &AbortedError{Code: http.StatusBadGateway, HeadSent: t.headSent, Reason: rejected.Reason}
	}
	return rejected
}
