// Worker selection: every eligible worker gets a cost in milliseconds (uncached prompt tokens,
// queue and zone distance), and the routing programs order the candidates. Each shared prompt prefix
// has a preferred worker, the same on every node, which is assumed to have the prefix cached. It gets
// the prompts with that prefix, unless its queue costs more than prefilling the prefix again elsewhere.

package proxy

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync/atomic"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
)

const (
	loadTTL           = 400 * time.Millisecond // validity of the load that a worker reports with an answer
	queuedPrefillCost = 3.0                    // ms for each queued prompt, in addition to its tokens
	// reprefillWeight is the weight of prefill time relative to queueing time. It is above 1 because
	// other requests wait for the prefill too, and because a prefix that is cached where no other
	// node looks for it is prefilled again.
	reprefillWeight       = 16.0
	crossZoneCost         = 4.0                    // ms for a worker in another zone
	crossZoneKilobyteCost = 0.8                    // ms for each KB sent to another zone
	unhealthyCost         = 500.0                  // ms times the failure rate of an outlier that is still a candidate
	pickMaxAge            = 100 * time.Millisecond // age of a pick above which a failed dial causes a new one
	maxCandidates         = 8                      // cheapest candidates, which the routing programs order; the others are dropped
	shortPrompt           = 1024                   // prompt tokens up to which a prefill delays no other request noticeably
	longPrompt            = 64 * shortPrompt       // prompt tokens above which all prompts have the same rank
)

// prefixHashes returns the hash and the token count of each prefix of a prompt that other requests
// may share: those that end at a segment boundary before the last segment, shortest first.
func prefixHashes(r *Request) ([]uint64, []int) {
	var hashes []uint64
	var tokens []int
	h := fnv.New64a()
	h.Write([]byte(r.Model))
	sum := 0
	for i := 0; i+1 < len(r.Segments); i++ {
		h.Write([]byte{0})
		h.Write([]byte(r.Segments[i].ID))
		sum += r.Segments[i].Tokens
		hashes, tokens = append(hashes, h.Sum64()), append(tokens, sum)
	}
	return hashes, tokens
}

// candidate is a worker that may get a request, and what was reserved for the request there.
type candidate struct {
	worker          *Worker
	state           *workerState
	hash            uint64
	cost            float64
	uncachedTokens  int           // prompt tokens without a cached prefix here
	prefillTime     time.Duration // estimated time to prefill uncachedTokens
	expectedLatency time.Duration // prefillTime and the estimated queueing time
	affinity        float64       // rendezvous weight of the longest shared prefix at this worker; 0 if there is none
	activeRequests  int           // queued prompts (prefill), or running and waiting requests (decode)
	reservation     *reservation
	capacityBlocks  int // 0 without a recent report
	freeBlocks      int
	meanEventGap    time.Duration // recent mean interval between its events; 0 if unknown
	failureRate     float64       // failure rate if it is an outlier, else 0
	outcomeRecorded *atomic.Bool  // set once the outcome is recorded
	request         *Request      // the request as sent to this worker
	urgency         int           // the urgency it is sent with; 0 is the most urgent
}

// sortKey is sorted in place of a candidate because it is small and holds no pointers.
type sortKey struct {
	cost, tie float64
	index     int
}

// reserve reserves memory for a request's prompt and up to maxGrowth further tokens.
func (c *candidate) reserve(r *Request, maxGrowth int, now ids.Tick) {
	unsharedTokens := r.Prompt // those of the last segment, which no other request shares
	for i := 0; i+1 < len(r.Segments); i++ {
		unsharedTokens -= r.Segments[i].Tokens
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.reservation = c.state.memory.reserve(ids.Blocks(r.Prompt+maxGrowth, blockSize), max(0, unsharedTokens)/blockSize, now)
}

// release ends the reservation; used reports whether the worker may have allocated the memory.
func (c *candidate) release(used bool, now ids.Tick) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.state.memory.release(c.reservation, used, now)
}

// applyMemory records the free memory and adds the cost of a shortage. The caller holds the
// state's lock.
func (c *candidate) applyMemory(needed int, noCapacityCost float64, now ids.Tick) {
	free, ok := c.state.memory.free(now)
	if !ok {
		return
	}
	c.capacityBlocks, c.freeBlocks = c.state.memory.Capacity, max(0, free)
	if needed > free && noCapacityCost > 0 {
		c.cost += noCapacityCost * (1 + float64(needed-free)/float64(needed))
	}
}

// eligibleWorkers lists the workers of a service that may get new requests for a role now. Ejected
// and suspected workers are returned only if there is no healthy one, and workers within their
// avoidance period only if there is no other at all.
func (n *Node) eligibleWorkers(
	s *fleetstate.Snapshot,
	service *fleetstate.Service,
	role ids.Role,
	tried map[ids.WorkerID]bool,
) []candidate {
	var healthy, unhealthy, avoided []candidate
	now := n.now()
	list := n.currentList.Load()
	rows := n.candidateIndexFor(list, s).byRole[serviceRole{service.Name, role}]
	healthy = make([]candidate, 0, len(rows))
	for i := range rows {
		e := &rows[i]
		if tried[e.id] {
			continue
		}
		w := &list.workers[e.index]
		c := candidate{worker: w, state: e.state, hash: e.hash}
		if _, ok := n.slowStartAllows(w, service, list.receivedAt, now); !ok {
			continue
		}
		c.state.mu.Lock()
		avoid, wasReplaced := now.Before(c.state.avoidUntil), c.state.replaced
		isUnhealthy := !avoid && (c.state.suspected || c.state.outlier.skipPick(now, n.options.ShareInterval))
		c.failureRate = c.state.outlier.failureRate
		c.state.mu.Unlock()
		if wasReplaced {
			continue
		}
		if avoid {
			avoided = append(avoided, c)
		} else if isUnhealthy {
			unhealthy = append(unhealthy, c)
		} else {
			healthy = append(healthy, c)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	if len(unhealthy) > 0 {
		return unhealthy
	}
	return avoided
}

// zoneCost returns the cost in ms of sending a body to a worker in another zone.
func (n *Node) zoneCost(w *Worker, bytes int) float64 {
	if w.Zone == n.self.Zone {
		return 0
	}
	return crossZoneCost + crossZoneKilobyteCost*float64(bytes)/1024
}

// prefillCandidates returns the workers that may prefill a prompt, best first.
func (n *Node) prefillCandidates(
	programs *routing.ProgramSet,
	s *fleetstate.Snapshot,
	service *fleetstate.Service,
	r *Request,
	tried map[ids.WorkerID]bool,
) []candidate {
	list := n.eligibleWorkers(s, service, ids.Prefill, tried)
	prefixes, prefixTokens := prefixHashes(r)
	rows := n.candidateIndexFor(n.currentList.Load(), s).byRole[serviceRole{service.Name, ids.Prefill}]
	preferred := make([]ids.WorkerID, len(prefixes))
	for i, prefix := range prefixes {
		preferred[i] = preferredWorker(prefix, rows, n.isNotServing)
	}
	now := n.now()
	for i := range list {
		c := &list[i]
		c.uncachedTokens = r.Prompt
		c.state.mu.Lock()
		for k := len(prefixes) - 1; k >= 0; k-- {
			if _, ok := c.state.cached[prefixes[k]]; ok || preferred[k] == c.worker.ID {
				c.uncachedTokens = max(1, r.Prompt-prefixTokens[k])
				break
			}
		}
		queuedTokens, queuedPrompts := c.state.queuedPrefills(now)
		c.applyMemory(ids.Blocks(r.Prompt, blockSize), n.options.NoCapacityCost, now)
		c.state.mu.Unlock()
		c.activeRequests = queuedPrompts
		waitMs := float64(queuedTokens)/n.options.PrefillTokensPerMs + queuedPrefillCost*float64(queuedPrompts)
		prefillMs := float64(c.uncachedTokens) / n.options.PrefillTokensPerMs
		c.prefillTime = time.Duration(prefillMs * float64(time.Millisecond))
		c.expectedLatency = c.prefillTime + time.Duration(waitMs*float64(time.Millisecond))
		c.cost += waitMs + reprefillWeight*prefillMs + n.zoneCost(c.worker, r.Body.Len())
		if len(prefixes) > 0 {
			c.affinity = routing.AffinityFromHash(prefixes[len(prefixes)-1], c.hash)
		}
	}
	return n.orderCandidates(programs, r, ids.Prefill, list)
}

// decodeCandidates returns the workers that may decode, best first. Workers near this node and near
// the prefill worker, if there is one, are preferred.
func (n *Node) decodeCandidates(
	programs *routing.ProgramSet,
	s *fleetstate.Snapshot,
	service *fleetstate.Service,
	r *Request,
	prefillWorker *Worker,
	tried map[ids.WorkerID]bool,
) []candidate {
	list := n.eligibleWorkers(s, service, ids.Decode, tried)
	now := n.now()
	for i := range list {
		c := &list[i]
		c.state.mu.Lock()
		c.activeRequests = c.state.decodes
		if !now.Past(c.state.loadAt, loadTTL) {
			c.activeRequests = max(c.activeRequests, c.state.load.Running+c.state.load.Waiting)
		}
		c.applyMemory(ids.Blocks(r.Prompt+r.MaxTokens, blockSize), n.options.NoCapacityCost, now)
		c.meanEventGap = c.state.eventGap.current(now)
		c.state.mu.Unlock()
		concurrency := max(1, c.worker.Concurrency)
		c.cost += 1.5*float64(c.activeRequests) + n.zoneCost(c.worker, r.Body.Len())
		if c.activeRequests >= concurrency*9/10 {
			c.cost += 20 * float64(c.activeRequests-concurrency*9/10+1)
		}
		if prefillWorker != nil && prefillWorker.Zone != c.worker.Zone {
			c.cost += crossZoneCost + 1.6*float64(r.Prompt)/1000
		}
		if prefillWorker == nil {
			c.uncachedTokens = r.Prompt
		}
	}
	addSlowDecodeCost(list)
	return n.orderCandidates(programs, r, ids.Decode, list)
}

// orderCandidates sorts the candidates by cost and returns the cheapest maxCandidates in the order of
// the routing programs. Without programs, a single candidate is returned as it is.
func (n *Node) orderCandidates(programs *routing.ProgramSet, r *Request, role ids.Role, list []candidate) []candidate {
	// The request's hash breaks ties, so that nodes with little load information do not all choose
	// the same worker.
	requestHash := ids.Hash(r.ID)
	keys := make([]sortKey, len(list))
	for i := range list {
		list[i].cost += unhealthyCost * list[i].failureRate
		keys[i] = sortKey{list[i].cost, routing.AffinityFromHash(requestHash, list[i].hash), i}
	}
	slices.SortFunc(keys, func(a, b sortKey) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.tie, a.tie))
	})
	sorted := make([]candidate, len(list))
	for i, k := range keys {
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
	candidates := make([]routing.Candidate, len(head))
	inBlocks := true // capacity is given in memory blocks if known for all candidates, else in concurrent requests
	for i := range head {
		inBlocks = inBlocks && head[i].capacityBlocks > 0
	}
	byID := make(map[ids.WorkerID]candidate, len(head))
	for i, c := range head {
		candidates[i] = routing.Candidate{
			ID:            c.worker.ID,
			Zone:          c.worker.Zone,
			Capacity:      c.worker.Concurrency,
			Free:          max(0, c.worker.Concurrency-c.activeRequests),
			Outstanding:   c.activeRequests,
			MaxConcurrent: c.worker.Concurrency,
			Affinity:      c.affinity,
			Cost:          c.cost,
		}
		if inBlocks {
			candidates[i].Capacity, candidates[i].Free = c.capacityBlocks, c.freeBlocks
		}
		byID[c.worker.ID] = c
	}
	out := make([]candidate, 0, len(list))
	for _, id := range programs.Order(request, candidates) {
		out = append(out, byID[id])
		delete(byID, id)
	}
	return out
}

// prefillQueueRank returns the rank of a prefill in its worker's queue; lower ranks are served first.
// The rank is the request's urgency, of which 0 is the most urgent, plus two for each factor of four in
// uncached tokens above shortPrompt, since a long prefill delays the short ones behind it.
func prefillQueueRank(urgency, uncachedTokens int) int {
	for limit := shortPrompt; uncachedTokens > limit && limit < longPrompt; limit *= 4 {
		urgency += 2
	}
	return min(urgency, 9)
}
