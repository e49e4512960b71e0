// Early refusals: overloads with two urgencies and with callers that do not wait, and what
// must never be refused.

package proxy

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

// client is one caller with all its tries.
type client struct {
	urgent, rude bool
	tries        []*asked
	value        float64 // of 1: in time 1, late a half, refused and then in time the mean
	served       bool
	quick        bool // served within its aim, counted from the first try or from the one after a refusal
}

const (
	overloadTarget  = 600 * time.Millisecond
	overloadTimeout = 3 * time.Second
)

// overload is an overload: rate is what one second brings, of which some part is rude, for a span.
type overload struct {
	rate, rude    float64
	duration      time.Duration
	prompt, most  int
	readers, emit int // places of each of three and of four workers
	admit         float64
}

func (c overload) policy() []byte {
	route := func(name, prefix string, urgency int) fleetstate.Route {
		return fleetstate.Route{Name: name, Host: routeHost, Prefix: prefix, Service: "svc", Disaggregated: true, Stream: true, MaxAttempts: 2, DeadlineMs: 3000, LatencyTargetMs: int(overloadTarget / time.Millisecond), TokenIntervalMs: 200, Urgency: urgency}
	}
	return policy([]fleetstate.Route{route("urgent", "/stream/now/", 0), route("patient", "/stream/then/", 7)}, fleetstate.Service{Name: "svc", Concurrency: 8, RoleChangeMs: 1000})
}

// run gives all callers with their ends, and the fake platform's book.
func (c overload) run(t *testing.T, seed uint64) ([]*client, []row, []*asked) {
	all := both("svc", 3, 4)
	for _, s := range all {
		if s.Concurrency = c.emit; s.Role == ids.Prefill {
			s.Concurrency = c.readers
		}
	}
	y := newCluster(all...)
	if raced {
		c.duration /= 3
	}
	y.lag, y.queue, y.direct = 300*time.Millisecond, 40, 25
	f := build(t, seed, 4, y, c.policy(), func(o *Options) {
		o.RoleChangeInterval, o.IdlePrefillShare, o.RetryAllowance, o.AdmitFactor, o.PrefillTokensPerMs = 500*time.Millisecond, -1, 60, c.admit, float64(50*c.readers)
	})
	defer f.close()
	time.Sleep(5 * time.Second)
	rng := rand.New(rand.NewPCG(seed, 21))
	var wg sync.WaitGroup
	var out []*client
	gap := time.Duration(float64(time.Second) / c.rate)
	for i, end := 0, time.Now().Add(c.duration); time.Now().Before(end); i++ {
		one := &client{urgent: rng.IntN(2) == 0, rude: rng.Float64() < c.rude}
		out = append(out, one)
		at, by := rng.IntN(4), rng.IntN(3)+1
		wg.Go(func() { one.ask(f, c, i, at, by) })
		time.Sleep(gap)
	}
	wg.Wait()
	return out, y.directory(), f.asks
}

// ask has a caller try: a polite one once more when it was told to, a rude one at once and
// often.
func (c *client) ask(f *fleet, w overload, i, at, by int) {
	first := time.Now()
	path, more := "/stream/then/x", 1
	if c.urgent {
		path = "/stream/now/x"
	}
	if c.rude {
		more = 8
	}
	var refused bool
	for k := 0; k <= more; k++ {
		left := overloadTimeout - time.Since(first)
		if left < 50*time.Millisecond {
			return
		}
		r := f.req(fmt.Sprintf("r%d-%d", i, k), path, w.prompt, w.most)
		r.Segments = []PromptSegment{{ID: fmt.Sprint("system-", i%30), Tokens: w.prompt / 8}, {ID: fmt.Sprint("own-", i), Tokens: w.prompt - w.prompt/8}}
		r.Timeout = left
		began := time.Now()
		nodes := f.up()
		a := f.ask(nodes[(at+k*by)%len(nodes)], r)
		c.tries = append(c.tries, a)
		if a.err == nil {
			c.served = true
			complete := a.sink.when[0]+began.Sub(first) <= overloadTarget
			again := refused && a.sink.when[0] <= overloadTarget
			switch c.quick = complete || again; {
			case complete:
				c.value = 1
			case again:
				c.value = 0.75
			default:
				c.value = 0.5
			}
			return
		}
		no, ok := a.err.(*RejectedError)
		if !ok {
			return
		}
		refused = time.Since(began) <= overloadTarget/4
		if k > 0 && !c.rude {
			c.value = -0.3
			return
		}
		if c.rude {
			time.Sleep(10 * time.Millisecond)
		} else {
			time.Sleep(min(no.RetryAfter, (overloadTimeout-time.Since(first))/3))
		}
	}
	c.value = -0.3
}

// outcomesOf sums up callers: what they are worth, and which part was served in time or at all.
func outcomesOf(all []*client, of func(c *client) bool) (worth, quick, served float64, n int) {
	for _, c := range all {
		if of(c) {
			n++
			worth += c.value
			if c.quick {
				quick++
			}
			if c.served {
				served++
			}
		}
	}
	k := float64(max(1, n))
	return worth / k, quick / k, served / k, n
}

// urgentFirst: the urgent are never served less than the others.
func urgentFirst(all []*client) []string {
	_, _, urgent, n := outcomesOf(all, func(c *client) bool { return c.urgent })
	_, _, patient, m := outcomesOf(all, func(c *client) bool { return !c.urgent })
	if n > 0 && m > 0 && urgent < patient {
		return []string{fmt.Sprintf("%.2f of the urgent are served, %.2f of the others", urgent, patient)}
	}
	return nil
}

// fair: of each sort of callers, those that wait as told are served nearly as often as those
// that do not.
func fair(all []*client, slack float64) []string {
	var out []string
	for _, urgent := range []bool{true, false} {
		_, _, polite, n := outcomesOf(all, func(c *client) bool { return c.urgent == urgent && !c.rude })
		_, _, rude, m := outcomesOf(all, func(c *client) bool { return c.urgent == urgent && c.rude })
		if n > 0 && m > 0 && polite < rude-slack {
			out = append(out, fmt.Sprintf("urgent %t: %.2f of the polite are served, %.2f of those that repeat", urgent, polite, rude))
		}
	}
	return out
}

// retryAfterOf: every refusal says when to come back, within what the caller will wait if it
// came early.
func retryAfterOf(ends []*asked) []string {
	var out []string
	for _, a := range ends {
		if no, ok := a.err.(*RejectedError); ok && (no.RetryAfter <= 0 || no.Early && no.RetryAfter > max(minRetryAfter, a.Timeout/3)) {
			out = append(out, fmt.Sprintf("%s is told to come back after %s, and waits %s", a.ID, no.RetryAfter, a.Timeout))
		}
	}
	return out
}

// early lists the refusals that came before anything was offered.
func early(ends []*asked) []*asked {
	var out []*asked
	for _, a := range ends {
		if no, ok := a.err.(*RejectedError); ok && no.Early {
			out = append(out, a)
		}
	}
	return out
}

// TestPlantedCrowd: each checker keeps silent where all is well and catches its own violation.
func TestPlantedCrowd(t *testing.T) {
	rows := func(urgent, rude bool, served ...bool) []*client {
		var out []*client
		for _, s := range served {
			out = append(out, &client{urgent: urgent, rude: rude, served: s})
		}
		return out
	}
	require.Empty(t, urgentFirst(append(rows(true, false, true, true), rows(false, false, true, false)...)))
	require.NotEmpty(t, urgentFirst(append(rows(true, false, true, false), rows(false, false, true, true)...)))
	require.Empty(t, fair(append(rows(true, false, true, false), rows(true, true, true, false)...), 0.2))
	require.NotEmpty(t, fair(append(rows(true, false, true, false), rows(true, true, true, true)...), 0.2))
	require.NotEmpty(t, fair(append(rows(false, false, false, false), rows(false, true, true, false)...), 0.2))
	end := func(after time.Duration, early bool) []*asked {
		return []*asked{{Request: &Request{ID: "r", Timeout: 3 * time.Second}, err: &RejectedError{Code: 503, RetryAfter: after, Early: early}}}
	}
	require.Empty(t, retryAfterOf(end(time.Second, true)))
	require.NotEmpty(t, retryAfterOf(end(0, false)))
	require.NotEmpty(t, retryAfterOf(end(2*time.Second, true)))
}

// reading is a crowd whose prompts take longer to read than there is time; 72 a second is
// what the workers bear.
var reading = overload{prompt: 8000, most: 4, readers: 4, emit: 8, duration: 8 * time.Second}

// TestOverload: at one and a half and at three times what the workers bear, with two
// urgencies and callers of which a third repeat at once and often, what is promised holds,
// the urgent are served first, polite callers are not starved, every refusal says when to
// come back; and at three times, refusing from twice the aim on, more of the urgent are served
// than without early refusals.
func TestOverload(t *testing.T) {
	for _, over := range []float64{1.5, 3} {
		t.Run(fmt.Sprint(over), func(t *testing.T) {
			var urgent [2]float64
			admits := []float64{-1, 2}
			if over < 2 {
				admits = []float64{0}
			}
			for _, admit := range admits {
				k := 0
				if admit >= 0 {
					k = 1
				}
				eachSeed(t, 2, func(t *testing.T, seed uint64) {
					c := reading
					c.rate, c.rude, c.admit = 72*over, 0.3, admit
					all, rows, ends := c.run(t, seed)
					require.Empty(t, onceOnly(rows, ends))
					require.Empty(t, ended(ends, 3200*time.Millisecond))
					require.Empty(t, answers(ends))
					require.Empty(t, extras(rows, ends, 0.2, 60, window))
					require.Empty(t, retryAfterOf(ends))
					require.Empty(t, urgentFirst(all))
					_, quick, served, n := outcomesOf(all, func(c *client) bool { return c.urgent })
					_, quicks, limit, _ := outcomesOf(all, func(c *client) bool { return !c.rude })
					t.Logf("early refusals %t: %d callers, %d tries, %d refused early; of the urgent %.2f in time, %.2f served; of the polite %.2f and %.2f",
						k == 1, len(all), len(ends), len(early(ends)), quick, served, quicks, limit)
					require.Greater(t, n, 0)
					urgent[k] += served
					if k == 1 {
						require.Empty(t, fair(all, 0.25))
						sent := map[string]bool{}
						for _, r := range rows {
							sent[r.Req] = true
						}
						for _, a := range early(ends) {
							require.False(t, sent[a.ID] || a.end-a.at > time.Millisecond, "%s is refused at once, before anything is offered", a.ID)
						}
					} else {
						require.Empty(t, early(ends))
					}
				})
			}
			if over > 2 && !raced {
				require.Greater(t, urgent[1], urgent[0])
			}
		})
	}
}

// TestNoneEarlyWhileFree: at four fifths of what the workers bear, and in a short burst that
// leaves half of the places free, nobody is refused.
func TestNoneEarlyWhileFree(t *testing.T) {
	eachSeed(t, 2, func(t *testing.T, seed uint64) {
		c := reading
		c.rate, c.rude = 58, 0.3
		_, _, ends := c.run(t, seed)
		for _, a := range ends {
			require.NoError(t, a.err)
		}
	})
	eachSeed(t, 2, func(t *testing.T, seed uint64) {
		c := reading
		c.rate, c.duration, c.emit, c.prompt = 400, 50*time.Millisecond, 40, 20_000
		_, _, ends := c.run(t, seed)
		require.Empty(t, early(ends))
	})
}

// gated is a node that knows its workers as told, and asks it about one request.
type gated struct {
	t    *testing.T
	n    *Node
	list []Worker
	s    *fleetstate.Snapshot
}

func newGated(t *testing.T) *gated {
	n, err := New(Options{Name: "n", Zone: "a", Host: quietHost()})
	require.NoError(t, err)
	n.options.AdmitFactor = 2
	g := &gated{t: t, n: n, list: many(8)}
	p := &fleetstate.Configuration{Services: map[string]fleetstate.Service{"s": {Name: "s"}}}
	for _, u := range []int{0, 7} {
		p.Routes = append(p.Routes, fleetstate.Route{Name: fmt.Sprint("u", u), Host: routeHost, Prefix: fmt.Sprintf("/u%d/", u), Service: "s", Disaggregated: true, DeadlineMs: 3000, LatencyTargetMs: 500, Urgency: u})
	}
	g.s = &fleetstate.Snapshot{Configuration: p}
	n.installList(g.list, n.now(), n.now())
	return g
}

// stand has every worker report so many requests, and other nodes so many tokens ahead.
func (g *gated) stand(running, tokens int, age time.Duration) {
	now := g.n.now()
	for _, w := range g.list {
		st := g.n.state(w.ID)
		st.mu.Lock()
		st.memory.reportedLoad, st.memory.at = reportedLoad{Capacity: 1000, Running: running}, now.Add(-age)
		st.peerPrefills, st.peerPrefillsAt = PrefillLoad{w.ID, tokens, 1}, now
		st.mu.Unlock()
	}
	g.n.admission.pressures.Clear()
	g.n.admission.rejected.recent = nil
}

// asks gives how many of so many different requests of a route are refused.
func (g *gated) asks(count, route int, form func(t *exchange)) int {
	out := 0
	for i := range count {
		service := g.s.Configuration.Services["s"]
		r := &Request{ID: fmt.Sprint("r", i), Prompt: 1000, MaxTokens: 4, At: g.n.now(), Segments: []PromptSegment{{fmt.Sprint("own", i), 1000}}}
		t := &exchange{node: g.n, request: r, route: &g.s.Configuration.Routes[route], service: &service, deadline: g.n.now().Add(3 * time.Second)}
		if form != nil {
			form(t)
		}
		if err := t.admit(g.s); err != nil {
			require.Equal(g.t, 503, err.(*RejectedError).Code)
			require.Greater(g.t, err.(*RejectedError).RetryAfter, time.Duration(0))
			out++
		}
	}
	return out
}

// TestGate: none is refused early while half of the places are free, what is known of the
// workers or the list is old, the request goes on a stream, or the route is not read apart;
// beyond, more are the more is ahead, the less urgent first, and refusing ends lower than it
// began.
func TestGate(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const urgent, patient = 0, 1
		over := func(times float64) int { return int((times*500 - 20 - queuedPrefillCost) * 50) } // tokens ahead
		g := newGated(t)
		g.stand(11, over(5), 0)
		require.Zero(t, g.asks(200, patient, nil), "half of the places are free")
		g.stand(13, over(5), 1100*time.Millisecond)
		require.Zero(t, g.asks(200, patient, nil), "the view is old")
		g.stand(13, over(1.9), 0)
		require.Zero(t, g.asks(200, patient, nil), "it would come before twice its aim")

		g.stand(13, over(2.4), 0)
		few := g.asks(500, patient, nil)
		require.InDelta(t, 250, few, 60)
		require.Zero(t, g.asks(500, urgent, nil), "the urgent overtake the others")
		g.stand(13, over(3), 0)
		more := g.asks(500, patient, nil)
		require.Greater(t, more, few)
		require.Less(t, more, 500)
		g.stand(13, over(1.6), 0)
		eased := g.asks(500, patient, nil)
		require.Greater(t, eased, 0, "it has not eased yet")
		require.Less(t, eased, few)
		g.stand(13, over(1.3), 0)
		require.Zero(t, g.asks(500, patient, nil), "it has eased")
		g.stand(13, over(1.6), 0)
		require.Zero(t, g.asks(500, patient, nil), "and begins later than it ended")

		g.stand(13, over(20), 0)
		require.Equal(t, 200, g.asks(200, patient, nil))
		for _, w := range g.list {
			g.n.state(w.ID).recordFull(g.n.now())
		}
		g.stand(13, over(20), 0)
		require.Equal(t, 200, g.asks(200, patient, nil), "all have turned something away just now")
		require.Greater(t, g.asks(200, urgent, nil), 0)
		require.Zero(t, g.asks(200, patient, func(t *exchange) { t.lastEventID = "7" }), "a stream goes on")
		require.Zero(t, g.asks(200, patient, func(t *exchange) { r := *t.route; r.Disaggregated = false; t.route = &r }))
		previous := *g.n.endpoints.Load()
		previous.requestedAt = g.n.now().Add(-listMaxAge - time.Second)
		g.n.endpoints.Store(&previous)
		require.Zero(t, g.asks(200, patient, nil), "the list is old")

		off := newGated(t)
		off.n.options.AdmitFactor = -1
		off.stand(13, over(20), 0)
		require.Zero(t, off.asks(200, patient, nil), "it is off")
	})
}

// TestTriesAlike: the tries of one request fare alike on all nodes for a moment, so that
// nobody gets further by trying often.
func TestTriesAlike(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var first []bool
		for node := range 3 {
			g := newGated(t)
			g.stand(13, 60_000, 0)
			var fate []bool
			for i := range 40 {
				fate = append(fate, g.asks(1, 1, func(t *exchange) { t.request.Segments[0].ID = fmt.Sprint("own", i) }) == 1)
			}
			if node == 0 {
				first = fate
				require.Contains(t, fate, true)
				require.Contains(t, fate, false)
			}
			require.Equal(t, first, fate)
		}
	})
}

// TestCallers: who comes back before it was told to is refused as long as the service is
// pressed, told what is left of its time, and like any other afterwards; the tries of one
// request fare alike on all nodes for a moment; the table is bounded.
func TestCallers(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var c rejectedCallers
		c.remember(7, ms(2000), 100)
		require.Equal(t, time.Second, c.earlyBy(7, ms(1000)))
		require.Zero(t, c.earlyBy(7, ms(2000)))
		require.Zero(t, c.earlyBy(8, ms(1000)))
		for i := range uint64(10_000) {
			c.remember(100+i, ms(2000), 100)
			require.LessOrEqual(t, len(c.recent)+len(c.earlier), 100)
		}
		require.NotZero(t, c.earlyBy(100+9_999, ms(1000)), "the newest are kept")

		one := &Request{ID: "first", Target: "/x", Prompt: 9, Segments: []PromptSegment{{"shared", 5}, {"own", 4}}}
		again, other := *one, *one
		again.ID = "second"
		other.Segments = []PromptSegment{{"shared", 5}, {"another", 4}}
		require.Equal(t, callerHash(one), callerHash(&again))
		require.NotEqual(t, callerHash(one), callerHash(&other))
		require.NotEqual(t, callerHash(&Request{Body: []byte("a")}), callerHash(&Request{Body: []byte("b")}))

		wall := time.Unix(1000, 0)
		low := 0
		for i := range uint64(1000) {
			who := i * 0x9e3779b97f4a7c15
			require.Equal(t, admitDraw(who, wall), admitDraw(who, wall.Add(admitEpoch/100)))
			if admitDraw(who, wall) < 0.25 {
				low++
				if admitDraw(who, wall.Add(admitEpoch)) < 0.25 {
					low--
				}
			}
		}
		require.InDelta(t, 190, low, 60, "a later moment draws anew")

		g := newGated(t)
		g.stand(13, 200_000, 0)
		require.Equal(t, 1, g.asks(1, 1, nil))
		kept := g.n.admission.rejected.recent
		g.stand(13, 36_000, 0) // 1.5 times the aim: it has not eased, and few are refused
		g.n.admission.rejected.recent = kept
		require.Equal(t, 1, g.asks(1, 1, nil), "it came back too soon")
		g.stand(13, 10_000, 0)
		g.n.admission.rejected.recent = kept
		require.Zero(t, g.asks(1, 1, nil), "it is pressed no more")
	})
}
