// The simulated disk. A step takes its time and takes effect at its end; a
// process that dies within a step leaves all, part or none of it behind, as
// chance has it. A disk can be slow, stall, or be lost.

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

// SetDiskDelay sets how long a step takes.
func (m *Machine) SetDiskDelay(delay time.Duration) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.disk.delay = delay
}

// StallDisk stops or wakes the disk.
func (m *Machine) StallDisk(on bool) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.disk.stalled = on
	m.world.notify()
}

// WipeDisk loses all that the disk held, and what a dying process was still writing.
func (m *Machine) WipeDisk() {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	next := newDisk(m.world)
	next.delay, next.stalled, next.syncs = m.disk.delay, m.disk.stalled, m.disk.syncs
	m.disk = next
}

// SyncCount counts the steps that were made durable.
func (m *Machine) SyncCount() int {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	return m.disk.syncs
}

// StoredBytes counts the bytes that the disk holds.
func (m *Machine) StoredBytes() int {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	total := 0
	for _, body := range m.disk.files {
		total += len(body)
	}
	for _, rows := range m.disk.logs {
		for _, row := range rows {
			total += len(row)
		}
	}
	return total
}

type processDisk struct{ process *Process }

var errDead = errors.New("the process is dead")

// step waits as the disk makes it wait, then runs f under the world's lock. If
// the process dies meanwhile, torn decides with chance what was left.
func (h *processDisk) step(name string, write bool, f, torn func(d *disk)) error {
	w := h.process.machine.world
	if !h.process.awaitThaw() {
		return failure.As(errDead, failure.DataLost, name, "disk")
	}
	w.mu.Lock()
	d := h.process.machine.disk
	for d.stalled && !h.process.dead {
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
		case <-h.process.done:
			t.Stop()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.process.dead {
		if torn != nil && w.random.IntN(2) == 0 {
			torn(d)
		}
		return failure.As(errDead, failure.DataLost, name, "disk")
	}
	if write {
		d.syncs++
	}
	f(d)
	return nil
}

func (h *processDisk) Save(name string, body []byte) error {
	put := func(d *disk) { d.files[name] = slices.Clone(body) }
	return h.step("save "+name, true, put, put)
}

func (h *processDisk) Load(name string) ([]byte, error) {
	var out []byte
	ok := false
	err := h.step("load "+name, false, func(d *disk) { out, ok = d.files[name] }, nil)
	if err == nil && !ok {
		err = failure.As(host.ErrNotExist, failure.DataLost, "load "+name, "disk")
	}
	return slices.Clone(out), err
}

func (h *processDisk) Remove(name string) error {
	return h.step("drop "+name, true, func(d *disk) { delete(d.files, name); delete(d.logs, name) }, nil)
}

func (h *processDisk) List() ([]string, error) {
	var out []string
	err := h.step("list", false, func(d *disk) {
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

func (h *processDisk) Create(name string) (host.Log, error) {
	put := func(d *disk) { d.logs[name] = nil }
	err := h.step("create "+name, true, put, put)
	return &processLog{h, name}, err
}

func (h *processDisk) Open(name string) (host.Log, [][]byte, error) {
	var rows [][]byte
	ok := false
	err := h.step("open "+name, false, func(d *disk) {
		rows, ok = d.logs[name]
		rows = slices.Clone(rows)
	}, nil)
	if err == nil && !ok {
		err = failure.As(host.ErrNotExist, failure.DataLost, "open "+name, "disk")
	}
	return &processLog{h, name}, rows, err
}

func (l *processLog) Append(rows [][]byte) error {
	add := func(d *disk, n int) {
		for _, r := range rows[:n] {
			d.logs[l.name] = append(d.logs[l.name], slices.Clone(r))
		}
	}
	return l.disk.step("append "+l.name, true, func(d *disk) { add(d, len(rows)) },
		func(d *disk) { add(d, d.world.random.IntN(len(rows)+1)) })
}

func (l *processLog) Close() error { return nil }
