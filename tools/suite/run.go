// One run of go test -json, as far as its events tell of it.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strings"
)

type event struct{ Action, Package, Test, Output string }

// test is one test or subtest of one run. said tells that it wrote by t.Log, t.Error
// or their like, itself and not by a subtest.
type test struct {
	pkg, name, outcome string
	logged           bool
	output            strings.Builder
}

// pkg is one package of one run. whole tells that its tests came to their end and some
// failed: a build that fails, a panic, an exit and a timeout leave that line out.
type pkg struct {
	name, outcome    string
	testsFinished, raceOutsideTests bool
}

type run struct {
	tests  []*test
	pkgs   []*pkg
	byName map[string]*test
	byPkg  map[string]*pkg
	commandFailed bool // go test itself ended badly
}

func newRun() *run { return &run{byName: map[string]*test{}, byPkg: map[string]*pkg{}} }

var logLinePattern = regexp.MustCompile(`^\s+\S+\.go:\d+: `)

// processLine folds one line of output in, and shows what a reader wants to see of it.
func (r *run) processLine(line []byte, show io.Writer) {
	var e event
	if json.Unmarshal(line, &e) != nil || e.Action == "" {
		fmt.Fprintf(show, "%s\n", line)
		return
	}
	switch {
	case e.Package == "":
		fmt.Fprint(show, e.Output)
	case e.Test == "":
		r.processPackageEvent(e, show)
	default:
		r.processTestEvent(e, show)
	}
}

func (r *run) processPackageEvent(e event, show io.Writer) {
	p, ok := r.byPkg[e.Package]
	if !ok {
		p = &pkg{name: e.Package}
		r.byPkg[e.Package], r.pkgs = p, append(r.pkgs, p)
	}
	switch e.Action {
	case "output":
		p.testsFinished = p.testsFinished || e.Output == "FAIL\n"
		p.raceOutsideTests = p.raceOutsideTests || strings.Contains(e.Output, "race detected outside of test execution")
		if e.Output != "FAIL\n" && e.Output != "PASS\n" {
			fmt.Fprint(show, e.Output)
		}
	case "pass", "fail", "skip":
		p.outcome = e.Action
		for _, t := range r.tests {
			if t.pkg == p.name && t.outcome == "" {
				fmt.Fprint(show, t.output.String())
			}
		}
	}
}

func (r *run) processTestEvent(e event, show io.Writer) {
	id := e.Package + " " + e.Test
	t, ok := r.byName[id]
	if !ok {
		t = &test{pkg: e.Package, name: e.Test}
		r.byName[id], r.tests = t, append(r.tests, t)
	}
	switch e.Action {
	case "output":
		t.logged = t.logged || logLinePattern.MatchString(e.Output)
		t.output.WriteString(e.Output)
	case "pass", "fail", "skip":
		t.outcome = e.Action
		if t.outcome == "fail" {
			fmt.Fprint(show, t.output.String())
		}
		t.output.Reset()
	}
}
