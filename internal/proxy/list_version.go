// Versions of the list of workers. Each change makes a new version, and a node keeps which
// workers the latest changes concerned, so that a peer with an earlier version gets only these.

package proxy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"keelstair.example/ids"
)

const (
	changesKept = 32                     // versions back from which a delta can be made
	coldSlip    = 300 * time.Millisecond // by which a cold time may be off and is no change
)

// roster is a list of workers, sorted by id, with the version that it is. It is not changed
// once it is published.
type roster struct {
	all     []Worker
	at      ids.Tick // when it was asked for
	got     ids.Tick // when the answer came, from which cold times count
	seq     uint64   // rises when something changed
	version uint64   // by what it says, so that nodes that asked the platform apart have the same
	changes []listChange
}

// listChange is the step from one version to the next.
type listChange struct {
	from, to uint64
	workers  []ids.WorkerID
}

// find gives the line of a life, if it is listed.
func (r *roster) find(id ids.WorkerID) *Worker {
	for i := range r.all {
		if r.all[i].ID == id {
			return &r.all[i]
		}
	}
	return nil
}

// changedSince names the workers that changed after a version; false if that version is not
// among the latest ones.
func (r *roster) changedSince(version uint64) (map[ids.WorkerID]bool, bool) {
	changed := map[ids.WorkerID]bool{}
	at := r.version
	for i := len(r.changes) - 1; i >= 0 && at != version; i-- {
		step := &r.changes[i]
		if step.to != at {
			return nil, false
		}
		for _, id := range step.workers {
			changed[id] = true
		}
		at = step.from
	}
	return changed, at == version && version != 0
}

// next makes the roster that follows. A version of 0 stands for one that this node finds.
func (r *roster) next(list []Worker, version uint64, asked, got ids.Tick) *roster {
	list = sortedByID(list)
	out := &roster{all: list, at: asked, got: got, seq: r.seq, version: r.version, changes: r.changes}
	changed := differing(cooled(r.all, got.Since(r.got)), list)
	if r.seq > 0 && len(changed) == 0 && (version == 0 || version == r.version) {
		return out
	}
	if version == 0 {
		version = versionOf(list)
	}
	for version == r.version || version == 0 { // cold times alone changed
		version = rand.Uint64()
	}
	kept := r.changes[max(0, len(r.changes)-changesKept+1):]
	out.changes = append(slices.Clone(kept), listChange{r.version, version, changed})
	out.seq, out.version = r.seq+1, version
	return out
}

// versionOf gives the version of a list by all that it says but cold times.
func versionOf(list []Worker) uint64 {
	version := uint64(len(list))
	var row []byte
	for i := range list {
		w := &list[i]
		row = row[:0]
		for _, field := range []string{string(w.ID), w.Service, w.Addr, string(w.Zone), string(w.Part)} {
			row = append(append(row, field...), 0)
		}
		row = strconv.AppendInt(row, int64(w.Slots), 10)
		row = strconv.AppendBool(row, w.Leaving)
		version = ids.Mix(version ^ ids.Hash(string(row)))
	}
	return version
}

func byID(a, b Worker) int { return cmp.Compare(a.ID, b.ID) }

func sortedByID(list []Worker) []Worker {
	if slices.IsSortedFunc(list, byID) {
		return list
	}
	out := slices.Clone(list)
	slices.SortStableFunc(out, byID)
	return out
}

// cooled is a list as it is some time later.
func cooled(list []Worker, by time.Duration) []Worker {
	out := append([]Worker(nil), list...)
	for i := range out {
		out[i].Cold = max(0, out[i].Cold-by)
	}
	return out
}

// differing names the workers that two sorted lists do not agree on, but for cold times that
// ran on.
func differing(old, list []Worker) []ids.WorkerID {
	var out []ids.WorkerID
	i, j := 0, 0
	for i < len(old) || j < len(list) {
		switch {
		case j == len(list) || i < len(old) && old[i].ID < list[j].ID:
			out = append(out, old[i].ID)
			i++
		case i == len(old) || list[j].ID < old[i].ID:
			out = append(out, list[j].ID)
			j++
		default:
			if !same(old[i], list[j]) {
				out = append(out, list[j].ID)
			}
			i++
			j++
		}
	}
	return out
}

// same tells whether two lines say the same but for a cold time that ran on.
func same(a, b Worker) bool {
	slip := a.Cold - b.Cold
	a.Cold, b.Cold = 0, 0
	return a == b && slip <= coldSlip && slip >= -coldSlip
}

// patched is a list with a delta put in: the rows that changed, without those that are gone.
func patched(list []Worker, rows []Worker, gone []ids.WorkerID) []Worker {
	replaced := make(map[ids.WorkerID]bool, len(rows)+len(gone))
	for _, w := range rows {
		replaced[w.ID] = true
	}
	for _, id := range gone {
		replaced[id] = true
	}
	out := make([]Worker, 0, len(list)+len(rows))
	for _, w := range list {
		if !replaced[w.ID] {
			out = append(out, w)
		}
	}
	out = append(out, rows...)
	slices.SortStableFunc(out, byID)
	return out
}

// signal wakes all who wait for the next version of the list.
type signal struct {
	mu   sync.Mutex
	wait chan struct{}
}

// next is closed when the next version comes.
func (s *signal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wait == nil {
		s.wait = make(chan struct{})
	}
	return s.wait
}

func (s *signal) ring() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wait != nil {
		close(s.wait)
		s.wait = nil
	}
}
