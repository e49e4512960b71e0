// Slow start: how often a worker that came up may be sent requests, over all nodes.

package proxy

import (
	"sync"
	"time"

	"keelstair.example/ids"
)

// slowStart spaces what this node sends to each cold worker.
type slowStart struct {
	mu   sync.Mutex
	last map[ids.WorkerID]ids.Tick
}

func newSlowStart() slowStart { return slowStart{last: map[ids.WorkerID]ids.Tick{}} }

// allows tells whether the gap since the last request to a cold worker went by.
func (w *slowStart) allows(id ids.WorkerID, gap time.Duration, now ids.Tick) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.last[id]
	return !ok || now.Past(at, gap)
}

// reserve notes a request to a cold worker, if it may be sent.
func (w *slowStart) reserve(id ids.WorkerID, gap time.Duration, now ids.Tick) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, ok := w.last[id]; ok && !now.Past(at, gap) {
		return false
	}
	if len(w.last) > 1000 {
		clear(w.last)
	}
	w.last[id] = now
	return true
}
