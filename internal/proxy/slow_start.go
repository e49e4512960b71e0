// Slow start: limits the rate of requests from all nodes to a worker that has just started.

package proxy

import (
	"sync"
	"time"

	"keelstair.example/ids"
)

// slowStart records when this node last sent a request to each cold worker.
type slowStart struct {
	mu   sync.Mutex
	last map[ids.WorkerID]ids.Tick
}

func newSlowStart() slowStart { return slowStart{last: map[ids.WorkerID]ids.Tick{}} }

// allows reports whether the interval since the last request to a cold worker has passed.
func (w *slowStart) allows(id ids.WorkerID, interval time.Duration, now ids.Tick) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.last[id]
	return !ok || now.Past(at, interval)
}

// reserve records a request to a cold worker and returns true, if the interval has passed.
func (w *slowStart) reserve(id ids.WorkerID, interval time.Duration, now ids.Tick) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, ok := w.last[id]; ok && !now.Past(at, interval) {
		return false
	}
	if len(w.last) > 1000 {
		clear(w.last)
	}
	w.last[id] = now
	return true
}
