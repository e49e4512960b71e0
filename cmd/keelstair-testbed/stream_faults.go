// The faults of a soak test of streams.

package main

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/platform/workerstandin"
)

const (
	leaveNotice     = 3500 * time.Millisecond // from the list's notice that a worker leaves to its SIGTERM
	crashedListTime = 2 * time.Second         // for which the list names a worker that is gone
	documentPause   = 900 * time.Millisecond
)

// streamWorkerSlot is the place of one worker, which one incarnation after another takes.
type streamWorkerSlot struct {
	number      int
	zone        string
	incarnation int
	addr        string
	process     *process
	busy        bool // a fault is in progress
}

// newWorkerAddr returns an address that no earlier incarnation of the slot had.
func (s *streamSoak) newWorkerAddr(slot *streamWorkerSlot) string {
	return fmt.Sprintf("%s%d:%d", s.network, 201+slot.number%40, firstWorkerPort+slot.number/40*1000+slot.incarnation)
}

func (slot *streamWorkerSlot) id() string {
	return fmt.Sprintf("worker-%d-%d", slot.number, slot.incarnation)
}

// listed returns the entry of the slot's worker in the list.
func (slot *streamWorkerSlot) listed() workerstandin.ListedWorker {
	return workerstandin.ListedWorker{ID: slot.id(), Addr: slot.addr, Zone: slot.zone}
}

// startWorker starts the next incarnation of a worker at an address and lists it.
func (s *streamSoak) startWorker(slot *streamWorkerSlot, addr string) error {
	slot.incarnation++
	slot.addr = addr
	slot.process = &process{
		Name: slot.id(), Kind: "testbed", Zone: ids.Zone(slot.zone), Addr: addr,
		args: []string{"stream-worker", "--id", slot.id(), "--addr", addr},
	}
	if err := s.addProcess(slot.process); err != nil {
		return err
	}
	s.list.Put(slot.listed())
	return nil
}

// workerFault is a fault of one worker. It returns once the slot has a new incarnation, or the old one is well.
type workerFault struct {
	name   string
	inject func(slot *streamWorkerSlot, pause time.Duration)
}

func (s *streamSoak) workerFaults() []workerFault {
	return []workerFault{
		{"kill", func(slot *streamWorkerSlot, pause time.Duration) {
			slot.process.signal(syscall.SIGKILL)
			s.replaceWorker(slot, pause)
		}},
		{"kill and restart at the same address", func(slot *streamWorkerSlot, _ time.Duration) {
			old := slot.listed()
			slot.process.kill()
			s.list.Remove(old.ID)
			s.logError(s.startWorker(slot, old.Addr))
		}},
		{"freeze, then kill", func(slot *streamWorkerSlot, pause time.Duration) {
			slot.process.signal(syscall.SIGSTOP)
			time.Sleep(pause / 4)
			slot.process.signal(syscall.SIGKILL)
			s.replaceWorker(slot, pause)
		}},
		{"freeze", func(slot *streamWorkerSlot, pause time.Duration) {
			slot.process.signal(syscall.SIGSTOP)
			time.Sleep(pause)
			slot.process.signal(syscall.SIGCONT)
		}},
		{"SIGTERM without notice", func(slot *streamWorkerSlot, pause time.Duration) {
			slot.process.signal(syscall.SIGTERM)
			s.replaceWorker(slot, pause)
		}},
		{"leave", func(slot *streamWorkerSlot, _ time.Duration) {
			leaving := slot.listed()
			leaving.Leaving = true
			old := slot.process
			s.list.Put(leaving)
			s.logError(s.startWorker(slot, s.newWorkerAddr(slot)))
			time.Sleep(leaveNotice)
			old.signal(syscall.SIGTERM)
			<-old.exited
			s.list.Remove(leaving.ID)
		}},
	}
}

// replaceWorker starts a new incarnation at another address after a pause. The list names the old one for a while.
func (s *streamSoak) replaceWorker(slot *streamWorkerSlot, pause time.Duration) {
	old := slot.id()
	time.AfterFunc(crashedListTime, func() { s.list.Remove(old) })
	time.Sleep(pause)
	s.logError(s.startWorker(slot, s.newWorkerAddr(slot)))
}

func (s *streamSoak) logError(err error) {
	if err != nil {
		logf("%v", err)
	}
}

// injectFaults injects faults, which overlap, until the context ends.
func (s *streamSoak) injectFaults(ctx context.Context) {
	for host.Sleep(ctx, time.Duration(50+s.rng.IntN(500))*time.Millisecond) {
		switch kind := s.rng.IntN(10); {
		case kind < 6 || s.opt.WorkersOnly:
			for range 1 + s.rng.IntN(2) {
				s.injectWorkerFault()
			}
		case kind < 9:
			s.signalRouter()
		default:
			controllers := s.processes(controllerRole + "-")
			signals := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}
			s.signalAndRestart(controllers[s.rng.IntN(len(controllers))], signals[s.rng.IntN(len(signals))])
		}
	}
}

// injectWorkerFault injects a fault into a random worker, unless half of the workers have one.
func (s *streamSoak) injectWorkerFault() {
	slot := s.workers[s.rng.IntN(len(s.workers))]
	faults := s.workerFaults()
	fault, pause := faults[s.rng.IntN(len(faults))], time.Duration(100+s.rng.IntN(1200))*time.Millisecond
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	busy := 0
	for _, other := range s.workers {
		if other.busy {
			busy++
		}
	}
	if slot.busy || busy >= len(s.workers)/2 {
		return
	}
	slot.busy = true
	logf("%s: %s", slot.id(), fault.name)
	s.restarts.Go(func() {
		fault.inject(slot, pause)
		s.stateMu.Lock()
		defer s.stateMu.Unlock()
		slot.busy = false
	})
}

// signalRouter signals a random router, or every third one. A router that exits is started again.
func (s *streamSoak) signalRouter() {
	routers := s.processes(routerRole + "-")
	first := s.rng.IntN(len(routers))
	switch s.rng.IntN(4) {
	case 0:
		s.terminateAndRestart(routers[first])
	case 1:
		for p := range slices.Chunk(routers[first:], 3) {
			s.terminateAndRestart(p[0])
		}
	case 2:
		s.signalAndRestart(routers[first], syscall.SIGKILL)
	case 3:
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		routers[first].signal(syscall.SIGHUP)
	}
}

// changeDocument applies one version of the document after the other until the context ends.
func (s *streamSoak) changeDocument(ctx context.Context) {
	s.version = 1
	for sent := 2; host.Sleep(ctx, documentPause); sent++ {
		if err := s.putDocument(s.version, sent); err == nil {
			s.version = sent
		}
	}
}
