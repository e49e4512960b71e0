// The processes of a soak test of streams.

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"keelstair.example/ids"
	"keelstair.example/platform/workerstandin"
)

const (
	controllerCount  = 3
	maxMachines      = 120
	maxWorkers       = 200
	firstMachinePort = 21000 // below the ports of outgoing connections
	firstWorkerPort  = 22000
	portsPerMachine  = 8
	startTimeout     = time.Minute // for the first document, and for each router

	controllerRole = "controller"
	routerRole     = "router"
)

// newStreamSoak prepares the directory and the addresses of a run.
func newStreamSoak(c *streamsCmd) (*streamSoak, error) {
	if err := os.RemoveAll(c.Dir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return nil, err
	}
	f := &fleet{opt: &upCmd{Dir: c.Dir, BinDir: c.BinDir}}
	pid := os.Getpid()
	s := &streamSoak{
		soak:    &soak{fleet: f, rng: rand.New(rand.NewPCG(c.Seed, 0))},
		opt:     c,
		network: fmt.Sprintf("127.%d.%d.", 1+pid/250%250, pid%250),
		list:    &workerstandin.WorkerList{},
		usage:   &workerstandin.UsageReports{},
	}
	var err error
	s.listener, err = net.Listen("tcp", s.network+"250:0")
	if err != nil {
		return nil, err
	}
	platform := http.NewServeMux()
	platform.Handle("/workers", s.list)
	platform.Handle("/metering", s.usage)
	go http.Serve(s.listener, platform)
	s.planMachines()
	return s, nil
}

// close kills all processes and removes nothing, so that their logs can be read.
func (s *streamSoak) close() {
	s.stop()
	s.listener.Close()
}

// planMachines sets the addresses of all machines.
func (s *streamSoak) planMachines() {
	zones := []string{"a", "b", "c"}
	for i := range s.opt.Machines {
		ip := s.network + fmt.Sprint(1+i%200)
		port := firstMachinePort + i*portsPerMachine
		addr := func(n int) string { return fmt.Sprintf("%s:%d", ip, port+n) }
		s.machines = append(s.machines, &workerstandin.Machine{
			Name: fmt.Sprintf("machine-%d", i+1), IP: ip, Zone: zones[i%len(zones)], Zones: zones,
			FrontendAddr: addr(0), ReadinessAddr: addr(1), ControlAddr: addr(2), FirstPort: port + 3, LastPort: port + 7,
			StateDir: filepath.Join(s.opt.Dir, fmt.Sprintf("state-%d", i+1)),
			ListAddr: s.listener.Addr().String(),
			Metering: true,
		})
	}
	for _, m := range s.machines {
		for _, seed := range s.machines[:controllerCount] {
			m.Seeds = append(m.Seeds, seed.ControlAddr)
		}
	}
}

// start starts all processes and waits until the routers are ready.
func (s *streamSoak) start(ctx context.Context) error {
	for i := range s.opt.Workers + s.opt.Split {
		slot := &streamWorkerSlot{number: i, zone: s.machines[i%controllerCount].Zone}
		if i >= s.opt.Workers {
			slot.phase = workerstandin.EmitPhase // routers order some of them to read prompts
		}
		s.workers = append(s.workers, slot)
		if err := s.startWorker(slot, s.newWorkerAddr(slot)); err != nil {
			return err
		}
	}
	for i, m := range s.machines {
		if i < controllerCount {
			if err := s.startRole(m, controllerRole); err != nil {
				return err
			}
		}
		if err := s.startRole(m, routerRole); err != nil {
			return err
		}
	}
	if err := s.retry(ctx, startTimeout, func() error { return s.putDocument(0, 1) }); err != nil {
		return err
	}
	for _, m := range s.machines {
		if err := s.retry(ctx, startTimeout, func() error { return get(m.ReadinessAddr, "/readiness") }); err != nil {
			return fmt.Errorf("%s is not ready: %w", m.Name, err)
		}
	}
	logf("%d processes run, all routers are ready", len(s.processes("")))
	return nil
}

// startRole starts the controller or the router of a machine.
func (s *streamSoak) startRole(m *workerstandin.Machine, role string) error {
	ofRole := *m
	ofRole.Controller = role == controllerRole
	path := filepath.Join(s.opt.Dir, m.Name+"-"+role+".conf")
	if err := os.WriteFile(path, []byte(ofRole.Settings()), 0o644); err != nil {
		return err
	}
	p := &process{
		Name: role + "-" + m.Name, Kind: "platform", Zone: ids.Zone(m.Zone), Addr: m.ControlAddr,
		args: []string{role}, env: []string{workerstandin.Environment(path)},
	}
	return s.addProcess(p)
}

// addProcess starts a process that is stopped with the fleet.
func (s *streamSoak) addProcess(p *process) error {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if err := s.startProcess(p); err != nil {
		return err
	}
	s.procs = append(s.procs, p)
	return nil
}
