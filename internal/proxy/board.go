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
	stoodStep  = 24                     // memory that changed by less than one so-manieth is not told anew
	stoodFree  = 8                      // nor by less than one so-manieth of what is free
	stoodFew   = 2                      // nor are so few requests more or less
	roundLeast = 100 * time.Millisecond // between rounds; what comes sooner is the same one heard again
)

// like tells whether two reports are near enough that none need hear of the later one: the
// less is free, the more it matters.
func (s stood) like(o stood) bool {
	apart := func(a, b, by int) bool { return a-b > by || b-a > by }
	by := max(s.Room/stoodStep, (s.Room-max(s.Used, o.Used))/stoodFree)
	return s.Room == o.Room && !apart(s.Used, o.Used, by) && !apart(s.Running, o.Running, stoodFew) && !apart(s.Waiting, o.Waiting, stoodFew)
}

type posted struct {
	stood
	seq uint64 // the board's when it changed
}

// look is one round of reports of a service's workers.
type look struct {
	at   ids.Tick // when they were asked for
	seq  uint64
	rows map[ids.WorkerID]posted
}

type board struct {
	mu    sync.Mutex
	seq   uint64
	looks map[string]*look
}

// post takes a round of reports. Workers that it does not name told nothing if the round is
// whole, and are as before if it has only changes.
func (b *board) post(service string, at ids.Tick, rows map[ids.WorkerID]stood, whole bool) *look {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.looks == nil {
		b.looks = map[string]*look{}
	}
	l := b.looks[service]
	if l == nil {
		l = &look{rows: map[ids.WorkerID]posted{}}
		b.looks[service] = l
	}
	if !at.Past(l.at, roundLeast) {
		return nil
	}
	b.seq++
	l.at, l.seq = at, b.seq
	for id, s := range rows {
		if old, ok := l.rows[id]; !ok || !s.like(old.stood) {
			l.rows[id] = posted{s, b.seq}
		}
	}
	for id, p := range l.rows {
		if _, ok := rows[id]; !ok && whole && p.Room > 0 {
			l.rows[id] = posted{stood{}, b.seq}
		}
	}
	out := &look{at: at, rows: make(map[ids.WorkerID]posted, len(l.rows))}
	for id, p := range l.rows {
		out.rows[id] = p
	}
	return out
}

// prune forgets workers that are not listed any more.
func (b *board) prune(on map[ids.WorkerID]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.looks {
		for id := range l.rows {
			if !on[id] {
				delete(l.rows, id)
			}
		}
	}
}

// since lists what changed after a number of the board's, by places in a list.
func (b *board) since(from uint64, list []Worker, now ids.Tick, of func(service string) bool) (uint64, []Stands) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Stands
	for service, l := range b.looks {
		if l.seq <= from || now.Past(l.at, reportOld) || !of(service) {
			continue
		}
		s := Stands{Service: service, Age: int(now.Since(l.at) / time.Millisecond)}
		for i := range list {
			if p, ok := l.rows[list[i].ID]; ok && p.seq > from {
				s.Rows = append(s.Rows, Stand{i, p.Used, p.Room, p.Running, p.Waiting})
			}
		}
		out = append(out, s)
	}
	return b.seq, out
}

// stands takes a round of reports into the ledgers.
func (n *Node) stands(service string, at ids.Tick, rows map[ids.WorkerID]stood, whole bool) {
	l := n.board.post(service, at, rows, whole)
	if l == nil {
		return
	}
	for id, p := range l.rows {
		st := n.state(id)
		st.mu.Lock()
		st.mem.report(p.stood, at)
		st.mu.Unlock()
	}
}

// mine tells whether this node itself asks a service's workers for reports.
func (n *Node) mine(service string) bool {
	_, ok := n.agent.OwnsKey(fleetstate.ServiceKey(service))
	return ok && n.opt.Turn >= 0
}

func every(string) bool { return true }

// heard takes what another node tells of the workers of a list.
func (n *Node) heard(all []Stands, list []Worker) {
	now := n.now()
	for _, s := range all {
		if n.mine(s.Service) {
			continue
		}
		rows := make(map[ids.WorkerID]stood, len(s.Rows))
		for _, r := range s.Rows {
			if r.Place >= 0 && r.Place < len(list) {
				rows[list[r.Place].ID] = stood{r.Used, r.Room, r.Running, r.Waiting}
			}
		}
		n.stands(s.Service, now.Add(-time.Duration(s.Age)*time.Millisecond), rows, false)
	}
}

// reported posts a round that this node asked for as the holder of a service's duty.
func (n *Node) reported(service string, at ids.Tick, all []report) {
	rows := make(map[ids.WorkerID]stood, len(all))
	for _, r := range all {
		rows[r.w.ID] = stood{ids.Blocks(r.Used, blockSize), r.Room / blockSize, r.Running, r.Waiting}
	}
	n.stands(service, at, rows, true)
}
