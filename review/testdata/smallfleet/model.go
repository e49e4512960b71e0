// Stand-ins for model workers, which read prompts or make tokens, with weights of one version.

package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	promptTokens   = 3000
	promptRead     = 53 * time.Millisecond // 56.9 tokens a ms
	modelPieces    = 20
	modelStep      = 20 * time.Millisecond
	reconfigure    = 1500 * time.Millisecond
	drainAndLittle = 4 * time.Second
)

// modelWorker is one stand-in.
type modelWorker struct {
	id, zone, address string
	weights           int
	pool              *modelPool
	server            *http.Server
	reading           sync.Mutex // one prompt is read at a time

	mu       sync.Mutex
	phase    string
	state    string
	changing bool
	orders   int
	active   int
	handles  map[string]bool
}

// modelPool is all model workers that are listed.
type modelPool struct {
	mu      sync.Mutex
	workers []*modelWorker
}

func (p *modelPool) list() []*modelWorker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*modelWorker(nil), p.workers...)
}

// add starts a worker and lists it.
func (p *modelPool) add(id, zone, phase string, weights int) (*modelWorker, error) {
	listener, err := net.Listen("tcp", "127.9.8.1:0")
	if err != nil {
		return nil, err
	}
	w := &modelWorker{
		id: id, zone: zone, phase: phase, weights: weights, pool: p, state: "steady",
		address: listener.Addr().String(), handles: map[string]bool{},
	}
	w.server = &http.Server{Handler: w}
	go w.server.Serve(listener)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = append(p.workers, w)
	return w, nil
}

// retire lets a worker leave in order.
func (p *modelPool) retire(w *modelWorker) {
	w.mu.Lock()
	w.state = "settling"
	w.mu.Unlock()
	time.AfterFunc(drainAndLittle, func() {
		p.mu.Lock()
		for i := range p.workers {
			if p.workers[i] == w {
				p.workers = append(p.workers[:i:i], p.workers[i+1:]...)
				break
			}
		}
		p.mu.Unlock()
		w.server.Close()
	})
}

// entries are the pool's rows of the platform's list.
func (p *modelPool) entries() []string {
	var out []string
	for _, w := range p.list() {
		w.mu.Lock()
		out = append(out, strings.TrimSpace(fill("entry-model.json", "id", w.id, "service", "model", "address", w.address,
			"zone", w.zone, "capacity", 64, "state", w.state, "phase", w.phase, "weights", w.weights)))
		w.mu.Unlock()
	}
	return out
}

// take takes a handle at the worker that has the address, once.
func (p *modelPool) take(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	for _, w := range p.list() {
		if w.address == address {
			return w.drop(handle)
		}
	}
	return false
}

// drop forgets a handle and reports whether it was there.
func (w *modelWorker) drop(handle string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ok := w.handles[handle]
	delete(w.handles, handle)
	return ok
}

func (w *modelWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	out.Header().Set(words["worker"], w.id)
	expected := r.Header.Get(words["expect"])
	switch {
	case expected != "" && expected != w.id:
		out.WriteHeader(http.StatusMisdirectedRequest)
	case r.Method == http.MethodDelete:
		w.drop(strings.TrimPrefix(r.URL.Path, words["handlePath"]))
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		w.report(out)
	case r.Method == http.MethodGet:
	case r.URL.Path == "/order":
		w.order(out, r)
	default:
		out.Header().Set(words["attempt"], r.Header.Get(words["attempt"]))
		io.Copy(io.Discard, r.Body)
		w.request(out, r)
	}
}

func (w *modelWorker) report(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	io.WriteString(out, fill("report.json", "phase", w.phase, "weights", w.weights, "changing", w.changing, "orders", w.orders,
		"active", w.active, "used", w.active*promptTokens, "handles", len(w.handles)))
}

// order changes the worker's phase after a while.
func (w *modelWorker) order(out http.ResponseWriter, r *http.Request) {
	var order struct{ Phase string }
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Phase == "" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.changing:
		out.WriteHeader(http.StatusConflict)
		return
	case w.phase == order.Phase:
		return
	}
	w.changing = true
	w.orders++
	out.WriteHeader(http.StatusAccepted)
	time.AfterFunc(reconfigure, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.phase, w.changing = order.Phase, false
	})
}

// request reads a prompt, or makes the tokens of a stream.
func (w *modelWorker) request(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	phase, changing := w.phase, w.changing
	w.mu.Unlock()
	asked := words["emit"]
	if r.Header.Get(words["phase"]) == words["read"] {
		asked = words["read"]
	}
	weights := r.Header.Get(words["expectWeights"])
	switch {
	case changing:
		out.Header().Set(words["notRun"], "changing")
		out.WriteHeader(http.StatusServiceUnavailable)
	case asked != phase, weights != "" && weights != strconv.Itoa(w.weights):
		out.WriteHeader(http.StatusMisdirectedRequest)
	case asked == words["read"]:
		w.read(out)
	default:
		w.emit(out, r)
	}
}

func (w *modelWorker) read(out http.ResponseWriter) {
	w.reading.Lock()
	time.Sleep(promptRead)
	w.reading.Unlock()
	var b [6]byte
	rand.Read(b[:])
	handle := hex.EncodeToString(b[:])
	w.mu.Lock()
	w.handles[handle] = true
	w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	io.WriteString(out, fill("read.json", "handle", handle, "tokens", promptTokens, "weights", w.weights))
}

func (w *modelWorker) emit(out http.ResponseWriter, r *http.Request) {
	source := r.Header.Get(words["source"])
	if source != "" && !w.pool.take(source) {
		out.Header().Set(words["notRun"], "no memory")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if source == "" { // it reads the prompt itself, at half the pace
		time.Sleep(2 * promptRead)
	}
	w.count(1)
	defer w.count(-1)
	out.Header().Set(words["seal"], w.id+"."+r.Header.Get(words["attempt"]))
	out.Header().Set(words["weights"], strconv.Itoa(w.weights))
	out.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= modelPieces && r.Context().Err() == nil; n++ {
		time.Sleep(modelStep)
		fmt.Fprintf(out, "id: %d\ndata: token %d\n\n", n, n)
		http.NewResponseController(out).Flush()
	}
}

func (w *modelWorker) count(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active += n
}
