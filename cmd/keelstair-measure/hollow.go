// Hollow nodes: the product's own node, with its own listener and no callers.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/proxy"
	"keelstair.example/internal/router"
	"keelstair.example/platform"
	"keelstair.example/rpc"
)

// halls are zones as the target has them: 3 regions with 7 zones.
var halls = []ids.Zone{"r1-a", "r1-b", "r1-c", "r2-a", "r2-b", "r3-a", "r3-b"}

// hollow is one node.
type hollow struct {
	addr  string
	door  string
	view  *fleetstate.View
	relay *proxy.Node
	run   func(context.Context)
}

// members asks the node, as a peer would, how many members it knows; -1 if it has
// no news yet.
func (h *hollow) members(ctx context.Context, call *rpc.Caller) int {
	r, err := rpc.Call[coordination.WatchRequest, coordination.WatchResponse](
		ctx, call, h.addr, coordination.WatchMethod, &coordination.WatchRequest{},
	)
	if err != nil {
		return -1
	}
	var img coordination.Snapshot
	if _, err := img.UnmarshalMsg(r.Snapshot); err != nil {
		return -1
	}
	return len(img.Members)
}

// raise makes a node and has it listen; run must still be called.
func raise(
	ctx context.Context,
	host host.Host,
	c *holdCmd,
	name string,
	zone ids.Zone,
	back proxy.Backend,
) (*hollow, error) {
	l, err := host.Net.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	h := &hollow{addr: l.Addr().String()}
	switch c.Sort {
	case "router":
		n := router.New(router.Options{
			Name:     name,
			Addr:     l.Addr().String(),
			Zone:     zone,
			Seeds:    c.Seeds,
			Platform: c.List,
			Host:     host,
		})
		n.Mount(mux)
		api.Mount(mux, n)
		api.MountOperator(mux, n)
		h.door = h.addr
		h.view, h.run = n.View(), func(ctx context.Context) { n.Run(ctx, time.Second) }
	case "relay":
		if back == nil {
			back = platform.NewWorkerBackend(host.Net, c.List)
		}
		turn := time.Duration(-1)
		if c.Turns {
			turn = 0 // the product's own
		}
		n, err := proxy.New(proxy.Options{
			Name:               name,
			Addr:               l.Addr().String(),
			Zone:               zone,
			Seeds:              c.Seeds,
			Host:               host,
			Backend:            back,
			RoleChangeInterval: turn,
		})
		if err != nil {
			l.Close()
			return nil, err
		}
		n.Mount(mux)
		h.view, h.relay, h.run = n.View(), n, func(ctx context.Context) { n.Run(ctx, 0, 0) }
	default:
		l.Close()
		return nil, failure.New(failure.InvalidArgument, "make node", name, "there is no sort %q", c.Sort)
	}
	go rpc.Serve(ctx, l, mux)
	return h, nil
}

// text is a configuration of a size; turn changes one route's deadline.
func (s *Size) text(turn int) *fleetstate.Configuration {
	p := &fleetstate.Configuration{
		Services: map[string]fleetstate.Service{},
		Zones:    halls,
		Limits:   fleetstate.Limits{MaxRecords: 20_000_000},
	}
	for i := range s.models() {
		n := s.model(i)
		p.Services[n] = fleetstate.Service{
			Name:            n,
			HealthCheckPath: "/health",
			MaxConnections:  64,
			SlowStartMs:     20000,
			SlowStartRate:   3,
			Concurrency:     48,
			Memory:          400_000,
			TokenSize:       131072,
			RetentionMs:     30000,
			RoleChangeMs:    4000,
			Models:          []string{n},
		}
	}
	for i := range s.Routes {
		// Names that are not all alike, since messages are packed on their way.
		p.Routes = append(p.Routes, fleetstate.Route{
			Name:   fmt.Sprintf("route-%05d-%s", i, coordination.ShortHash(fmt.Sprint(i))[:8]),
			Host:   fmt.Sprintf("tenant-%03d.example", i%330),
			Prefix: fmt.Sprintf("/v1/%05d/", i),
			Split: []fleetstate.Share{
				{Service: s.model(i), Weight: 900},
				{Service: s.model(i + 1), Weight: 100},
			},
			Stream:          true,
			Resumable:       true,
			MaxAttempts:     3,
			DeadlineMs:      30000,
			LatencyTargetMs: 740,
			TokenIntervalMs: 64,
			Urgency:         5,
		})
	}
	p.Routes[turn%len(p.Routes)].DeadlineMs += turn
	if s.Duties > 0 {
		p.Workers = map[ids.WorkerID]fleetstate.Worker{}
	}
	for i := range s.Duties {
		p.Workers[ids.WorkerID(fmt.Sprintf("w-%05d", i))] = fleetstate.Worker{
			Role:     s.part(i),
			Model:    s.model(i),
			Weights:  "w1",
			Adapters: []string{},
			Capacity: 400_000,
			Block:    16,
			Zone:     halls[i%len(halls)],
		}
	}
	return p
}

// models are 17, or fewer where there would not be six workers for each.
func (s *Size) models() int { return max(1, min(17, s.Workers/6)) }

func (s *Size) model(i int) string { return fmt.Sprintf("model-%02d", i%s.models()) }

// part has 32 of 100 workers of each model read prompts.
func (s *Size) part(i int) ids.Role {
	if i/s.models()*8%25 < 8 {
		return ids.Prefill
	}
	return ids.Decode
}

// workers is a platform's list of a size. Those of a part answer at one address, if any
// does: else nobody is there, and it is on this machine all the same.
func (s *Size) workers(at map[ids.Role]string) []proxy.Worker {
	out := make([]proxy.Worker, s.Workers)
	for i := range out {
		out[i] = proxy.Worker{
			ID:          ids.WorkerID(fmt.Sprintf("w-%05d-%s", i, coordination.ShortHash(fmt.Sprint("w", i))[:8])),
			Service:     s.model(i),
			Addr:        at[s.part(i)],
			Zone:        halls[i%len(halls)],
			Role:        s.part(i),
			Concurrency: 48,
		}
		if out[i].Addr == "" {
			out[i].Addr = fmt.Sprintf("127.1.%d.%d:9", i/250, 1+i%250)
		}
	}
	return out
}

// body is the text of a configuration of a size.
func (s *Size) body(turn int) ([]byte, error) {
	p := s.text(turn)
	if !s.Tools {
		return json.Marshal(p)
	}
	// Operators' programs hold it against the schema, so it is made to fit that.
	part, err := json.Marshal(map[string]any{
		"zones":   p.Zones,
		"workers": p.Workers,
		"limits":  map[string]any{"retryAfterMs": 900 + turn},
	})
	if err != nil {
		return nil, err
	}
	_, whole, err := fleetstate.ParseComplete("keelstair-measure", part)
	return whole, err
}
