// The stand-in platform: the list of workers, and the operator's first configuration.

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// listed is one entry of the list of workers.
type listed struct {
	id, service, addr, zone, phase, state string
	capacity                              int
	revision                              int // of its weights; 0 counts as 1
}

// platform serves the list of workers.
type platform struct {
	addr string
	mu   sync.Mutex
	list []listed
}

func newPlatform(f *fleet) (*platform, error) {
	l, err := net.Listen("tcp", "127.0.31.100:0")
	if err != nil {
		return nil, err
	}
	p := &platform{addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /workers", p.serveList)
	go http.Serve(l, mux)
	f.log("platform at %s", p.addr)
	return p, nil
}

func (p *platform) serveList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	rows := []map[string]any{}
	for _, e := range p.list {
		row := map[string]any{
			"id": e.id, "plant": e.service, "address": e.addr, "zone": e.zone, "revision": "v1",
			"capacity": e.capacity, "state": e.state, names["coldMs"]: 0,
		}
		if e.phase != "" {
			row["phase"] = e.phase
			row["models"] = []map[string]any{{"name": "m", "revision": max(1, e.revision), "adapters": []string{}}}
		}
		rows = append(rows, row)
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{names["workers"]: rows, names["next"]: nil})
}

// add lists a worker.
func (p *platform) add(e listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, e)
}

// change changes the entry of a worker.
func (p *platform) change(id string, f func(*listed)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.list {
		if p.list[i].id == id {
			f(&p.list[i])
		}
	}
}

// remove takes a worker off the list.
func (p *platform) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.list {
		if p.list[i].id == id {
			p.list = append(p.list[:i], p.list[i+1:]...)
			return
		}
	}
}

// put sends a configuration over a base to one machine, and returns the status.
func (f *fleet) put(m *machine, base int, document []byte) (int, error) {
	request, err := http.NewRequest(http.MethodPut, "http://"+m.control+"/configuration", bytes.NewReader(document))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(names["base"], fmt.Sprint(base))
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	f.log("operator: configuration over %d to %s: %d %s", base, m.zone, response.StatusCode, body)
	return response.StatusCode, nil
}

// putUntilTaken sends a configuration to one machine after the other until it is acknowledged.
func (f *fleet) putUntilTaken(base int, document []byte) error {
	for i := range 300 {
		if status, err := f.put(f.machines[i%len(f.machines)], base, document); err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the configuration over %d was not taken", base)
}
