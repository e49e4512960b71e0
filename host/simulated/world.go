// Package simulated is the simulated twin of package host: machines with clocks, disks
// and a network, all within one process and meant for a testing/synctest
// bubble, where time is free. Links slow down, are cut one way or both, and
// heal; machines freeze and wake, lose power, or lose their disks. Nothing here
// uses a socket or a file.
package simulated

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
)

// Link is how one machine reaches another.
type Link struct {
	Delay time.Duration
	Speed int // bytes a second; 0 is no bound
	Cut   bool
}

type pair struct{ from, to string }

// World holds all machines.
type World struct {
	mu       sync.Mutex
	rng      *rand.Rand
	start    time.Time
	machines map[string]*Machine
	links    map[pair]Link
	Plain    Link
	ring     chan struct{}
}

// Machine is a place with an IP number and a disk that outlives its processes.
type Machine struct {
	IP     string
	world  *World
	frozen bool
	dark   bool
	ahead  time.Duration
	disk   *disk
	procs  map[*Proc]bool
	ears   map[string]*ear
}

// Proc is one process on a machine; it ends when killed.
type Proc struct {
	at   *Machine
	dead bool
	done chan struct{}
	cons map[*half]*half
}

// NewWorld makes an empty world; the seed decides what chance decides.
func NewWorld(seed uint64) *World {
	return &World{rng: rand.New(rand.NewPCG(seed, 11)), start: time.Now(), machines: map[string]*Machine{}, links: map[pair]Link{},
		Plain: Link{Delay: 500 * time.Microsecond}, ring: make(chan struct{})}
}

// Machine gives the machine of an IP number, made at first use.
func (w *World) Machine(ip string) *Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[ip]
	if m == nil {
		m = &Machine{IP: ip, world: w, procs: map[*Proc]bool{}, ears: map[string]*ear{}}
		m.disk = newDisk(w)
		w.machines[ip] = m
	}
	return m
}

// shake wakes everyone who waits on the state of the world. The caller holds mu.
func (w *World) shake() {
	close(w.ring)
	w.ring = make(chan struct{})
}

// Set changes the link from one machine to another.
func (w *World) Set(from, to string, l Link) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links[pair{from, to}] = l
	w.shake()
}

// Cut cuts or heals all links from one group to another, one way.
func (w *World) Cut(from, to []string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			l, ok := w.links[pair{a, b}]
			if !ok {
				l = w.Plain
			}
			l.Cut = cut
			w.links[pair{a, b}] = l
		}
	}
	w.shake()
}

// Sever cuts or heals all links between two groups, both ways.
func (w *World) Sever(a, b []string, cut bool) {
	w.Cut(a, b, cut)
	w.Cut(b, a, cut)
}

// Slow sets the speed of all links into and out of a machine; 0 heals.
func (w *World) Slow(ip string, speed int, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other := range w.machines {
		for _, p := range []pair{{ip, other}, {other, ip}} {
			l, ok := w.links[p]
			if !ok {
				l = w.Plain
			}
			l.Speed, l.Delay = speed, delay
			if speed == 0 && delay == 0 {
				l.Delay = w.Plain.Delay
			}
			w.links[p] = l
		}
	}
	w.shake()
}

func (w *World) link(from, to string) Link {
	if l, ok := w.links[pair{from, to}]; ok {
		return l
	}
	return w.Plain
}

// Start begins a process; Host is its edge to the world.
func (m *Machine) Start() *Proc {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	p := &Proc{at: m, done: make(chan struct{}), cons: map[*half]*half{}}
	m.procs[p] = true
	m.dark = false
	m.world.shake()
	return p
}

// Host is what the process sees.
func (p *Proc) Host() host.Host {
	return host.Host{Clock: clock{p}, Net: network{p}, Disk: &handle{p}}
}

// Done is closed when the process is killed.
func (p *Proc) Done() <-chan struct{} { return p.done }

// Kill ends the process at once; its neighbours see their connections reset.
func (p *Proc) Kill() {
	w := p.at.world
	w.mu.Lock()
	defer w.mu.Unlock()
	p.kill(true)
	w.shake()
}

func (p *Proc) kill(loud bool) {
	if p.dead {
		return
	}
	p.dead = true
	close(p.done)
	delete(p.at.procs, p)
	for a, e := range p.at.ears {
		if e.proc == p {
			delete(p.at.ears, a)
			e.shut()
		}
	}
	for in, out := range p.cons {
		in.fail(errReset)
		if loud {
			out.fail(errReset)
		}
	}
}

// PowerOff ends every process without a word to anyone; the machine is silent
// until a process starts again.
func (m *Machine) PowerOff() {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.dark = true
	for p := range m.procs {
		p.kill(false)
	}
	m.world.shake()
}

// Freeze stops or wakes every process of the machine. Its clock goes on.
func (m *Machine) Freeze(on bool) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.frozen = on
	m.world.shake()
}

// Leap moves the machine's clock ahead.
func (m *Machine) Leap(d time.Duration) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.ahead += d
}

// gate waits while the process is frozen; it is false once the process is dead.
func (p *Proc) gate() bool {
	w := p.at.world
	w.mu.Lock()
	defer w.mu.Unlock()
	for p.at.frozen && !p.dead {
		ring := w.ring
		w.mu.Unlock()
		<-ring
		w.mu.Lock()
	}
	return !p.dead
}

type clock struct{ p *Proc }

// Now does not wait for a frozen machine to wake: it is asked under locks. A
// frozen process is held at its next step on the network or the disk instead,
// which is the harsher case: what it had checked before is old by then.
func (c clock) Now() ids.Tick {
	c.p.at.world.mu.Lock()
	defer c.p.at.world.mu.Unlock()
	return ids.Tick(time.Since(c.p.at.world.start) + c.p.at.ahead + time.Hour)
}

func (c clock) Wall() time.Time { return time.Now() }

type network struct{ p *Proc }

func (n network) Listen(addr string) (net.Listener, error) { return n.p.listen(addr) }

func (n network) Dial(ctx context.Context, addr string) (net.Conn, error) { return n.p.dial(ctx, addr) }
