// How the workers stand, by their reports. The holder of a service's duty asks for them; the
// holder of the list hears of them from it, and hands on to each node, with the list, what
// changed since that node's last asking.

package proxy

import (
	"sync"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	usedTolerance     = 24                     // memory that changed by less than one so-manieth is not told anew
	freeTolerance     = 8                      // nor by less than one so-manieth of what is free
	loadTolerance     = 2                      // nor are so few requests more or less
	minReportInterval = 100 * time.Millisecond // between rounds; what comes sooner is the same one heard again
)

// similar tells whether two reports are near enough that none need hear of the later one: the
// less is free, the more it matters.
func (s reportedLoad) similar(o reportedLoad) bool {
	apart := func(a, b, by int) bool { return a-b > by || b-a > by }
	by := max(s.Capacity/usedTolerance, (s.Capacity-max(s.Used, o.Used))/freeTolerance)
	return s.Capacity == o.Capacity && !apart(s.Used, o.Used, by) && !apart(
		s.Running, o.Running, loadTolerance,
	) && !apart(
		s.Waiting, o.Waiting, loadTolerance,
	)
}

type recordedLoad struct {
	reportedLoad
	seq uint64 // the board's when it changed
}

// reportRound is one round of reports of a service's workers.
type reportRound struct {
	at   ids.Tick // when they were asked for
	seq  uint64
	rows map[ids.WorkerID]recordedLoad
}

type loadBoard struct {
	mu       sync.Mutex
	seq      uint64
	services map[string]*reportRound
}

// record takes a round of reports. Workers that it does not name told nothing if the round is
// whole, and are as before if it has only changes.
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

// prune forgets workers that are not listed any more.
func (b *loadBoard) prune(on map[ids.WorkerID]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.services {
		for id := range l.rows {
			if !on[id] {
				delete(l.rows, id)
			}
		}
	}
}

// since lists what changed after a number of the board's, by places in a list.
func (b *loadBoard) since(
	from uint64,
	list []Worker,
	now ids.Tick,
	of func(service string) bool,
) (uint64, []ServiceLoads) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ServiceLoads
	for service, l := range b.services {
		if l.seq <= from || now.Past(l.at, reportMaxAge) || !of(service) {
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

// publishLoads takes a round of reports into the ledgers.
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

// ownsService tells whether this node itself asks a service's workers for reports.
func (n *Node) ownsService(service string) bool {
	_, ok := n.agent.OwnsKey(fleetstate.ServiceKey(service))
	return ok && n.options.RoleChangeInterval >= 0
}

func everyService(string) bool { return true }

// recordPeerLoads takes what another node tells of the workers of a list.
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

// recordReports posts a round that this node asked for as the holder of a service's duty.
func (n *Node) recordReports(service string, at ids.Tick, all []workerReport) {
	rows := make(map[ids.WorkerID]reportedLoad, len(all))
	for _, r := range all {
		rows[r.worker.ID] = reportedLoad{ids.Blocks(r.Used, blockSize), r.Capacity / blockSize, r.Running, r.Waiting}
	}
	n.publishLoads(service, at, rows, true)
}
