// This file contains the stand-in platform. It keeps the list of workers, checks the readiness of every node once per
// second, and returns the addresses of the ready nodes of a zone to clients.

package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/workerclient"
	"keelstair.example/rpc"
)

// Node is a router node that is registered with the platform.
type Node struct {
	Addr  string   `json:"addr"`
	Zone  ids.Zone `json:"zone"`
	Ready bool     `json:"ready"`
}

// Platform is a registry of workers and router nodes.
type Platform struct {
	mu         sync.Mutex
	httpClient *http.Client
	workers    map[ids.WorkerID]workerclient.ListedWorker
	nodes      map[string]*Node
}

// NewPlatform returns a platform without workers or nodes. It checks nodes over the host's network.
func NewPlatform(host host.Host) *Platform {
	return &Platform{
		httpClient: rpc.NewHTTPClient(host.Net),
		workers:    map[ids.WorkerID]workerclient.ListedWorker{},
		nodes:      map[string]*Node{},
	}
}

// SetWorker adds a worker to the list, or replaces its entry.
func (p *Platform) SetWorker(worker workerclient.ListedWorker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[worker.ID] = worker
}

// RemoveWorker removes a worker from the list.
func (p *Platform) RemoveWorker(id ids.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.workers, id)
}

// MarkLeaving marks a worker as about to shut down.
func (p *Platform) MarkLeaving(id ids.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if worker, ok := p.workers[id]; ok {
		worker.Leaving = true
		p.workers[id] = worker
	}
}

// AddNode registers a node. It counts as not ready until the next check.
func (p *Platform) AddNode(addr string, zone ids.Zone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes[addr] = &Node{Addr: addr, Zone: zone}
}

// ReadyNodes returns the addresses of the nodes that were ready at the last check: those in the zone, or all others
// if there are none in the zone. An empty zone selects all nodes.
func (p *Platform) ReadyNodes(zone ids.Zone) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sameZone, otherZones []string
	for _, node := range p.nodes {
		switch {
		case !node.Ready:
		case node.Zone == zone || zone == "":
			sameZone = append(sameZone, node.Addr)
		default:
			otherZones = append(otherZones, node.Addr)
		}
	}
	if len(sameZone) > 0 {
		return sameZone
	}
	return otherZones
}

// Run checks the readiness of all nodes every second until the context is cancelled.
func (p *Platform) Run(ctx context.Context) {
	for host.Sleep(ctx, time.Second) {
		p.mu.Lock()
		var all []string
		for addr := range p.nodes {
			all = append(all, addr)
		}
		p.mu.Unlock()
		var wg sync.WaitGroup
		for _, addr := range all {
			wg.Go(func() {
				pollCtx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
				defer cancel()
				req, _ := http.NewRequestWithContext(pollCtx, http.MethodGet, "http://"+addr+"/ready", nil)
				resp, err := p.httpClient.Do(req)
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					resp.Body.Close()
				}
				p.mu.Lock()
				p.nodes[addr].Ready = ok
				p.mu.Unlock()
			})
		}
		wg.Wait()
	}
	p.httpClient.CloseIdleConnections()
}

// Handler serves the platform's interface over HTTP.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /workers", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		out := []workerclient.ListedWorker{}
		for _, worker := range p.workers {
			out = append(out, worker)
		}
		p.mu.Unlock()
		writeJSON(w, http.StatusOK, out)
	})
	mux.HandleFunc("POST /workers", func(w http.ResponseWriter, r *http.Request) {
		var worker workerclient.ListedWorker
		if err := json.NewDecoder(r.Body).Decode(&worker); err != nil || worker.ID == "" {
			writeJSON(w, http.StatusBadRequest, workerclient.Rejection{Name: "malformed"})
			return
		}
		p.SetWorker(worker)
		writeJSON(w, http.StatusOK, worker)
	})
	mux.HandleFunc("POST /workers/{id}/leave", func(w http.ResponseWriter, r *http.Request) {
		p.MarkLeaving(ids.WorkerID(r.PathValue("id")))
		writeJSON(w, http.StatusOK, "leaving")
	})
	mux.HandleFunc("DELETE /workers/{id}", func(w http.ResponseWriter, r *http.Request) {
		p.RemoveWorker(ids.WorkerID(r.PathValue("id")))
		writeJSON(w, http.StatusOK, "gone")
	})
	mux.HandleFunc("POST /doors", func(w http.ResponseWriter, r *http.Request) {
		var node Node
		if err := json.NewDecoder(r.Body).Decode(&node); err != nil || node.Addr == "" {
			writeJSON(w, http.StatusBadRequest, workerclient.Rejection{Name: "malformed"})
			return
		}
		p.AddNode(node.Addr, node.Zone)
		writeJSON(w, http.StatusOK, node)
	})
	mux.HandleFunc("GET /doors", func(w http.ResponseWriter, r *http.Request) {
		out := p.ReadyNodes(ids.Zone(r.FormValue("zone")))
		if out == nil {
			out = []string{}
		}
		writeJSON(w, http.StatusOK, out)
	})
	return mux
}

// PollNodes requests the ready nodes of each zone from the platform at addr twice per second, until the context is
// cancelled. The returned function returns the latest result for a zone.
func PollNodes(ctx context.Context, machine host.Host, addr string, zones []ids.Zone) func(ids.Zone) []string {
	client := rpc.NewHTTPClient(machine.Net)
	var mu sync.Mutex
	latest := map[ids.Zone][]string{}
	poll := func(zone ids.Zone) {
		pollCtx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(
			pollCtx, http.MethodGet, "http://"+addr+"/doors?zone="+url.QueryEscape(string(zone)), nil,
		)
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		var out []string
		if json.NewDecoder(resp.Body).Decode(&out) == nil {
			mu.Lock()
			latest[zone] = out
			mu.Unlock()
		}
	}
	pollAll := func() {
		for _, z := range zones {
			poll(z)
		}
	}
	pollAll()
	go func() {
		for host.Sleep(ctx, 500*time.Millisecond) {
			pollAll()
		}
		client.CloseIdleConnections()
	}()
	return func(zone ids.Zone) []string {
		mu.Lock()
		defer mu.Unlock()
		return latest[zone]
	}
}
