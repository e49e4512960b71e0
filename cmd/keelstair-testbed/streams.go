// A soak test of streams: real processes of the users' platform, with stand-in workers that answer in every framing of
// HTTP/1.1. Workers, routers and controllers are killed, stopped and replaced while clients check their answers.

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/settings"
	"keelstair.example/platform/workerstandin"
)

type streamsCmd struct {
	Dir         string `arg:"--dir" default:"testbed-data" help:"directory for data and logs; its contents are deleted first"`
	BinDir      string `arg:"--bin" default:"bin" help:"directory with the programs"`
	Machines    int    `arg:"--machines" default:"3" help:"number of machines, each with a router; the first three have a controller"`
	Workers     int    `arg:"--workers" default:"9" help:"number of worker processes"`
	Clients     int    `arg:"--clients" default:"48" help:"number of clients"`
	LoadSeconds int    `arg:"--load" default:"30" help:"duration of the load in seconds; faults are injected in the first three quarters"`
	Seed        uint64 `arg:"--seed" default:"1"`
	WorkersOnly bool   `arg:"--workers-only" help:"inject faults into workers alone"`
}

type streamWorkerCmd struct {
	ID   string `arg:"--id,required" help:"id of this incarnation"`
	Addr string `arg:"--addr,required" help:"address to serve"`
}

const (
	controllerCount  = 3
	firstMachinePort = 21000 // below the ports of outgoing connections
	firstWorkerPort  = 22000
	portsPerMachine  = 8
	maxMachines      = 120
	maxWorkers       = 200
	streamRouterKind = "router"
	startTimeout     = time.Minute
)

// check returns an error for numbers that a run can't have.
func (c *streamsCmd) check() error {
	switch {
	case c.Machines < controllerCount || c.Machines > maxMachines:
		return settings.InvalidField("machines", "%d is not between %d and %d", c.Machines, controllerCount, maxMachines)
	case c.Workers < 2 || c.Workers > maxWorkers:
		return settings.InvalidField("workers", "%d is not between 2 and %d", c.Workers, maxWorkers)
	}
	return nil
}

// streamSoak is the state of one soak test of streams.
type streamSoak struct {
	*soak
	opt      *streamsCmd
	network  string // prefix of the loopback addresses of this run
	machines []*workerstandin.Machine
	list     *workerstandin.WorkerList
	listener net.Listener
	workers  []*streamWorkerSlot

	mu       sync.Mutex
	outcomes []*timedOutcome
	version  int // the newest acknowledged version of the document
}

// timedOutcome is an outcome with the time at which its request was sent.
type timedOutcome struct {
	*workerstandin.Outcome
	sentAt time.Time
}

// runStreamWorker serves as a worker until the context ends and the answers that have begun are complete.
func runStreamWorker(ctx context.Context, c *streamWorkerCmd) error {
	listener, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return err
	}
	return (&workerstandin.Worker{ID: c.ID, Runs: os.Stdout}).Serve(ctx, listener)
}

func runStreams(ctx context.Context, c *streamsCmd) error {
	s, err := newStreamSoak(c)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return err
	}
	duration := time.Duration(c.LoadSeconds) * time.Second
	faultCtx, stopFaults := context.WithTimeout(ctx, duration*3/4)
	defer stopFaults()
	loadCtx, stopLoad := context.WithTimeout(ctx, duration)
	defer stopLoad()
	var tasks sync.WaitGroup
	tasks.Go(func() { s.injectFaults(faultCtx) })
	tasks.Go(func() { s.changeDocument(faultCtx) })
	for n := range c.Clients {
		tasks.Go(func() { s.sendRequests(loadCtx, n) })
	}
	tasks.Wait()
	s.restarts.Wait()
	return s.check(time.Now().Add(-duration / 4))
}

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
	}
	var err error
	s.listener, err = net.Listen("tcp", s.network+"250:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(s.listener, s.list)
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
	for i := range s.opt.Workers {
		slot := &streamWorkerSlot{number: i, zone: s.machines[i%controllerCount].Zone}
		s.workers = append(s.workers, slot)
		if err := s.startWorker(slot, s.newWorkerAddr(slot)); err != nil {
			return err
		}
	}
	for i, m := range s.machines {
		if i < controllerCount {
			if err := s.startRole(m, "controller"); err != nil {
				return err
			}
		}
		if err := s.startRole(m, streamRouterKind); err != nil {
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
	ofRole.Controller = role == "controller"
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
	s.soak.mu.Lock()
	defer s.soak.mu.Unlock()
	if err := s.startProcess(p); err != nil {
		return err
	}
	s.procs = append(s.procs, p)
	return nil
}

// putDocument sends a version of the document that replaces another one to a random controller.
func (s *streamSoak) putDocument(base, version int) error {
	addr := s.machines[rand.IntN(controllerCount)].ControlAddr
	request, err := workerstandin.NewDocumentRequest(addr, base, version)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	return decodeResponse(response, err, nil)
}

// sendRequests sends requests of one client until the context ends.
func (s *streamSoak) sendRequests(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(s.opt.Seed, uint64(number)+1))
	client := &workerstandin.Client{Pick: func() string { return s.machines[rng.IntN(len(s.machines))].FrontendAddr }}
	defer client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		sentAt := time.Now()
		o := client.Send(fmt.Sprintf("%d-%d-%d", s.opt.Seed, number, n), workerstandin.Routes[rng.IntN(len(workerstandin.Routes))])
		s.mu.Lock()
		s.outcomes = append(s.outcomes, &timedOutcome{o, sentAt})
		s.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
	}
}

// check returns an error for every violation. calmSince is a time after the last fault.
func (s *streamSoak) check(calmSince time.Time) error {
	var violations []error
	servedInCalm := 0
	summary := newStreamSummary()
	runs, err := s.countWorkerRuns()
	if err != nil {
		return err
	}
	for _, o := range s.outcomes {
		summary.add(o.Outcome)
		if text := o.Violation(); text != "" {
			violations = append(violations, fmt.Errorf("request %s to %s (%s): %s", o.ID, o.Path, o.Answer().Framing, text))
		}
		if n := runs[o.ID]; n > 1 && !o.MayRunAgain() {
			violations = append(violations, fmt.Errorf("request %s to %s ran %d times", o.ID, o.Path, n))
		}
		if o.Whole() && o.sentAt.After(calmSince) {
			servedInCalm++
		}
	}
	if servedInCalm == 0 {
		violations = append(violations, errors.New("no request was served after the last fault"))
	}
	summary.print(os.Stdout)
	s.printRouterLogs()
	logf("seed %d: %d requests, version %d, %d violations", s.opt.Seed, len(s.outcomes), s.version, len(violations))
	return errors.Join(violations...)
}

// countWorkerRuns returns how often each request was run, from the workers' logs.
func (s *streamSoak) countWorkerRuns() (map[string]int, error) {
	runs := map[string]int{}
	for _, p := range s.processes("worker-") {
		text, err := os.ReadFile(filepath.Join(s.opt.Dir, p.Name+".log"))
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(text)) {
			if rest, ok := strings.CutPrefix(line, "run "); ok {
				id, _, _ := strings.Cut(rest, " ")
				runs[id]++
			}
		}
	}
	return runs, nil
}

// printRouterLogs prints how often the routers logged each message about the end or the order of an answer.
func (s *streamSoak) printRouterLogs() {
	for _, message := range []string{"end of answer is not confirmed", "another answer follows the stream", "event out of order"} {
		count := 0
		for _, p := range s.processes(streamRouterKind + "-") {
			text, _ := os.ReadFile(filepath.Join(s.opt.Dir, p.Name+".log"))
			count += strings.Count(string(text), message)
		}
		fmt.Printf("%s: %d\n", message, count)
	}
}

// streamSummary counts outcomes by the framing of their answers.
type streamSummary map[workerstandin.Framing]*framingSummary

type framingSummary struct {
	whole, cut, cutAtEnd, refused, failed int
	endDelays                             []time.Duration
}

func newStreamSummary() streamSummary {
	return streamSummary{
		workerstandin.Length: {}, workerstandin.Chunks: {}, workerstandin.Connection: {},
	}
}

func (s streamSummary) add(o *workerstandin.Outcome) {
	f := s[o.Answer().Framing]
	switch {
	case o.Whole():
		f.whole++
		f.endDelays = append(f.endDelays, o.EndDelay)
	case o.CutAtEnd():
		f.cutAtEnd++
	case o.Status == http.StatusOK:
		f.cut++
	case o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests:
		f.refused++
	default:
		f.failed++
	}
}

func (s streamSummary) print(w io.Writer) {
	fmt.Fprintln(w, "framing     whole   cut  cut at end  refused  failed  end delay ms: median  p99")
	for _, framing := range []workerstandin.Framing{workerstandin.Length, workerstandin.Chunks, workerstandin.Connection} {
		f := s[framing]
		fmt.Fprintf(w, "%-10s %6d %5d %11d %8d %7d %21.1f %4.1f\n", framing, f.whole, f.cut, f.cutAtEnd, f.refused, f.failed,
			quantileMs(f.endDelays, 0.5), quantileMs(f.endDelays, 0.99))
	}
}
