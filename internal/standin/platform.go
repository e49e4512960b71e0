// The stand-in platform: it lists workers as they come and go, checks every
// node's readiness each second, and hands callers to ready nodes in their zone.

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

// Node is a node as the platform knows it.
type Node struct {
	Addr  string   `json:"addr"`
	Zone  ids.Zone `json:"zone"`
	Ready bool     `json:"ready"`
}

// Platform lists workers and doors.
type Platform struct {
	mu         sync.Mutex
	httpClient *http.Client
	workers    map[ids.WorkerID]workerclient.ListedWorker
	nodes      map[string]*Node
}

// NewPlatform returns a platform without workers or nodes. It asks nodes over the host's network.
func NewPlatform(host host.Host) *Platform {
	return &Platform{
		httpClient: rpc.NewHTTPClient(host.Net),
		workers:    map[ids.WorkerID]workerclient.ListedWorker{},
		nodes:      map[string]*Node{},
	}
}

// SetWorker puts a worker on the list, or changes its line.
func (p *Platform) SetWorker(l workerclient.ListedWorker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[l.ID] = l
}

// RemoveWorker takes a worker off the list.
func (p *Platform) RemoveWorker(id ids.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.workers, id)
}

// MarkLeaving marks a worker as leaving.
func (p *Platform) MarkLeaving(id ids.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.workers[id]; ok {
		l.Leaving = true
		p.workers[id] = l
	}
}

// AddNode adds a node's door.
func (p *Platform) AddNode(addr string, zone ids.Zone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes[addr] = &Node{Addr: addr, Zone: zone}
}

// ReadyNodes lists the doors that were ready when last asked.
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

// Run checks readiness every second until the context ends.
func (p *Platform) Run(ctx context.Context) {
	for host.Sleep(ctx, time.Second) {
		p.mu.Lock()
		var all []string
		for a := range p.nodes {
			all = append(all, a)
		}
		p.mu.Unlock()
		var wg sync.WaitGroup
		for _, a := range all {
			wg.Go(func() {
				pollCtx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
				defer cancel()
				req, _ := http.NewRequestWithContext(pollCtx, http.MethodGet, "http://"+a+"/ready", nil)
				resp, err := p.httpClient.Do(req)
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					resp.Body.Close()
				}
				p.mu.Lock()
				p.nodes[a].Ready = ok
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
		for _, l := range p.workers {
			out = append(out, l)
		}
		p.mu.Unlock()
		writeJSON(w, http.StatusOK, out)
	})
	mux.HandleFunc("POST /workers", func(w http.ResponseWriter, r *http.Request) {
		var l workerclient.ListedWorker
		if err := json.NewDecoder(r.Body).Decode(&l); err != nil || l.ID == "" {
			writeJSON(w, http.StatusBadRequest, workerclient.Rejection{Name: "malformed"})
			return
		}
		p.SetWorker(l)
		writeJSON(w, http.StatusOK, l)
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
		var d Node
		if err := json.NewDecoder(r.Body).Decode(&d); err != nil || d.Addr == "" {
			writeJSON(w, http.StatusBadRequest, workerclient.Rejection{Name: "malformed"})
			return
		}
		p.AddNode(d.Addr, d.Zone)
		writeJSON(w, http.StatusOK, d)
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

// PollNodes gives the doors that a platform names ready for a zone, asked anew twice a
// second.
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
