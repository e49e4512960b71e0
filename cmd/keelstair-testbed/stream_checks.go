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
	var violations []error
	servedInCalm := 0
	summary := newStreamSummary()
	runs, err := s.countWorkerRuns()
	if err != nil {
		return err
	}
	for _, o := range s.outcomes {
		summary.add(o.Outcome)
		if text := o.Violation(); text != "" {
			violations = append(violations, fmt.Errorf("request %s to %s (%s): %s", o.ID, o.Path, o.Answer().Framing, text))
		}
		if n := runs[o.ID]; n > 1 && !o.MayRunAgain() {
			violations = append(violations, fmt.Errorf("request %s to %s ran %d times", o.ID, o.Path, n))
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
	logf("seed %d: %d requests, version %d, %d violations", s.opt.Seed, len(s.outcomes), s.version, len(violations))
	return errors.Join(violations...)
}

// countWorkerRuns returns how often each request was run, from the workers' logs.
func (s *streamSoak) countWorkerRuns() (map[string]int, error) {
	runs := map[string]int{}
	for _, p := range s.processes("worker-") {
		text, err := os.ReadFile(filepath.Join(s.opt.Dir, p.Name+".log"))
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(text)) {
			if rest, ok := strings.CutPrefix(line, "run "); ok {
				id, _, _ := strings.Cut(rest, " ")
				runs[id]++
			}
		}
	}
	return runs, nil
}

// printRouterLogs prints how often the routers logged each message about the end or the order of an answer.
func (s *streamSoak) printRouterLogs() {
	for _, message := range []string{"end of answer is not confirmed", "another answer follows the stream", "event out of order"} {
		count := 0
		for _, p := range s.processes(routerRole + "-") {
			text, _ := os.ReadFile(filepath.Join(s.opt.Dir, p.Name+".log"))
			count += strings.Count(string(text), message)
		}
		fmt.Printf("%s: %d\n", message, count)
	}
}

// streamSummary counts outcomes by the framing of their answers.
type streamSummary map[workerstandin.Framing]*framingSummary

type framingSummary struct {
	whole, cut, cutAtEnd, refused, failed int
	endDelays                             []time.Duration
}

func newStreamSummary() streamSummary {
	return streamSummary{
		workerstandin.Length: {}, workerstandin.Chunks: {}, workerstandin.Connection: {},
	}
}

func (s streamSummary) add(o *workerstandin.Outcome) {
	f := s[o.Answer().Framing]
	switch {
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

func (s streamSummary) print(w io.Writer) {
	fmt.Fprintln(w, "framing     whole   cut  cut at end  refused  failed  end delay ms: median  p99")
	for _, framing := range []workerstandin.Framing{workerstandin.Length, workerstandin.Chunks, workerstandin.Connection} {
		f := s[framing]
		fmt.Fprintf(w, "%-10s %6d %5d %11d %8d %7d %21.1f %4.1f\n", framing, f.whole, f.cut, f.cutAtEnd, f.refused, f.failed,
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
