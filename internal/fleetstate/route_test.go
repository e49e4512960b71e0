// These tests check the lookup, parsing and validation of routes and services.

package fleetstate

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
)

// TestRouteTableFind checks that the longest matching prefix is selected regardless of the order of the
// routes, and that the host is compared without its port and case-insensitively. A path that lacks
// the trailing slash of a prefix does not match that prefix, and an unknown host has no route.
func TestRouteTableFind(t *testing.T) {
	table := NewRouteTable(&Configuration{Routes: []Route{
		{Name: "root", Host: "A.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/v1/chat/long/"},
		{Name: "chat", Host: "a.example", Prefix: "/v1/chat/"},
		{Name: "only", Host: "b.example", Prefix: "/v1/"},
		{Name: "six", Host: "::1", Prefix: "/"},
	}})
	for request, want := range map[[2]string]string{
		{"a.example", "/"}:                    "root",
		{"a.example", "/v1/chat"}:             "root",
		{"a.example", "/v1/chat/"}:            "chat",
		{"a.example", "/v1/chat/longer"}:      "chat",
		{"a.example", "/v1/chat/long/x"}:      "deep",
		{"a.example", "/v1/CHAT/x"}:           "root",
		{"A.EXAMPLE:8080", "/v1/chat/long/x"}: "deep",
		{"a.example:80", "/v1/chat/x"}:        "chat",
		{"B.example", "/v1/x"}:                "only",
		{"b.example", "/v1"}:                  "",
		{"b.example", "/"}:                    "",
		{"c.example", "/v1/"}:                 "",
		{"", "/"}:                             "",
		{"a.example", ""}:                     "",
		{"[::1]:90", "/x"}:                    "six",
	} {
		got := table.Find(request[0], request[1])
		if want == "" {
			require.Nil(t, got, "%v", request)
			continue
		}
		require.NotNil(t, got, "%v", request)
		require.Equal(t, want, got.Name, "%v", request)
	}
	require.Nil(t, NewRouteTable(&Configuration{}).Find("a.example", "/"))
}

// TestSelectService checks that requests are split over services by weight, that an id is always
// assigned to the same service, and that a service with weight 0 receives no requests. Without a
// split, or with only weights of 0, the route's own service receives all requests.
func TestSelectService(t *testing.T) {
	r := &Route{Service: "x", Split: []WeightedService{{"a", 6}, {"none", 0}, {"b", 3}, {"c", 1}}}
	counts := map[string]int{}
	for i := range 20000 {
		id := fmt.Sprint("try-", i)
		service := r.SelectService(id)
		require.Equal(t, service, r.SelectService(id))
		counts[service]++
	}
	require.InDelta(t, 12000, counts["a"], 600)
	require.InDelta(t, 6000, counts["b"], 500)
	require.InDelta(t, 2000, counts["c"], 300)
	require.Len(t, counts, 3)
	for _, unsplit := range []*Route{{Service: "x"}, {Service: "x", Split: []WeightedService{{"a", 0}}}} {
		require.Equal(t, "x", unsplit.SelectService("try"))
	}
}

// TestRouteRetryAndTimes checks that only an idempotent request or a resumable stream may be retried,
// and that times are in milliseconds.
func TestRouteRetryAndTimes(t *testing.T) {
	require.False(t, (&Route{}).MayRetry())
	require.False(t, (&Route{Stream: true}).MayRetry())
	require.False(t, (&Route{Resumable: true}).MayRetry(), "not a stream")
	require.True(t, (&Route{Idempotent: true}).MayRetry())
	require.True(t, (&Route{Stream: true, Resumable: true}).MayRetry())
	require.Equal(t, 1500*time.Millisecond, (&Route{DeadlineMs: 1500}).Deadline())
	require.Equal(t, 20*time.Millisecond, (&Route{LatencyTargetMs: 20}).LatencyTarget())
}

// TestCheckRoutes checks that a configuration with valid routes is accepted and that each single
// fault is rejected with its cause in the error.
func TestCheckRoutes(t *testing.T) {
	validConfiguration := func() *Configuration {
		return &Configuration{Services: map[string]Service{"s": {Name: "s"}, "t": {Name: "t"}}, Routes: []Route{
			{Name: "one", Host: "a.example", Prefix: "/", Service: "s", DeadlineMs: 5},
			{
				Name:        "two",
				Host:        "a.example",
				Prefix:      "/x/",
				Split:       []WeightedService{{"s", 0}, {"t", 2}},
				MaxAttempts: 2,
				DeadlineMs:  5,
			},
		}}
	}
	require.NoError(t, validConfiguration().CheckRoutes())
	require.NoError(t, (&Configuration{}).CheckRoutes())
	for message, change := range map[string]func(r *Route){
		`unknown service "gone"`:                 func(r *Route) { r.Split = []WeightedService{{"gone", 1}} },
		`a weight is below 0`:                    func(r *Route) { r.Split = []WeightedService{{"s", 3}, {"t", -1}} },
		`name is missing or stands twice`:        func(r *Route) { r.Name = "one" },
		`routes.: its name is missing`:           func(r *Route) { r.Name = "" },
		`its host is missing`:                    func(r *Route) { r.Host = "" },
		`"x/" does not begin and end`:            func(r *Route) { r.Prefix = "x/" },
		`"/x" does not begin and end`:            func(r *Route) { r.Prefix = "/x" },
		`"" does not begin and end`:              func(r *Route) { r.Prefix = "" },
		`host and prefix stand twice`:            func(r *Route) { r.Host, r.Prefix = "A.Example", "/" },
		`the weights add up to 0`:                func(r *Route) { r.Split = []WeightedService{{"s", 0}, {"t", 0}} },
		`unknown service "nobody"`:               func(r *Route) { r.Split, r.Service = nil, "nobody" },
		`unknown service ""`:                     func(r *Route) { r.Split = nil },
		`deadlineMs must be above 0`:             func(r *Route) { r.DeadlineMs = 0 },
		`routes.two: deadlineMs must be above 0`: func(r *Route) { r.DeadlineMs = -3 },
		`tries is below 0`:                       func(r *Route) { r.MaxAttempts = -1 },
	} {
		p := validConfiguration()
		change(&p.Routes[1])
		err := p.CheckRoutes()
		require.ErrorContains(t, err, message)
		require.True(t, failure.Is(err, failure.InvalidArgument), message)
	}
	samePrefix := validConfiguration()
	samePrefix.Routes[1].Host, samePrefix.Routes[1].Prefix = "b.example", "/"
	require.NoError(t, samePrefix.CheckRoutes(), "another host may have the same prefix")
}

const configurationWithRoutes = `{
	zones: ["a"], workers: {}, kinds: {}, programs: {}, limits: {}
	services: {s: {}, t: {warmMs: 5000, warmRate: 2.5, slots: 8, models: ["m"]}}
	routes: [
		{name: "one", host: "a.example", prefix: "/", service: "s", deadlineMs: 4000},
		{name: "two", host: "a.example", prefix: "/v1/", split: [{service: "s", weight: 3}, {service: "t", weight: 1}], stream: true, resumable: true, apart: true,
			tries: 4, deadlineMs: 9000, aimMs: 300, gapMs: 40, urgency: 8},
	]
	intake: {}
}`

// TestParseRoutes checks that the defaults are filled into a CUE configuration with routes and
// services, that given values are kept, and that parsing the resulting JSON gives the same routes. A
// configuration without routes and services is encoded without these fields.
func TestParseRoutes(t *testing.T) {
	p, text, err := ParseComplete("r.cue", []byte(configurationWithRoutes))
	require.NoError(t, err)
	one, two := p.Routes[0], p.Routes[1]
	require.Equal(t, 1, one.MaxAttempts)
	require.Equal(t, 4000, one.LatencyTargetMs, "defaults to the deadline")
	require.Equal(t, 5, one.Urgency)
	require.False(t, one.Stream || one.Idempotent || one.Resumable || one.Disaggregated)
	require.Equal(t, Route{
		Name:            "two",
		Host:            "a.example",
		Prefix:          "/v1/",
		Split:           []WeightedService{{"s", 3}, {"t", 1}},
		Stream:          true,
		Resumable:       true,
		Disaggregated:   true,
		MaxAttempts:     4,
		DeadlineMs:      9000,
		LatencyTargetMs: 300,
		TokenIntervalMs: 40,
		Urgency:         8,
	}, two)
	require.Equal(t, "s", p.Services["s"].Name, "the name is taken from the key")
	require.Equal(t, 2.5, p.Services["t"].SlowStartRate)
	require.Equal(t, []string{"m"}, p.Services["t"].Models)
	require.Equal(t, ClientLimits{
		HeaderBytes:     16384,
		BodyBytes:       4194304,
		HeaderTimeoutMs: 3000,
		IdleTimeoutMs:   15000,
	}, p.ClientLimits)
	again, second, err := ParseComplete("r.json", text)
	require.NoError(t, err)
	require.JSONEq(t, string(text), string(second))
	require.Equal(t, NewRouteTable(p).Find("a.example", "/v1/x").Name, NewRouteTable(again).Find("a.example", "/v1/x").Name)
	decoded, err := ParseJSON(text)
	require.NoError(t, err)
	require.NoError(t, decoded.CheckRoutes())
	require.Equal(t, two, decoded.Routes[1])

	withoutRoutes, text, err := ParseComplete("s.cue", []byte(smallConfiguration))
	require.NoError(t, err)
	require.Empty(t, withoutRoutes.Routes)
	var fields map[string]any
	require.NoError(t, json.Unmarshal(text, &fields))
	require.NotContains(t, fields, "routes")
	require.NotContains(t, fields, "services")
}

// TestParseRejectsInvalidRoutes checks that violations of the schema and of the constraints between
// routes and services are rejected with the field in the error.
func TestParseRejectsInvalidRoutes(t *testing.T) {
	_, complete, err := ParseComplete("r.cue", []byte(configurationWithRoutes))
	require.NoError(t, err)
	for part, message := range map[string]string{
		`{routes: [{name: "x", host: "h", prefix: "v1/", service: "s", deadlineMs: 5}]}`:                      "prefix",
		`{routes: [{name: "x", host: "h", prefix: "/v1", service: "s", deadlineMs: 5}]}`:                      "prefix",
		`{routes: [{name: "", host: "h", prefix: "/", service: "s", deadlineMs: 5}]}`:                         "name",
		`{routes: [{name: "x", host: "", prefix: "/", service: "s", deadlineMs: 5}]}`:                         "host",
		`{routes: [{name: "x", host: "h", prefix: "/", service: "s"}]}`:                                       "deadlineMs",
		`{routes: [{name: "x", host: "h", prefix: "/", service: "s", deadlineMs: 0}]}`:                        "deadlineMs",
		`{routes: [{name: "x", host: "h", prefix: "/", service: "s", deadlineMs: 5, tries: 0}]}`:              "tries",
		`{routes: [{name: "x", host: "h", prefix: "/", service: "s", deadlineMs: 5, tries: 11}]}`:             "tries",
		`{routes: [{name: "x", host: "h", prefix: "/", service: "s", deadlineMs: 5, urgency: 10}]}`:           "urgency",
		`{routes: [{name: "x", host: "h", prefix: "/", service: "s", deadlineMs: 5, colour: 1}]}`:             "colour",
		`{routes: [{name: "x", host: "h", prefix: "/", split: [{service: "s", weight: -1}], deadlineMs: 5}]}`: "weight",
		`{routes: [{name: "x", host: "h", prefix: "/", split: [{service: "s", weight: 0}], deadlineMs: 5}]}`:  "add up to 0",
		`{routes: [{name: "x", host: "h", prefix: "/", service: "gone", deadlineMs: 5}]}`:                     `unknown service "gone"`,
		`{routes: [{name: "x", host: "h", prefix: "/", deadlineMs: 5}]}`:                                      "unknown service",
		`{services: t: null}`:          `unknown service "t"`,
		`{services: s: name: "other"}`: "services.s.name",
		`{services: s: slots: -1}`:     "services.s.slots",
		`{services: t: warmRate: "x"}`: "services.t.warmRate",
		`{intake: bodyBytes: 0}`:       "intake.bodyBytes",
	} {
		b, err := CUEToJSON("part.cue", []byte(part))
		require.NoError(t, err, part)
		merged, err := Merge(complete, b)
		require.NoError(t, err)
		_, _, err = ParseComplete("part.cue", merged)
		require.ErrorContains(t, err, message, part)
		require.True(t, failure.Is(err, failure.InvalidArgument), part)
	}
}

// TestOverlayRoutesEqualsFullParse checks that Overlay gives the same result as a full parse also for
// changes of routes, services or client limits: no change is silently lost, and every change that a
// full parse rejects is rejected.
func TestOverlayRoutesEqualsFullParse(t *testing.T) {
	_, complete, err := ParseComplete("r.cue", []byte(configurationWithRoutes))
	require.NoError(t, err)
	for _, part := range []string{
		`{limits: queue: 9}`,
		`{services: u: slots: 3}`, `{services: t: slots: 12}`, `{intake: bodyBytes: 77}`, `{zones: ["a", "b"]}`,
		`{routes: [{name: "x", host: "h", prefix: "/", service: "t", deadlineMs: 5}]}`,
		`{routes: []}`, `{routes: [], services: t: null}`,
		`{workers: p: {part: "prefill", model: "m", weights: "w", room: 9, zone: "a"}}`,
		// These are rejected.
		`{services: t: null}`,
		`{routes: [{name: "x", host: "h", prefix: "/", split: [{service: "s", weight: 0}], deadlineMs: 5}]}`,
		`{routes: [{name: "x", host: "h", prefix: "/", service: "gone", deadlineMs: 5}]}`, `{intake: bodyBytes: 0}`,
	} {
		partial, err := CUEToJSON("part", []byte(part))
		require.NoError(t, err, part)
		merged, err := Merge(complete, partial)
		require.NoError(t, err, part)
		_, want, wantErr := ParseComplete("part", merged)
		_, got, gotErr := Overlay("part", complete, partial)
		require.Equal(t, wantErr == nil, gotErr == nil, "%s: %v / %v", part, wantErr, gotErr)
		require.Equal(t, string(want), string(got), part)
	}
}
