// Routes and services: the part of a configuration by which opaque requests are carried. A
// route is picked by host and longest path prefix; a service is a set of workers that
// the platform lists under one name.

package fleetstate

import (
	"net/url"
	"sort"
	"strings"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// WeightedService is one service of a split, by weight.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route says which service carries a request, and how. Times are in milliseconds.
type Route struct {
	Name            string            `json:"name"`
	Host            string            `json:"host"`
	Prefix          string            `json:"prefix"`
	Service         string            `json:"service,omitempty"`
	Split           []WeightedService `json:"split,omitempty"`
	Stream          bool              `json:"stream,omitempty"`
	Idempotent      bool              `json:"repeatable,omitempty"` // a try may run more than once
	Resumable       bool              `json:"resumable,omitempty"`  // a stream may go on elsewhere
	Disaggregated   bool              `json:"apart,omitempty"`      // prompts are read at one worker and answered at another
	MaxAttempts     int               `json:"tries"`
	DeadlineMs      int               `json:"deadlineMs"`
	LatencyTargetMs int               `json:"aimMs"`
	TokenIntervalMs int               `json:"gapMs,omitempty"`
	Urgency         int               `json:"urgency"`
	Public          bool              `json:"public,omitempty"` // requests need no key of a tenant
}

// MayRetry tells whether a try that may have run may be sent once more.
func (r *Route) MayRetry() bool { return r.Idempotent || r.Stream && r.Resumable }

// Deadline is the longest that the operator wants a request held.
func (r *Route) Deadline() time.Duration { return time.Duration(r.DeadlineMs) * time.Millisecond }

// LatencyTarget is the time within which an answer earns its full worth.
func (r *Route) LatencyTarget() time.Duration {
	return time.Duration(r.LatencyTargetMs) * time.Millisecond
}

// SelectService gives the service that a request falls to; the same id always falls to the same.
func (r *Route) SelectService(id string) string {
	sum := uint64(0)
	for _, s := range r.Split {
		sum += uint64(s.Weight)
	}
	if sum == 0 {
		return r.Service
	}
	at := int64(ids.Hash(id) >> 1 % sum)
	for _, s := range r.Split {
		if at -= int64(s.Weight); at < 0 {
			return s.Service
		}
	}
	return r.Service
}

// Service is what the operators say of one service's workers.
type Service struct {
	Name            string   `json:"name"`
	HealthCheckPath string   `json:"probe,omitempty"`
	MaxConnections  int      `json:"conns,omitempty"`     // connections that a worker accepts from all
	SlowStartMs     int      `json:"warmMs,omitempty"`    // how long a worker that came up is cold
	SlowStartRate   float64  `json:"warmRate,omitempty"`  // requests a second that a cold one bears
	Concurrency     int      `json:"slots,omitempty"`     // requests worked on at once
	Memory          int      `json:"memory,omitempty"`    // tokens
	TokenSize       int      `json:"tokenSize,omitempty"` // bytes
	RetentionMs     int      `json:"holdMs,omitempty"`    // how long a handle is kept
	RoleChangeMs    int      `json:"turnMs,omitempty"`    // how long a change of part takes
	Models          []string `json:"models,omitempty"`
}

// ClientLimits bounds what callers may send.
type ClientLimits struct {
	HeaderBytes  int `json:"headerBytes,omitempty"`
	BodyBytes    int `json:"bodyBytes,omitempty"`
	HeaderWaitMs int `json:"headerWaitMs,omitempty"`
	IdleMs       int `json:"idleMs,omitempty"`
}

// CheckRoutes checks what spans several entries: services that exist, places that stand
// once, weights, times.
func (p *Configuration) CheckRoutes() error {
	fault := func(r *Route, form string, args ...any) error {
		return failure.New(failure.InvalidArgument, "check routes", "", "routes."+r.Name+": "+form, args...)
	}
	names, places := map[string]bool{}, map[string]bool{}
	for i := range p.Routes {
		r := &p.Routes[i]
		sum, place := 0, strings.ToLower(r.Host)+" "+r.Prefix
		for _, s := range r.Split {
			if _, ok := p.Services[s.Service]; !ok {
				return fault(r, "unknown service %q", s.Service)
			}
			if s.Weight < 0 {
				return fault(r, "a weight is below 0")
			}
			sum += s.Weight
		}
		_, known := p.Services[r.Service]
		switch {
		case r.Name == "" || names[r.Name]:
			return fault(r, "its name is missing or stands twice")
		case r.Host == "":
			return fault(r, "its host is missing")
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			return fault(r, "prefix %q does not begin and end with a slash", r.Prefix)
		case places[place]:
			return fault(r, "host and prefix stand twice")
		case len(r.Split) > 0 && sum == 0:
			return fault(r, "the weights add up to 0")
		case len(r.Split) == 0 && !known:
			return fault(r, "unknown service %q", r.Service)
		case r.DeadlineMs <= 0:
			return fault(r, "deadlineMs must be above 0")
		case r.MaxAttempts < 0:
			return fault(r, "tries is below 0")
		}
		names[r.Name], places[place] = true, true
	}
	return nil
}

// RouteTable finds routes; it is made once for each version.
type RouteTable struct {
	hosts map[string][]*Route // longest prefix first
}

// NewRouteTable sorts a configuration's routes for look-ups.
func NewRouteTable(p *Configuration) *RouteTable {
	t := &RouteTable{hosts: map[string][]*Route{}}
	for i := range p.Routes {
		h := strings.ToLower(p.Routes[i].Host)
		t.hosts[h] = append(t.hosts[h], &p.Routes[i])
	}
	for _, row := range t.hosts {
		sort.SliceStable(row, func(i, j int) bool { return len(row[i].Prefix) > len(row[j].Prefix) })
	}
	return t
}

// Find gives the route for a host (a port is passed over) and a path, or nil.
func (t *RouteTable) Find(host, path string) *Route {
	host = strings.ToLower(host)
	if u := (&url.URL{Host: host}); u.Port() != "" {
		host = u.Hostname()
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
