// The recorder collects the events of workers, the grants of handoffs, the events of the script and the
// responses to configuration changes. The checkers read them after the run.

package simulation

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/router"
	"keelstair.example/internal/standin"
)

// ScriptEvent is an action of the script, or an apply that took too long, with the time at which it was
// recorded.
type ScriptEvent struct {
	Kind    string // leave, evacuate, return, partition, heal or slow-apply
	Subject string // a worker, the controllers, or the details of a slow apply
	At      time.Duration
}

// RecordedWorkerEvent is an event of a worker with the simulated time at which it was recorded.
type RecordedWorkerEvent struct {
	standin.Event
	RecordedAt time.Duration
}

// Recorder collects the events and configurations of a run.
type Recorder struct {
	mu           sync.Mutex
	start        time.Time
	events       []RecordedWorkerEvent
	workers      []RequestCounter
	scriptEvents []ScriptEvent
	grants       []Grant
	recomputes   []time.Duration
	acks         []AckedConfiguration
	applyTimes   []time.Duration                   // time from the first request to the acknowledgement of each apply
	refused      []string                          // texts of refused configurations
	active       map[ids.Version]map[string]string // text -> first router on which it was recorded as active, by version
}

// AckedConfiguration is a configuration whose apply was acknowledged, with its complete text.
type AckedConfiguration struct {
	Version ids.Version
	Text    string
	At      time.Duration
}

// RequestCounter is a process of a worker. It counts its work for each request.
type RequestCounter interface {
	RequestCounts() map[string]standin.RequestCounts
}

// Grant is a handoff that was granted, with the router and the configuration version active on it.
type Grant struct {
	Node    string
	Version ids.Version
	At      time.Duration
}

func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), active: map[ids.Version]map[string]string{}}
}

// Now returns the time since the recorder was created.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

func (r *Recorder) RecordWorkerEvent(e standin.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, RecordedWorkerEvent{e, r.Now()})
}

func (r *Recorder) AddWorker(w RequestCounter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = append(r.workers, w)
}

// RecordHandoffEvent records a grant, and also a recompute if the grant is for a second or later attempt.
// It ignores other events. The version v is the one active on the router.
func (r *Recorder) RecordHandoffEvent(node string, e handoff.Event, v ids.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Step == handoff.Granted {
		r.grants = append(r.grants, Grant{node, v, r.Now()})
	}
	if e.Step == handoff.Granted && e.ID.Attempt > 1 {
		r.recomputes = append(r.recomputes, r.Now())
	}
}

func (r *Recorder) RecordScriptEvent(kind, subject string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scriptEvents = append(r.scriptEvents, ScriptEvent{kind, subject, r.Now()})
}

func (r *Recorder) RecordAck(v ids.Version, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acks = append(r.acks, AckedConfiguration{v, text, r.Now()})
}

// RecordApplyTime records the time from the first request of an apply to its acknowledgement.
func (r *Recorder) RecordApplyTime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyTimes = append(r.applyTimes, d)
}

// Violation is a broken rule, with the details of the case.
type Violation struct{ Rule, Detail string }

func (v Violation) String() string { return v.Rule + ": " + v.Detail }

type violationList struct{ found []Violation }

func (v *violationList) add(rule, format string, args ...any) {
	v.found = append(v.found, Violation{rule, fmt.Sprintf(format, args...)})
}

// The rules that the checks verify. Each is named after the violation that it forbids.
const (
	RunTwice                = "request run twice or finished twice"
	RanThoughReportedNotRun = "request was run, but reported as not run"
	StreamCorrupted         = "stream lost, repeated, spliced or falsely complete"
	OutputDiffers           = "output differs"
	DecodeOutOfMemory       = "decode ran out of memory"
	WorkAfterLeave          = "new work at a leaving worker"
	WorkAfterEvacuation     = "new work in an evacuated zone"
	ConfigurationStale      = "configuration applied late, or an older one used"
	ConfigurationLost       = "acknowledged configuration lost"
	FencingTokenDecreased   = "fencing token decreased"
	RecomputeBudgetExceeded = "recompute budget exceeded"
	ServiceNotRestored      = "service not restored"
)

// Check returns the violations in the recorded events and the clients' outcomes. The acknowledged, refused
// and active configurations are checked by Cluster.checkConfigurations.
func (r *Recorder) Check(all []standin.Outcome) []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	violations := &violationList{}
	r.checkRuns(violations, all)
	checkStreams(violations, all)
	r.checkPlacement(violations)
	r.checkOrders(violations)
	r.checkGrantVersions(violations)
	r.checkRecomputeBudget(violations)
	return violations.found
}

// outcomesByKindAndKey returns the outcomes of keyed requests by "kind/key".
func outcomesByKindAndKey(all []standin.Outcome) map[string]standin.Outcome {
	out := map[string]standin.Outcome{}
	for _, o := range all {
		if o.Key != "" {
			out[o.Kind+"/"+o.Key] = o
		}
	}
	return out
}

// checkRuns checks that no keyed request was run or finished more than once, that none was run although it was
// reported as not run, and that no decode ran out of memory.
func (r *Recorder) checkRuns(violations *violationList, all []standin.Outcome) {
	runs, finished, outOfMemory := map[string]int{}, map[string]int{}, 0
	for _, w := range r.workers {
		for id, t := range w.RequestCounts() {
			outOfMemory += t.OutOfBlocks
			// Only the request IDs that are made from idempotency keys have this prefix.
			if strings.HasPrefix(id, "k-") {
				runs[id] += t.Runs
				finished[id] += t.Finished
			}
		}
	}
	for id, n := range runs {
		if n > 1 || finished[id] > 1 {
			violations.add(RunTwice, "%s: %d runs, %d finished", id, n, finished[id])
		}
	}
	if outOfMemory > 0 {
		violations.add(DecodeOutOfMemory, "%d decodes ran out of memory", outOfMemory)
	}
	for key := range outcomesByKindAndKey(all) {
		// A client whose request is reported as not run appends a plus to the key and retries.
		for k := key; strings.HasSuffix(k, "+"); {
			k = strings.TrimSuffix(k, "+")
			if n := runs[router.RequestIDForKey(k)]; n > 0 {
				violations.add(RanThoughReportedNotRun, "%s was reported as not run, but ran %d times", k, n)
			}
		}
	}
}

// checkStreams reports the streams that the clients found to be wrong. A detail that begins with "tokens"
// means that the output differs.
func checkStreams(violations *violationList, all []standin.Outcome) {
	for _, o := range all {
		if o.End != "wrong" {
			continue
		}
		if strings.HasPrefix(o.Detail, "tokens") {
			violations.add(OutputDiffers, "%s at %s: %s", o.Kind, o.At, o.Detail)
		} else {
			violations.add(StreamCorrupted, "%s at %s: %s", o.Kind, o.At, o.Detail)
		}
	}
}

// returnTime returns the time of the first return of the same worker after m, or a time later than the end of
// any run if there is none.
func (r *Recorder) returnTime(m ScriptEvent) time.Duration {
	end := time.Duration(1 << 62)
	for _, mark := range r.scriptEvents {
		if mark.Kind == "return" && mark.Subject == m.Subject && mark.At > m.At {
			end = min(end, mark.At)
		}
	}
	return end
}

// checkPlacement checks that a worker gets no new work more than 3 s after it was marked as leaving, or 5 s
// after the first request to evacuate its zone, unless it was returned to service before.
func (r *Recorder) checkPlacement(violations *violationList) {
	for _, m := range r.scriptEvents {
		bound, rule := 3*time.Second, WorkAfterLeave
		switch m.Kind {
		case "leave":
		case "evacuate":
			bound, rule = 5*time.Second, WorkAfterEvacuation
		default:
			continue
		}
		until := r.returnTime(m)
		for _, e := range r.events {
			if (e.Kind == "prefill" || e.Kind == "import") && string(e.Worker) == m.Subject && e.RecordedAt > m.At+bound &&
				e.RecordedAt < until {
				violations.add(
					rule,
					"%s got new work (%s) %.2f s after it was marked as leaving or evacuated",
					m.Subject,
					e.Kind,
					(e.RecordedAt - m.At).Seconds(),
				)
				break
			}
		}
	}
}

// checkOrders checks, for each worker, that fencing tokens never decrease, and that no order has an older
// version than one that the worker received more than 250 ms before.
func (r *Recorder) checkOrders(violations *violationList) {
	fence := map[ids.WorkerID]ids.Fence{}
	type receivedVersion struct {
		version ids.Version
		at      time.Duration
	}
	seen := map[ids.WorkerID][]receivedVersion{}
	for _, e := range r.events {
		if e.Fence == 0 {
			continue
		}
		// A resumed event is recorded only when the KV cache has arrived, so it may be later than newer orders.
		// The resume order itself was recorded on arrival.
		if e.Kind == "resumed" {
			continue
		}
		if e.Fence < fence[e.Worker] {
			violations.add(
				FencingTokenDecreased,
				"%s accepted %s with fencing token %d after %d",
				e.Worker,
				e.Kind,
				e.Fence,
				fence[e.Worker],
			)
		}
		fence[e.Worker] = max(fence[e.Worker], e.Fence)
		for _, s := range seen[e.Worker] {
			if e.Version < s.version && e.RecordedAt > s.at+250*time.Millisecond {
				violations.add(
					ConfigurationStale,
					"%s got %s with version %d, %.2f s after it received version %d",
					e.Worker,
					e.Kind,
					e.Version,
					(e.RecordedAt - s.at).Seconds(),
					s.version,
				)
				break
			}
		}
		if n := len(seen[e.Worker]); n == 0 || seen[e.Worker][n-1].version < e.Version {
			seen[e.Worker] = append(seen[e.Worker], receivedVersion{e.Version, e.RecordedAt})
		}
	}
}

// checkGrantVersions checks that no router grants a handoff under an older version than one that any worker
// received more than 250 ms before. It reports the first violation only.
func (r *Recorder) checkGrantVersions(violations *violationList) {
	firstReceived := map[ids.Version]time.Duration{}
	for _, e := range r.events {
		if at, ok := firstReceived[e.Version]; e.Version > 0 && (!ok || e.RecordedAt < at) {
			firstReceived[e.Version] = e.RecordedAt
		}
	}
	for _, g := range r.grants {
		for v, at := range firstReceived {
			if v > g.Version && g.At > at+250*time.Millisecond {
				violations.add(
					ConfigurationStale,
					"%s granted a handoff under version %d, %.2f s after a worker received version %d",
					g.Node,
					g.Version,
					(g.At - at).Seconds(),
					v,
				)
				return
			}
		}
	}
}

// checkRecomputeBudget checks that no interval has more recomputes than the token bucket of the default retry
// budget (4 per second, burst 12) allows, plus one. It reports the first violation only.
func (r *Recorder) checkRecomputeBudget(violations *violationList) {
	const ratePerSecond, burst = 4.0, 12
	for i := range r.recomputes {
		for j := i; j < len(r.recomputes); j++ {
			if n := float64(j - i + 1); n > burst+1+ratePerSecond*(r.recomputes[j]-r.recomputes[i]).Seconds() {
				violations.add(RecomputeBudgetExceeded, "%d recomputes within %s", j-i+1, r.recomputes[j]-r.recomputes[i])
				return
			}
		}
	}
}

// LastWorkAfter returns, for each script event of the kind (leave or evacuate), the time from that event to the
// last new work that the worker got before its return, or 0 if it got none.
func (r *Recorder) LastWorkAfter(kind string) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []time.Duration
	for _, m := range r.scriptEvents {
		if m.Kind != kind {
			continue
		}
		until := r.returnTime(m)
		last := time.Duration(0)
		for _, e := range r.events {
			if (e.Kind == "prefill" || e.Kind == "import") && string(e.Worker) == m.Subject && e.RecordedAt > m.At &&
				e.RecordedAt < until {
				last = e.RecordedAt - m.At
			}
		}
		out = append(out, last)
	}
	return out
}

// LongestStaleOrder returns the longest time between the first order of a version at a worker and a later order
// with an older version at the same worker.
func (r *Recorder) LongestStaleOrder() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	firstReceived := map[ids.WorkerID]map[ids.Version]time.Duration{}
	longest := time.Duration(0)
	for _, e := range r.events {
		if e.Fence == 0 || e.Kind == "resumed" {
			continue
		}
		seen := firstReceived[e.Worker]
		if seen == nil {
			seen = map[ids.Version]time.Duration{}
			firstReceived[e.Worker] = seen
		}
		for v, at := range seen {
			if v > e.Version {
				longest = max(longest, e.RecordedAt-at)
			}
		}
		if _, ok := seen[e.Version]; !ok {
			seen[e.Version] = e.RecordedAt
		}
	}
	return longest
}
