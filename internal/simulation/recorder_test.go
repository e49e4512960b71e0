// The book records what workers and controllers say they did; the checkers read
// it afterwards, one for each line of what must never happen.

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

// Mark is a thing the script did, with when it was known to be done.
type Mark struct {
	What string // leave, evacuate, return, fault
	Name string
	At   time.Duration
}

// RecordedEvent is a worker's event at a simulated time.
type RecordedEvent struct {
	standin.Event
	When time.Duration
}

// Recorder gathers it all.
type Recorder struct {
	mu         sync.Mutex
	start      time.Time
	events     []RecordedEvent
	workers    []TallySource
	marks      []Mark
	grants     []Grant
	recomputes []time.Duration
	acks       []Acked
	applyTimes []time.Duration                   // how long each apply took, until it was in force
	refused    []string                          // texts that were refused
	active     map[ids.Version]map[string]string // texts in force anywhere, and who had them
}

// Acked is a configuration that an operator was told is taken.
type Acked struct {
	Version ids.Version
	Text    string
	At      time.Duration
}

// TallySource is a worker that keeps a count of its own.
type TallySource interface {
	Tallies() map[string]standin.Tally
}

// Grant is a hand-over granted by a node, under the version it has in force.
type Grant struct {
	Node    string
	Version ids.Version
	At      time.Duration
}

func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), active: map[ids.Version]map[string]string{}}
}

// Now is the time since the book was opened.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

func (r *Recorder) RecordWorkerEvent(e standin.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, RecordedEvent{e, r.Now()})
}

func (r *Recorder) AddWorker(w TallySource) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = append(r.workers, w)
}

// RecordHandoffEvent takes a hand-over's event, with the version that its node has in force.
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

func (r *Recorder) RecordMark(what, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks = append(r.marks, Mark{what, name, r.Now()})
}

func (r *Recorder) RecordAck(v ids.Version, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acks = append(r.acks, Acked{v, text, r.Now()})
}

// RecordApplyTime notes how long an apply was under way.
func (r *Recorder) RecordApplyTime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyTimes = append(r.applyTimes, d)
}

// Violation is one violation found.
type Violation struct{ Rule, Detail string }

func (f Violation) String() string { return f.Rule + ": " + f.Detail }

type violationList struct{ found []Violation }

func (f *violationList) add(line, form string, args ...any) {
	f.found = append(f.found, Violation{line, fmt.Sprintf(form, args...)})
}

// The lines of what must never happen, by short names.
const (
	RunTwice                = "run twice or two records"
	RanDespiteNotRun        = "not run was run"
	StreamCorrupted         = "stream lost, repeated, joined or falsely whole"
	OutputDiffers           = "output differs"
	ImportFailedMidDecode   = "import failed mid-decode"
	WorkAfterLeave          = "leaving worker got new work"
	WorkAfterEvacuation     = "evacuated zone got work"
	ConfigurationSlow       = "configuration slow or fell back"
	ConfigurationLost       = "acknowledged configuration lost"
	ConflictingOrders       = "conflicting orders"
	RecomputeBudgetExceeded = "recomputes beyond the budget"
	ServiceNotRestored      = "service not back"
)

// Check reads the book and the callers' outcomes.
func (r *Recorder) Check(all []standin.Outcome) []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := &violationList{}
	r.checkRuns(f, all)
	checkStreams(f, all)
	r.checkPlacement(f)
	r.checkOrders(f)
	r.checkGrantVersions(f)
	r.checkRecomputeBudget(f)
	return f.found
}

func outcomesByKey(all []standin.Outcome) map[string]standin.Outcome {
	out := map[string]standin.Outcome{}
	for _, o := range all {
		if o.Key != "" {
			out[o.Kind+"/"+o.Key] = o
		}
	}
	return out
}

func (r *Recorder) checkRuns(f *violationList, all []standin.Outcome) {
	runs, records, starved := map[string]int{}, map[string]int{}, 0
	for _, w := range r.workers {
		for id, t := range w.Tallies() {
			starved += t.Starved
			if strings.HasPrefix(id, "k-") {
				runs[id] += t.Runs
				records[id] += t.Records
			}
		}
	}
	for id, n := range runs {
		if n > 1 || records[id] > 1 {
			f.add(RunTwice, "%s: %d runs, %d records", id, n, records[id])
		}
	}
	if starved > 0 {
		f.add(ImportFailedMidDecode, "%d decodes ran out of room", starved)
	}
	for key := range outcomesByKey(all) {
		// A caller that was told "not run" has moved on to a key with a plus.
		for k := key; strings.HasSuffix(k, "+"); {
			k = strings.TrimSuffix(k, "+")
			if n := runs[router.RequestIDForKey(k)]; n > 0 {
				f.add(RanDespiteNotRun, "%s was told not run, and ran %d times", k, n)
			}
		}
	}
}

// checkStreams reads what the callers themselves found off.
func checkStreams(f *violationList, all []standin.Outcome) {
	for _, o := range all {
		if o.End != "wrong" {
			continue
		}
		if strings.HasPrefix(o.Detail, "tokens") {
			f.add(OutputDiffers, "%s at %s: %s", o.Kind, o.At, o.Detail)
		} else {
			f.add(StreamCorrupted, "%s at %s: %s", o.Kind, o.At, o.Detail)
		}
	}
}

// returnTime tells when a mark was taken back.
func (r *Recorder) returnTime(m Mark) time.Duration {
	end := time.Duration(1 << 62)
	for _, mark := range r.marks {
		if mark.What == "return" && mark.Name == m.Name && mark.At > m.At {
			end = min(end, mark.At)
		}
	}
	return end
}

// checkPlacement: no new work at a worker that leaves, or in a zone that was emptied.
func (r *Recorder) checkPlacement(f *violationList) {
	for _, m := range r.marks {
		bound, line := 3*time.Second, WorkAfterLeave
		switch m.What {
		case "leave":
		case "evacuate":
			bound, line = 5*time.Second, WorkAfterEvacuation
		default:
			continue
		}
		until := r.returnTime(m)
		for _, e := range r.events {
			if (e.What == "prefill" || e.What == "import") && string(e.Worker) == m.Name && e.When > m.At+bound &&
				e.When < until {
				f.add(line, "%s got a %s %.2f s after", m.Name, e.What, (e.When - m.At).Seconds())
				break
			}
		}
	}
}

// checkOrders: at each worker fences never go down, and no order carries a version
// older than one the worker had seen a quarter second before.
func (r *Recorder) checkOrders(f *violationList) {
	fence := map[ids.WorkerID]ids.Fence{}
	type since struct {
		v  ids.Version
		at time.Duration
	}
	seen := map[ids.WorkerID][]since{}
	for _, e := range r.events {
		if e.Fence == 0 {
			continue
		}
		// A resume that waited for its memory is judged as it came, not as it began.
		if e.What == "resumed" {
			continue
		}
		if e.Fence < fence[e.Worker] {
			f.add(ConflictingOrders, "%s took %s under fence %d after %d", e.Worker, e.What, e.Fence, fence[e.Worker])
		}
		fence[e.Worker] = max(fence[e.Worker], e.Fence)
		for _, s := range seen[e.Worker] {
			if e.Version < s.v && e.When > s.at+250*time.Millisecond {
				f.add(
					ConfigurationSlow,
					"%s got %s under version %d, %.2f s after it saw %d",
					e.Worker,
					e.What,
					e.Version,
					(e.When - s.at).Seconds(),
					s.v,
				)
				break
			}
		}
		if n := len(seen[e.Worker]); n == 0 || seen[e.Worker][n-1].v < e.Version {
			seen[e.Worker] = append(seen[e.Worker], since{e.Version, e.When})
		}
	}
}

// checkGrantVersions: no node grants anything under a version older than one that some worker
// had seen a quarter second before.
func (r *Recorder) checkGrantVersions(f *violationList) {
	first := map[ids.Version]time.Duration{}
	for _, e := range r.events {
		if at, ok := first[e.Version]; e.Version > 0 && (!ok || e.When < at) {
			first[e.Version] = e.When
		}
	}
	for _, p := range r.grants {
		for v, at := range first {
			if v > p.Version && p.At > at+250*time.Millisecond {
				f.add(
					ConfigurationSlow,
					"%s granted under version %d, %.2f s after a worker saw %d",
					p.Node,
					p.Version,
					(p.At - at).Seconds(),
					v,
				)
				return
			}
		}
	}
}

// checkRecomputeBudget holds recomputes against the bucket of the default budget.
func (r *Recorder) checkRecomputeBudget(f *violationList) {
	const rate, burst = 4.0, 12
	for i := range r.recomputes {
		for j := i; j < len(r.recomputes); j++ {
			if n := float64(j - i + 1); n > burst+1+rate*(r.recomputes[j]-r.recomputes[i]).Seconds() {
				f.add(RecomputeBudgetExceeded, "%d recomputes within %s", j-i+1, r.recomputes[j]-r.recomputes[i])
				return
			}
		}
	}
}

// LastWorkAfter tells how long after it was marked each leaving worker, and each worker of
// an emptied zone, last got new work.
func (r *Recorder) LastWorkAfter(what string) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []time.Duration
	for _, m := range r.marks {
		if m.What != what {
			continue
		}
		until := r.returnTime(m)
		last := time.Duration(0)
		for _, e := range r.events {
			if (e.What == "prefill" || e.What == "import") && string(e.Worker) == m.Name && e.When > m.At &&
				e.When < until {
				last = e.When - m.At
			}
		}
		out = append(out, last)
	}
	return out
}

// LongestStaleOrder is the longest that any worker, having seen a version, still got an
// order under an older one.
func (r *Recorder) LongestStaleOrder() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := map[ids.WorkerID]map[ids.Version]time.Duration{}
	most := time.Duration(0)
	for _, e := range r.events {
		if e.Fence == 0 || e.What == "resumed" {
			continue
		}
		seen := first[e.Worker]
		if seen == nil {
			seen = map[ids.Version]time.Duration{}
			first[e.Worker] = seen
		}
		for v, at := range seen {
			if v > e.Version {
				most = max(most, e.When-at)
			}
		}
		if _, ok := seen[e.Version]; !ok {
			seen[e.Version] = e.When
		}
	}
	return most
}
