// The checks of a soak test of streams, and its summary.

package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"keelstair.example/platform/workerstandin"
)

// check returns an error for every violation. No fault began after lastFault.
func (s *streamSoak) check(lastFault time.Time) error {
	violations := s.violations
	servedInCalm := 0
	summary := newStreamSummary()
	logs, err := s.readWorkerLogs()
	if err != nil {
		return err
	}
	runs := logs.runs
	windows, callViolations := s.usage.Result()
	callViolations = append(callViolations, logs.violations...)
	excused := 0
	for _, v := range callViolations {
		if s.isExcused(v) {
			excused++
			continue
		}
		violations = append(violations, fmt.Errorf("%s: %s", v.Owner, v.Text))
	}
	for _, o := range s.outcomes {
		summary.add(o.Outcome)
		if text := o.Violation(); text != "" {
			violations = append(violations, fmt.Errorf("request %s to %s (%s): %s", o.ID, o.Path, o.Answer().Framing, text))
		}
		if n := len(runs[o.ID]); n > 1 && !o.MayRunAgain() {
			violations = append(violations, fmt.Errorf("request %s to %s ran %d times", o.ID, o.Path, n))
		}
		if text := mixedWeights(o.LastEventID, runs[o.ID]); text != "" {
			violations = append(violations, fmt.Errorf("request %s to %s: %s", o.ID, o.Path, text))
		}
		if o.Whole() && o.sentAt.After(lastFault) {
			servedInCalm++
		}
	}
	if servedInCalm == 0 {
		violations = append(violations, errors.New("no request was served after the last fault"))
	}
	summary.print(os.Stdout)
	s.printRouterLogs()
	fmt.Printf("early ends of living workers that look complete: %d of %d; documents read: %d, failed: %d; orders: %d; windows: %d; excused by a freeze: %d\n",
		summary.endedEarly, summary.mayEndEarly, s.readers.reads, s.readers.failed, logs.orders, windows, excused)
	logf("seed %d: %d requests, version %d, %d violations", s.opt.Seed, len(s.outcomes), s.version, len(violations))
	return errors.Join(violations...)
}

// workerLogs is what the workers of a run wrote.
type workerLogs struct {
	runs       map[string][]workerstandin.Run // by attempt
	orders     int
	fences     map[string]*workerstandin.FenceObserver // by worker
	owners     map[uint64]string                       // by fence
	violations []workerstandin.Violation
}

// readWorkerLogs reads the logs of all workers.
func (s *streamSoak) readWorkerLogs() (*workerLogs, error) {
	logs := &workerLogs{
		runs: map[string][]workerstandin.Run{}, fences: map[string]*workerstandin.FenceObserver{}, owners: map[uint64]string{},
	}
	for _, p := range s.processes("worker-") {
		text, err := os.ReadFile(filepath.Join(s.opt.Dir, p.Name+".log"))
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(text)) {
			logs.add(line)
		}
	}
	return logs, nil
}

// add adds a line of a worker's log.
func (l *workerLogs) add(line string) {
	if run, ok := workerstandin.ParseRun(line); ok {
		l.runs[run.AttemptID] = append(l.runs[run.AttemptID], run)
		if run.IsForeign() {
			text := fmt.Sprintf("request %s took the memory of %s", run.AttemptID, run.ReadFor)
			l.violations = append(l.violations, workerstandin.Violation{Text: text})
		}
	}
	if order, ok := workerstandin.ParseOrder(line); ok {
		l.addOrder(order)
	}
}

// addOrder checks an order against those before it, of the same worker and with the same fence.
func (l *workerLogs) addOrder(o workerstandin.Order) {
	l.orders++
	if l.fences[o.Worker] == nil {
		l.fences[o.Worker] = &workerstandin.FenceObserver{}
	}
	text := l.fences[o.Worker].Observe(o.Owner, o.Fence)
	if owner := l.owners[o.Fence]; text == "" && owner != "" && owner != o.Owner {
		text = fmt.Sprintf("fence %d has the owners %s and %s", o.Fence, owner, o.Owner)
	}
	l.owners[o.Fence] = o.Owner
	if text != "" {
		text = fmt.Sprintf("order to %s: %s", o.Worker, text)
		l.violations = append(l.violations, workerstandin.Violation{Owner: o.Owner, At: o.At(), Text: text})
	}
}

// mixedWeights returns how the runs of one attempt go on with weights that no earlier run of it had, or an empty text. The
// client had the events up to an id before.
func mixedWeights(before int, runs []workerstandin.Run) string {
	for _, later := range runs {
		if later.LastEventID == before {
			continue
		}
		if !slices.ContainsFunc(runs, func(earlier workerstandin.Run) bool {
			return earlier.LastEventID < later.LastEventID && earlier.Weights == later.Weights
		}) {
			return fmt.Sprintf("the run after event %d has weights %d, which no run before it had", later.LastEventID, later.Weights)
		}
	}
	return ""
}

// printRouterLogs prints how often the routers logged each message about the end or the order of an answer.
func (s *streamSoak) printRouterLogs() {
	for _, message := range []string{
		"end of answer is not confirmed", "worker ended a stream early", "answer ended within an event",
		"another answer follows the stream", "event out of order",
	} {
		count := 0
		for _, p := range s.processes(routerRole + "-") {
			text, _ := os.ReadFile(filepath.Join(s.opt.Dir, p.Name+".log"))
			count += strings.Count(string(text), message)
		}
		fmt.Printf("%s: %d\n", message, count)
	}
}

// streamSummary counts outcomes by the framing of their answers.
type streamSummary struct {
	byFraming               map[workerstandin.Framing]*framingSummary
	endedEarly, mayEndEarly int // answers that look complete where a living worker ended them, and all that it may end so
}

type framingSummary struct {
	whole, cut, cutAtEnd, gaveUp, refused, failed int
	endDelays                                     []time.Duration
}

func newStreamSummary() *streamSummary {
	return &streamSummary{byFraming: map[workerstandin.Framing]*framingSummary{
		workerstandin.Length: {}, workerstandin.Chunks: {}, workerstandin.Connection: {},
	}}
}

func (s *streamSummary) add(o *workerstandin.Outcome) {
	a := o.Answer()
	if a.Break == workerstandin.EarlyEnd && o.Status == http.StatusOK && o.LastEventID == 0 {
		s.mayEndEarly++
	}
	f := s.byFraming[a.Framing]
	switch {
	case o.EndedEarly():
		s.endedEarly++
	case o.GaveUp:
		f.gaveUp++
	case o.Whole():
		f.whole++
		f.endDelays = append(f.endDelays, o.EndDelay)
	case o.CutAtEnd():
		f.cutAtEnd++
	case o.Status == http.StatusOK:
		f.cut++
	case o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests:
		f.refused++
	default:
		f.failed++
	}
}

func (s *streamSummary) print(w io.Writer) {
	fmt.Fprintln(w, "framing     whole   cut  cut at end  given up  refused  failed  end delay ms: median  p99")
	for _, framing := range []workerstandin.Framing{workerstandin.Length, workerstandin.Chunks, workerstandin.Connection} {
		f := s.byFraming[framing]
		fmt.Fprintf(w, "%-10s %6d %5d %11d %9d %8d %7d %21.1f %4.1f\n", framing, f.whole, f.cut, f.cutAtEnd, f.gaveUp, f.refused, f.failed,
			quantileMs(f.endDelays, 0.5), quantileMs(f.endDelays, 0.99))
	}
}

// quantileMs returns a quantile of durations in milliseconds, or 0 without any.
func quantileMs(durations []time.Duration, share float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return float64(durations[int(share*float64(len(durations)-1))].Microseconds()) / 1000
}
