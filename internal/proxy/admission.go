// Early rejection: if half of a service's concurrency is in use and the prefill queue would make a
// request miss its latency target by far, it is rejected with a retry delay before any worker is
// offered it. Less urgent routes are rejected first. The share of rejected requests grows with the
// queue, so that the nodes, which all see the same slightly old loads, do not reject everything at
// once. Callers that return before their retry delay is over are rejected first.

package proxy

import (
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	admitHysteresis = 0.7 // rejection ends at this multiple of the threshold at which it began
	// admitClassFactor discounts the estimated latency for each less urgent class of the service,
	// whose requests this one overtakes in the queue.
	admitClassFactor = 2.0
	admitViewTTL     = 25 * time.Millisecond  // validity of a service's computed pressure
	admitEpoch       = 700 * time.Millisecond // period in which a repeated request gets the same draw on every node
	minRetryAfter    = 20 * time.Millisecond  // smallest retry delay
	retryAfterShare  = 0.3                    // share of a request's remaining time that its retry delay may take
)

// servicePressure is the load of a service as known to this node.
type servicePressure struct {
	at         ids.Tick
	loadsKnown bool    // recent loads are known for at least half of the concurrency
	halfFull   bool    // at least half of the known concurrency is in use
	queueMs    float64 // ms of queued prefills at the least loaded prefill worker; negative if there is none
}

// admission is the state of early rejection.
type admission struct {
	pressures sync.Map // service -> *servicePressure
	rejecting sync.Map // service and rank -> *atomic.Bool, true while rejecting
	rejected  rejectedCallers
}

// rejectedCallers records when rejected callers may return, in two generations of bounded size.
type rejectedCallers struct {
	mu              sync.Mutex
	recent, earlier map[uint64]ids.Tick
}

// remember records that a caller may return at the tick due.
func (c *rejectedCallers) remember(caller uint64, due ids.Tick, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recent == nil || len(c.recent) >= max(1, limit/2) {
		c.recent, c.earlier = map[uint64]ids.Tick{}, c.recent
	}
	c.recent[caller] = due
}

// earlyBy returns how long before its retry delay was over a caller came back.
func (c *rejectedCallers) earlyBy(caller uint64, now ids.Tick) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.recent[caller].Since(now), c.earlier[caller].Since(now))
}

// callerHash identifies the caller of a request, the same for all its attempts. No header names a
// caller, but the last segment of a prompt is specific to the request or its session.
func callerHash(r *Request) uint64 {
	h := fnv.New64a()
	for _, s := range []string{r.Host, r.Target, r.Model, strconv.Itoa(r.Prompt), strconv.Itoa(r.MaxTokens)} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	if k := len(r.Segments); k > 0 {
		h.Write([]byte(r.Segments[k-1].ID))
	} else {
		h.Write(r.Body.Prefix(1024))
	}
	return h.Sum64()
}

// admitDraw returns a pseudo-random number from 0 to 1 for a caller, the same on every node within an
// admitEpoch.
func admitDraw(caller uint64, wall time.Time) float64 {
	caller ^= uint64(wall.UnixNano()/int64(admitEpoch)) * 0x9e3779b97f4a7c15
	caller ^= caller >> 33
	caller *= 0xff51afd7ed558ccd
	caller ^= caller >> 33
	return float64(caller>>11) / (1 << 53)
}

// computePressure computes the load of a service, or returns a recently computed one.
func (n *Node) computePressure(service *fleetstate.Service, list *workerListVersion, s *fleetstate.Snapshot) *servicePressure {
	now := n.now()
	if v, ok := n.admission.pressures.Load(service.Name); ok && !now.Past(v.(*servicePressure).at, admitViewTTL) {
		return v.(*servicePressure)
	}
	p := &servicePressure{at: now, queueMs: -1}
	avoidedQueueMs := -1.0 // as queueMs, over the workers within their avoidance period
	index := n.candidateIndexFor(list, s)
	var used, known, total int
	for _, role := range []ids.Role{ids.Prefill, ids.Decode} {
		for _, c := range index.byRole[serviceRole{service.Name, role}] {
			if role == ids.Decode && c.role == "" && len(index.byRole[serviceRole{service.Name, ids.Prefill}]) > 0 {
				continue // counted as a prefill worker
			}
			concurrency := max(1, list.workers[c.index].Concurrency)
			total += concurrency
			c.state.mu.Lock()
			avoided := now.Before(c.state.avoidUntil)
			queuedTokens, queuedPrompts := c.state.queuedPrefills(now)
			active, recent := c.state.activeRequests(now, n.options.AdmitMaxAge)
			c.state.mu.Unlock()
			if recent {
				known, used = known+concurrency, used+max(active, queuedPrompts)
			}
			if role != ids.Prefill {
				continue
			}
			best := &p.queueMs
			if avoided {
				best = &avoidedQueueMs
			}
			if ms := float64(queuedTokens)/n.options.PrefillTokensPerMs + queuedPrefillCost*float64(queuedPrompts); *best < 0 ||
				ms < *best {
				*best = ms
			}
		}
	}
	if p.queueMs < 0 {
		p.queueMs = avoidedQueueMs
	}
	p.loadsKnown = known*2 >= total && known > 0
	p.halfFull = used*2 >= known
	n.admission.pressures.Store(service.Name, p)
	return p
}

// admit rejects a request that would miss its latency target by far while the service is under load.
func (t *exchange) admit(s *fleetstate.Snapshot) error {
	n, now := t.node, t.node.now()
	list := n.currentList.Load()
	if n.options.AdmitFactor < 0 || !t.route.Disaggregated || t.lastEventID != "" ||
		now.Past(list.requestedAt, listMaxAge) {
		return nil
	}
	p := n.computePressure(t.service, list, s)
	if !p.loadsKnown || !p.halfFull || p.queueMs < 0 {
		return nil
	}
	latencyMs := p.queueMs + float64(t.request.Prompt)/n.options.PrefillTokensPerMs
	targetMs := max(1, float64((t.route.LatencyTarget()-now.Since(t.request.At))/time.Millisecond))
	rank := 0
	for _, u := range n.candidateIndexFor(list, s).urgencies[t.service.Name] {
		if u > t.urgency() {
			rank++
		}
	}
	latencyMs /= 1 + admitClassFactor*float64(rank)
	threshold := n.options.AdmitFactor
	v, _ := n.admission.rejecting.LoadOrStore(t.service.Name+"/"+strconv.Itoa(rank), &atomic.Bool{})
	isRejecting := v.(*atomic.Bool)
	ratio := latencyMs / targetMs
	floor := threshold
	if isRejecting.Load() {
		floor *= admitHysteresis
	}
	isRejecting.Store(ratio > floor)
	caller := callerHash(t.request)
	if early := n.admission.rejected.earlyBy(caller, now); early > 0 && ratio > floor {
		return t.reject(early, "come back too soon")
	}
	if latencyMs < float64(t.remaining()/time.Millisecond) && admitDraw(
		caller, n.options.Host.Clock.Wall(),
	) >= (ratio-floor)/threshold {
		return nil
	}
	after := t.retryAfterHint()
	n.admission.rejected.remember(caller, now.Add(after), n.options.MaxRejectedCallers)
	return t.reject(after, "it would come late")
}

func (t *exchange) reject(after time.Duration, reason string) error {
	t.node.counts.RejectedEarly.Add(1)
	return &RejectedError{
		Code:       http.StatusServiceUnavailable,
		RetryAfter: max(after, minRetryAfter),
		Early:      true,
		Reason:     reason,
	}
}

// retryAfterHint schedules the caller's return, within the time that it is expected to wait.
func (t *exchange) retryAfterHint() time.Duration {
	return t.node.scheduleRetry(t.retryDelay(), t.remaining())
}

// scheduleRetry returns a retry delay of at least minimum, such that rejected callers do not all return at once, and
// each within the remaining time of its request.
func (n *Node) scheduleRetry(minimum, remaining time.Duration) time.Duration {
	limit := time.Duration(retryAfterShare * float64(remaining))
	after := n.retryAfter.Next(n.now(), n.counts.Completed.Load(), minimum)
	if after > limit && limit > 0 {
		after = limit/2 + rand.N(limit/2+1)
	}
	return max(after, minRetryAfter)
}
