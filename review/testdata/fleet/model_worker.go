// A stand-in model worker with a phase and a version of its weights: it reads prompts or makes tokens.

package main

import (
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
	promptPerMs  = 57                    // tokens of a prompt that a worker reads in a millisecond
	firstTokens  = 13 * time.Millisecond // for each prompt beside its tokens
	tokenPace    = 30 * time.Millisecond // between two events
	memoryTokens = 295740
	blockTokens  = 16

	reconfigureTime = 1500 * time.Millisecond // of the configuration
	listLag         = 500 * time.Millisecond  // under that of the settings
)

// heldPrompts are the prompts that model workers hold, by the address and the handle.
var heldPrompts sync.Map

// modelWorker is one worker of a model service.
type modelWorker struct {
	fleet    *fleet
	id, addr string
	revision int
	slots    int
	server   *http.Server
	reading  chan struct{} // holds a value while no prompt is read

	mu       sync.Mutex
	phase    string
	changing bool
	sequence int // orders taken
	running  int
}

// startModelWorker starts and lists a worker.
func (f *fleet) startModelWorker(id, service, zone, phase string, revision int) (*modelWorker, error) {
	l, err := net.Listen("tcp", "127.0.31.50:0")
	if err != nil {
		return nil, err
	}
	w := &modelWorker{fleet: f, id: id, addr: l.Addr().String(), phase: phase, revision: revision, slots: 64, reading: make(chan struct{}, 1)}
	w.reading <- struct{}{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /probe", func(out http.ResponseWriter, _ *http.Request) { out.Header().Set(names["workerID"], id) })
	mux.HandleFunc("GET /report", w.report)
	mux.HandleFunc("POST /order", w.order)
	mux.HandleFunc("DELETE "+names["handlePath"]+"{handle}", func(_ http.ResponseWriter, r *http.Request) {
		heldPrompts.Delete(w.addr + "/" + r.PathValue("handle"))
	})
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(l)
	f.platform.add(listed{id: id, service: service, addr: w.addr, zone: zone, state: "steady", capacity: w.slots, phase: phase, revision: revision})
	f.log("worker %s at %s: %s, weights of version %d", id, w.addr, phase, revision)
	return w, nil
}

// report answers at once.
func (w *modelWorker) report(out http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(out, `{"phase":%q,"models":[{"name":"m","revision":%d,"adapters":[]}],"utilisation":%v,"sequence":%d,"queued":0,"active":%d,"%s":%d,"%s":%d}`,
		w.phase, w.revision, w.changing, w.sequence, w.running, names["cacheUsed"], w.running*64*blockTokens, names["cacheCapacity"], memoryTokens)
}

// order takes an order to change the phase.
func (w *modelWorker) order(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(names["expectWorker"]); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var order struct {
		Operation, Phase, Owner string
		Expected                *int
	}
	status := http.StatusAccepted
	err := json.NewDecoder(r.Body).Decode(&order)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil || order.Operation != "phase" || order.Owner == "":
		status = http.StatusBadRequest
	case w.changing || order.Expected != nil && *order.Expected != w.sequence:
		status = http.StatusConflict
	case order.Phase == w.phase:
		status = http.StatusOK
	default:
		w.changing, w.sequence = true, w.sequence+1
		time.AfterFunc(reconfigureTime, func() { w.setPhase(order.Phase) })
	}
	w.fleet.log("worker %s: order of phase %s: %d", w.id, order.Phase, status)
	out.WriteHeader(status)
}

// setPhase ends a change of the phase. The list shows it later.
func (w *modelWorker) setPhase(phase string) {
	w.mu.Lock()
	w.phase, w.changing = phase, false
	w.mu.Unlock()
	time.AfterFunc(listLag, func() { w.fleet.platform.change(w.id, func(e *listed) { e.phase = phase }) })
}

// turnAway answers that the request was not run.
func (w *modelWorker) turnAway(out http.ResponseWriter, status int) {
	out.Header().Set(names["notExecuted"], "1")
	out.WriteHeader(status)
}

func (w *modelWorker) serve(out http.ResponseWriter, r *http.Request) {
	id, header := r.Header.Get(names["attempt"]), out.Header()
	header.Set(names["attempt"], id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get(names["expectWorker"]); expected != "" && expected != w.id {
		header.Set(names["workerID"], w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if expected := r.Header.Get(names["expectRevision"]); expected != "" && expected != strconv.Itoa(w.revision) {
		w.fleet.log("worker %s: request %s wants weights of version %s: 421", w.id, id, expected)
		w.turnAway(out, http.StatusMisdirectedRequest)
		return
	}
	prompt, tokens := tokenCounts(r)
	w.mu.Lock()
	phase, changing := w.phase, w.changing
	w.mu.Unlock()
	switch read := r.Header.Get(names["phase"]) == names["prefill"]; {
	case read != (phase == names["prefill"]):
		w.turnAway(out, http.StatusMisdirectedRequest)
	case changing:
		w.turnAway(out, http.StatusServiceUnavailable)
	case read:
		w.read(out, r, id, prompt)
	default:
		w.decode(out, r, id, prompt, tokens)
	}
}

// tokenCounts returns the size of the prompt and the most tokens out.
func tokenCounts(r *http.Request) (prompt, tokens int) {
	in, out, _ := strings.Cut(r.Header.Get(names["counts"]), ",")
	prompt, _ = strconv.Atoi(in)
	tokens, _ = strconv.Atoi(out)
	return prompt, tokens
}

// read reads a prompt, one at a time, and answers with its handle.
func (w *modelWorker) read(out http.ResponseWriter, r *http.Request, id string, prompt int) {
	select {
	case <-w.reading:
	case <-r.Context().Done():
		return
	}
	time.Sleep(firstTokens + time.Duration(prompt)*time.Millisecond/promptPerMs)
	w.reading <- struct{}{}
	heldPrompts.Store(w.addr+"/h"+id, true)
	out.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(out, `{"%s":"h%s","tokens":%d,"revision":%d}`, names["handle"], id, prompt, w.revision)
}

// decode makes the stream, from the event after the last one that the caller has.
func (w *modelWorker) decode(out http.ResponseWriter, r *http.Request, id string, prompt, tokens int) {
	w.mu.Lock()
	full := w.running >= w.slots
	if !full {
		w.running++
	}
	w.mu.Unlock()
	if full {
		w.turnAway(out, http.StatusServiceUnavailable)
		return
	}
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	if source := r.Header.Get(names["source"]); source != "" {
		if _, ok := heldPrompts.LoadAndDelete(source); !ok {
			w.turnAway(out, http.StatusServiceUnavailable)
			return
		}
		prompt = 0
	}
	time.Sleep(time.Duration(2*prompt) * time.Millisecond / promptPerMs)
	header, last := out.Header(), 0
	fmt.Sscan(r.Header.Get(names["lastEvent"]), &last)
	header.Set(names["seal"], "s."+id+"."+w.id)
	header.Set(names["revisions"], strconv.Itoa(w.revision))
	header.Set("Content-Type", "text/event-stream")
	w.fleet.log("worker %s: request %s runs after event %d", w.id, id, last)
	controller := http.NewResponseController(out)
	for n := last + 1; n <= tokens && r.Context().Err() == nil; n++ {
		fmt.Fprintf(out, "id: %d\ndata: token %d\n\n", n, n)
		controller.Flush()
		time.Sleep(tokenPace)
	}
}
