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
	admitEase  = 0.7                    // of where refusing began, it ends
	admitRank  = 2.0                    // what is ahead counts less for each more urgent class, which overtakes it
	admitView  = 25 * time.Millisecond  // how long one reckoning of a service serves
	admitEpoch = 700 * time.Millisecond // in which a request that is repeated fares alike on every node
	admitLeast = 20 * time.Millisecond  // before a caller is to come back
	admitPart  = 0.3                    // of the time left, which callers will wait
)

// pressure is how a service stands as this node knows it.
type pressure struct {
	at    ids.Tick
	known bool    // the view is young enough
	half  bool    // half of its places are taken
	ahead float64 // ms of reading at the best reading worker
}

// gate is what refuses early.
type gate struct {
	views  sync.Map // service -> *pressure
	on     sync.Map // service and rank -> *atomic.Bool: it refuses
	repeat callers
}

// callers remembers who was told to come back when, of two generations.
type callers struct {
	mu       sync.Mutex
	new, old map[uint64]ids.Tick
}

func (c *callers) note(who uint64, due ids.Tick, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.new == nil || len(c.new) >= max(1, most/2) {
		c.new, c.old = map[uint64]ids.Tick{}, c.new
	}
	c.new[who] = due
}

// early gives how much sooner than told a caller came.
func (c *callers) early(who uint64, now ids.Tick) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.new[who].Since(now), c.old[who].Since(now))
}

// caller tells requests apart but not the tries of one: no header names a caller, but the
// last part of a prompt is the request's or its session's own.
func caller(r *Request) uint64 {
	h := fnv.New64a()
	for _, s := range []string{r.Host, r.Target, r.Model, strconv.Itoa(r.Prompt), strconv.Itoa(r.Most)} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	if k := len(r.Parts); k > 0 {
		h.Write([]byte(r.Parts[k-1].ID))
	} else {
		h.Write(r.Body[:min(len(r.Body), 1024)])
	}
	return h.Sum64()
}

// draw is a number from 0 to 1, the same on every node for some moment.
func draw(who uint64, wall time.Time) float64 {
	who ^= uint64(wall.UnixNano()/int64(admitEpoch)) * 0x9e3779b97f4a7c15
	who ^= who >> 33
	who *= 0xff51afd7ed558ccd
	who ^= who >> 33
	return float64(who>>11) / (1 << 53)
}

// pressed reckons how a service stands.
func (n *Node) pressed(svc *fleetstate.Service, ros *roster, s *fleetstate.Snapshot) *pressure {
	now := n.now()
	if v, ok := n.gate.views.Load(svc.Name); ok && !now.Past(v.(*pressure).at, admitView) {
		return v.(*pressure)
	}
	p := &pressure{at: now, ahead: -1}
	shy := -1.0 // ahead at the best of those that turned something away just now
	t := n.tabled(ros, s)
	var taken, seen, slots int
	for _, part := range []ids.Role{ids.Prefill, ids.Decode} {
		for _, e := range t.by[role{svc.Name, part}] {
			if part == ids.Decode && e.part == "" && len(t.by[role{svc.Name, ids.Prefill}]) > 0 {
				continue // counted
			}
			places := max(1, ros.all[e.place].Slots)
			slots += places
			e.st.mu.Lock()
			off := now.Before(e.st.shun)
			ahead, count := e.st.ahead(now)
			busy, young := e.st.busy(now, n.opt.Fresh)
			e.st.mu.Unlock()
			if young {
				seen, taken = seen+places, taken+max(busy, count)
			}
			if part != ids.Prefill {
				continue
			}
			best := &p.ahead
			if off {
				best = &shy
			}
			if ms := float64(ahead)/n.opt.Pace + readFirst*float64(count); *best < 0 || ms < *best {
				*best = ms
			}
		}
	}
	if p.ahead < 0 {
		p.ahead = shy
	}
	p.known = seen*2 >= slots && seen > 0
	p.half = taken*2 >= seen
	n.gate.views.Store(svc.Name, p)
	return p
}

// admit refuses a request that would come late while places are short.
func (t *trip) admit(s *fleetstate.Snapshot) error {
	n, now := t.n, t.n.now()
	ros := n.roster.Load()
	if n.opt.Admit < 0 || !t.route.Disaggregated || t.last != "" || now.Past(ros.at, listOld) {
		return nil
	}
	p := n.pressed(t.svc, ros, s)
	if !p.known || !p.half || p.ahead < 0 {
		return nil
	}
	due := p.ahead + float64(t.r.Prompt)/n.opt.Pace
	aim := max(1, float64((t.route.LatencyTarget()-now.Since(t.r.At))/time.Millisecond))
	rank := 0
	for _, u := range n.tabled(ros, s).ranks[t.svc.Name] {
		if u > t.route.Urgency {
			rank++
		}
	}
	due /= 1 + admitRank*float64(rank)
	begin := n.opt.Admit
	v, _ := n.gate.on.LoadOrStore(t.svc.Name+"/"+strconv.Itoa(rank), &atomic.Bool{})
	on := v.(*atomic.Bool)
	over := due / aim
	floor := begin
	if on.Load() {
		floor *= admitEase
	}
	on.Store(over > floor)
	who := caller(t.r)
	if early := n.gate.repeat.early(who, now); early > 0 && over > floor {
		return t.turnBack(early, "come back too soon")
	}
	if due < float64(t.left()/time.Millisecond) && draw(who, n.opt.Host.Clock.Wall()) >= (over-floor)/begin {
		return nil
	}
	after := t.comeBack()
	n.gate.repeat.note(who, now.Add(after), n.opt.Callers)
	return t.turnBack(after, "it would come late")
}

func (t *trip) turnBack(after time.Duration, why string) error {
	t.n.counts.Early.Add(1)
	return &Refusal{Code: http.StatusServiceUnavailable, After: max(after, admitLeast), Early: true, Why: why}
}

// comeBack books an appointment, within what the caller will wait.
func (t *trip) comeBack() time.Duration {
	most := time.Duration(admitPart * float64(t.left()))
	after := t.n.tide.Next(t.n.now(), t.n.counts.Done.Load(), t.after())
	if after > most && most > 0 {
		after = most/2 + rand.N(most/2+1)
	}
	return max(after, admitLeast)
}
