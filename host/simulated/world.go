// Package simulated implements package host with simulated machines, which have clocks,
// disks and a network. All machines run in a single operating system process, inside a
// testing/synctest bubble, where waiting takes no real time. Links can be slowed, blocked in
// one or both directions, and unblocked; machines can be frozen, lose power, or lose their
// disks. The simulation uses no sockets. Except for PowerLoss, which works on a real
// directory, it uses no files.
package simulated

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
)

// Link holds the properties of the network path from one machine to another.
type Link struct {
	Delay          time.Duration
	BytesPerSecond int // 0 means unlimited
	Blocked        bool
}

type linkKey struct{ from, to string }

// World holds all simulated machines and the links between them.
type World struct {
	mu          sync.Mutex
	random      *rand.Rand
	start       time.Time
	machines    map[string]*Machine
	links       map[linkKey]Link
	DefaultLink Link          // link between any two machines without an entry in links
	changed     chan struct{} // closed and replaced by notify
}

// Machine has an IP address, runs processes, and has a disk that outlives them.
type Machine struct {
	IP           string
	world        *World
	frozen       bool
	poweredOff   bool
	clockSkew    time.Duration
	disk         *disk
	processes    map[*Process]bool
	listeners    map[string]*listener
	netInterface networkInterface
}

// networkInterface is a machine's network interface. All connections of the machine share its
// bandwidth, separately for each direction.
type networkInterface struct {
	bytesPerSecond            int // 0 means unlimited
	bytesSent                 int // total number of bytes that the machine has sent
	sendFreeAt, receiveFreeAt time.Time
}

// Process is a process on a machine. It runs until it is killed.
type Process struct {
	machine     *Machine
	dead        bool
	done        chan struct{}
	connections map[*pipe]*pipe // from the incoming pipe of each connection to its outgoing pipe
}

// NewWorld returns an empty world whose random choices derive from seed.
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

// Machine returns the machine with the IP address ip, and creates it on first use.
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

// SetBandwidth limits the bytes per second that the machine sends over all its connections, and
// separately those that it receives, to bytesPerSecond. 0 means unlimited.
func (m *Machine) SetBandwidth(bytesPerSecond int) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.netInterface.bytesPerSecond = bytesPerSecond
}

// BytesSent returns the number of bytes that the machine has sent so far.
func (m *Machine) BytesSent() int {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	return m.netInterface.bytesSent
}

// reserveSend counts the bytes as sent, reserves the sending direction for them, and returns when
// the last of them leaves the machine.
func (n *networkInterface) reserveSend(now time.Time, bytes int) time.Time {
	n.bytesSent += bytes
	return n.reserve(&n.sendFreeAt, now, bytes)
}

// reserveReceive reserves the receiving direction for data that arrives at the given time, and
// returns when the last byte has been received.
func (n *networkInterface) reserveReceive(at time.Time, bytes int) time.Time {
	return n.reserve(&n.receiveFreeAt, at, bytes)
}

// reserve returns when a transfer of bytes that may start at the given time ends, and sets
// *freeAt, the time from which this direction of the interface is free, to that end.
func (n *networkInterface) reserve(freeAt *time.Time, at time.Time, bytes int) time.Time {
	if n.bytesPerSecond <= 0 {
		return at
	}
	if freeAt.Before(at) {
		*freeAt = at
	}
	*freeAt = freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(n.bytesPerSecond))
	return *freeAt
}

// notify wakes all goroutines that wait for a change of the simulation's state. The caller holds mu.
func (w *World) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// SetLink sets the properties of the link from one machine to another.
func (w *World) SetLink(from, to string, l Link) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links[linkKey{from, to}] = l
	w.notify()
}

// Block blocks all links from the machines in from to those in to, in that direction only, or
// unblocks them if blocked is false. It ignores the link of a machine to itself.
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

// Partition blocks all links between two groups of machines in both directions, or unblocks them if
// blocked is false.
func (w *World) Partition(a, b []string, blocked bool) {
	w.Block(a, b, blocked)
	w.Block(b, a, blocked)
}

// SetMachineLinks sets the speed and the delay of the links, in both directions, between a machine
// and each machine that exists at the time of the call, including itself. If both values are 0, it
// restores the default delay and sets unlimited speed, even if DefaultLink has a limit.
func (w *World) SetMachineLinks(ip string, bytesPerSecond int, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other := range w.machines {
		for _, key := range []linkKey{{ip, other}, {other, ip}} {
			l, ok := w.links[key]
			if !ok {
				l = w.DefaultLink
			}
			l.BytesPerSecond, l.Delay = bytesPerSecond, delay
			if bytesPerSecond == 0 && delay == 0 {
				l.Delay = w.DefaultLink.Delay
			}
			w.links[key] = l
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

// Start starts a process on the machine and powers the machine on if necessary.
func (m *Machine) Start() *Process {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	p := &Process{machine: m, done: make(chan struct{}), connections: map[*pipe]*pipe{}}
	m.processes[p] = true
	m.poweredOff = false
	m.world.notify()
	return p
}

// Host returns the clock, network and disk of the machine as the process accesses them.
func (p *Process) Host() host.Host {
	return host.Host{Clock: processClock{p}, Net: processNet{p}, Disk: &processDisk{p}}
}

// Done is closed when the process is killed.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill ends the process immediately. Its connections end as a kernel ends them: a peer reads the end of the
// stream after the data in transit, or a reset if it had sent data that the process has not read.
func (p *Process) Kill() {
	w := p.machine.world
	w.mu.Lock()
	defer w.mu.Unlock()
	p.kill(true)
	w.notify()
}

// kill ends the process and its ends of its connections. If closePeers is true, the peers' ends are closed
// or reset, too. The caller holds mu.
func (p *Process) kill(closePeers bool) {
	if p.dead {
		return
	}
	p.dead = true
	close(p.done)
	delete(p.machine.processes, p)
	for addr, l := range p.machine.listeners {
		if l.process == p {
			delete(p.machine.listeners, addr)
			l.shutdown()
		}
	}
	for in, out := range p.connections {
		unread := in.chunks.Len() > 0
		in.fail(errReset)
		switch {
		case closePeers && unread:
			out.fail(errReset)
		case closePeers:
			out.fail(io.EOF)
		}
	}
}

// PowerOff ends every process without notifying its peers. The machine is unreachable
// until a process is started again. If the machine is frozen, it remains frozen.
func (m *Machine) PowerOff() {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.poweredOff = true
	for p := range m.processes {
		p.kill(false)
	}
	m.world.notify()
}

// Freeze freezes the machine, or resumes it if frozen is false. While it is frozen, its processes
// block when they dial, read, write or access the disk. Its clock continues to run.
func (m *Machine) Freeze(frozen bool) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.frozen = frozen
	m.world.notify()
}

// JumpClock advances the time that the machine's processes get from Now by d. Wall is unaffected.
func (m *Machine) JumpClock(d time.Duration) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.clockSkew += d
}

// waitWhileFrozen blocks while the process's machine is frozen, and returns false if the process
// is dead.
func (p *Process) waitWhileFrozen() bool {
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

// Now does not block while the machine is frozen, because its callers may hold locks. The process
// blocks at its next network or disk operation instead. What it checked before that operation may
// be outdated when the operation runs, which is harder for the tested code to handle than a stop
// in Now. Ticks start at one hour.
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
