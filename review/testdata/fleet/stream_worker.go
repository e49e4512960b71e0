// A stand-in worker that answers each request with a stream of events at an even pace.

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// streamWorker is one worker of a streaming service.
type streamWorker struct {
	fleet    *fleet
	id       string
	capacity int
	events   int
	pace     time.Duration

	mu      sync.Mutex
	running int
}

// startStreamWorker starts and lists a worker.
func (f *fleet) startStreamWorker(id, service, zone string, capacity, events int, pace time.Duration) error {
	l, err := net.Listen("tcp", "127.0.31.50:0")
	if err != nil {
		return err
	}
	w := &streamWorker{fleet: f, id: id, capacity: capacity, events: events, pace: pace}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /probe", func(out http.ResponseWriter, _ *http.Request) { out.Header().Set(names["workerID"], id) })
	mux.HandleFunc("GET /report", func(out http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		fmt.Fprintf(out, `{"phase":"","models":[],"utilisation":false,"sequence":0,"queued":0,"active":%d,"%s":0,"%s":0}`,
			w.running, names["cacheUsed"], names["cacheCapacity"])
	})
	mux.HandleFunc("/", w.serve)
	go http.Serve(l, mux)
	f.platform.add(listed{id: id, service: service, addr: l.Addr().String(), zone: zone, state: "steady", capacity: capacity})
	f.log("worker %s at %s", id, l.Addr())
	return nil
}

func (w *streamWorker) serve(out http.ResponseWriter, r *http.Request) {
	id, header := r.Header.Get(names["attempt"]), out.Header()
	header.Set(names["attempt"], id)
	if expected := r.Header.Get(names["expectWorker"]); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	full := w.running >= w.capacity
	if !full {
		w.running++
	}
	w.mu.Unlock()
	if full {
		header.Set(names["notExecuted"], "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.fleet.log("worker %s: request %s runs, %d bytes", w.id, id, size)
	header.Set(names["seal"], "s."+id+"."+w.id)
	header.Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(out)
	for n := 1; n <= w.events && r.Context().Err() == nil; n++ {
		fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", n, id, n)
		controller.Flush()
		time.Sleep(w.pace)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}
