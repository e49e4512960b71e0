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
func (b *Recorder) Now() time.Duration { return time.Since(b.start) }

func (b *Recorder) RecordWorkerEvent(e standin.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, RecordedEvent{e, b.Now()})
}

func (b *Recorder) AddWorker(w TallySource) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.workers = append(b.workers, w)
}

// RecordHandoffEvent takes a hand-over's event, with the version that its node has in force.
func (b *Recorder) RecordHandoffEvent(node string, e handoff.Event, v ids.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.Step == handoff.Granted {
		b.grants = append(b.grants, Grant{node, v, b.Now()})
	}
	if e.Step == handoff.Granted && e.ID.Attempt > 1 {
		b.recomputes = append(b.recomputes, b.Now())
	}
}

func (b *Recorder) RecordMark(what, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.marks = append(b.marks, Mark{what, name, b.Now()})
}

func (b *Recorder) RecordAck(v ids.Version, text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acks = append(b.acks, Acked{v, text, b.Now()})
}

// RecordApplyTime notes how long an apply was under way.
func (b *Recorder) RecordApplyTime(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyTimes = append(b.applyTimes, d)
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
func (b *Recorder) Check(all []standin.Outcome) []Violation {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := &violationList{}
	b.checkRuns(f, all)
	checkStreams(f, all)
	b.checkPlacement(f)
	b.checkOrders(f)
	b.checkGrantVersions(f)
	b.checkRecomputeBudget(f)
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

func (b *Recorder) checkRuns(f *violationList, all []standin.Outcome) {
	runs, records, starved := map[string]int{}, map[string]int{}, 0
	for _, w := range b.workers {
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
func (b *Recorder) returnTime(m Mark) time.Duration {
	end := time.Duration(1 << 62)
	for _, r := range b.marks {
		if r.What == "return" && r.Name == m.Name && r.At > m.At {
			end = min(end, r.At)
		}
	}
	return end
}

// checkPlacement: no new work at a worker that leaves, or in a zone that was emptied.
func (b *Recorder) checkPlacement(f *violationList) {
	for _, m := range b.marks {
		bound, line := 3*time.Second, WorkAfterLeave
		switch m.What {
		case "leave":
		case "evacuate":
			bound, line = 5*time.Second, WorkAfterEvacuation
		default:
			continue
		}
		until := b.returnTime(m)
		for _, e := range b.events {
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
func (b *Recorder) checkOrders(f *violationList) {
	fence := map[ids.WorkerID]ids.Fence{}
	type since struct {
		v  ids.Version
		at time.Duration
	}
	seen := map[ids.WorkerID][]since{}
	for _, e := range b.events {
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
func (b *Recorder) checkGrantVersions(f *violationList) {
	first := map[ids.Version]time.Duration{}
	for _, e := range b.events {
		if at, ok := first[e.Version]; e.Version > 0 && (!ok || e.When < at) {
			first[e.Version] = e.When
		}
	}
	for _, p := range b.grants {
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
func (b *Recorder) checkRecomputeBudget(f *violationList) {
	const rate, burst = 4.0, 12
	for i := range b.recomputes {
		for j := i; j < len(b.recomputes); j++ {
			if n := float64(j - i + 1); n > burst+1+rate*(b.recomputes[j]-b.recomputes[i]).Seconds() {
				f.add(RecomputeBudgetExceeded, "%d recomputes within %s", j-i+1, b.recomputes[j]-b.recomputes[i])
				return
			}
		}
	}
}

// LastWorkAfter tells how long after it was marked each leaving worker, and each worker of
// an emptied zone, last got new work.
func (b *Recorder) LastWorkAfter(what string) []time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []time.Duration
	for _, m := range b.marks {
		if m.What != what {
			continue
		}
		until := b.returnTime(m)
		last := time.Duration(0)
		for _, e := range b.events {
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
func (b *Recorder) LongestStaleOrder() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := map[ids.WorkerID]map[ids.Version]time.Duration{}
	most := time.Duration(0)
	for _, e := range b.events {
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
