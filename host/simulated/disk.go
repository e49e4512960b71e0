// The simulated disk. A write takes effect when its delay has elapsed. If the process dies
// during a write, a random choice decides whether the write takes effect, and for an append
// to a log, how many of the entries are stored; a removal never takes effect then. A disk can
// be slow, stall, or lose its content.

package simulated

import (
	"errors"
	"slices"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
)

type disk struct {
	world   *World
	files   map[string][]byte
	logs    map[string][][]byte
	delay   time.Duration
	stalled bool
	syncs   int
}

func newDisk(w *World) *disk {
	return &disk{world: w, files: map[string][]byte{}, logs: map[string][][]byte{}, delay: time.Millisecond}
}

// SetDiskDelay sets how long a write takes.
func (m *Machine) SetDiskDelay(delay time.Duration) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.disk.delay = delay
}

// StallDisk stalls the disk, or resumes it if stalled is false. Operations that start on a stalled
// disk wait until it is resumed.
func (m *Machine) StallDisk(stalled bool) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.disk.stalled = stalled
	m.world.notify()
}

// WipeDisk erases the disk. Operations in progress, including writes of a dying process, still use
// the old content, so their writes are lost as well.
func (m *Machine) WipeDisk() {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	next := newDisk(m.world)
	next.delay, next.stalled, next.syncs = m.disk.delay, m.disk.stalled, m.disk.syncs
	m.disk = next
}

// SyncCount returns the number of writes that completed. It omits those that took effect although
// the process died during the write.
func (m *Machine) SyncCount() int {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	return m.disk.syncs
}

// StoredBytes returns the number of bytes stored on the disk.
func (m *Machine) StoredBytes() int {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	total := 0
	for _, body := range m.disk.files {
		total += len(body)
	}
	for _, entries := range m.disk.logs {
		for _, entry := range entries {
			total += len(entry)
		}
	}
	return total
}

type processDisk struct{ process *Process }

var errProcessDead = errors.New("the process is dead")

// perform waits while the machine is frozen or the disk is stalled. A write also waits for the
// disk's delay. perform then runs apply under the world's lock. If the process dies while perform
// waits for the disk, applyTorn runs with probability 1/2 instead, unless it is nil. Errors contain
// the given step.
func (p *processDisk) perform(step string, write bool, apply, applyTorn func(d *disk)) error {
	w := p.process.machine.world
	if !p.process.waitWhileFrozen() {
		return failure.As(errProcessDead, failure.DataLost, step, "disk")
	}
	w.mu.Lock()
	d := p.process.machine.disk
	for d.stalled && !p.process.dead {
		changed := w.changed
		w.mu.Unlock()
		<-changed
		w.mu.Lock()
	}
	wait := d.delay
	w.mu.Unlock()
	if write && wait > 0 {
		t := host.NewTimer(wait)
		select {
		case <-t.C:
		case <-p.process.done:
			t.Stop()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.process.dead {
		if applyTorn != nil && w.random.IntN(2) == 0 {
			applyTorn(d)
		}
		return failure.As(errProcessDead, failure.DataLost, step, "disk")
	}
	if write {
		d.syncs++
	}
	apply(d)
	return nil
}

func (p *processDisk) Save(name string, body []byte) error {
	store := func(d *disk) { d.files[name] = slices.Clone(body) }
	return p.perform("save "+name, true, store, store)
}

func (p *processDisk) Load(name string) ([]byte, error) {
	var out []byte
	ok := false
	err := p.perform("load "+name, false, func(d *disk) { out, ok = d.files[name] }, nil)
	if err == nil && !ok {
		err = failure.As(host.ErrNotExist, failure.DataLost, "load "+name, "disk")
	}
	return slices.Clone(out), err
}

func (p *processDisk) Remove(name string) error {
	return p.perform("drop "+name, true, func(d *disk) { delete(d.files, name); delete(d.logs, name) }, nil)
}

func (p *processDisk) List() ([]string, error) {
	var out []string
	err := p.perform("list", false, func(d *disk) {
		for n := range d.files {
			out = append(out, n)
		}
		for n := range d.logs {
			out = append(out, n)
		}
	}, nil)
	slices.Sort(out)
	return out, err
}

type processLog struct {
	disk *processDisk
	name string
}

func (p *processDisk) Create(name string) (host.Log, error) {
	store := func(d *disk) { d.logs[name] = nil }
	err := p.perform("create "+name, true, store, store)
	return &processLog{p, name}, err
}

func (p *processDisk) Open(name string) (host.Log, [][]byte, error) {
	var entries [][]byte
	ok := false
	err := p.perform("open "+name, false, func(d *disk) {
		entries, ok = d.logs[name]
		entries = slices.Clone(entries)
	}, nil)
	if err == nil && !ok {
		err = failure.As(host.ErrNotExist, failure.DataLost, "open "+name, "disk")
	}
	return &processLog{p, name}, entries, err
}

func (l *processLog) Append(entries [][]byte) error {
	appendFirst := func(d *disk, n int) {
		for _, entry := range entries[:n] {
			d.logs[l.name] = append(d.logs[l.name], slices.Clone(entry))
		}
	}
	return l.disk.perform("append "+l.name, true, func(d *disk) { appendFirst(d, len(entries)) },
		func(d *disk) { appendFirst(d, d.world.random.IntN(len(entries)+1)) })
}

func (l *processLog) Close() error { return nil }
