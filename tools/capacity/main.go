// Command capacity extrapolates the metrics of the newest complete sweep of a site to a larger number of
// machines. A sweep is a journal entry with measurements of the router fleet at several sizes. The command prints a
// Markdown table. For each metric, it has the value of the median and of the busiest process at each measured size,
// the exponent of the power law by which the value of the busiest process grows with the size, the standard error of
// that exponent, and both values at the target size. The command runs no benchmark.
//
//	go run ./tools/capacity SITE [TARGET [JOURNAL]]
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
)

const (
	defaultTarget  = 650 // machines
	defaultJournal = "journal"
)

func main() {
	if len(os.Args) < 2 || len(os.Args) > 4 {
		fmt.Fprintln(os.Stderr, "usage: capacity SITE [TARGET [JOURNAL]]")
		os.Exit(2)
	}
	target, journal := defaultTarget, defaultJournal
	if len(os.Args) > 2 {
		n, err := strconv.Atoi(os.Args[2])
		exitOnError(err)
		target = n
	}
	if len(os.Args) > 3 {
		journal = os.Args[3]
	}
	s, err := newestSweep(journal, os.Args[1])
	exitOnError(err)
	s.print(os.Stdout, target)
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "capacity: %v\n", err)
		os.Exit(1)
	}
}

// newestSweep returns the newest complete sweep of a site. It relies on the names of journal entries sorting by
// time.
func newestSweep(journal, site string) (*sweep, error) {
	paths, err := filepath.Glob(filepath.Join(journal, "*.json"))
	if err != nil {
		return nil, err
	}
	sort.Sort(sort.Reverse(sort.StringSlice(paths)))
	for _, path := range paths {
		s, err := readSweep(path)
		if err != nil {
			return nil, err
		}
		if s != nil && s.Site == site {
			return s, nil
		}
	}
	return nil, fmt.Errorf("%s has no complete sweep of %s", journal, site)
}

// print writes the sweep and the extrapolated values as a Markdown table.
func (s *sweep) print(w io.Writer, target int) {
	fmt.Fprintf(w, "Sweep %s of %s, %s, on %.10s.\n\n", s.ID, s.Site, strings.Join(s.At, " to "), s.Head)
	fmt.Fprint(w, "| metric |")
	for _, n := range s.sizes {
		fmt.Fprintf(w, " %d |", n)
	}
	fmt.Fprintf(w, " exponent, busiest | median at %d | busiest at %d |\n|---|%s---|---|---|\n", target, target,
		strings.Repeat("---|", len(s.sizes)))
	for _, m := range s.rows {
		fmt.Fprintf(w, "| %s |", m.name)
		for i := range s.sizes {
			fmt.Fprintf(w, " %.4g / %.4g |", m.median[i], m.busiest[i])
		}
		busiest, ok := fit(s.sizes, m.busiest, target)
		fmt.Fprintf(w, " %s | %s | %s |\n", formatPower(busiest, ok), formatAtTarget(fit(s.sizes, m.median, target)), formatAtTarget(busiest, ok))
	}
}

func formatPower(s powerLaw, ok bool) string {
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%.2f +- %.2f", s.exponent, s.standardError)
}

func formatAtTarget(s powerLaw, ok bool) string {
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%.3g", s.atTarget)
}
