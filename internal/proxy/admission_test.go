// Early rejection under overload, with two urgencies and with callers that retry at once, and the requests
// that must never be rejected early.

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
	"keelstair.example/internal/requestbody"
)

// overloadCaller is a caller and its attempts.
type overloadCaller struct {
	urgent, impatient bool
	attempts          []*requestResult
	value             float64 // 1 in time, 0.5 late, their mean 0.75 in time after a rejection, -0.3 rejected to the end, else 0
	served            bool
	onTime            bool // served within overloadTarget of the first attempt, or of the attempt after a quick rejection
}

const (
	overloadTarget  = 600 * time.Millisecond
	overloadTimeout = 3 * time.Second
)

// overloadScenario is a load of rate callers per second, some of which are impatient: they ignore the retry
// delay.
type overloadScenario struct {
	rate, impatientShare                  float64
	duration                              time.Duration
	prompt, maxTokens                     int
	prefillConcurrency, decodeConcurrency int // of each of three prefill and four decode workers
	admitFactor                           float64
}

// configuration returns a configuration with one route for urgent and one for other requests.
func (s overloadScenario) configuration() []byte {
	route := func(name, prefix string, urgency int) fleetstate.Route {
		return fleetstate.Route{Name: name, Host: routeHost, Prefix: prefix, Service: "svc", Disaggregated: true, Stream: true, MaxAttempts: 2, DeadlineMs: 3000, LatencyTargetMs: int(overloadTarget / time.Millisecond), TokenIntervalMs: 200, Urgency: urgency}
	}
	return encodeConfiguration([]fleetstate.Route{route("urgent", "/stream/now/", 0), route("normal", "/stream/then/", 7)}, fleetstate.Service{Name: "svc", Concurrency: 8, RoleChangeMs: 1000})
}

// run returns all callers, the calls that the fake platform recorded, and the results of all requests.
func (s overloadScenario) run(t *testing.T, seed uint64) ([]*overloadCaller, []callRecord, []*requestResult) {
	workers := prefillAndDecodeWorkers("svc", 3, 4)
	for _, worker := range workers {
		if worker.Concurrency = s.decodeConcurrency; worker.Role == ids.Prefill {
			worker.Concurrency = s.prefillConcurrency
		}
	}
	platform := newFakePlatform(workers...)
	if raceDetectorEnabled {
		s.duration /= 3
	}
	platform.reportedLoadAge, platform.queueLimit, platform.directTokensPerMs = 300*time.Millisecond, 40, 25
	f := startFleet(t, seed, 4, platform, s.configuration(), func(o *Options) {
		o.RoleCheckInterval, o.IdlePrefillShare, o.RetryAllowance, o.AdmitFactor, o.PrefillTokensPerMs = 500*time.Millisecond, -1, 60, s.admitFactor, float64(50*s.prefillConcurrency)
	})
	defer f.close()
	time.Sleep(5 * time.Second)
	rng := rand.New(rand.NewPCG(seed, 21))
	var wg sync.WaitGroup
	var callers []*overloadCaller
	interval := time.Duration(float64(time.Second) / s.rate)
	for i, end := 0, time.Now().Add(s.duration); time.Now().Before(end); i++ {
		caller := &overloadCaller{urgent: rng.IntN(2) == 0, impatient: rng.Float64() < s.impatientShare}
		callers = append(callers, caller)
		firstNode, nodeStep := rng.IntN(4), rng.IntN(3)+1
		wg.Go(func() { caller.sendAttempts(f, s, i, firstNode, nodeStep) })
		time.Sleep(interval)
	}
	wg.Wait()
	return callers, platform.recordedCalls(), f.results
}

// sendAttempts sends requests until one is served or the caller gives up. A patient caller retries once, after
// the retry delay; an impatient one retries up to eight times, 10 ms after each rejection.
func (c *overloadCaller) sendAttempts(f *fleet, scenario overloadScenario, i, firstNode, nodeStep int) {
	start := time.Now()
	path, retries := "/stream/then/x", 1
	if c.urgent {
		path = "/stream/now/x"
	}
	if c.impatient {
		retries = 8
	}
	var rejectedQuickly bool
	for n := 0; n <= retries; n++ {
		remaining := overloadTimeout - time.Since(start)
		if remaining < 50*time.Millisecond {
			return
		}
		r := f.newRequest(fmt.Sprintf("r%d-%d", i, n), path, scenario.prompt, scenario.maxTokens)
		r.Segments = []PromptSegment{{ID: fmt.Sprint("system-", i%30), Tokens: scenario.prompt / 8}, {ID: fmt.Sprint("own-", i), Tokens: scenario.prompt - scenario.prompt/8}}
		r.Timeout = remaining
		attemptStart := time.Now()
		nodes := f.runningNodes()
		result := f.send(nodes[(firstNode+n*nodeStep)%len(nodes)], r)
		c.attempts = append(c.attempts, result)
		if result.err == nil {
			c.served = true
			firstInTime := result.response.writeTimes[0]+attemptStart.Sub(start) <= overloadTarget
			retryInTime := rejectedQuickly && result.response.writeTimes[0] <= overloadTarget
			switch c.onTime = firstInTime || retryInTime; {
			case firstInTime:
				c.value = 1
			case retryInTime:
				c.value = 0.75
			default:
				c.value = 0.5
			}
			return
		}
		rejection, ok := result.err.(*RejectedError)
		if !ok {
			return
		}
		rejectedQuickly = time.Since(attemptStart) <= overloadTarget/4
		if n > 0 && !c.impatient {
			c.value = -0.3
			return
		}
		if c.impatient {
			time.Sleep(10 * time.Millisecond)
		} else {
			time.Sleep(min(rejection.RetryAfter, (overloadTimeout-time.Since(start))/3))
		}
	}
	c.value = -0.3
}

// summarizeCallers returns the mean value of the included callers, the shares that were served in time and at
// all, and their number.
func summarizeCallers(callers []*overloadCaller, include func(caller *overloadCaller) bool) (meanValue, onTime, served float64, n int) {
	for _, caller := range callers {
		if include(caller) {
			n++
			meanValue += caller.value
			if caller.onTime {
				onTime++
			}
			if caller.served {
				served++
			}
		}
	}
	total := float64(max(1, n))
	return meanValue / total, onTime / total, served / total, n
}

// urgencyViolations checks that urgent callers are served at least as often as the others.
func urgencyViolations(callers []*overloadCaller) []string {
	_, _, urgent, n := summarizeCallers(callers, func(caller *overloadCaller) bool { return caller.urgent })
	_, _, normal, m := summarizeCallers(callers, func(caller *overloadCaller) bool { return !caller.urgent })
	if n > 0 && m > 0 && urgent < normal {
		return []string{fmt.Sprintf("%.2f of the urgent callers are served, %.2f of the others", urgent, normal)}
	}
	return nil
}

// fairnessViolations checks for each urgency that patient callers are served nearly as often as impatient ones.
func fairnessViolations(callers []*overloadCaller, slack float64) []string {
	var out []string
	for _, urgent := range []bool{true, false} {
		_, _, patient, n := summarizeCallers(callers, func(caller *overloadCaller) bool { return caller.urgent == urgent && !caller.impatient })
		_, _, impatient, m := summarizeCallers(callers, func(caller *overloadCaller) bool { return caller.urgent == urgent && caller.impatient })
		if n > 0 && m > 0 && patient < impatient-slack {
			out = append(out, fmt.Sprintf("urgent %t: %.2f of the patient callers are served, %.2f of the impatient ones", urgent, patient, impatient))
		}
	}
	return out
}

// retryAfterViolations checks that every rejection has a retry delay, and that an early one leaves the caller
// enough time.
func retryAfterViolations(results []*requestResult) []string {
	var out []string
	for _, result := range results {
		if rejection, ok := result.err.(*RejectedError); ok && (rejection.RetryAfter <= 0 || rejection.Early && rejection.RetryAfter > max(minRetryAfter, result.Timeout/3)) {
			out = append(out, fmt.Sprintf("%s: retry delay %s, timeout %s", result.ID, rejection.RetryAfter, result.Timeout))
		}
	}
	return out
}

// earlyRejections returns the requests that were rejected before they were sent to a worker.
func earlyRejections(results []*requestResult) []*requestResult {
	var out []*requestResult
	for _, result := range results {
		if rejection, ok := result.err.(*RejectedError); ok && rejection.Early {
			out = append(out, result)
		}
	}
	return out
}

// TestCheckersDetectOverloadViolations: each checker accepts a correct outcome and reports a violation.
func TestCheckersDetectOverloadViolations(t *testing.T) {
	newCallers := func(urgent, impatient bool, served ...bool) []*overloadCaller {
		var callers []*overloadCaller
		for _, isServed := range served {
			callers = append(callers, &overloadCaller{urgent: urgent, impatient: impatient, served: isServed})
		}
		return callers
	}
	require.Empty(t, urgencyViolations(append(newCallers(true, false, true, true), newCallers(false, false, true, false)...)))
	require.NotEmpty(t, urgencyViolations(append(newCallers(true, false, true, false), newCallers(false, false, true, true)...)))
	require.Empty(t, fairnessViolations(append(newCallers(true, false, true, false), newCallers(true, true, true, false)...), 0.2))
	require.NotEmpty(t, fairnessViolations(append(newCallers(true, false, true, false), newCallers(true, true, true, true)...), 0.2))
	require.NotEmpty(t, fairnessViolations(append(newCallers(false, false, false, false), newCallers(false, true, true, false)...), 0.2))
	rejected := func(after time.Duration, early bool) []*requestResult {
		return []*requestResult{{Request: &Request{ID: "r", Timeout: 3 * time.Second}, err: &RejectedError{Code: 503, RetryAfter: after, Early: early}}}
	}
	require.Empty(t, retryAfterViolations(rejected(time.Second, true)))
	require.NotEmpty(t, retryAfterViolations(rejected(0, false)))
	require.NotEmpty(t, retryAfterViolations(rejected(2*time.Second, true)))
}

// prefillOverload is a load whose bottleneck is the prefill; the workers can serve 72 requests per second.
var prefillOverload = overloadScenario{prompt: 8000, maxTokens: 4, prefillConcurrency: 4, decodeConcurrency: 8, duration: 8 * time.Second}

// TestOverload: at 1.5 and 3 times the capacity, with two urgencies and 30 percent of callers that retry at
// once and often, the guarantees of requests hold, urgent requests are served first, patient callers aren't
// starved, and every rejection has a retry delay. At 3 times the capacity, rejecting from twice the latency
// target on serves more urgent requests than no early rejection.
func TestOverload(t *testing.T) {
	for _, factor := range []float64{1.5, 3} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			var urgentServed [2]float64
			admitFactors := []float64{-1, 2}
			if factor < 2 {
				admitFactors = []float64{0}
			}
			for _, admitFactor := range admitFactors {
				index := 0
				if admitFactor >= 0 {
					index = 1
				}
				forEachSeed(t, 2, func(t *testing.T, seed uint64) {
					scenario := prefillOverload
					scenario.rate, scenario.impatientShare, scenario.admitFactor = 72*factor, 0.3, admitFactor
					callers, calls, results := scenario.run(t, seed)
					require.Empty(t, checkExecutions(calls, results))
					require.Empty(t, checkCompletions(results, 3200*time.Millisecond))
					require.Empty(t, checkResponses(results))
					require.Empty(t, checkRetryBudget(calls, results, 0.2, 60, retryBudgetWindow))
					require.Empty(t, retryAfterViolations(results))
					require.Empty(t, urgencyViolations(callers))
					_, urgentOnTime, servedShare, n := summarizeCallers(callers, func(caller *overloadCaller) bool { return caller.urgent })
					_, patientOnTime, patientServed, _ := summarizeCallers(callers, func(caller *overloadCaller) bool { return !caller.impatient })
					t.Logf("early rejection %t: %d callers, %d attempts, %d rejected early; urgent: %.2f in time, %.2f served; patient: %.2f in time, %.2f served",
						index == 1, len(callers), len(results), len(earlyRejections(results)), urgentOnTime, servedShare, patientOnTime, patientServed)
					require.Greater(t, n, 0)
					urgentServed[index] += servedShare
					if index == 1 {
						require.Empty(t, fairnessViolations(callers, 0.25))
						sent := map[string]bool{}
						for _, call := range calls {
							sent[call.RequestID] = true
						}
						for _, result := range earlyRejections(results) {
							require.False(t, sent[result.ID] || result.endedAt-result.sentAt > time.Millisecond, "%s wasn't rejected at once, or was sent to a worker", result.ID)
						}
					} else {
						require.Empty(t, earlyRejections(results))
					}
				})
			}
			if factor > 2 && !raceDetectorEnabled {
				require.Greater(t, urgentServed[1], urgentServed[0])
			}
		})
	}
}

// TestNoEarlyRejectionWithFreeSlots: no request fails at four fifths of the capacity, and none is rejected early
// in a short burst that leaves half of the slots free.
func TestNoEarlyRejectionWithFreeSlots(t *testing.T) {
	forEachSeed(t, 2, func(t *testing.T, seed uint64) {
		scenario := prefillOverload
		scenario.rate, scenario.impatientShare = 58, 0.3
		_, _, results := scenario.run(t, seed)
		for _, result := range results {
			require.NoError(t, result.err)
		}
	})
	forEachSeed(t, 2, func(t *testing.T, seed uint64) {
		scenario := prefillOverload
		scenario.rate, scenario.duration, scenario.decodeConcurrency, scenario.prompt = 400, 50*time.Millisecond, 40, 20_000
		_, _, results := scenario.run(t, seed)
		require.Empty(t, earlyRejections(results))
	})
}

// admissionFixture is a node with given worker loads, whose admission decisions are tested.
type admissionFixture struct {
	t        *testing.T
	node     *Node
	workers  []Worker
	snapshot *fleetstate.Snapshot
}

// newAdmissionFixture returns a node with eight workers and an urgent and a normal route.
func newAdmissionFixture(t *testing.T) *admissionFixture {
	n, err := New(Options{Name: "n", Zone: "a", Host: newSimulatedHost()})
	require.NoError(t, err)
	n.options.AdmitFactor = 2
	fixture := &admissionFixture{t: t, node: n, workers: newWorkers(8)}
	p := &fleetstate.Configuration{Services: map[string]fleetstate.Service{"s": {Name: "s"}}}
	for _, u := range []int{0, 7} {
		p.Routes = append(p.Routes, fleetstate.Route{Name: fmt.Sprint("u", u), Host: routeHost, Prefix: fmt.Sprintf("/u%d/", u), Service: "s", Disaggregated: true, DeadlineMs: 3000, LatencyTargetMs: 500, Urgency: u})
	}
	fixture.snapshot = &fleetstate.Snapshot{Configuration: p}
	n.installList(fixture.workers, n.now(), n.now())
	return fixture
}

// reportLoads sets the running requests in each worker's report, and the prefill tokens that other nodes have
// queued at it.
func (f *admissionFixture) reportLoads(running, tokens int, age time.Duration) {
	now := f.node.now()
	for _, w := range f.workers {
		st := f.node.state(w.ID)
		st.mu.Lock()
		st.memory.reportedLoad, st.memory.at = reportedLoad{Capacity: 1000, Running: running}, now.Add(-age)
		st.peerPrefills, st.peerPrefillsAt = PrefillLoad{w.ID, tokens, 1}, now
		st.mu.Unlock()
	}
	f.node.admission.pressures.Clear()
	f.node.admission.rejected.recent = nil
}

// countRejected returns how many of count different requests of a route are rejected.
func (f *admissionFixture) countRejected(count, route int, adjust func(x *exchange)) int {
	rejected := 0
	for i := range count {
		service := f.snapshot.Configuration.Services["s"]
		r := &Request{ID: fmt.Sprint("r", i), Prompt: 1000, MaxTokens: 4, At: f.node.now(), Segments: []PromptSegment{{fmt.Sprint("own", i), 1000}}}
		x := &exchange{node: f.node, request: r, route: &f.snapshot.Configuration.Routes[route], service: &service, deadline: f.node.now().Add(3 * time.Second)}
		if adjust != nil {
			adjust(x)
		}
		if err := x.admit(f.snapshot); err != nil {
			require.Equal(f.t, 503, err.(*RejectedError).Code)
			require.Greater(f.t, err.(*RejectedError).RetryAfter, time.Duration(0))
			rejected++
		}
	}
	return rejected
}

// TestAdmissionDecision: no request is rejected early while half of the slots are free, if the loads or the
// worker list are stale, if the request resumes a stream, or if the route isn't disaggregated. Otherwise more
// requests are rejected the longer the prefill queue is, less urgent ones first, and rejecting stops at a
// shorter queue than it starts at.
func TestAdmissionDecision(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const urgent, normal = 0, 1
		queuedTokens := func(times float64) int { return int((times*500 - 20 - queuedPrefillCost) * 50) } // prefill tokens that take times the latency target
		fixture := newAdmissionFixture(t)
		fixture.reportLoads(11, queuedTokens(5), 0)
		require.Zero(t, fixture.countRejected(200, normal, nil), "half of the slots are free")
		fixture.reportLoads(13, queuedTokens(5), 1100*time.Millisecond)
		require.Zero(t, fixture.countRejected(200, normal, nil), "the loads are stale")
		fixture.reportLoads(13, queuedTokens(1.9), 0)
		require.Zero(t, fixture.countRejected(200, normal, nil), "the prefill would take less than twice the latency target")

		fixture.reportLoads(13, queuedTokens(2.4), 0)
		few := fixture.countRejected(500, normal, nil)
		require.InDelta(t, 250, few, 60)
		require.Zero(t, fixture.countRejected(500, urgent, nil), "urgent requests are served first")
		fixture.reportLoads(13, queuedTokens(3), 0)
		more := fixture.countRejected(500, normal, nil)
		require.Greater(t, more, few)
		require.Less(t, more, 500)
		fixture.reportLoads(13, queuedTokens(1.6), 0)
		eased := fixture.countRejected(500, normal, nil)
		require.Greater(t, eased, 0, "rejecting hasn't stopped yet")
		require.Less(t, eased, few)
		fixture.reportLoads(13, queuedTokens(1.3), 0)
		require.Zero(t, fixture.countRejected(500, normal, nil), "rejecting has stopped")
		fixture.reportLoads(13, queuedTokens(1.6), 0)
		require.Zero(t, fixture.countRejected(500, normal, nil), "rejecting starts at a longer queue than it stops at")

		fixture.reportLoads(13, queuedTokens(20), 0)
		require.Equal(t, 200, fixture.countRejected(200, normal, nil))
		for _, w := range fixture.workers {
			fixture.node.state(w.ID).recordFull(fixture.node.now())
		}
		fixture.reportLoads(13, queuedTokens(20), 0)
		require.Equal(t, 200, fixture.countRejected(200, normal, nil), "all workers have just rejected a request")
		require.Greater(t, fixture.countRejected(200, urgent, nil), 0)
		require.Zero(t, fixture.countRejected(200, normal, func(x *exchange) { x.lastEventID = "7" }), "a resumed stream")
		require.Zero(t, fixture.countRejected(200, normal, func(x *exchange) { r := *x.route; r.Disaggregated = false; x.route = &r }))
		oldList := *fixture.node.currentList.Load()
		oldList.requestedAt = fixture.node.now().Add(-listMaxAge - time.Second)
		fixture.node.currentList.Store(&oldList)
		require.Zero(t, fixture.countRejected(200, normal, nil), "the list is stale")

		disabled := newAdmissionFixture(t)
		disabled.node.options.AdmitFactor = -1
		disabled.reportLoads(13, queuedTokens(20), 0)
		require.Zero(t, disabled.countRejected(200, normal, nil), "early rejection is disabled")
	})
}

// TestAdmissionDrawEqualAcrossNodes: for a short time all nodes decide alike about the attempts of one request,
// so that frequent retries don't help.
func TestAdmissionDrawEqualAcrossNodes(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		var rejectedByFirstNode []bool
		for node := range 3 {
			fixture := newAdmissionFixture(t)
			fixture.reportLoads(13, 60_000, 0)
			var rejected []bool
			for i := range 40 {
				rejected = append(rejected, fixture.countRejected(1, 1, func(x *exchange) { x.request.Segments[0].ID = fmt.Sprint("own", i) }) == 1)
			}
			if node == 0 {
				rejectedByFirstNode = rejected
				require.Contains(t, rejected, true)
				require.Contains(t, rejected, false)
			}
			require.Equal(t, rejectedByFirstNode, rejected)
		}
	})
}

// TestRejectedCallersTable: a caller that returns before its retry delay is over is rejected with the rest of
// the delay while the service is overloaded, and treated like any other afterwards. The random draw for a
// request stays the same for a short time. The size of the table is limited.
func TestRejectedCallersTable(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		var table rejectedCallers
		table.remember(7, tickMs(2000), 100)
		require.Equal(t, time.Second, table.earlyBy(7, tickMs(1000)))
		require.Zero(t, table.earlyBy(7, tickMs(2000)))
		require.Zero(t, table.earlyBy(8, tickMs(1000)))
		for i := range uint64(10_000) {
			table.remember(100+i, tickMs(2000), 100)
			require.LessOrEqual(t, len(table.recent)+len(table.earlier), 100)
		}
		require.NotZero(t, table.earlyBy(100+9_999, tickMs(1000)), "the newest entries are kept")

		original := &Request{ID: "first", Target: "/x", Prompt: 9, Segments: []PromptSegment{{"shared", 5}, {"own", 4}}}
		retry, other := *original, *original
		retry.ID = "second"
		other.Segments = []PromptSegment{{"shared", 5}, {"another", 4}}
		require.Equal(t, callerHash(original), callerHash(&retry))
		require.NotEqual(t, callerHash(original), callerHash(&other))
		require.NotEqual(t, callerHash(&Request{Body: requestbody.FromBytes([]byte("a"))}), callerHash(&Request{Body: requestbody.FromBytes([]byte("b"))}))

		wall := time.Unix(1000, 0)
		low := 0
		for i := range uint64(1000) {
			caller := i * 0x9e3779b97f4a7c15
			require.Equal(t, admitDraw(caller, wall), admitDraw(caller, wall.Add(admitEpoch/100)))
			if admitDraw(caller, wall) < 0.25 {
				low++
				if admitDraw(caller, wall.Add(admitEpoch)) < 0.25 {
					low--
				}
			}
		}
		require.InDelta(t, 190, low, 60, "the draw changes with the epoch")

		fixture := newAdmissionFixture(t)
		fixture.reportLoads(13, 200_000, 0)
		require.Equal(t, 1, fixture.countRejected(1, 1, nil))
		recent := fixture.node.admission.rejected.recent
		fixture.reportLoads(13, 36_000, 0) // 1.5 times the latency target: rejecting hasn't stopped, and few are rejected
		fixture.node.admission.rejected.recent = recent
		require.Equal(t, 1, fixture.countRejected(1, 1, nil), "the caller returned before its retry delay was over")
		fixture.reportLoads(13, 10_000, 0)
		fixture.node.admission.rejected.recent = recent
		require.Zero(t, fixture.countRejected(1, 1, nil), "the service isn't overloaded any more")
	})
}
