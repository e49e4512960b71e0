// Versions of the worker list. Each change makes a new version. A node records which workers the
// latest changes affected, so that a peer with an earlier version gets only those rows.

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
	changesRetained    = 32                     // newest changes from which a delta can be made
	slowStartTolerance = 300 * time.Millisecond // difference of slow-start times that is no change
)

// workerListVersion is a version of the worker list, sorted by ID. It is immutable once published.
type workerListVersion struct {
	workers     []Worker
	requestedAt ids.Tick // when the list was requested from the platform
	receivedAt  ids.Tick // when the platform's response arrived; slow-start times are measured from it
	seq         uint64   // increases with each change
	version     uint64   // hash of the content, so that nodes that queried the platform separately agree on it
	changes     []listChange
}

// listChange is the step from one version to the next.
type listChange struct {
	from, to uint64
	workers  []ids.WorkerID
}

// find returns the worker with the given ID, or nil if it is not listed.
func (r *workerListVersion) find(id ids.WorkerID) *Worker {
	for i := range r.workers {
		if r.workers[i].ID == id {
			return &r.workers[i]
		}
	}
	return nil
}

// changedSince returns the workers that changed after a version. It returns false if that version is
// older than the retained changes.
func (r *workerListVersion) changedSince(version uint64) (map[ids.WorkerID]bool, bool) {
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

// next returns the successor of this list. If version is 0, next assigns the version itself.
func (r *workerListVersion) next(list []Worker, version uint64, requestedAt, receivedAt ids.Tick) *workerListVersion {
	list = sortedByID(list)
	out := &workerListVersion{
		workers:     list,
		requestedAt: requestedAt,
		receivedAt:  receivedAt,
		seq:         r.seq,
		version:     r.version,
		changes:     r.changes,
	}
	changed := changedWorkers(reduceSlowStart(r.workers, receivedAt.Since(r.receivedAt)), list)
	if r.seq > 0 && len(changed) == 0 && (version == 0 || version == r.version) {
		return out
	}
	if version == 0 {
		version = versionOf(list)
	}
	for version == r.version || version == 0 { // only slow-start times changed
		version = rand.Uint64()
	}
	kept := r.changes[max(0, len(r.changes)-changesRetained+1):]
	out.changes = append(slices.Clone(kept), listChange{r.version, version, changed})
	out.seq, out.version = r.seq+1, version
	return out
}

// versionOf hashes everything in a list except the slow-start times.
func versionOf(list []Worker) uint64 {
	version := uint64(len(list))
	var row []byte
	for i := range list {
		w := &list[i]
		row = row[:0]
		for _, field := range []string{string(w.ID), w.Service, w.Addr, string(w.Zone), string(w.Role)} {
			row = append(append(row, field...), 0)
		}
		row = strconv.AppendInt(row, int64(w.Concurrency), 10)
		row = strconv.AppendBool(row, w.Leaving)
		version = ids.Mix(version ^ ids.Hash(string(row)))
	}
	return version
}

// byID compares workers by ID.
func byID(a, b Worker) int { return cmp.Compare(a.ID, b.ID) }

func sortedByID(list []Worker) []Worker {
	if slices.IsSortedFunc(list, byID) {
		return list
	}
	out := slices.Clone(list)
	slices.SortStableFunc(out, byID)
	return out
}

// reduceSlowStart returns a copy of the list with the slow-start times reduced by the elapsed time.
func reduceSlowStart(list []Worker, elapsed time.Duration) []Worker {
	out := append([]Worker(nil), list...)
	for i := range out {
		out[i].SlowStart = max(0, out[i].SlowStart-elapsed)
	}
	return out
}

// changedWorkers returns the workers that differ between two lists sorted by ID. Slow-start times that
// agree within slowStartTolerance are no difference.
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

// sameWorker reports whether two entries are equal, with a tolerance for the slow-start time.
func sameWorker(a, b Worker) bool {
	difference := a.SlowStart - b.SlowStart
	a.SlowStart, b.SlowStart = 0, 0
	return a == b && difference <= slowStartTolerance && difference >= -slowStartTolerance
}

// applyDelta returns the list with the changed rows replaced or added and the removed workers left
// out.
func applyDelta(list []Worker, rows []Worker, removed []ids.WorkerID) []Worker {
	replaced := make(map[ids.WorkerID]bool, len(rows)+len(removed))
	for _, w := range rows {
		replaced[w.ID] = true
	}
	for _, id := range removed {
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

// changeSignal wakes all goroutines that wait for the next version of the list.
type changeSignal struct {
	mu      sync.Mutex
	changed chan struct{}
}

// next returns a channel that is closed when the next version is installed.
func (s *changeSignal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// notify wakes the waiting goroutines.
func (s *changeSignal) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
