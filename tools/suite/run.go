// The results of one run of go test -json, collected from its events.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// event is one line of the output of go test -json.
type event struct{ Action, Package, Test, Output string }

// test is one test or subtest of one run. Its field logged is set if the test itself, not just a subtest, wrote
// a line with t.Log, t.Error or a similar method.
type test struct {
	pkg, name, outcome string
	logged             bool
	output             strings.Builder
}

// pkg is one package of one run. Its field testsFinished is set if all its tests finished and some failed: go
// test then writes a line with FAIL alone, but not after a failed build, a panic, a call of os.Exit or a timeout.
type pkg struct {
	name, outcome                   string
	testsFinished, raceOutsideTests bool
}

// run holds the results of one command.
type run struct {
	tests          []*test
	pkgs           []*pkg
	testsByID      map[string]*test
	packagesByPath map[string]*pkg
	commandFailed  bool // the command could not be started or exited with an error
}

func newRun() *run { return &run{testsByID: map[string]*test{}, packagesByPath: map[string]*pkg{}} }

// logLinePattern matches a line that a test logged, which begins with a file name and a line number.
var logLinePattern = regexp.MustCompile(`^\s+\S+\.go:\d+: `)

// processLine records one line of output. It prints the output of packages and of tests that failed or did not
// finish, and lines that are not events.
func (r *run) processLine(line []byte, display io.Writer) {
	var e event
	if json.Unmarshal(line, &e) != nil || e.Action == "" {
		fmt.Fprintf(display, "%s\n", line)
		return
	}
	switch {
	case e.Package == "":
		fmt.Fprint(display, e.Output)
	case e.Test == "":
		r.processPackageEvent(e, display)
	default:
		r.processTestEvent(e, display)
	}
}

// processPackageEvent records an event of a package. When the package ends, it prints the output of its
// unfinished tests.
func (r *run) processPackageEvent(e event, display io.Writer) {
	p, ok := r.packagesByPath[e.Package]
	if !ok {
		p = &pkg{name: e.Package}
		r.packagesByPath[e.Package], r.pkgs = p, append(r.pkgs, p)
	}
	switch e.Action {
	case "output":
		p.testsFinished = p.testsFinished || e.Output == "FAIL\n"
		p.raceOutsideTests = p.raceOutsideTests || strings.Contains(e.Output, "race detected outside of test execution")
		if e.Output != "FAIL\n" && e.Output != "PASS\n" {
			fmt.Fprint(display, e.Output)
		}
	case "pass", "fail", "skip":
		p.outcome = e.Action
		for _, t := range r.tests {
			if t.pkg == p.name && t.outcome == "" {
				fmt.Fprint(display, t.output.String())
			}
		}
	}
}

// processTestEvent records an event of a test, and prints the output of the test if it failed.
func (r *run) processTestEvent(e event, display io.Writer) {
	id := e.Package + " " + e.Test
	t, ok := r.testsByID[id]
	if !ok {
		t = &test{pkg: e.Package, name: e.Test}
		r.testsByID[id], r.tests = t, append(r.tests, t)
	}
	switch e.Action {
	case "output":
		t.logged = t.logged || logLinePattern.MatchString(e.Output)
		t.output.WriteString(e.Output)
	case "pass", "fail", "skip":
		t.outcome = e.Action
		if t.outcome == "fail" {
			fmt.Fprint(display, t.output.String())
		}
		t.output.Reset()
	}
}
