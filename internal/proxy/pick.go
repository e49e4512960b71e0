// Which worker: every candidate that is cleared gets a cost in ms (what it has yet to
// read, what waits there, how far it is), and the routing programs order them. Prompts
// that begin alike fall to the same reading worker on every node, unless it is busier
// than the reading anew is worth.

package proxy

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
)

const (
	loadSpan  = 400 * time.Millisecond // how long a worker's word of its load counts
	readFirst = 3.0                    // ms for each prompt, besides its tokens
	readAnew  = 8.0                    // how much more reading counts than waiting, since others wait for it too
	farStep   = 4.0                    // ms for another zone
	farKilo   = 0.8                    // ms for each KB that goes to another zone
	illCost   = 500.0                  // ms for a worker that fails all, where it is used though
	pickOld   = 100 * time.Millisecond // then another pick is made after a dial that failed
	most      = 8                      // candidates that programs see
	shortRead = 1024                   // prompt tokens that hold up nobody
	longRead  = 64 * shortRead         // more than that is one rank
)

// marks are the hashes of a prompt's beginnings that others may share: all its parts but
// the last, one after the other.
func marks(r *Request) ([]uint64, []int) {
	var out []uint64
	var toks []int
	h := fnv.New64a()
	h.Write([]byte(r.Model))
	sum := 0
	for i := 0; i+1 < len(r.Parts); i++ {
		h.Write([]byte{0})
		h.Write([]byte(r.Parts[i].ID))
		sum += r.Parts[i].Tokens
		out, toks = append(out, h.Sum64()), append(toks, sum)
	}
	return out, toks
}

type choice struct {
	w     *Worker
	st    *state
	hash  uint64
	cost  float64
	need  int // prompt tokens it has yet to read
	aff   float64
	busy  int
	hold  *hold
	room  int // blocks; 0 if nothing fresh is known
	free  int
	ill   float64      // rate of failures, if they stand out
	ended *atomic.Bool // its outcome is noted
}

// place is what is sorted in a choice's stead, since it is small and holds no pointers.
type place struct {
	cost, tie float64
	at        int
}

// take books the memory of a request and of so many tokens that it may grow by.
func (c *choice) take(r *Request, more int, now ids.Tick) {
	own := r.Prompt
	for i := 0; i+1 < len(r.Parts); i++ {
		own -= r.Parts[i].Tokens
	}
	c.st.mu.Lock()
	defer c.st.mu.Unlock()
	c.hold = c.st.mem.book(ids.Blocks(r.Prompt+more, blockSize), max(0, own)/blockSize, now)
}

// release ends that; took tells whether the worker may have had it.
func (c *choice) release(took bool, now ids.Tick) {
	c.st.mu.Lock()
	defer c.st.mu.Unlock()
	c.st.mem.end(c.hold, took, now)
}

// weigh notes what is free, and adds the cost of lacking room. The state is locked.
func (c *choice) weigh(need int, noRoom float64, now ids.Tick) {
	free, ok := c.st.mem.free(now)
	if !ok {
		return
	}
	c.room, c.free = c.st.mem.Room, max(0, free)
	if need > free && noRoom > 0 {
		c.cost += noRoom * (1 + float64(need-free)/float64(need))
	}
}

// cleared lists the workers of a service that may get new work of a part now. Those that
// are to be left alone come only if no other is there.
func (n *Node) cleared(s *fleetstate.Snapshot, svc *fleetstate.Service, part ids.Role, tried map[ids.WorkerID]bool) []choice {
	var good, out, shy []choice
	now := n.now()
	ros := n.roster.Load()
	row := n.tabled(ros, s).by[role{svc.Name, part}]
	good = make([]choice, 0, len(row))
	for i := range row {
		e := &row[i]
		if tried[e.id] {
			continue
		}
		w := &ros.all[e.place]
		c := choice{w: w, st: e.st, hash: e.hash}
		if _, ok := n.bears(w, svc, ros.got, now); !ok {
			continue
		}
		c.st.mu.Lock()
		shun, left := now.Before(c.st.shun), c.st.left
		held := !shun && c.st.verdict.held(now, n.opt.Share)
		c.ill = c.st.verdict.ill
		c.st.mu.Unlock()
		if left {
			continue
		}
		if shun {
			shy = append(shy, c)
		} else if held {
			out = append(out, c)
		} else {
			good = append(good, c)
		}
	}
	if len(good) > 0 {
		return good
	}
	if len(out) > 0 {
		return out
	}
	return shy
}

// bears tells whether a worker may get a request now, and the pause before another one if
// it is cold. To a node that is cut off any may be cold.
func (n *Node) bears(w *Worker, svc *fleetstate.Service, got, now ids.Tick) (time.Duration, bool) {
	if n.coldFor(w, svc, got, now) <= 0 && (svc.SlowStartRate <= 0 || !n.unheard(now)) {
		return 0, true
	}
	gap, ok := n.gap(w.ID, svc)
	return gap, ok && n.warm.may(w.ID, gap, now)
}

// open is the same of a worker that was chosen some time ago, before others were tried.
func (n *Node) open(id ids.WorkerID, svc *fleetstate.Service) (time.Duration, bool) {
	ros := n.roster.Load()
	w := ros.find(id)
	if w == nil || !fit(n.sight(), w) {
		return 0, false
	}
	return n.bears(w, svc, ros.got, n.now())
}

// gap is the pause that this node keeps between requests to a cold worker, so that all
// nodes together stay under what it bears; where there are more nodes than it bears
// requests, only some may send.
func (n *Node) gap(id ids.WorkerID, svc *fleetstate.Service) (time.Duration, bool) {
	bound := int(svc.SlowStartRate*n.opt.Over) + n.opt.Spare - 2
	peers := int(math.Round(1 / n.share()))
	if per := bound / peers; per > 1 {
		return time.Second/time.Duration(per-1) + 20*time.Millisecond, true
	}
	if bound >= peers {
		return 1050 * time.Millisecond, true
	}
	return 1050 * time.Millisecond, coordination.Rank(fleetstate.WorkerKey(id), n.me.Node, n.agent.Members()) < bound
}

func (n *Node) far(w *Worker, bytes int) float64 {
	if w.Zone == n.me.Zone {
		return 0
	}
	return farStep + farKilo*float64(bytes)/1024
}

// readers orders the workers that may read a prompt.
func (n *Node) readers(deck *routing.ProgramSet, s *fleetstate.Snapshot, svc *fleetstate.Service, r *Request, tried map[ids.WorkerID]bool) []choice {
	list := n.cleared(s, svc, ids.Prefill, tried)
	ms, toks := marks(r)
	row := n.tabled(n.roster.Load(), s).by[role{svc.Name, ids.Prefill}]
	homes := make([]ids.WorkerID, len(ms))
	for i, m := range ms {
		homes[i] = home(m, row, n.out)
	}
	now := n.now()
	for i := range list {
		c := &list[i]
		c.need = r.Prompt
		c.st.mu.Lock()
		for k := len(ms) - 1; k >= 0; k-- {
			if _, ok := c.st.cached[ms[k]]; ok || homes[k] == c.w.ID {
				c.need = max(1, r.Prompt-toks[k])
				break
			}
		}
		ahead, count := c.st.ahead(now)
		c.weigh(ids.Blocks(r.Prompt, blockSize), n.opt.NoRoom, now)
		c.st.mu.Unlock()
		c.busy = count
		c.cost += (readAnew*float64(c.need)+float64(ahead))/n.opt.Pace + readFirst*float64(count) + n.far(c.w, len(r.Body))
		if len(ms) > 0 {
			c.aff = routing.Mix(ms[len(ms)-1], c.hash)
		}
	}
	return n.order(deck, r, ids.Prefill, list)
}

// emitters orders the workers that may emit the answer, near the memory and near here.
func (n *Node) emitters(deck *routing.ProgramSet, s *fleetstate.Snapshot, svc *fleetstate.Service, r *Request, from *Worker, tried map[ids.WorkerID]bool) []choice {
	list := n.cleared(s, svc, ids.Decode, tried)
	now := n.now()
	for i := range list {
		c := &list[i]
		c.st.mu.Lock()
		c.busy = c.st.emits
		if !now.Past(c.st.loadAt, loadSpan) {
			c.busy = max(c.busy, c.st.load.Running+c.st.load.Waiting)
		}
		c.weigh(ids.Blocks(r.Prompt+r.Most, blockSize), n.opt.NoRoom, now)
		c.st.mu.Unlock()
		slots := max(1, c.w.Slots)
		c.cost += 1.5*float64(c.busy) + n.far(c.w, len(r.Body))
		if c.busy >= slots*9/10 {
			c.cost += 20 * float64(c.busy-slots*9/10+1)
		}
		if from != nil && from.Zone != c.w.Zone {
			c.cost += farStep + 1.6*float64(r.Prompt)/1000
		}
		if from == nil {
			c.need = r.Prompt
		}
	}
	return n.order(deck, r, ids.Decode, list)
}

// order asks the routing programs, cheapest first.
func (n *Node) order(deck *routing.ProgramSet, r *Request, part ids.Role, list []choice) []choice {
	// Among equals the request decides, so that nodes that know little crowd no worker.
	own := ids.Hash(r.ID)
	ranks := make([]place, len(list))
	for i := range list {
		list[i].cost += illCost * list[i].ill
		ranks[i] = place{list[i].cost, routing.Mix(own, list[i].hash), i}
	}
	slices.SortFunc(ranks, func(a, b place) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.tie, a.tie)) })
	sorted := make([]choice, len(list))
	for i, k := range ranks {
		sorted[i] = list[k.at]
	}
	list = sorted
	head := list[:min(most, len(list))]
	if len(head) < 2 && !deck.HasPrograms() {
		return list
	}
	q := &routing.PickRequest{Request: r.ID, Kind: r.Host, Model: r.Model, Role: part, Zone: n.me.Zone, Prompt: r.Prompt, Max: r.Most, Priced: true}
	cands := make([]routing.Candidate, len(head))
	told := true // room is told in blocks if it is known of all, else in places
	for i := range head {
		told = told && head[i].room > 0
	}
	by := make(map[ids.WorkerID]choice, len(head))
	for i, c := range head {
		cands[i] = routing.Candidate{ID: c.w.ID, Zone: c.w.Zone, Capacity: c.w.Slots, Free: max(0, c.w.Slots-c.busy), Busy: c.busy, MaxConcurrent: c.w.Slots, Affinity: c.aff, Cost: c.cost}
		if told {
			cands[i].Capacity, cands[i].Free = c.room, c.free
		}
		by[c.w.ID] = c
	}
	out := make([]choice, 0, len(list))
	for _, id := range deck.Order(q, cands) {
		out = append(out, by[id])
		delete(by, id)
	}
	return out
}

// rank is how urgent a reading is to its worker, 0 first: a long one holds up the short
// ones behind it, so each fourfold of what is to be read counts as much as two ranks of
// the route.
func rank(urgency, need int) int {
	for most := shortRead; need > most && most < longRead; most *= 4 {
		urgency += 2
	}
	return min(urgency, 9)
}
