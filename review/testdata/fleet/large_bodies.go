// Case: clients send bodies as large as the configuration allows, and for a while twice as many come. The
// stand-in platform kills a process that goes over its memory and starts it again.

package main

import (
	_ "embed"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

//go:embed large-bodies.json
var largeBodiesDocument []byte

const (
	bodyBytes     = 4194304 // the configuration's limit
	bodiesPerS    = 13.0    // requests a second at each router
	burstFactor   = 2.0
	burstFor      = 11 * time.Second
	streamEvents  = 16
	streamPace    = 200 * time.Millisecond // under the route's gap
	memoryLimit   = 284 << 20              // of the settings
	restartAfter  = 300 * time.Millisecond
	endsTolerated = 2 // of a machine's processes, on their own, on two machines
)

// largeBodiesCase returns ruleBroken if processes on two machines end by themselves three times.
func largeBodiesCase(f *fleet) (int, error) {
	for i := range 9 {
		if err := f.startStreamWorker(fmt.Sprintf("i-min%d", i), "minutes", zones[i%len(zones)], 64, streamEvents, streamPace); err != nil {
			return couldNotRun, err
		}
	}
	if err := f.startMachines(); err != nil {
		return couldNotRun, err
	}
	if err := f.putUntilTaken(0, largeBodiesDocument); err != nil {
		return couldNotRun, err
	}
	if err := f.awaitReady(30 * time.Second); err != nil {
		return couldNotRun, err
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var served, sent atomic.Int64
	ends := map[string]*atomic.Int64{}
	var factor atomic.Int64
	factor.Store(10)
	for _, m := range f.machines {
		count := new(atomic.Int64)
		ends[m.zone] = count
		wg.Go(func() { f.watchMemory(m, stop, count) })
		wg.Go(func() { f.sendBodies(m, stop, &factor, &sent, &served) })
	}
	time.Sleep(6 * time.Second)
	if troubled() {
		f.log("burst: %.1f times the requests for %s", burstFactor, burstFor)
		factor.Store(int64(10 * burstFactor))
	}
	time.Sleep(burstFor)
	factor.Store(10)
	f.log("the time of the burst is over")
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	machines := 0
	for zone, count := range ends {
		f.log("router in %s: went over its memory %d times", zone, count.Load())
		if count.Load() > endsTolerated {
			machines++
		}
	}
	f.log("%d requests sent, %d served whole", sent.Load(), served.Load())
	switch {
	case machines >= 2:
		return ruleBroken, nil
	case served.Load() == 0:
		return couldNotRun, nil
	}
	return ruleHeld, nil
}

// anonymousMemory returns the anonymous memory of a process in bytes. The pages of the program's file are left out.
func anonymousMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// watchMemory kills a router that goes over its memory, as the platform does, and starts it again.
func (f *fleet) watchMemory(m *machine, stop chan struct{}, ends *atomic.Int64) {
	most := int64(0)
	defer func() { f.log("router in %s: at most %d MB of anonymous memory", m.zone, most>>20) }()
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		pid := m.router.command.Process.Pid
		used := anonymousMemory(pid)
		most = max(most, used)
		if used <= memoryLimit {
			continue
		}
		f.log("router in %s, process %d: %d MB, over the limit of %d MB: killed", m.zone, pid, used>>20, int64(memoryLimit)>>20)
		ends.Add(1)
		m.router.kill()
		time.Sleep(restartAfter)
		if err := f.start(m.router); err != nil {
			f.log("could not start again: %v", err)
			return
		}
	}
}

// sendBodies sends requests at an even rate to a router that is ready.
func (f *fleet) sendBodies(m *machine, stop chan struct{}, factor, sent, served *atomic.Int64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	body := strings.Repeat("minutes ", bodyBytes/8)
	for n := 0; ; n++ {
		rate := bodiesPerS * float64(factor.Load()) / 10
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(time.Second) / rate)):
		}
		wg.Go(func() {
			if !m.ready() {
				return
			}
			c := &client{fleet: f, machine: m}
			defer c.close()
			id := fmt.Sprintf("%s-%d", m.zone, n)
			sent.Add(1)
			o := c.send(request{id: id, host: "transcript.example", target: "/transcript/read", deadline: 8 * time.Second, body: body})
			f.log("client: request %s to %s: %s", id, m.zone, o.describe())
			if o.err == nil && o.status == 200 {
				served.Add(1)
			}
		})
	}
}
