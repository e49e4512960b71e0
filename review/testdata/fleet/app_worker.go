// A stand-in worker of an application service: it answers each request with its stamp and a body in two
// parts, the first at the start of its work and the second at the end.

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// appRun is what a worker saw of one request.
type appRun struct {
	worker   string
	began    time.Time
	ended    time.Time
	dropped  bool // the router closed the connection before the work was done
	slow     bool // it began while the worker was slow
	deadline time.Duration
}

// appWorker is one worker of an application service.
type appWorker struct {
	fleet    *fleet
	id       string
	capacity int
	work     time.Duration

	mu      sync.Mutex
	slowBy  int
	running int
	runs    map[string]*appRun
}

// startAppWorker starts and lists a worker.
func (f *fleet) startAppWorker(id, service, zone string, capacity int, work time.Duration) (*appWorker, error) {
	l, err := net.Listen("tcp", "127.0.31.50:0")
	if err != nil {
		return nil, err
	}
	w := &appWorker{fleet: f, id: id, capacity: capacity, work: work, slowBy: 1, runs: map[string]*appRun{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /probe", func(out http.ResponseWriter, _ *http.Request) { out.Header().Set(names["workerID"], id) })
	mux.HandleFunc("GET /report", w.report)
	mux.HandleFunc("/", w.serve)
	go http.Serve(l, mux)
	f.platform.add(listed{id: id, service: service, addr: l.Addr().String(), zone: zone, state: "steady", capacity: capacity})
	f.log("worker %s at %s", id, l.Addr())
	return w, nil
}

// report answers at once, with how many requests run.
func (w *appWorker) report(out http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(out, `{"phase":"","models":[],"utilisation":false,"sequence":0,"queued":0,"active":%d,"%s":0,"%s":0}`,
		w.running, names["cacheUsed"], names["cacheCapacity"])
}

// setSlow makes the work of requests that begin from now on take x times as long.
func (w *appWorker) setSlow(x int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowBy = x
	w.fleet.log("worker %s: work takes %d times as long", w.id, x)
}

// begin takes a request up, or returns nil if the worker is full.
func (w *appWorker) begin(id, deadline string) (*appRun, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.capacity {
		return nil, 0
	}
	w.running++
	run := &appRun{worker: w.id, began: time.Now(), slow: w.slowBy > 1}
	run.deadline, _ = time.ParseDuration(deadline + "ms")
	w.runs[id] = run
	return run, w.work * time.Duration(w.slowBy)
}

func (w *appWorker) serve(out http.ResponseWriter, r *http.Request) {
	id, header := r.Header.Get(names["attempt"]), out.Header()
	header.Set(names["attempt"], id)
	if expected := r.Header.Get(names["expectWorker"]); expected != "" && expected != w.id {
		header.Set(names["workerID"], w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run, work := w.begin(id, r.Header.Get(names["deadline"]))
	if run == nil {
		header.Set(names["notExecuted"], "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.fleet.log("worker %s: request %s runs, %v are left", w.id, id, run.deadline)
	body := answerBody(id, w.id)
	header.Set(names["seal"], "s."+id+"."+w.id)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", fmt.Sprint(len(body)))
	out.Write(body[:len(body)/2])
	http.NewResponseController(out).Flush()
	select {
	case <-time.After(work):
		out.Write(body[len(body)/2:])
	case <-r.Context().Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	run.ended, run.dropped = time.Now(), r.Context().Err() != nil
	w.fleet.log("worker %s: request %s ended after %d ms, dropped by its caller: %v", w.id, id,
		run.ended.Sub(run.began).Milliseconds(), run.dropped)
}

// answerBody is the body of the answer to a request.
func answerBody(id, worker string) []byte {
	return fmt.Appendf(nil, "%-400s%-400s", "hold "+id, "held by "+worker)
}
