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
	Delay          time.Duration
	BytesPerSecond int // bytes a second; 0 is no bound
	Blocked        bool
}

type linkKey struct{ from, to string }

// World holds all machines.
type World struct {
	mu          sync.Mutex
	random      *rand.Rand
	start       time.Time
	machines    map[string]*Machine
	links       map[linkKey]Link
	DefaultLink Link
	changed     chan struct{}
}

// Machine is a place with an IP number and a disk that outlives its processes.
type Machine struct {
	IP         string
	world      *World
	frozen     bool
	poweredOff bool
	clockSkew  time.Duration
	disk       *disk
	processes  map[*Process]bool
	listeners  map[string]*listener
	link       machineLink
}

// machineLink is what all connections of a machine share, one way in and one way out.
type machineLink struct {
	bytesPerSecond     int // 0 is no bound
	sent               int // bytes so far
	sendFree, recvFree time.Time
}

// Process is one process on a machine; it ends when killed.
type Process struct {
	machine     *Machine
	dead        bool
	done        chan struct{}
	connections map[*pipe]*pipe
}

// NewWorld makes an empty world; the seed decides what chance decides.
func NewWorld(seed uint64) *World {
	return &World{
		random:      rand.New(rand.NewPCG(seed, 11)),
		start:       time.Now(),
		machines:    map[string]*Machine{},
		links:       map[linkKey]Link{},
		DefaultLink: Link{Delay: 500 * time.Microsecond},
		changed:     make(chan struct{}),
	}
}

// Machine gives the machine of an IP number, made at first use.
func (w *World) Machine(ip string) *Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[ip]
	if m == nil {
		m = &Machine{IP: ip, world: w, processes: map[*Process]bool{}, listeners: map[string]*listener{}}
		m.disk = newDisk(w)
		w.machines[ip] = m
	}
	return m
}

// SetLinkRate bounds the bytes a second that the machine sends over all its connections, and as
// many that it receives; 0 is no bound.
func (m *Machine) SetLinkRate(bytesPerSecond int) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.link.bytesPerSecond = bytesPerSecond
}

// BytesSent counts what the machine has sent so far.
func (m *Machine) BytesSent() int {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	return m.link.sent
}

// send gives when bytes that leave now have gone out of the machine.
func (l *machineLink) send(now time.Time, bytes int) time.Time {
	l.sent += bytes
	return l.transfer(&l.sendFree, now, bytes)
}

// receive gives when bytes that arrive at a moment have come into the machine.
func (l *machineLink) receive(at time.Time, bytes int) time.Time {
	return l.transfer(&l.recvFree, at, bytes)
}

func (l *machineLink) transfer(free *time.Time, at time.Time, bytes int) time.Time {
	if l.bytesPerSecond <= 0 {
		return at
	}
	if free.Before(at) {
		*free = at
	}
	*free = free.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	return *free
}

// notify wakes everyone who waits on the state of the world. The caller holds mu.
func (w *World) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// SetLink changes the link from one machine to another.
func (w *World) SetLink(from, to string, l Link) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links[linkKey{from, to}] = l
	w.notify()
}

// Block cuts or heals all links from one group to another, one way.
func (w *World) Block(from, to []string, blocked bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			l, ok := w.links[linkKey{a, b}]
			if !ok {
				l = w.DefaultLink
			}
			l.Blocked = blocked
			w.links[linkKey{a, b}] = l
		}
	}
	w.notify()
}

// Partition cuts or heals all links between two groups, both ways.
func (w *World) Partition(a, b []string, blocked bool) {
	w.Block(a, b, blocked)
	w.Block(b, a, blocked)
}

// Slow sets the speed of all links into and out of a machine; 0 heals.
func (w *World) Slow(ip string, speed int, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other := range w.machines {
		for _, p := range []linkKey{{ip, other}, {other, ip}} {
			l, ok := w.links[p]
			if !ok {
				l = w.DefaultLink
			}
			l.BytesPerSecond, l.Delay = speed, delay
			if speed == 0 && delay == 0 {
				l.Delay = w.DefaultLink.Delay
			}
			w.links[p] = l
		}
	}
	w.notify()
}

func (w *World) link(from, to string) Link {
	if l, ok := w.links[linkKey{from, to}]; ok {
		return l
	}
	return w.DefaultLink
}

// Start begins a process; Host is its edge to the world.
func (m *Machine) Start() *Process {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	p := &Process{machine: m, done: make(chan struct{}), connections: map[*pipe]*pipe{}}
	m.processes[p] = true
	m.poweredOff = false
	m.world.notify()
	return p
}

// Host is what the process sees.
func (p *Process) Host() host.Host {
	return host.Host{Clock: processClock{p}, Net: processNet{p}, Disk: &processDisk{p}}
}

// Done is closed when the process is killed.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill ends the process at once; its peers see their connections reset.
func (p *Process) Kill() {
	w := p.machine.world
	w.mu.Lock()
	defer w.mu.Unlock()
	p.kill(true)
	w.notify()
}

func (p *Process) kill(reset bool) {
	if p.dead {
		return
	}
	p.dead = true
	close(p.done)
	delete(p.machine.processes, p)
	for a, e := range p.machine.listeners {
		if e.proc == p {
			delete(p.machine.listeners, a)
			e.shutdown()
		}
	}
	for in, out := range p.connections {
		in.fail(errReset)
		if reset {
			out.fail(errReset)
		}
	}
}

// PowerOff ends every process without a word to anyone; the machine is silent
// until a process starts again.
func (m *Machine) PowerOff() {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.poweredOff = true
	for p := range m.processes {
		p.kill(false)
	}
	m.world.notify()
}

// Freeze stops or wakes every process of the machine. Its clock goes on.
func (m *Machine) Freeze(on bool) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.frozen = on
	m.world.notify()
}

// JumpClock moves the machine's clock ahead.
func (m *Machine) JumpClock(d time.Duration) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.clockSkew += d
}

// awaitThaw waits while the process is frozen; it is false once the process is dead.
func (p *Process) awaitThaw() bool {
	w := p.machine.world
	w.mu.Lock()
	defer w.mu.Unlock()
	for p.machine.frozen && !p.dead {
		changed := w.changed
		w.mu.Unlock()
		<-changed
		w.mu.Lock()
	}
	return !p.dead
}

type processClock struct{ process *Process }

// Now does not wait for a frozen machine to wake: it is asked under locks. A
// frozen process is held at its next step on the network or the disk instead,
// which is the harsher case: what it had checked before is old by then.
func (c processClock) Now() ids.Tick {
	c.process.machine.world.mu.Lock()
	defer c.process.machine.world.mu.Unlock()
	return ids.Tick(time.Since(c.process.machine.world.start) + c.process.machine.clockSkew + time.Hour)
}

func (c processClock) Wall() time.Time { return time.Now() }

type processNet struct{ process *Process }

func (n processNet) Listen(addr string) (net.Listener, error) { return n.process.listen(addr) }

func (n processNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return n.process.dial(ctx, addr)
}
