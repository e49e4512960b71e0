// Slow start: limits the rate of requests from all nodes to a worker that has just started.

package proxy

import (
	"math"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	unlimitedRate       = 1e9  // requests a second; a higher rate counts as this one
	maxSlowStartRecords = 1000 // cold workers; if there are more, all records are dropped
	slowStartMargin     = 20 * time.Millisecond
	// minRateInterval is the interval between the requests of a node that may send one a second, with a margin.
	minRateInterval = 1050 * time.Millisecond
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
	if len(w.last) > maxSlowStartRecords {
		clear(w.last)
	}
	w.last[id] = now
	return true
}

// slowStartAllows reports whether a worker may get a request now, and the minimum interval before
// the next one if it is cold. A node that is cut off treats every worker as cold.
func (n *Node) slowStartAllows(w *Worker, service *fleetstate.Service, received, now ids.Tick) (time.Duration, bool) {
	if n.coldFor(w, service, received, now) <= 0 && (service.SlowStartRate <= 0 || !n.isolated(now)) {
		return 0, true
	}
	interval, ok := n.slowStartInterval(w.ID, service)
	return interval, ok && n.slowStart.allows(w.ID, interval, now)
}

// slowStartDelay repeats the check of slowStartAllows for a worker that was picked some time ago,
// before others were tried.
func (n *Node) slowStartDelay(id ids.WorkerID, service *fleetstate.Service) (time.Duration, bool) {
	list := n.currentList.Load()
	w := list.find(id)
	if w == nil || !acceptsWork(n.snapshot(), w) {
		return 0, false
	}
	return n.slowStartAllows(w, service, list.receivedAt, n.now())
}

// slowStartInterval returns the minimum interval between this node's requests to a cold worker, so
// that all nodes together stay below the worker's slow-start rate, with a margin of 2 requests a
// second for the fleet, 1 for each node, and some ms on the interval. If the nodes outnumber the
// requests that the worker may get a second, only the highest ranked nodes may send to it, and the
// result is false for the others.
func (n *Node) slowStartInterval(id ids.WorkerID, service *fleetstate.Service) (time.Duration, bool) {
	fleetRate := min(service.SlowStartRate*n.options.SlowStartOvershoot, unlimitedRate)
	fleetLimit := int(fleetRate) + n.options.SlowStartAllowance - 2
	nodes := int(math.Round(1 / n.nodeShare()))
	if perNode := fleetLimit / nodes; perNode > 1 {
		return time.Second/time.Duration(perNode-1) + slowStartMargin, true
	}
	if fleetLimit >= nodes {
		return minRateInterval, true
	}
	rank := coordination.Rank(fleetstate.WorkerKey(id), n.self.Node, n.agent.Members())
	return minRateInterval, rank < fleetLimit
}
