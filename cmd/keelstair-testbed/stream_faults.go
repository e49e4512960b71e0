// The faults of a soak test of streams.

package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/platform/workerstandin"
)

const (
	leaveNotice     = 3500 * time.Millisecond // from the list's notice that a worker leaves to its SIGTERM
	crashedListTime = 2 * time.Second         // for which the list names a worker that is gone
	maxFreeze       = 5 * time.Second         // of a router or a controller; longer than a lease
	thawSlack       = 300 * time.Millisecond  // after a freeze, in which calls may bear an old fence
	phasePause      = 200 * time.Millisecond
	otherWeights    = 4 // every so many incarnations have other weights
)

// streamWorkerSlot is the place of one worker, which one incarnation after another takes.
type streamWorkerSlot struct {
	number      int
	zone        string
	phase       workerstandin.Phase // with which each incarnation begins; empty for a worker that does everything
	incarnation int
	renewed     int // incarnations at the same listener after the first
	addr        string
	process     *process
	busy        bool // a fault is in progress
}

// newWorkerAddr returns an address that no earlier incarnation of the slot had.
func (s *streamSoak) newWorkerAddr(slot *streamWorkerSlot) string {
	return fmt.Sprintf("%s%d:%d", s.network, 201+slot.number%40, firstWorkerPort+slot.number/40*1000+slot.incarnation)
}

func (slot *streamWorkerSlot) id() string {
	return workerstandin.RenewedID(slot.processName(), slot.renewed)
}

func (slot *streamWorkerSlot) processName() string {
	return fmt.Sprintf("worker-%d-%d", slot.number, slot.incarnation)
}

// weights returns the version of the weights of the slot's incarnation.
func (slot *streamWorkerSlot) weights() int {
	if (slot.number+slot.incarnation)%otherWeights == 0 {
		return 2
	}
	return 1
}

// listed returns the entry of the slot's worker in the list.
func (slot *streamWorkerSlot) listed() workerstandin.ListedWorker {
	return workerstandin.ListedWorker{ID: slot.id(), Addr: slot.addr, Zone: slot.zone, Phase: slot.phase}
}

// startWorker starts the next incarnation of a worker at an address and lists it.
func (s *streamSoak) startWorker(slot *streamWorkerSlot, addr string) error {
	slot.incarnation++
	slot.renewed = 0
	slot.addr = addr
	slot.process = &process{
		Name: slot.processName(), Kind: "testbed", Zone: ids.Zone(slot.zone), Addr: addr,
		args: []string{"stream-worker", "--id", slot.id(), "--addr", addr, "--weights", fmt.Sprint(slot.weights()), "--phase", string(slot.phase)},
	}
	if err := s.addProcess(slot.process); err != nil {
		return err
	}
	s.list.Put(slot.listed())
	return nil
}

// followPhases keeps the phases in the list as the workers report them.
func (s *streamSoak) followPhases(ctx context.Context) {
	client := http.Client{Timeout: phasePause}
	for host.Sleep(ctx, phasePause) {
		for _, worker := range s.list.Split() {
			var report struct {
				Phase workerstandin.Phase `json:"phase"`
			}
			response, err := client.Get("http://" + worker.Addr + "/report")
			if decodeResponse(response, err, &report) == nil {
				s.list.SetPhase(worker.ID, report.Phase)
			}
		}
	}
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
		{"another incarnation at the same listener", func(slot *streamWorkerSlot, _ time.Duration) {
			old := slot.id()
			slot.process.signal(syscall.SIGUSR1)
			slot.renewed++
			s.list.Put(slot.listed())
			time.Sleep(crashedListTime)
			s.list.Remove(old)
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
			s.signalController()
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
	switch s.rng.IntN(5) {
	case 4:
		s.freeze(routers[first])
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

// signalController ends a random controller, or freezes it.
func (s *streamSoak) signalController() {
	controllers := s.processes(controllerRole + "-")
	p := controllers[s.rng.IntN(len(controllers))]
	switch s.rng.IntN(3) {
	case 0:
		s.signalAndRestart(p, syscall.SIGTERM)
	case 1:
		s.signalAndRestart(p, syscall.SIGKILL)
	case 2:
		s.freeze(p)
	}
}

// freeze stops a process for a while. It may be killed meanwhile.
func (s *streamSoak) freeze(p *process) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if !p.running() {
		return
	}
	duration := time.Duration(s.rng.Int64N(int64(maxFreeze)))
	logf("%s: frozen for %v", p.Name, duration)
	frozen := p.cmd.Process
	frozen.Signal(syscall.SIGSTOP)
	s.restarts.Go(func() {
		time.Sleep(duration)
		s.stateMu.Lock()
		s.thaws = append(s.thaws, thaw{p.machine(), time.Now()})
		s.stateMu.Unlock()
		frozen.Signal(syscall.SIGCONT)
	})
}

// thaw is the end of a machine's freeze.
type thaw struct {
	machine string
	at      time.Time
}

// machine returns the name of the machine that a role of the platform runs on.
func (p *process) machine() string {
	_, machine, _ := strings.Cut(p.Name, "-")
	return machine
}

// isExcused reports whether what was seen of a caller came right after the end of its freeze. The id of a caller begins with
// the name of its machine.
func (s *streamSoak) isExcused(v workerstandin.Violation) bool {
	return slices.ContainsFunc(s.thaws, func(t thaw) bool {
		return strings.HasPrefix(v.Owner, t.machine+"-") &&
			v.At.After(t.at.Add(-time.Millisecond)) && v.At.Before(t.at.Add(thawSlack))
	})
}
