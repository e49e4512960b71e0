// Worker loads by the workers' reports. The holder of a service's duty requests the reports and sends
// them to the owner of the worker list, which passes to each node, with the list, the loads that
// changed since that node's last request.

package proxy

import (
	"sync"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	usedTolerance     = 24                     // changes of used memory below 1/usedTolerance of the capacity are not sent
	freeTolerance     = 8                      // nor changes below 1/freeTolerance of the free memory
	loadTolerance     = 2                      // nor changes of this many requests or fewer
	minReportInterval = 100 * time.Millisecond // between rounds; a round that arrives sooner is a duplicate
)

// similar reports whether two reports are so close that the later one need not be sent. The less
// memory is free, the smaller the tolerance.
func (s reportedLoad) similar(o reportedLoad) bool {
	apart := func(a, b, by int) bool { return a-b > by || b-a > by }
	by := max(s.Capacity/usedTolerance, (s.Capacity-max(s.Used, o.Used))/freeTolerance)
	return s.Capacity == o.Capacity && !apart(s.Used, o.Used, by) && !apart(
		s.Running, o.Running, loadTolerance,
	) && !apart(
		s.Waiting, o.Waiting, loadTolerance,
	)
}

// recordedLoad is a worker's load with the change number at which it was recorded.
type recordedLoad struct {
	reportedLoad
	seq uint64 // the board's change number
}

// reportRound is one round of reports of a service's workers.
type reportRound struct {
	at   ids.Tick // when the reports were requested
	seq  uint64
	rows map[ids.WorkerID]recordedLoad
}

// loadBoard holds the latest round of reports of each service, with change numbers.
type loadBoard struct {
	mu       sync.Mutex
	seq      uint64
	services map[string]*reportRound
}

// record records a round of reports, and returns all of the service's loads, or nil for a duplicate.
// If the round is complete, workers that it does not name have sent no report; if not, their loads
// are unchanged.
func (b *loadBoard) record(
	service string,
	at ids.Tick,
	rows map[ids.WorkerID]reportedLoad,
	complete bool,
) *reportRound {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = map[string]*reportRound{}
	}
	l := b.services[service]
	if l == nil {
		l = &reportRound{rows: map[ids.WorkerID]recordedLoad{}}
		b.services[service] = l
	}
	if !at.Past(l.at, minReportInterval) {
		return nil
	}
	b.seq++
	l.at, l.seq = at, b.seq
	for id, s := range rows {
		if previous, ok := l.rows[id]; !ok || !s.similar(previous.reportedLoad) {
			l.rows[id] = recordedLoad{s, b.seq}
		}
	}
	for id, p := range l.rows {
		if _, ok := rows[id]; !ok && complete && p.Capacity > 0 {
			l.rows[id] = recordedLoad{reportedLoad{}, b.seq}
		}
	}
	out := &reportRound{at: at, rows: make(map[ids.WorkerID]recordedLoad, len(l.rows))}
	for id, p := range l.rows {
		out.rows[id] = p
	}
	return out
}

// prune removes workers that are no longer listed.
func (b *loadBoard) prune(listed map[ids.WorkerID]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.services {
		for id := range l.rows {
			if !listed[id] {
				delete(l.rows, id)
			}
		}
	}
}

// since returns the board's change number and the loads that changed after an earlier one, by index
// into a worker list, for the services that include selects.
func (b *loadBoard) since(
	from uint64,
	list []Worker,
	now ids.Tick,
	include func(service string) bool,
) (uint64, []ServiceLoads) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ServiceLoads
	for service, l := range b.services {
		if l.seq <= from || now.Past(l.at, reportMaxAge) || !include(service) {
			continue
		}
		s := ServiceLoads{Service: service, Age: int(now.Since(l.at) / time.Millisecond)}
		for i := range list {
			if p, ok := l.rows[list[i].ID]; ok && p.seq > from {
				s.Rows = append(s.Rows, WorkerLoad{i, p.Used, p.Capacity, p.Running, p.Waiting})
			}
		}
		out = append(out, s)
	}
	return b.seq, out
}

// publishLoads records a round of reports on the load board and in the workers' memory accounts.
func (n *Node) publishLoads(service string, at ids.Tick, rows map[ids.WorkerID]reportedLoad, complete bool) {
	l := n.loads.record(service, at, rows, complete)
	if l == nil {
		return
	}
	for id, p := range l.rows {
		st := n.state(id)
		st.mu.Lock()
		st.memory.report(p.reportedLoad, at)
		st.mu.Unlock()
	}
}

// ownsService reports whether this node requests the reports of a service's workers itself.
func (n *Node) ownsService(service string) bool {
	_, ok := n.agent.OwnsKey(fleetstate.ServiceKey(service))
	return ok && n.options.RoleCheckInterval >= 0
}

func everyService(string) bool { return true }

// recordPeerLoads records the loads that another node sent, by index into a worker list.
func (n *Node) recordPeerLoads(all []ServiceLoads, list []Worker) {
	now := n.now()
	for _, s := range all {
		if n.ownsService(s.Service) {
			continue
		}
		rows := make(map[ids.WorkerID]reportedLoad, len(s.Rows))
		for _, r := range s.Rows {
			if r.Index >= 0 && r.Index < len(list) {
				rows[list[r.Index].ID] = reportedLoad{r.Used, r.Capacity, r.Running, r.Waiting}
			}
		}
		n.publishLoads(s.Service, now.Add(-time.Duration(s.Age)*time.Millisecond), rows, false)
	}
}

// recordReports publishes a round that this node requested as the owner of a service's duty.
func (n *Node) recordReports(service string, at ids.Tick, all []workerReport) {
	rows := make(map[ids.WorkerID]reportedLoad, len(all))
	for _, r := range all {
		rows[r.worker.ID] = reportedLoad{ids.Blocks(r.Used, blockSize), r.Capacity / blockSize, r.Running, r.Waiting}
	}
	n.publishLoads(service, at, rows, true)
}
