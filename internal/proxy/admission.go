// Refusing early: where half of a service's places are taken and what is to be read first
// brings a request far beyond its aim, it is refused before any worker is offered it, and told
// when to come back; less urgent routes first, more of them the more there is ahead, so that
// nodes, which all see the same a moment late, do not refuse all at once. Who comes back
// before it was told to is refused first.

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
	admitHysteresis = 0.7 // of where refusing began, it ends
	// what is ahead counts less for each more urgent class, which overtakes it
	admitClassFactor = 2.0
	admitViewTTL     = 25 * time.Millisecond  // how long one reckoning of a service serves
	admitEpoch       = 700 * time.Millisecond // in which a request that is repeated fares alike on every node
	minRetryAfter    = 20 * time.Millisecond  // before a caller is to come back
	retryAfterShare  = 0.3                    // of the time left, which callers will wait
)

// servicePressure is how a service stands as this node knows it.
type servicePressure struct {
	at         ids.Tick
	loadsKnown bool    // the view is young enough
	halfFull   bool    // half of its places are taken
	queueMs    float64 // ms of reading at the best reading worker
}

// admission is what refuses early.
type admission struct {
	pressures sync.Map // service -> *pressure
	rejecting sync.Map // service and rank -> *atomic.Bool: it refuses
	rejected  rejectedCallers
}

// rejectedCallers remembers who was told to come back when, of two generations.
type rejectedCallers struct {
	mu              sync.Mutex
	recent, earlier map[uint64]ids.Tick
}

func (c *rejectedCallers) remember(who uint64, due ids.Tick, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recent == nil || len(c.recent) >= max(1, limit/2) {
		c.recent, c.earlier = map[uint64]ids.Tick{}, c.recent
	}
	c.recent[who] = due
}

// earlyBy gives how much sooner than told a caller came.
func (c *rejectedCallers) earlyBy(who uint64, now ids.Tick) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.recent[who].Since(now), c.earlier[who].Since(now))
}

// callerHash tells requests apart but not the tries of one: no header names a caller, but the
// last part of a prompt is the request's or its session's own.
func callerHash(r *Request) uint64 {
	h := fnv.New64a()
	for _, s := range []string{r.Host, r.Target, r.Model, strconv.Itoa(r.Prompt), strconv.Itoa(r.MaxTokens)} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	if k := len(r.Segments); k > 0 {
		h.Write([]byte(r.Segments[k-1].ID))
	} else {
		h.Write(r.Body[:min(len(r.Body), 1024)])
	}
	return h.Sum64()
}

// admitDraw is a number from 0 to 1, the same on every node for some moment.
func admitDraw(who uint64, wall time.Time) float64 {
	who ^= uint64(wall.UnixNano()/int64(admitEpoch)) * 0x9e3779b97f4a7c15
	who ^= who >> 33
	who *= 0xff51afd7ed558ccd
	who ^= who >> 33
	return float64(who>>11) / (1 << 53)
}

// servicePressure reckons how a service stands.
func (n *Node) servicePressure(service *fleetstate.Service, list *endpointList, s *fleetstate.Snapshot) *servicePressure {
	now := n.now()
	if v, ok := n.admission.pressures.Load(service.Name); ok && !now.Past(v.(*servicePressure).at, admitViewTTL) {
		return v.(*servicePressure)
	}
	p := &servicePressure{at: now, queueMs: -1}
	shy := -1.0 // ahead at the best of those that turned something away just now
	t := n.candidateIndexFor(list, s)
	var taken, seen, slots int
	for _, role := range []ids.Role{ids.Prefill, ids.Decode} {
		for _, e := range t.byRole[serviceRole{service.Name, role}] {
			if role == ids.Decode && e.role == "" && len(t.byRole[serviceRole{service.Name, ids.Prefill}]) > 0 {
				continue // counted
			}
			places := max(1, list.workers[e.index].Concurrency)
			slots += places
			e.state.mu.Lock()
			off := now.Before(e.state.avoidUntil)
			ahead, count := e.state.queuedPrefills(now)
			busy, young := e.state.activeRequests(now, n.options.AdmitMaxAge)
			e.state.mu.Unlock()
			if young {
				seen, taken = seen+places, taken+max(busy, count)
			}
			if role != ids.Prefill {
				continue
			}
			best := &p.queueMs
			if off {
				best = &shy
			}
			if ms := float64(ahead)/n.options.PrefillTokensPerMs + queuedPrefillCost*float64(count); *best < 0 ||
				ms < *best {
				*best = ms
			}
		}
	}
	if p.queueMs < 0 {
		p.queueMs = shy
	}
	p.loadsKnown = seen*2 >= slots && seen > 0
	p.halfFull = taken*2 >= seen
	n.admission.pressures.Store(service.Name, p)
	return p
}

// admit refuses a request that would come late while places are short.
func (t *exchange) admit(s *fleetstate.Snapshot) error {
	n, now := t.node, t.node.now()
	list := n.endpoints.Load()
	if n.options.AdmitFactor < 0 || !t.route.Disaggregated || t.lastEventID != "" ||
		now.Past(list.requestedAt, listMaxAge) {
		return nil
	}
	p := n.servicePressure(t.service, list, s)
	if !p.loadsKnown || !p.halfFull || p.queueMs < 0 {
		return nil
	}
	due := p.queueMs + float64(t.request.Prompt)/n.options.PrefillTokensPerMs
	aim := max(1, float64((t.route.LatencyTarget()-now.Since(t.request.At))/time.Millisecond))
	rank := 0
	for _, u := range n.candidateIndexFor(list, s).urgencies[t.service.Name] {
		if u > t.urgency() {
			rank++
		}
	}
	due /= 1 + admitClassFactor*float64(rank)
	begin := n.options.AdmitFactor
	v, _ := n.admission.rejecting.LoadOrStore(t.service.Name+"/"+strconv.Itoa(rank), &atomic.Bool{})
	on := v.(*atomic.Bool)
	over := due / aim
	floor := begin
	if on.Load() {
		floor *= admitHysteresis
	}
	on.Store(over > floor)
	who := callerHash(t.request)
	if early := n.admission.rejected.earlyBy(who, now); early > 0 && over > floor {
		return t.reject(early, "come back too soon")
	}
	if due < float64(t.remaining()/time.Millisecond) && admitDraw(
		who, n.options.Host.Clock.Wall(),
	) >= (over-floor)/begin {
		return nil
	}
	after := t.retryAfterHint()
	n.admission.rejected.remember(who, now.Add(after), n.options.MaxRejectedCallers)
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

// retryAfterHint books an appointment, within what the caller will wait.
func (t *exchange) retryAfterHint() time.Duration {
	limit := time.Duration(retryAfterShare * float64(t.remaining()))
	after := t.node.retryAfter.Next(t.node.now(), t.node.counts.Completed.Load(), t.retryAfter())
	if after > limit && limit > 0 {
		after = limit/2 + rand.N(limit/2+1)
	}
	return max(after, minRetryAfter)
}
