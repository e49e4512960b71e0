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

// Seen is a worker's event at a simulated time.
type Seen struct {
	standin.Event
	When time.Duration
}

// Recorder gathers it all.
type Recorder struct {
	mu    sync.Mutex
	start time.Time
	rows  []Seen
	lives []Teller
	marks []Mark
	picks []Pick
	again []time.Duration
	acks  []Acked
	laws  []time.Duration                   // how long each apply took, until it was in force
	nays  []string                          // texts that were refused
	force map[ids.Version]map[string]string // texts in force anywhere, and who had them
}

// Acked is a configuration that an operator was told is taken.
type Acked struct {
	Version ids.Version
	Text    string
	At      time.Duration
}

// Teller is a worker that keeps a count of its own.
type Teller interface {
	RequestCounts() map[string]standin.RequestCounts
}

// Pick is a hand-over granted by a node, under the version it has in force.
type Pick struct {
	Node    string
	Version ids.Version
	At      time.Duration
}

func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), force: map[ids.Version]map[string]string{}}
}

// Now is the time since the book was opened.
func (b *Recorder) Now() time.Duration { return time.Since(b.start) }

func (b *Recorder) Worker(e standin.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rows = append(b.rows, Seen{e, b.Now()})
}

func (b *Recorder) Life(w Teller) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lives = append(b.lives, w)
}

// Step takes a hand-over's event, with the version that its node has in force.
func (b *Recorder) Step(node string, e handoff.Event, v ids.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.Step == handoff.Granted {
		b.picks = append(b.picks, Pick{node, v, b.Now()})
	}
	if e.Step == handoff.Granted && e.ID.Attempt > 1 {
		b.again = append(b.again, b.Now())
	}
}

func (b *Recorder) Mark(what, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.marks = append(b.marks, Mark{what, name, b.Now()})
}

func (b *Recorder) Ack(v ids.Version, text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acks = append(b.acks, Acked{v, text, b.Now()})
}

// Took notes how long an apply was under way.
func (b *Recorder) Took(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.laws = append(b.laws, d)
}

// Fault is one violation found.
type Fault struct{ Line, What string }

func (f Fault) String() string { return f.Line + ": " + f.What }

type finder struct{ out []Fault }

func (f *finder) say(line, form string, args ...any) {
	f.out = append(f.out, Fault{line, fmt.Sprintf(form, args...)})
}

// The lines of what must never happen, by short names.
const (
	Twice     = "run twice or two records"
	NotRun    = "not run was run"
	Torn      = "stream lost, repeated, joined or falsely whole"
	Differs   = "output differs"
	Starved   = "import failed mid-decode"
	LateLeave = "leaving worker got new work"
	LateZone  = "evacuated zone got work"
	SlowLaw   = "configuration slow or fell back"
	LostLaw   = "acknowledged configuration lost"
	Conflict  = "conflicting orders"
	Overspent = "recomputes beyond the budget"
	NotBack   = "service not back"
)

// Check reads the book and the callers' outcomes.
func (b *Recorder) Check(all []standin.Outcome) []Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := &finder{}
	b.twice(f, all)
	streams(f, all)
	b.places(f)
	b.order(f)
	b.behind(f)
	b.spent(f)
	return f.out
}

func requests(all []standin.Outcome) map[string]standin.Outcome {
	out := map[string]standin.Outcome{}
	for _, o := range all {
		if o.Key != "" {
			out[o.Kind+"/"+o.Key] = o
		}
	}
	return out
}

func (b *Recorder) twice(f *finder, all []standin.Outcome) {
	runs, records, starved := map[string]int{}, map[string]int{}, 0
	for _, w := range b.lives {
		for id, t := range w.RequestCounts() {
			starved += t.OutOfBlocks
			if strings.HasPrefix(id, "k-") {
				runs[id] += t.Runs
				records[id] += t.Finished
			}
		}
	}
	for id, n := range runs {
		if n > 1 || records[id] > 1 {
			f.say(Twice, "%s: %d runs, %d records", id, n, records[id])
		}
	}
	if starved > 0 {
		f.say(Starved, "%d decodes ran out of room", starved)
	}
	for key := range requests(all) {
		// A caller that was told "not run" has moved on to a key with a plus.
		for k := key; strings.HasSuffix(k, "+"); {
			k = strings.TrimSuffix(k, "+")
			if n := runs[router.RequestIDForKey(k)]; n > 0 {
				f.say(NotRun, "%s was told not run, and ran %d times", k, n)
			}
		}
	}
}

// streams reads what the callers themselves found off.
func streams(f *finder, all []standin.Outcome) {
	for _, o := range all {
		if o.End != "wrong" {
			continue
		}
		if strings.HasPrefix(o.Detail, "tokens") {
			f.say(Differs, "%s at %s: %s", o.Kind, o.At, o.Detail)
		} else {
			f.say(Torn, "%s at %s: %s", o.Kind, o.At, o.Detail)
		}
	}
}

// until tells when a mark was taken back.
func (b *Recorder) until(m Mark) time.Duration {
	end := time.Duration(1 << 62)
	for _, r := range b.marks {
		if r.What == "return" && r.Name == m.Name && r.At > m.At {
			end = min(end, r.At)
		}
	}
	return end
}

// places: no new work at a worker that leaves, or in a zone that was emptied.
func (b *Recorder) places(f *finder) {
	for _, m := range b.marks {
		bound, line := 3*time.Second, LateLeave
		switch m.What {
		case "leave":
		case "evacuate":
			bound, line = 5*time.Second, LateZone
		default:
			continue
		}
		until := b.until(m)
		for _, e := range b.rows {
			if (e.What == "prefill" || e.What == "import") && string(e.Worker) == m.Name && e.When > m.At+bound &&
				e.When < until {
				f.say(line, "%s got a %s %.2f s after", m.Name, e.What, (e.When - m.At).Seconds())
				break
			}
		}
	}
}

// order: at each worker fences never go down, and no order carries a version
// older than one the worker had seen a quarter second before.
func (b *Recorder) order(f *finder) {
	fence := map[ids.WorkerID]ids.Fence{}
	type since struct {
		v  ids.Version
		at time.Duration
	}
	seen := map[ids.WorkerID][]since{}
	for _, e := range b.rows {
		if e.Fence == 0 {
			continue
		}
		// A resume that waited for its memory is judged as it came, not as it began.
		if e.What == "resumed" {
			continue
		}
		if e.Fence < fence[e.Worker] {
			f.say(Conflict, "%s took %s under fence %d after %d", e.Worker, e.What, e.Fence, fence[e.Worker])
		}
		fence[e.Worker] = max(fence[e.Worker], e.Fence)
		for _, s := range seen[e.Worker] {
			if e.Version < s.v && e.When > s.at+250*time.Millisecond {
				f.say(
					SlowLaw,
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

// behind: no node grants anything under a version older than one that some worker
// had seen a quarter second before.
func (b *Recorder) behind(f *finder) {
	first := map[ids.Version]time.Duration{}
	for _, e := range b.rows {
		if at, ok := first[e.Version]; e.Version > 0 && (!ok || e.When < at) {
			first[e.Version] = e.When
		}
	}
	for _, p := range b.picks {
		for v, at := range first {
			if v > p.Version && p.At > at+250*time.Millisecond {
				f.say(
					SlowLaw,
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

// spent holds recomputes against the bucket of the default budget.
func (b *Recorder) spent(f *finder) {
	const rate, burst = 4.0, 12
	for i := range b.again {
		for j := i; j < len(b.again); j++ {
			if n := float64(j - i + 1); n > burst+1+rate*(b.again[j]-b.again[i]).Seconds() {
				f.say(Overspent, "%d recomputes within %s", j-i+1, b.again[j]-b.again[i])
				return
			}
		}
	}
}

// Late tells how long after it was marked each leaving worker, and each worker of
// an emptied zone, last got new work.
func (b *Recorder) Late(what string) []time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []time.Duration
	for _, m := range b.marks {
		if m.What != what {
			continue
		}
		until := b.until(m)
		last := time.Duration(0)
		for _, e := range b.rows {
			if (e.What == "prefill" || e.What == "import") && string(e.Worker) == m.Name && e.When > m.At &&
				e.When < until {
				last = e.When - m.At
			}
		}
		out = append(out, last)
	}
	return out
}

// FellBack is the longest that any worker, having seen a version, still got an
// order under an older one.
func (b *Recorder) FellBack() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := map[ids.WorkerID]map[ids.Version]time.Duration{}
	most := time.Duration(0)
	for _, e := range b.rows {
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
