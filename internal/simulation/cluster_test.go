// Package simulation runs whole fleets in one process, on the simulated machines of
// host/simulated and the real HTTP and connect-go stacks, breaks them as a seed says,
// and holds what was recorded against every line of what must never happen.
// This file builds a fleet; it is meant for a testing/synctest bubble.
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

// Process is one machine of the fleet with its process.
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
	Leave        context.CancelFunc // a node's SIGTERM

	mu    host.ChannelMutex // of what begins and ends it
	proc  *simulated.Process
	stop  context.CancelFunc
	begin func(b *Process, ctx context.Context, host host.Host) error
}

// Cluster is a fleet.
type Cluster struct {
	World     *simulated.World
	Site      standin.Site
	Processes []*Process
	Platform  *standin.Platform
	Recorder  *Recorder
	Seeds     []string
	Tune      func(*standin.WorkerOptions)
	Programs  map[string]fleetstate.Program
	Steps     func(handoff.Event) // told of every step of every hand-over
	Fixed     bool                // workers keep their parts
	Slack     time.Duration       // on top of the bound for an apply, where takeovers come between
	Depth     fleetstate.Retention

	base  context.Context
	shut  context.CancelFunc
	wg    sync.WaitGroup
	cores sync.Map   // *coordination.Core, every one that was started
	nodes sync.Map   // *router.Node -> name, likewise
	mu    sync.Mutex // of Processes
	out   *simulated.Process
	web   *http.Client
}

// Build sets up a site's fleet and starts all of it but the load.
func Build(seed uint64, site standin.Site, tune func(*Cluster)) *Cluster {
	c := &Cluster{World: simulated.NewWorld(seed), Site: site, Recorder: NewRecorder()}
	c.base, c.shut = context.WithCancel(context.Background())
	if tune != nil {
		tune(c)
	}
	p := c.World.Machine("10.8.0.1").Start()
	c.Platform = standin.NewPlatform(p.Host())
	c.serve(c.base, p.Host(), "10.8.0.1:80", c.Platform.Handler())
	c.wg.Go(func() { c.Platform.Run(c.base) })
	c.out = c.World.Machine("10.9.0.1").Start()
	c.web = rpc.NewHTTPClient(c.out.Host().Net)
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

func (c *Cluster) add(b *Process) *Process {
	b.mu = host.NewChannelMutex()
	c.mu.Lock()
	c.Processes = append(c.Processes, b)
	c.mu.Unlock()
	c.Start(b)
	return b
}

func (c *Cluster) serve(ctx context.Context, host host.Host, addr string, h http.Handler) error {
	l, err := host.Net.Listen(addr)
	if err != nil {
		return err
	}
	c.wg.Go(func() { rpc.Serve(ctx, l, h) })
	return nil
}

func (c *Cluster) ring(name string) *logging.Ring {
	if os.Getenv("KEELSTAIR_TALK") != "" {
		return logging.NewRing(64, os.Stderr, name)
	}
	return logging.Discard()
}

// Controller describes a disk machine.
func (c *Cluster) Controller(name, addr string, zone ids.Zone) *Process {
	ip := addr[:len(addr)-4]
	return &Process{
		Name:    name,
		Kind:    "controller",
		Zone:    zone,
		Addr:    addr,
		Machine: c.World.Machine(ip),
		begin: func(b *Process, ctx context.Context, host host.Host) error {
			core, err := coordination.New(coordination.Options{
				Addr:  addr,
				Zone:  zone,
				Host:  host,
				Seeds: c.Seeds,
				Ring:  c.ring(name),
				Machine: func() coordination.StateMachine {
					return fleetstate.NewMachine(fleetstate.MachineOptions{Retention: c.Depth, WallClock: host.Clock.Wall})
				},
			})
			if err != nil {
				return err
			}
			b.Core = core
			c.cores.Store(core, true)
			mux := http.NewServeMux()
			core.Mount(mux)
			c.wg.Go(func() { core.Run(ctx) })
			return c.serve(ctx, host, addr, mux)
		},
	}
}

// Router describes a router node.
func (c *Cluster) Router(name, ip string, zone ids.Zone) *Process {
	return &Process{
		Name:         name,
		Kind:         "router",
		Zone:         zone,
		Addr:         ip + ":701",
		FrontendAddr: ip + ":80",
		Machine:      c.World.Machine(ip),
		begin: func(b *Process, ctx context.Context, host host.Host) error {
			n := router.New(router.Options{
				Name:     name,
				Addr:     b.Addr,
				Zone:     zone,
				Seeds:    c.Seeds,
				Platform: "10.8.0.1:80",
				Host:     host,
				Ring:     c.ring(name),
				Trace: func(e handoff.Event) {
					c.Recorder.Step(name, e, b.Node.View().Current().Version)
					if c.Steps != nil {
						c.Steps(e)
					}
				},
			})
			b.Node = n
			c.nodes.Store(n, name)
			in, out := http.NewServeMux(), http.NewServeMux()
			n.Mount(in)
			api.RegisterClientAPI(out, n)
			api.RegisterOperatorAPI(out, n)
			cx, leave := context.WithCancel(ctx)
			b.Leave = leave
			c.wg.Go(func() { n.Run(cx, 3*time.Second) })
			c.Platform.AddNode(b.FrontendAddr, zone)
			if err := c.serve(ctx, host, b.Addr, in); err != nil {
				return err
			}
			return c.serve(ctx, host, b.FrontendAddr, out)
		},
	}
}

// Worker describes a stand-in worker.
func (c *Cluster) Worker(id ids.WorkerID, w fleetstate.Worker, ip string) *Process {
	return &Process{
		Name:    string(id),
		Kind:    "worker",
		Zone:    w.Zone,
		Addr:    ip + ":90",
		Machine: c.World.Machine(ip),
		begin: func(b *Process, ctx context.Context, host host.Host) error {
			opt := standin.WorkerOptions{
				ID:        id,
				Addr:      b.Addr,
				Role:      w.Role,
				Capacity:  w.Capacity,
				BlockSize: w.BlockSize,
				Host:      host,
				Model:     workerclient.Model{Name: w.Model, Weights: w.Weights, Adapters: w.Adapters},
			}
			// Slow enough that a breakdown finds work in flight.
			opt.StepTime, opt.PrefillPerToken = 10*time.Millisecond, 80*time.Microsecond
			if c.Tune != nil {
				c.Tune(&opt)
			}
			k := standin.NewWorker(opt)
			k.OnEvent = c.Recorder.Worker
			b.Worker = k
			c.Recorder.Life(k)
			c.wg.Go(func() { k.Run(ctx) })
			c.Platform.SetWorker(workerclient.ListedWorker{ID: id, Addr: b.Addr, Zone: w.Zone})
			return c.serve(ctx, host, b.Addr, k.Handler())
		},
	}
}

// Start begins a box's process.
func (c *Cluster) Start(b *Process) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Up {
		return nil
	}
	ctx, stop := context.WithCancel(c.base)
	b.proc, b.stop, b.Up = b.Machine.Start(), stop, true
	err := b.begin(b, ctx, b.proc.Host())
	if err != nil {
		b.kill()
	}
	return err
}

// Kill ends a box's process at once, as kill -9 does.
func (c *Cluster) Kill(b *Process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kill()
}

func (b *Process) kill() {
	if b.Up {
		b.Up = false
		b.proc.Kill()
		b.stop()
	}
}

// PowerOff takes a box's power: nobody is told, and a disk step that was under
// way is left as chance has it.
func (c *Cluster) PowerOff(b *Process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Up {
		b.Up = false
		b.Machine.PowerOff()
		b.stop()
	}
}

// Of lists boxes of a kind.
func (c *Cluster) Of(kind string) []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Process
	for _, b := range c.Processes {
		if b.Kind == kind {
			out = append(out, b)
		}
	}
	return out
}

// Leader is the controller that leads, or nil.
func (c *Cluster) Leader() *Process {
	for _, b := range c.Of("controller") {
		if b.Up && b.Core.Leads() {
			return b
		}
	}
	return nil
}

// Until waits for something to become true.
func (c *Cluster) Until(span time.Duration, f func() bool) bool {
	end := time.Now().Add(span)
	for !f() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// Found waits for the core and applies the site's first configuration.
func (c *Cluster) Found() error {
	if !c.Until(10*time.Second, func() bool { return c.Leader() != nil }) {
		return fmt.Errorf("no core was founded")
	}
	text := c.Site.Policy(c.Programs)
	if c.Fixed {
		text = strings.Replace(text, "{", `{"switch": false,`, 1)
	}
	var err error
	c.Until(10*time.Second, func() bool {
		_, err = c.Apply(&api.ApplyRequest{Op: "first", Base: 0, Source: text})
		return err == nil
	})
	if err != nil {
		return err
	}
	if !c.Until(10*time.Second, func() bool {
		for _, b := range c.Of("router") {
			if ok, _ := b.Node.Ready(); b.Up && !ok {
				return false
			}
		}
		return len(c.Platform.ReadyNodes("")) > 0
	}) {
		return fmt.Errorf("the nodes did not become ready")
	}
	return nil
}

// Apply asks the first door that answers.
func (c *Cluster) Apply(a *api.ApplyRequest) (*api.ApplyResponse, error) {
	got := &api.ApplyResponse{}
	return got, c.Operate("/v1/policy", a, got)
}

// Mark evacuates, drains, or takes that back.
func (c *Cluster) Mark(path, op string, out bool) error {
	return c.Operate(path, &api.MarkRequest{Op: op, Out: out}, nil)
}

// Operate asks the doors of the nodes that are up, as keelstairctl does.
func (c *Cluster) Operate(path string, in, out any) error {
	var doors []string
	for _, b := range running(c, "router") {
		doors = append(doors, b.FrontendAddr)
	}
	cx, stop := context.WithTimeout(c.base, 8*time.Second)
	defer stop()
	return api.Send(cx, c.web, doors, http.MethodPost, path, in, out)
}

// At asks one node's door.
func (c *Cluster) At(b *Process, path string, in, out any) error {
	cx, stop := context.WithTimeout(c.base, 6*time.Second)
	defer stop()
	return api.Send(cx, c.web, []string{b.FrontendAddr}, http.MethodPost, path, in, out)
}

// Load sends the site's mix for a span and waits for every answer.
func (c *Cluster) Load(rate float64, span time.Duration, seed uint64) []standin.Outcome {
	return c.Mix(c.Site.Classes, rate, span, seed)
}

// Mix sends another mix of shapes.
func (c *Cluster) Mix(shapes []standin.StreamClass, rate float64, span time.Duration, seed uint64) []standin.Outcome {
	return standin.Load(c.base, standin.LoadOptions{
		Host:     c.out.Host(),
		Nodes:    c.Platform.ReadyNodes,
		Zones:    c.Site.Zones,
		Classes:  shapes,
		Rate:     rate,
		Duration: span,
		Seed:     seed,
		Model:    c.Site.Model,
		Weights:  []string{standin.SiteWeights, "w2"},
		Retries:  8,
	})
}

// Close ends the fleet and everything in it.
func (c *Cluster) Close() {
	for _, b := range c.Processes {
		b.Machine.Freeze(false)
		b.Machine.StallDisk(false)
		c.Kill(b)
	}
	c.shut()
	c.web.CloseIdleConnections()
	c.out.Kill()
	for _, ip := range []string{"10.8.0.1", "10.9.0.1"} {
		c.World.Machine(ip).PowerOff()
	}
	c.wg.Wait()
	time.Sleep(30 * time.Second) // simulated: what is under way runs out
}
