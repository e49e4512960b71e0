// Package simulation runs complete fleets in one process, on the simulated machines of
// host/simulated and the real HTTP and connect-go stacks. It injects failures that are chosen
// by a seed and checks the recorded events against safety and liveness rules.
// This file builds a fleet, which must run within a testing/synctest bubble.
package simulation

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/router"
	"keelstair.example/internal/standin"
	"keelstair.example/internal/workerclient"
	"keelstair.example/logging"
	"keelstair.example/rpc"
)

// Process is a machine of the fleet and the process that runs on it.
type Process struct {
	Name         string
	Kind         string
	Zone         ids.Zone
	Addr         string
	FrontendAddr string
	Machine      *simulated.Machine
	Core         *coordination.Core
	Node         *router.Node
	Worker       *standin.Worker
	Up           bool
	Shutdown     context.CancelFunc // starts a router's graceful shutdown, as SIGTERM does

	mu      host.ChannelMutex // serializes starting and stopping
	process *simulated.Process
	cancel  context.CancelFunc
	start   func(p *Process, ctx context.Context, host host.Host) error
}

// Cluster is a simulated fleet of controllers, routers and workers with their platform and clients.
type Cluster struct {
	World          *simulated.World
	Site           standin.Site
	Processes      []*Process
	Platform       *standin.Platform
	Recorder       *Recorder
	Seeds          []string
	TuneWorker     func(*standin.WorkerOptions) // changes the options of a worker before it starts, if set
	Programs       map[string]fleetstate.Program
	OnHandoffEvent func(handoff.Event) // called for every step of every handoff, if set
	FixedRoles     bool                // disables the role changes of workers
	ApplySlack     time.Duration       // extra time for an apply; if 0, the version must be active in its response
	Retention      fleetstate.Retention

	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	cores         sync.Map   // *coordination.Core -> true, including those that have stopped
	nodes         sync.Map   // *router.Node -> name, including those that have stopped
	mu            sync.Mutex // guards Processes
	clientProcess *simulated.Process
	httpClient    *http.Client
}

// Build creates a site's fleet and starts all its processes, but sends no load. It calls tune, if set, before it
// starts anything.
func Build(seed uint64, site standin.Site, tune func(*Cluster)) *Cluster {
	c := &Cluster{World: simulated.NewWorld(seed), Site: site, Recorder: NewRecorder()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if tune != nil {
		tune(c)
	}
	p := c.World.Machine("10.8.0.1").Start()
	c.Platform = standin.NewPlatform(p.Host())
	c.serve(c.ctx, p.Host(), "10.8.0.1:80", c.Platform.Handler())
	c.wg.Go(func() { c.Platform.Run(c.ctx) })
	c.clientProcess = c.World.Machine("10.9.0.1").Start()
	c.httpClient = rpc.NewHTTPClient(c.clientProcess.Host().Net)
	for i := range 3 {
		c.Seeds = append(c.Seeds, fmt.Sprintf("10.1.0.%d:700", i+1))
	}
	for i, a := range c.Seeds {
		c.add(c.Controller(fmt.Sprintf("controller-%d", i+1), a, site.Zones[i%len(site.Zones)]))
	}
	for i := range site.Nodes {
		c.add(c.Router(fmt.Sprintf("router-%d", i+1), fmt.Sprintf("10.2.0.%d", i+1), site.Zones[i%len(site.Zones)]))
	}
	for i, id := range site.WorkerIDs() {
		c.add(c.Worker(id, site.Worker(i), fmt.Sprintf("10.3.0.%d", i+1)))
	}
	return c
}

func (c *Cluster) add(p *Process) *Process {
	p.mu = host.NewChannelMutex()
	c.mu.Lock()
	c.Processes = append(c.Processes, p)
	c.mu.Unlock()
	c.Start(p)
	return p
}

func (c *Cluster) serve(ctx context.Context, host host.Host, addr string, h http.Handler) error {
	l, err := host.Net.Listen(addr)
	if err != nil {
		return err
	}
	c.wg.Go(func() { rpc.Serve(ctx, l, h) })
	return nil
}

func (c *Cluster) logRing(name string) *logging.Ring {
	if os.Getenv("KEELSTAIR_TALK") != "" {
		return logging.NewRing(64, os.Stderr, name)
	}
	return logging.Discard()
}

// Controller describes a process that serves the coordination state and stores it on its machine's disk.
func (c *Cluster) Controller(name, addr string, zone ids.Zone) *Process {
	ip := addr[:len(addr)-4]
	return &Process{
		Name:    name,
		Kind:    "controller",
		Zone:    zone,
		Addr:    addr,
		Machine: c.World.Machine(ip),
		start: func(p *Process, ctx context.Context, host host.Host) error {
			core, err := coordination.New(coordination.Options{
				Addr:  addr,
				Zone:  zone,
				Host:  host,
				Seeds: c.Seeds,
				Ring:  c.logRing(name),
				Machine: func() coordination.StateMachine {
					return fleetstate.NewMachine(fleetstate.MachineOptions{Retention: c.Retention, WallClock: host.Clock.Wall})
				},
			})
			if err != nil {
				return err
			}
			p.Core = core
			c.cores.Store(core, true)
			mux := http.NewServeMux()
			core.Mount(mux)
			c.wg.Go(func() { core.Run(ctx) })
			return c.serve(ctx, host, addr, mux)
		},
	}
}

// exitDelay is the time from the end of a router's shutdown to the exit of its process.
const exitDelay = 50 * time.Millisecond

// Router describes a router with one address for its peers and one for the frontend.
func (c *Cluster) Router(name, ip string, zone ids.Zone) *Process {
	return &Process{
		Name:         name,
		Kind:         "router",
		Zone:         zone,
		Addr:         ip + ":701",
		FrontendAddr: ip + ":80",
		Machine:      c.World.Machine(ip),
		start: func(p *Process, ctx context.Context, host host.Host) error {
			n := router.New(router.Options{
				Name:     name,
				Addr:     p.Addr,
				Zone:     zone,
				Seeds:    c.Seeds,
				Platform: "10.8.0.1:80",
				Host:     host,
				Ring:     c.logRing(name),
				Trace: func(e handoff.Event) {
					c.Recorder.RecordHandoffEvent(name, e, p.Node.View().Current().Version)
					if c.OnHandoffEvent != nil {
						c.OnHandoffEvent(e)
					}
				},
			})
			p.Node = n
			c.nodes.Store(n, name)
			peerMux := http.NewServeMux()
			n.Mount(peerMux)
			nodeCtx, shutdown := context.WithCancel(ctx)
			p.Shutdown = shutdown
			c.wg.Go(func() {
				n.Run(nodeCtx, 3*time.Second)
				if ctx.Err() == nil {
					time.Sleep(exitDelay)
					c.Kill(p)
				}
			})
			c.Platform.AddNode(p.FrontendAddr, zone)
			if err := c.serve(ctx, host, p.Addr, peerMux); err != nil {
				return err
			}
			return c.serve(ctx, host, p.FrontendAddr, n.FrontendHandler())
		},
	}
}

// Worker describes a worker that simulates inference. The process adds itself to the platform's worker list.
func (c *Cluster) Worker(id ids.WorkerID, w fleetstate.Worker, ip string) *Process {
	return &Process{
		Name:    string(id),
		Kind:    "worker",
		Zone:    w.Zone,
		Addr:    ip + ":90",
		Machine: c.World.Machine(ip),
		start: func(p *Process, ctx context.Context, host host.Host) error {
			opt := standin.WorkerOptions{
				ID:        id,
				Addr:      p.Addr,
				Role:      w.Role,
				Capacity:  w.Capacity,
				BlockSize: w.BlockSize,
				Host:      host,
				Model:     workerclient.Model{Name: w.Model, Weights: w.Weights, Adapters: w.Adapters},
			}
			// These times are long enough that requests are in flight when a failure is injected.
			opt.StepTime, opt.PrefillPerToken = 10*time.Millisecond, 80*time.Microsecond
			if c.TuneWorker != nil {
				c.TuneWorker(&opt)
			}
			worker := standin.NewWorker(opt)
			worker.OnEvent = c.Recorder.RecordWorkerEvent
			p.Worker = worker
			c.Recorder.AddWorker(worker)
			c.wg.Go(func() { worker.Run(ctx) })
			c.Platform.SetWorker(workerclient.ListedWorker{ID: id, Addr: p.Addr, Zone: w.Zone})
			return c.serve(ctx, host, p.Addr, worker.Handler())
		},
	}
}

// Start starts the process of a machine unless it is running.
func (c *Cluster) Start(p *Process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Up {
		return nil
	}
	ctx, stop := context.WithCancel(c.ctx)
	p.process, p.cancel, p.Up = p.Machine.Start(), stop, true
	err := p.start(p, ctx, p.process.Host())
	if err != nil {
		p.kill()
	}
	return err
}

// Kill ends a process at once, as kill -9 does.
func (c *Cluster) Kill(p *Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kill()
}

func (p *Process) kill() {
	if p.Up {
		p.Up = false
		p.process.Kill()
		p.cancel()
	}
}

// PowerOff cuts a machine's power. Its connections aren't closed, and an unfinished disk write may
// be lost, partial or complete, as the seed decides.
func (c *Cluster) PowerOff(p *Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Up {
		p.Up = false
		p.Machine.PowerOff()
		p.cancel()
	}
}

// ProcessesOf returns the processes of a kind (controller, router or worker), running or not.
func (c *Cluster) ProcessesOf(kind string) []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Process
	for _, p := range c.Processes {
		if p.Kind == kind {
			out = append(out, p)
		}
	}
	return out
}

// Leader returns the first running controller that reports that it is the leader, or nil.
func (c *Cluster) Leader() *Process {
	for _, p := range c.ProcessesOf("controller") {
		if p.Up && p.Core.Leads() {
			return p
		}
	}
	return nil
}

// WaitUntil calls f every 20 ms until it returns true, and returns false if that takes longer than span.
func (c *Cluster) WaitUntil(span time.Duration, f func() bool) bool {
	end := time.Now().Add(span)
	for !f() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// Bootstrap waits until a controller leads, applies the site's first configuration and waits until all running
// routers are ready and the platform lists at least one of them as ready.
func (c *Cluster) Bootstrap() error {
	if !c.WaitUntil(10*time.Second, func() bool { return c.Leader() != nil }) {
		return fmt.Errorf("no controller became the leader")
	}
	text := c.Site.Policy(c.Programs)
	if c.FixedRoles {
		text = strings.Replace(text, "{", `{"switch": false,`, 1)
	}
	var err error
	c.WaitUntil(10*time.Second, func() bool {
		_, err = c.Apply(&api.ApplyRequest{Op: "first", BaseVersion: 0, Source: text})
		return err == nil
	})
	if err != nil {
		return err
	}
	if !c.WaitUntil(10*time.Second, func() bool {
		for _, p := range c.ProcessesOf("router") {
			if ok, _ := p.Node.Ready(); p.Up && !ok {
				return false
			}
		}
		return len(c.Platform.ReadyNodes("")) > 0
	}) {
		return fmt.Errorf("the routers did not become ready")
	}
	return nil
}

// Apply sends an apply request to the frontends of the running routers until one returns a final result.
func (c *Cluster) Apply(a *api.ApplyRequest) (*api.ApplyResponse, error) {
	got := &api.ApplyResponse{}
	return got, c.Post("/v1/policy", a, got)
}

// SetDrained evacuates the zone or drains the worker that the path names, or restores it if out is false.
func (c *Cluster) SetDrained(path, op string, out bool) error {
	return c.Post(path, &api.MarkRequest{Op: op, Out: out}, nil)
}

// Post sends an operator's request to the frontends of the running routers until one returns a final result, as
// keelstairctl does.
func (c *Cluster) Post(path string, in, out any) error {
	var frontends []string
	for _, p := range running(c, "router") {
		frontends = append(frontends, p.FrontendAddr)
	}
	ctx, stop := context.WithTimeout(c.ctx, 8*time.Second)
	defer stop()
	return api.Send(ctx, c.httpClient, frontends, http.MethodPost, path, in, out)
}

// PostTo sends an operator's request to one router's frontend.
func (c *Cluster) PostTo(p *Process, path string, in, out any) error {
	ctx, stop := context.WithTimeout(c.ctx, 6*time.Second)
	defer stop()
	return api.Send(ctx, c.httpClient, []string{p.FrontendAddr}, http.MethodPost, path, in, out)
}

// Load sends requests of the site's stream classes for the duration span and waits until every request has ended.
func (c *Cluster) Load(rate float64, span time.Duration, seed uint64) []standin.Outcome {
	return c.LoadClasses(c.Site.Classes, rate, span, seed)
}

// LoadClasses is Load with the given stream classes.
func (c *Cluster) LoadClasses(
	classes []standin.StreamClass,
	rate float64,
	span time.Duration,
	seed uint64,
) []standin.Outcome {
	return standin.RunLoad(c.ctx, standin.LoadOptions{
		Host:     c.clientProcess.Host(),
		Nodes:    c.Platform.ReadyNodes,
		Zones:    c.Site.Zones,
		Classes:  classes,
		Rate:     rate,
		Duration: span,
		Seed:     seed,
		Model:    c.Site.Model,
		Weights:  []string{standin.SiteWeights, "w2"},
		Retries:  8,
	})
}

// Close stops all processes of the fleet, waits until their goroutines have ended, and then another 30 s of
// simulated time until pending calls have timed out.
func (c *Cluster) Close() {
	for _, p := range c.Processes {
		p.Machine.Freeze(false)
		p.Machine.StallDisk(false)
		c.Kill(p)
	}
	c.cancel()
	c.httpClient.CloseIdleConnections()
	c.clientProcess.Kill()
	for _, ip := range []string{"10.8.0.1", "10.9.0.1"} {
		c.World.Machine(ip).PowerOff()
	}
	c.wg.Wait()
	time.Sleep(30 * time.Second)
}
