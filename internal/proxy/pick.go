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
	loadTTL           = 400 * time.Millisecond // how long a worker's word of its load counts
	queuedPrefillCost = 3.0                    // ms for each prompt, besides its tokens
	// how much more reading counts than waiting: others wait for it too, and what is read where no
	// other node looks for it is read again
	reprefillWeight       = 16.0
	crossZoneCost         = 4.0                    // ms for another zone
	crossZoneKilobyteCost = 0.8                    // ms for each KB that goes to another zone
	unhealthyCost         = 500.0                  // ms for a worker that fails all, where it is used though
	pickMaxAge            = 100 * time.Millisecond // then another pick is made after a dial that failed
	maxCandidates         = 8                      // candidates that programs see
	shortPrompt           = 1024                   // prompt tokens that hold up nobody
	longPrompt            = 64 * shortPrompt       // more than that is one rank
)

// prefixHashes are the hashes of a prompt's beginnings that others may share: all its parts but
// the last, one after the other.
func prefixHashes(r *Request) ([]uint64, []int) {
	var out []uint64
	var toks []int
	h := fnv.New64a()
	h.Write([]byte(r.Model))
	sum := 0
	for i := 0; i+1 < len(r.Segments); i++ {
		h.Write([]byte{0})
		h.Write([]byte(r.Segments[i].ID))
		sum += r.Segments[i].Tokens
		out, toks = append(out, h.Sum64()), append(toks, sum)
	}
	return out, toks
}

type pick struct {
	worker      *Worker
	state       *workerState
	hash        uint64
	cost        float64
	need        int           // prompt tokens it has yet to read
	reading     time.Duration // that they are reckoned to take
	expected    time.Duration // until they are reckoned to be read
	affinity    float64
	busy        int
	reservation *reservation
	capacity    int // blocks; 0 if nothing fresh is known
	free        int
	gap         time.Duration // between its events, of late; 0 if not known
	failureRate float64       // rate of failures, if they stand out
	ended       *atomic.Bool  // its outcome is noted
	request     *Request      // as it is sent to this worker
	urgency     int           // with which it is sent
}

// ranked is what is sorted in a pick's stead, since it is small and holds no pointers.
type ranked struct {
	cost, tie float64
	index     int
}

// reserve books the memory of a request and of so many tokens that it may grow by.
func (c *pick) reserve(r *Request, more int, now ids.Tick) {
	own := r.Prompt
	for i := 0; i+1 < len(r.Segments); i++ {
		own -= r.Segments[i].Tokens
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.reservation = c.state.memory.reserve(ids.Blocks(r.Prompt+more, blockSize), max(0, own)/blockSize, now)
}

// release ends that; took tells whether the worker may have had it.
func (c *pick) release(took bool, now ids.Tick) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.state.memory.release(c.reservation, took, now)
}

// applyMemory notes what is free, and adds the cost of lacking room. The state is locked.
func (c *pick) applyMemory(need int, noRoom float64, now ids.Tick) {
	free, ok := c.state.memory.free(now)
	if !ok {
		return
	}
	c.capacity, c.free = c.state.memory.Capacity, max(0, free)
	if need > free && noRoom > 0 {
		c.cost += noRoom * (1 + float64(need-free)/float64(need))
	}
}

// cleared lists the workers of a service that may get new work of a part now. Those that
// are to be left alone come only if no other is there.
func (n *Node) cleared(
	s *fleetstate.Snapshot,
	service *fleetstate.Service,
	role ids.Role,
	tried map[ids.WorkerID]bool,
) []pick {
	var good, out, shy []pick
	now := n.now()
	list := n.endpoints.Load()
	rows := n.candidateIndexFor(list, s).byRole[serviceRole{service.Name, role}]
	good = make([]pick, 0, len(rows))
	for i := range rows {
		e := &rows[i]
		if tried[e.id] {
			continue
		}
		w := &list.workers[e.index]
		c := pick{worker: w, state: e.state, hash: e.hash}
		if _, ok := n.bears(w, service, list.receivedAt, now); !ok {
			continue
		}
		c.state.mu.Lock()
		shun, left := now.Before(c.state.avoidUntil), c.state.replaced
		held := !shun && (c.state.suspected || c.state.outlier.blocked(now, n.options.ShareInterval))
		c.failureRate = c.state.outlier.failureRate
		c.state.mu.Unlock()
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
func (n *Node) bears(w *Worker, service *fleetstate.Service, got, now ids.Tick) (time.Duration, bool) {
	if n.coldFor(w, service, got, now) <= 0 && (service.SlowStartRate <= 0 || !n.isolated(now)) {
		return 0, true
	}
	gap, ok := n.gap(w.ID, service)
	return gap, ok && n.slowStart.allows(w.ID, gap, now)
}

// slowStartDelay is the same of a worker that was chosen some time ago, before others were tried.
func (n *Node) slowStartDelay(id ids.WorkerID, service *fleetstate.Service) (time.Duration, bool) {
	list := n.endpoints.Load()
	w := list.find(id)
	if w == nil || !acceptsWork(n.snapshot(), w) {
		return 0, false
	}
	return n.bears(w, service, list.receivedAt, n.now())
}

// gap is the pause that this node keeps between requests to a cold worker, so that all
// nodes together stay under what it bears; where there are more nodes than it bears
// requests, only some may send.
func (n *Node) gap(id ids.WorkerID, service *fleetstate.Service) (time.Duration, bool) {
	bound := int(service.SlowStartRate*n.options.SlowStartOvershoot) + n.options.SlowStartAllowance - 2
	peers := int(math.Round(1 / n.share()))
	if per := bound / peers; per > 1 {
		return time.Second/time.Duration(per-1) + 20*time.Millisecond, true
	}
	if bound >= peers {
		return 1050 * time.Millisecond, true
	}
	return 1050 * time.Millisecond, coordination.Rank(fleetstate.WorkerKey(id), n.self.Node, n.agent.Members()) < bound
}

func (n *Node) far(w *Worker, bytes int) float64 {
	if w.Zone == n.self.Zone {
		return 0
	}
	return crossZoneCost + crossZoneKilobyteCost*float64(bytes)/1024
}

// prefillCandidates orders the workers that may read a prompt.
func (n *Node) prefillCandidates(
	programs *routing.ProgramSet,
	s *fleetstate.Snapshot,
	service *fleetstate.Service,
	r *Request,
	tried map[ids.WorkerID]bool,
) []pick {
	list := n.cleared(s, service, ids.Prefill, tried)
	ms, toks := prefixHashes(r)
	rows := n.candidateIndexFor(n.endpoints.Load(), s).byRole[serviceRole{service.Name, ids.Prefill}]
	homes := make([]ids.WorkerID, len(ms))
	for i, m := range ms {
		homes[i] = prefixHome(m, rows, n.isEjected)
	}
	now := n.now()
	for i := range list {
		c := &list[i]
		c.need = r.Prompt
		c.state.mu.Lock()
		for k := len(ms) - 1; k >= 0; k-- {
			if _, ok := c.state.cached[ms[k]]; ok || homes[k] == c.worker.ID {
				c.need = max(1, r.Prompt-toks[k])
				break
			}
		}
		ahead, count := c.state.queued(now)
		c.applyMemory(ids.Blocks(r.Prompt, blockSize), n.options.NoCapacityCost, now)
		c.state.mu.Unlock()
		c.busy = count
		waitMs := float64(ahead)/n.options.PrefillTokensPerMs + queuedPrefillCost*float64(count)
		readMs := float64(c.need) / n.options.PrefillTokensPerMs
		c.reading = time.Duration(readMs * float64(time.Millisecond))
		c.expected = c.reading + time.Duration(waitMs*float64(time.Millisecond))
		c.cost += waitMs + reprefillWeight*readMs + n.far(c.worker, len(r.Body))
		if len(ms) > 0 {
			c.affinity = routing.AffinityFromHash(ms[len(ms)-1], c.hash)
		}
	}
	return n.order(programs, r, ids.Prefill, list)
}

// emitters orders the workers that may decode, near the memory and near here.
func (n *Node) emitters(
	programs *routing.ProgramSet,
	s *fleetstate.Snapshot,
	service *fleetstate.Service,
	r *Request,
	from *Worker,
	tried map[ids.WorkerID]bool,
) []pick {
	list := n.cleared(s, service, ids.Decode, tried)
	now := n.now()
	for i := range list {
		c := &list[i]
		c.state.mu.Lock()
		c.busy = c.state.decodes
		if !now.Past(c.state.loadAt, loadTTL) {
			c.busy = max(c.busy, c.state.load.Running+c.state.load.Waiting)
		}
		c.applyMemory(ids.Blocks(r.Prompt+r.MaxTokens, blockSize), n.options.NoCapacityCost, now)
		c.gap = c.state.eventGap.current(now)
		c.state.mu.Unlock()
		slots := max(1, c.worker.Concurrency)
		c.cost += 1.5*float64(c.busy) + n.far(c.worker, len(r.Body))
		if c.busy >= slots*9/10 {
			c.cost += 20 * float64(c.busy-slots*9/10+1)
		}
		if from != nil && from.Zone != c.worker.Zone {
			c.cost += crossZoneCost + 1.6*float64(r.Prompt)/1000
		}
		if from == nil {
			c.need = r.Prompt
		}
	}
	addSlowDecodeCost(list)
	return n.order(programs, r, ids.Decode, list)
}

// order asks the routing programs, cheapest first.
func (n *Node) order(programs *routing.ProgramSet, r *Request, role ids.Role, list []pick) []pick {
	// Among equals the request decides, so that nodes that know little crowd no worker.
	own := ids.Hash(r.ID)
	ranks := make([]ranked, len(list))
	for i := range list {
		list[i].cost += unhealthyCost * list[i].failureRate
		ranks[i] = ranked{list[i].cost, routing.AffinityFromHash(own, list[i].hash), i}
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.tie, a.tie))
	})
	sorted := make([]pick, len(list))
	for i, k := range ranks {
		sorted[i] = list[k.index]
	}
	list = sorted
	head := list[:min(maxCandidates, len(list))]
	if len(head) < 2 && !programs.HasPrograms() {
		return list
	}
	request := &routing.PickRequest{
		Request:      r.ID,
		Kind:         r.Host,
		Model:        r.Model,
		Role:         role,
		Zone:         n.self.Zone,
		PromptTokens: r.Prompt,
		MaxTokens:    r.MaxTokens,
		HasCost:      true,
	}
	cands := make([]routing.Candidate, len(head))
	reports := true // room is told in blocks if it is known of all, else in places
	for i := range head {
		reports = reports && head[i].capacity > 0
	}
	by := make(map[ids.WorkerID]pick, len(head))
	for i, c := range head {
		cands[i] = routing.Candidate{
			ID:            c.worker.ID,
			Zone:          c.worker.Zone,
			Capacity:      c.worker.Concurrency,
			Free:          max(0, c.worker.Concurrency-c.busy),
			Outstanding:   c.busy,
			MaxConcurrent: c.worker.Concurrency,
			Affinity:      c.affinity,
			Cost:          c.cost,
		}
		if reports {
			cands[i].Capacity, cands[i].Free = c.capacity, c.free
		}
		by[c.worker.ID] = c
	}
	out := make([]pick, 0, len(list))
	for _, id := range programs.Order(request, cands) {
		out = append(out, by[id])
		delete(by, id)
	}
	return out
}

// urgencyRank is how urgent a reading is to its worker, 0 first: a long one holds up the short
// ones behind it, so each fourfold of what is to be read counts as much as two ranks of
// the route.
func urgencyRank(urgency, need int) int {
	for limit := shortPrompt; need > limit && limit < longPrompt; limit *= 4 {
		urgency += 2
	}
	return min(urgency, 9)
}
