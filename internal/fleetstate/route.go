// Routes and services are the part of a configuration for forwarding opaque HTTP requests. A route
// is selected by host and longest path prefix. A service is a set of workers that the platform lists
// under one name.

package fleetstate

import (
	"net/url"
	"sort"
	"strings"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// WeightedService is one service of a split with its share of the requests.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route defines which service handles a request, and how.
type Route struct {
	Name            string            `json:"name"`
	Host            string            `json:"host"`
	Prefix          string            `json:"prefix"`
	Service         string            `json:"service,omitempty"`
	Split           []WeightedService `json:"split,omitempty"`
	Stream          bool              `json:"stream,omitempty"`
	Idempotent      bool              `json:"repeatable,omitempty"` // a request may be executed more than once
	Resumable       bool              `json:"resumable,omitempty"`  // an interrupted stream may continue on another worker
	Disaggregated   bool              `json:"apart,omitempty"`      // prefill and decode run on different workers
	MaxAttempts     int               `json:"tries"`
	DeadlineMs      int               `json:"deadlineMs"`
	LatencyTargetMs int               `json:"aimMs"`
	TokenIntervalMs int               `json:"gapMs,omitempty"`
	Urgency         int               `json:"urgency"`
	Public          bool              `json:"public,omitempty"` // requests need no tenant key
}

// MayRetry reports whether a request may be sent again after an attempt that may have been executed.
func (r *Route) MayRetry() bool { return r.Idempotent || r.Stream && r.Resumable }

// Deadline returns the maximum duration of a request.
func (r *Route) Deadline() time.Duration { return time.Duration(r.DeadlineMs) * time.Millisecond }

// LatencyTarget returns the latency up to which a response has its full value to the client.
func (r *Route) LatencyTarget() time.Duration {
	return time.Duration(r.LatencyTargetMs) * time.Millisecond
}

// SelectService returns the service for a request id: one of the split, in proportion to the weights,
// or the route's only service. The same id always gets the same service.
func (r *Route) SelectService(id string) string {
	totalWeight := uint64(0)
	for _, s := range r.Split {
		totalWeight += uint64(s.Weight)
	}
	if totalWeight == 0 {
		return r.Service
	}
	remaining := int64(ids.Hash(id) >> 1 % totalWeight)
	for _, s := range r.Split {
		if remaining -= int64(s.Weight); remaining < 0 {
			return s.Service
		}
	}
	return r.Service
}

// Service is the configuration of one service's workers.
type Service struct {
	Name            string   `json:"name"`
	HealthCheckPath string   `json:"probe,omitempty"`
	MaxConnections  int      `json:"conns,omitempty"`     // connections that a worker accepts from all router nodes together
	SlowStartMs     int      `json:"warmMs,omitempty"`    // how long a worker is in slow start after it started
	SlowStartRate   float64  `json:"warmRate,omitempty"`  // requests per second that a worker can handle in slow start
	Concurrency     int      `json:"slots,omitempty"`     // requests that a worker processes at once
	MemoryTokens    int      `json:"memory,omitempty"`    // memory of a worker, in tokens
	TokenSize       int      `json:"tokenSize,omitempty"` // bytes per token
	RetentionMs     int      `json:"holdMs,omitempty"`    // how long a worker keeps a KV cache handle
	RoleChangeMs    int      `json:"turnMs,omitempty"`    // how long a role change takes
	Models          []string `json:"models,omitempty"`
}

// ClientLimits limits the size of client requests and the time that clients may take to send them.
type ClientLimits struct {
	HeaderBytes     int `json:"headerBytes,omitempty"`
	BodyBytes       int `json:"bodyBytes,omitempty"`
	HeaderTimeoutMs int `json:"headerWaitMs,omitempty"`
	IdleTimeoutMs   int `json:"idleMs,omitempty"`
}

// CheckRoutes checks that the services of routes exist, that the names of routes and their pairs of
// host and prefix are unique, that prefixes begin and end with a slash, and that weights, deadlines and
// numbers of attempts are in range.
func (cfg *Configuration) CheckRoutes() error {
	routeError := func(r *Route, format string, args ...any) error {
		return failure.New(failure.InvalidArgument, "check routes", "", "routes."+r.Name+": "+format, args...)
	}
	names, matches := map[string]bool{}, map[string]bool{}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		totalWeight, match := 0, strings.ToLower(r.Host)+" "+r.Prefix
		for _, s := range r.Split {
			if _, ok := cfg.Services[s.Service]; !ok {
				return routeError(r, "unknown service %q", s.Service)
			}
			if s.Weight < 0 {
				return routeError(r, "a weight is below 0")
			}
			totalWeight += s.Weight
		}
		_, known := cfg.Services[r.Service]
		switch {
		case r.Name == "" || names[r.Name]:
			return routeError(r, "its name is missing or stands twice")
		case r.Host == "":
			return routeError(r, "its host is missing")
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			return routeError(r, "prefix %q does not begin and end with a slash", r.Prefix)
		case matches[match]:
			return routeError(r, "host and prefix stand twice")
		case len(r.Split) > 0 && totalWeight == 0:
			return routeError(r, "the weights add up to 0")
		case len(r.Split) == 0 && !known:
			return routeError(r, "unknown service %q", r.Service)
		case r.DeadlineMs <= 0:
			return routeError(r, "deadlineMs must be above 0")
		case r.MaxAttempts < 0:
			return routeError(r, "tries is below 0")
		}
		names[r.Name], matches[match] = true, true
	}
	return nil
}

// RouteTable finds the route of a request. It is built once for each version of the configuration.
type RouteTable struct {
	hosts map[string][]*Route // by host in lower case, longest prefix first
}

// NewRouteTable builds the route table of a configuration.
func NewRouteTable(cfg *Configuration) *RouteTable {
	t := &RouteTable{hosts: map[string][]*Route{}}
	for i := range cfg.Routes {
		host := strings.ToLower(cfg.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &cfg.Routes[i])
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// Find returns the route for a host and a path, or nil. A port in the host is ignored.
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
