// Case: one worker of an application service is slow for five seconds. An answer that has begun must not be
// cut because its worker is silent for a while.

package main

import (
	_ "embed"
	"fmt"
	"sync"
	"time"
)

//go:embed slow-worker.json
var slowWorkerDocument []byte

const (
	holdWorkers    = 7                      // one of them is slow, a share of 0.14
	holdSlowBy     = 4                      // times as long
	holdSlowFor    = 5 * time.Second        // how long it is slow
	holdWork       = 200 * time.Millisecond // between the first and the last byte of an answer
	holdPerClient  = 100 * time.Millisecond // between two requests of a client
	holdClients    = 16                     // for each router
	holdDeadline   = 3 * time.Second
	holdMayBeCut   = 3 // answers that a machine may cut at sound workers
	holdQuietTime  = 4 * time.Second
	holdReadyLimit = 30 * time.Second
)

// slowWorkerCase returns ruleBroken if a router cuts more answers of sound workers than the rule allows.
func slowWorkerCase(f *fleet) (int, error) {
	var workers []*appWorker
	for i := range holdWorkers {
		w, err := f.startAppWorker(fmt.Sprintf("i-hold%d", i), "reservas-api", zones[i%len(zones)], 24, holdWork)
		if err != nil {
			return couldNotRun, err
		}
		workers = append(workers, w)
	}
	if err := f.startMachines(); err != nil {
		return couldNotRun, err
	}
	if err := f.putUntilTaken(0, slowWorkerDocument); err != nil {
		return couldNotRun, err
	}
	if err := f.awaitReady(holdReadyLimit); err != nil {
		return couldNotRun, err
	}
	var calls []*call
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, m := range f.machines {
		for n := range holdClients {
			c := &client{fleet: f, machine: m}
			wg.Go(func() {
				c.sendHolds(fmt.Sprintf("%s-%d", m.zone, n), stop, func(o *call) {
					mu.Lock()
					defer mu.Unlock()
					calls = append(calls, o)
				})
			})
		}
	}
	time.Sleep(holdQuietTime)
	if troubled() {
		workers[0].setSlow(holdSlowBy)
	}
	time.Sleep(holdSlowFor)
	workers[0].setSlow(1)
	time.Sleep(holdQuietTime)
	close(stop)
	wg.Wait()
	return f.judgeCuts(calls, workers), nil
}

// sendHolds sends requests until the channel is closed.
func (c *client) sendHolds(name string, stop chan struct{}, done func(*call)) {
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(holdPerClient):
		}
		id := fmt.Sprintf("%s-%d", name, n)
		o := c.send(request{id: id, host: "hold.example", target: "/hold/desk", deadline: holdDeadline, body: "desk " + name})
		c.fleet.log("client: request %s to %s, kept connection %v, %d ms: %s", id, c.machine.zone, o.kept,
			o.ended.Sub(o.sent).Milliseconds(), o.describe())
		done(o)
	}
}

// judgeCuts counts, for each machine, the requests on kept connections that it passed on to a sound worker and whose
// connection it closed without a complete answer before their deadline.
func (f *fleet) judgeCuts(calls []*call, workers []*appWorker) int {
	cut, served := map[string]int{}, 0
	for _, o := range calls {
		if o.err == nil && o.status == 200 {
			served++
		}
		for _, w := range workers {
			run := w.runs[o.id]
			if run == nil || o.err == nil || !o.kept || o.ended.Sub(o.sent) >= holdDeadline {
				continue
			}
			cut[o.machine.zone]++
			f.log("cut: request %s at the router in %s, %d ms after it was sent; worker %s had %v for it and was dropped by the router: %v",
				o.id, o.machine.zone, o.ended.Sub(o.sent).Milliseconds(), run.worker, run.deadline, run.dropped)
			break
		}
	}
	f.log("%d requests, %d served; cut at sound workers by machine: %v", len(calls), served, cut)
	for _, count := range cut {
		if count > holdMayBeCut {
			return ruleBroken
		}
	}
	if served == 0 {
		return couldNotRun
	}
	return ruleHeld
}
