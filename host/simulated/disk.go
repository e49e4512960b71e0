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
	w     *World
	files map[string][]byte
	logs  map[string][][]byte
	delay time.Duration
	stall bool
	count int
}

func newDisk(w *World) *disk {
	return &disk{w: w, files: map[string][]byte{}, logs: map[string][][]byte{}, delay: time.Millisecond}
}

// Disk sets how long a step takes.
func (m *Machine) Disk(delay time.Duration) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.disk.delay = delay
}

// Stall stops or wakes the disk.
func (m *Machine) Stall(on bool) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.disk.stall = on
	m.world.shake()
}

// Wipe loses all that the disk held, and what a dying process was still writing.
func (m *Machine) Wipe() {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	next := newDisk(m.world)
	next.delay, next.stall, next.count = m.disk.delay, m.disk.stall, m.disk.count
	m.disk = next
}

// Syncs counts the steps that were made durable.
func (m *Machine) Syncs() int {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	return m.disk.count
}

// Stored counts the bytes that the disk holds.
func (m *Machine) Stored() int {
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

type handle struct{ p *Proc }

var errDead = errors.New("the process is dead")

// step waits as the disk makes it wait, then runs f under the world's lock. If
// the process dies meanwhile, torn decides with chance what was left.
func (h *handle) step(name string, write bool, f, torn func(d *disk)) error {
	w := h.p.at.world
	if !h.p.gate() {
		return failure.As(errDead, failure.Lost, name, "disk")
	}
	w.mu.Lock()
	d := h.p.at.disk
	for d.stall && !h.p.dead {
		ring := w.ring
		w.mu.Unlock()
		<-ring
		w.mu.Lock()
	}
	wait := d.delay
	w.mu.Unlock()
	if write && wait > 0 {
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-h.p.done:
			t.Stop()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.p.dead {
		if torn != nil && w.rng.IntN(2) == 0 {
			torn(d)
		}
		return failure.As(errDead, failure.Lost, name, "disk")
	}
	if write {
		d.count++
	}
	f(d)
	return nil
}

func (h *handle) Save(name string, body []byte) error {
	put := func(d *disk) { d.files[name] = slices.Clone(body) }
	return h.step("save "+name, true, put, put)
}

func (h *handle) Load(name string) ([]byte, error) {
	var out []byte
	ok := false
	err := h.step("load "+name, false, func(d *disk) { out, ok = d.files[name] }, nil)
	if err == nil && !ok {
		err = failure.As(host.ErrGone, failure.Lost, "load "+name, "disk")
	}
	return slices.Clone(out), err
}

func (h *handle) Drop(name string) error {
	return h.step("drop "+name, true, func(d *disk) { delete(d.files, name); delete(d.logs, name) }, nil)
}

func (h *handle) List() ([]string, error) {
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

type rowLog struct {
	h    *handle
	name string
}

func (h *handle) Create(name string) (host.Log, error) {
	put := func(d *disk) { d.logs[name] = nil }
	err := h.step("create "+name, true, put, put)
	return &rowLog{h, name}, err
}

func (h *handle) Open(name string) (host.Log, [][]byte, error) {
	var rows [][]byte
	ok := false
	err := h.step("open "+name, false, func(d *disk) {
		rows, ok = d.logs[name]
		rows = slices.Clone(rows)
	}, nil)
	if err == nil && !ok {
		err = failure.As(host.ErrGone, failure.Lost, "open "+name, "disk")
	}
	return &rowLog{h, name}, rows, err
}

func (l *rowLog) Append(rows [][]byte) error {
	add := func(d *disk, n int) {
		for _, r := range rows[:n] {
			d.logs[l.name] = append(d.logs[l.name], slices.Clone(r))
		}
	}
	return l.h.step("append "+l.name, true, func(d *disk) { add(d, len(rows)) },
		func(d *disk) { add(d, d.w.rng.IntN(len(rows)+1)) })
}

func (l *rowLog) Close() error { return nil }
