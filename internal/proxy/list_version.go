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
	changesRetained    = 32                     // versions back from which a delta can be made
	slowStartTolerance = 300 * time.Millisecond // by which a cold time may be off and is no change
)

// endpointList is a list of workers, sorted by id, with the version that it is. It is not changed
// once it is published.
type endpointList struct {
	workers     []Worker
	requestedAt ids.Tick // when it was asked for
	receivedAt  ids.Tick // when the answer came, from which cold times count
	seq         uint64   // rises when something changed
	version     uint64   // by what it says, so that nodes that asked the platform apart have the same
	changes     []listChange
}

// listChange is the step from one version to the next.
type listChange struct {
	from, to uint64
	workers  []ids.WorkerID
}

// find gives the line of a life, if it is listed.
func (r *endpointList) find(id ids.WorkerID) *Worker {
	for i := range r.workers {
		if r.workers[i].ID == id {
			return &r.workers[i]
		}
	}
	return nil
}

// changedSince names the workers that changed after a version; false if that version is not
// among the latest ones.
func (r *endpointList) changedSince(version uint64) (map[ids.WorkerID]bool, bool) {
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

// next makes the endpoint list that follows. A version of 0 stands for one that this node finds.
func (r *endpointList) next(list []Worker, version uint64, asked, got ids.Tick) *endpointList {
	list = sortedByID(list)
	out := &endpointList{
		workers:     list,
		requestedAt: asked,
		receivedAt:  got,
		seq:         r.seq,
		version:     r.version,
		changes:     r.changes,
	}
	changed := changedWorkers(reduceSlowStart(r.workers, got.Since(r.receivedAt)), list)
	if r.seq > 0 && len(changed) == 0 && (version == 0 || version == r.version) {
		return out
	}
	if version == 0 {
		version = versionOf(list)
	}
	for version == r.version || version == 0 { // cold times alone changed
		version = rand.Uint64()
	}
	kept := r.changes[max(0, len(r.changes)-changesRetained+1):]
	out.changes = append(slices.Clone(kept), listChange{r.version, version, changed})
	out.seq, out.version = r.seq+1, version
	return out
}

// versionOf gives the version of a list by all that it says but cold times.
func versionOf(list []Worker) uint64 {
	version := uint64(len(list))
	var rows []byte
	for i := range list {
		w := &list[i]
		rows = rows[:0]
		for _, field := range []string{string(w.ID), w.Service, w.Addr, string(w.Zone), string(w.Role)} {
			rows = append(append(rows, field...), 0)
		}
		rows = strconv.AppendInt(rows, int64(w.Concurrency), 10)
		rows = strconv.AppendBool(rows, w.Leaving)
		version = ids.Mix(version ^ ids.Hash(string(rows)))
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

// reduceSlowStart is a list as it is some time later.
func reduceSlowStart(list []Worker, by time.Duration) []Worker {
	out := append([]Worker(nil), list...)
	for i := range out {
		out[i].SlowStart = max(0, out[i].SlowStart-by)
	}
	return out
}

// changedWorkers names the workers that two sorted lists do not agree on, but for cold times that
// ran on.
func changedWorkers(previous, list []Worker) []ids.WorkerID {
	var out []ids.WorkerID
	i, j := 0, 0
	for i < len(previous) || j < len(list) {
		switch {
		case j == len(list) || i < len(previous) && previous[i].ID < list[j].ID:
			out = append(out, previous[i].ID)
			i++
		case i == len(previous) || list[j].ID < previous[i].ID:
			out = append(out, list[j].ID)
			j++
		default:
			if !sameWorker(previous[i], list[j]) {
				out = append(out, list[j].ID)
			}
			i++
			j++
		}
	}
	return out
}

// sameWorker tells whether two lines say the same but for a cold time that ran on.
func sameWorker(a, b Worker) bool {
	slip := a.SlowStart - b.SlowStart
	a.SlowStart, b.SlowStart = 0, 0
	return a == b && slip <= slowStartTolerance && slip >= -slowStartTolerance
}

// applyDelta is a list with a delta put in: the rows that changed, without those that are gone.
func applyDelta(list []Worker, rows []Worker, gone []ids.WorkerID) []Worker {
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

// changeSignal wakes all who wait for the next version of the list.
type changeSignal struct {
	mu      sync.Mutex
	changed chan struct{}
}

// next is closed when the next version comes.
func (s *changeSignal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *changeSignal) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
