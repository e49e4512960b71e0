// Stand-ins for workers and for the platform's list of them. A worker runs a limited number of requests at a time, lets
// a few more wait, and turns away the rest with word that they were not run.

package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a client's request that reached a worker.
type arrival struct {
	at      time.Time
	service string
	worker  string
	id      string
	end     string // run, dropped, left or refused
}

// book holds what has reached the workers.
type book struct {
	mu   sync.Mutex
	rows []*arrival
}

func (b *book) add(a *arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rows = append(b.rows, a)
}

func (b *book) finish(a *arrival, end string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.end = end
}

// worker is one stand-in.
type worker struct {
	id, service, zone, address string
	capacity, queue            int
	work                       time.Duration
	unframed                   bool // its answers have no length and end with their connections
	book                       *book
	slots                      chan struct{}
	mu                         sync.Mutex
	inside                     int
}

// start listens and serves.
func (w *worker) start(ip string) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	w.address, w.slots = listener.Addr().String(), make(chan struct{}, w.capacity)
	go http.Serve(listener, w)
	return nil
}

// enter counts a request unless the worker is full.
func (w *worker) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inside >= w.capacity+w.queue {
		return false
	}
	w.inside++
	return true
}

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inside--
}

// load is the worker's own word of its load.
func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := min(w.inside, w.capacity)
	return strings.Join([]string{
		strconv.Itoa(running), strconv.Itoa(w.inside - running), strconv.Itoa(w.capacity),
	}, ",")
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(words["expect"]); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Method == http.MethodGet {
		w.answerCheck(out, r)
		return
	}
	a := &arrival{time.Now(), w.service, w.id, r.Header.Get(words["attempt"]), ""}
	w.book.add(a)
	out.Header().Set(words["attempt"], a.id)
	io.Copy(io.Discard, r.Body)
	if !w.enter() {
		w.book.finish(a, "refused")
		w.refuse(out)
		return
	}
	defer w.leave()
	w.serve(out, r, a)
}

// answerCheck answers a health check, which waits for a slot, or is turned away, like a request.
func (w *worker) answerCheck(out http.ResponseWriter, r *http.Request) {
	out.Header().Set(words["worker"], w.id)
	if r.URL.Path != words["probe"] {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	if !w.enter() {
		w.refuse(out)
		return
	}
	defer w.leave()
	select {
	case w.slots <- struct{}{}:
		<-w.slots
	case <-r.Context().Done():
	}
}

// refuse answers that the request was not run.
func (w *worker) refuse(out http.ResponseWriter) {
	out.Header().Set(words["notRun"], "full")
	out.Header().Set(words["load"], w.load())
	out.WriteHeader(http.StatusServiceUnavailable)
}

// serve waits for a slot and runs a request. It drops one whose connection closes.
func (w *worker) serve(out http.ResponseWriter, r *http.Request, a *arrival) {
	deadline := time.NewTimer(timeLeft(r))
	defer deadline.Stop()
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		w.book.finish(a, "left the queue")
		return
	case <-deadline.C:
		w.book.finish(a, "refused")
		w.refuse(out)
		return
	}
	defer func() { <-w.slots }()
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		w.book.finish(a, "run, and dropped")
		return
	}
	w.book.finish(a, "run")
	if w.unframed {
		w.answerUnframed(out, a)
		return
	}
	out.Header().Set(words["seal"], w.id+"."+a.id)
	out.Header().Set(words["load"], w.load())
	io.WriteString(out, "answer to "+a.id)
}

// answerUnframed writes an answer without a length and closes its connection.
func (w *worker) answerUnframed(out http.ResponseWriter, a *arrival) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n"
	for _, field := range [][2]string{{"attempt", a.id}, {"seal", w.id + "." + a.id}, {"load", w.load()}} {
		head += words[field[0]] + ": " + field[1] + "\r\n"
	}
	io.WriteString(conn, head+"\r\nanswer to "+a.id)
}

// timeLeft returns the time that the request gives its worker.
func timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(words["deadline"]))
	if err != nil {
		ms = 4000
	}
	return time.Duration(ms) * time.Millisecond
}

// serveList serves the platform's list and returns its address.
func serveList(workers []*worker, pool *modelPool) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	var entries []string
	for _, w := range workers {
		entries = append(entries, strings.TrimSpace(fill("entry.json",
			"id", w.id, "service", w.service, "address", w.address, "zone", w.zone, "capacity", w.capacity)))
	}
	go http.Serve(listener, http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		out.Header().Set("Content-Type", "application/json")
		io.WriteString(out, fill("page.json", "entries", strings.Join(append(pool.entries(), entries...), ",")))
	}))
	return listener.Addr().String(), nil
}
