// A soak test of streams: real processes of the users' platform, with stand-in workers that answer in every framing of
// HTTP/1.1. Workers, routers and controllers are killed, stopped and replaced while clients check their answers.

package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"keelstair.example/internal/settings"
	"keelstair.example/platform/workerstandin"
)

type streamsCmd struct {
	Dir         string `arg:"--dir" default:"testbed-data" help:"directory for data and logs; its contents are deleted first"`
	BinDir      string `arg:"--bin" default:"bin" help:"directory with the programs"`
	Machines    int    `arg:"--machines" default:"3" help:"number of machines, each with a router; the first three have a controller"`
	Workers     int    `arg:"--workers" default:"9" help:"number of worker processes that do everything"`
	Split       int    `arg:"--split-workers" default:"6" help:"number of worker processes that read prompts or continue them"`
	Clients     int    `arg:"--clients" default:"48" help:"number of clients"`
	LoadSeconds int    `arg:"--load" default:"30" help:"duration of the load in seconds; faults are injected in the first three quarters"`
	Seed        uint64 `arg:"--seed" default:"1"`
	WorkersOnly bool   `arg:"--workers-only" help:"inject faults into workers alone"`
}

type streamWorkerCmd struct {
	ID      string `arg:"--id,required" help:"id of this incarnation"`
	Addr    string `arg:"--addr,required" help:"address to serve"`
	Weights int    `arg:"--weights" help:"version of the weights"`
	Phase   string `arg:"--phase" help:"what the worker does; everything if empty"`
}

// check returns an error for numbers that a run can't have.
func (c *streamsCmd) check() error {
	switch {
	case c.Machines < controllerCount || c.Machines > maxMachines:
		return settings.InvalidField("machines", "%d is not between %d and %d", c.Machines, controllerCount, maxMachines)
	case c.Workers < 2 || c.Workers+c.Split > maxWorkers:
		return settings.InvalidField("workers", "%d is not between 2 and %d", c.Workers, maxWorkers-c.Split)
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
	usage    *workerstandin.UsageReports
	listener net.Listener
	workers  []*streamWorkerSlot

	stateMu    sync.Mutex
	outcomes   []*timedOutcome
	version    int // the newest acknowledged version of the document
	readers    documentReaders
	violations []error // what was seen during the run
	thaws      []thaw
}

// timedOutcome is an outcome with the time at which its request was sent.
type timedOutcome struct {
	*workerstandin.Outcome
	sentAt time.Time
}

// runStreamWorker serves as a worker until the context ends and the answers that have begun are complete. At SIGUSR1 it
// becomes another incarnation.
func runStreamWorker(ctx context.Context, c *streamWorkerCmd) error {
	worker := &workerstandin.Worker{ID: c.ID, Weights: c.Weights, Phase: workerstandin.Phase(c.Phase), Runs: os.Stdout}
	renewals := make(chan os.Signal, 1)
	signal.Notify(renewals, syscall.SIGUSR1)
	go func() {
		for range renewals {
			worker.Renew()
		}
	}()
	listener, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return err
	}
	return worker.Serve(ctx, listener)
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
	lastFault := time.Now().Add(duration * 3 / 4)
	faultCtx, stopFaults := context.WithDeadline(ctx, lastFault)
	defer stopFaults()
	loadCtx, stopLoad := context.WithTimeout(ctx, duration)
	defer stopLoad()
	var tasks sync.WaitGroup
	tasks.Go(func() { s.injectFaults(faultCtx) })
	tasks.Go(func() { s.changeDocument(faultCtx) })
	tasks.Go(func() { s.followPhases(loadCtx) })
	for range controllerCount {
		tasks.Go(func() { s.readDocuments(loadCtx) })
	}
	for n := range c.Clients {
		tasks.Go(func() { s.sendRequests(loadCtx, n) })
	}
	tasks.Wait()
	s.restarts.Wait()
	return s.check(lastFault)
}
