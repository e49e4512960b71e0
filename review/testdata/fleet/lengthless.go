// Case: a worker whose streams have no length is killed. A stream that ended early must not look complete.

package main

import (
	_ "embed"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed lengthless.json
var lengthlessDocument []byte

const (
	rulingWorkers   = 7  // one of them is killed, a share of 0.14
	rulingClients   = 16 // for each router
	rulingDeadline  = 3 * time.Second
	rulingQuietTime = 4 * time.Second
	rulingDownFor   = 4500 * time.Millisecond // then it leaves the list, for good
)

// startWorkerProcess starts a worker in a process of its own and lists it.
func (f *fleet) startWorkerProcess(id, addr, zone string) (*process, error) {
	log, err := os.Create(filepath.Join(f.dir, id+".log"))
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{name: id, log: log, command: exec.Command(self, "worker", id, addr), exited: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	f.started = append(f.started, p)
	go func() {
		p.command.Wait()
		close(p.exited)
	}()
	f.platform.add(listed{id: id, service: "fleet-assist", addr: addr, zone: zone, state: "steady", capacity: 64})
	f.log("worker %s at %s, process %d", id, addr, p.command.Process.Pid)
	return p, nil
}

// lengthlessCase returns ruleBroken if a client gets a stream that is complete for HTTP, bears a worker's stamp
// and lacks its last pieces.
func lengthlessCase(f *fleet) (int, error) {
	var workers []*process
	for i := range rulingWorkers {
		addr, err := freeAddr("127.0.31.50")
		if err != nil {
			return couldNotRun, err
		}
		p, err := f.startWorkerProcess(fmt.Sprintf("i-ruling%d", i), addr, zones[i%len(zones)])
		if err != nil {
			return couldNotRun, err
		}
		workers = append(workers, p)
	}
	if err := f.startMachines(); err != nil {
		return couldNotRun, err
	}
	if err := f.putUntilTaken(0, lengthlessDocument); err != nil {
		return couldNotRun, err
	}
	if err := f.awaitReady(30 * time.Second); err != nil {
		return couldNotRun, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var calls []*call
	stop := make(chan struct{})
	for _, m := range f.machines {
		for n := range rulingClients {
			c := &client{fleet: f, machine: m}
			wg.Go(func() {
				c.sendRulings(fmt.Sprintf("%s-%d", m.zone, n), stop, func(o *call) {
					mu.Lock()
					defer mu.Unlock()
					calls = append(calls, o)
				})
			})
		}
	}
	time.Sleep(rulingQuietTime)
	if troubled() {
		f.log("worker %s, process %d: killed", workers[0].name, workers[0].command.Process.Pid)
		workers[0].kill()
	}
	time.Sleep(rulingDownFor)
	f.platform.remove(workers[0].name)
	time.Sleep(rulingQuietTime)
	close(stop)
	wg.Wait()
	return f.judgeStreams(calls), nil
}

// sendRulings sends requests until the channel is closed.
func (c *client) sendRulings(name string, stop chan struct{}, done func(*call)) {
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(400 * time.Millisecond)):
		}
		id := fmt.Sprintf("%s-%d", name, n)
		o := c.send(request{id: id, host: "ruling.example", target: "/ruling/zone", deadline: rulingDeadline, body: "zone " + name})
		c.fleet.log("client: request %s to %s, %d events: %s", id, c.machine.zone, strings.Count(string(o.body), "id: "), o.describe())
		done(o)
	}
}

// judgeStreams looks for successes that are complete, of the right request, and not whole.
func (f *fleet) judgeStreams(calls []*call) int {
	whole, short, open := 0, 0, 0
	for _, o := range calls {
		var want strings.Builder
		for n := 1; n <= lengthlessEvents; n++ {
			want.WriteString(lengthlessEvent(o.id, n))
		}
		switch {
		case o.err != nil || o.status != 200 || o.header.Get(names["seal"]) == "":
			open++
		case string(o.body) == want.String():
			whole++
		default:
			short++
			f.log("short: request %s got status 200, stamp %s and the end of a complete answer after %d of %d events",
				o.id, o.header.Get(names["seal"]), strings.Count(string(o.body), "id: "), lengthlessEvents)
		}
	}
	f.log("%d requests: %d whole, %d not complete or not served, %d short that look complete", len(calls), whole, open, short)
	switch {
	case short > 0:
		return ruleBroken
	case whole == 0:
		return couldNotRun
	}
	return ruleHeld
}
