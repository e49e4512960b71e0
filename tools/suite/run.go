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
	pkg, name, end string
	said           bool
	out            strings.Builder
}

// pkg is one package of one run. whole tells that its tests came to their end and some
// failed: a build that fails, a panic, an exit and a timeout leave that line out.
type pkg struct {
	name, end    string
	whole, raced bool
}

type run struct {
	tests  []*test
	pkgs   []*pkg
	byName map[string]*test
	byPkg  map[string]*pkg
	broken bool // go test itself ended badly
}

func newRun() *run { return &run{byName: map[string]*test{}, byPkg: map[string]*pkg{}} }

var saidForm = regexp.MustCompile(`^\s+\S+\.go:\d+: `)

// take folds one line of output in, and shows what a reader wants to see of it.
func (r *run) take(line []byte, show io.Writer) {
	var e event
	if json.Unmarshal(line, &e) != nil || e.Action == "" {
		fmt.Fprintf(show, "%s\n", line)
		return
	}
	switch {
	case e.Package == "":
		fmt.Fprint(show, e.Output)
	case e.Test == "":
		r.takePkg(e, show)
	default:
		r.takeTest(e, show)
	}
}

func (r *run) takePkg(e event, show io.Writer) {
	p, ok := r.byPkg[e.Package]
	if !ok {
		p = &pkg{name: e.Package}
		r.byPkg[e.Package], r.pkgs = p, append(r.pkgs, p)
	}
	switch e.Action {
	case "output":
		p.whole = p.whole || e.Output == "FAIL\n"
		p.raced = p.raced || strings.Contains(e.Output, "race detected outside of test execution")
		if e.Output != "FAIL\n" && e.Output != "PASS\n" {
			fmt.Fprint(show, e.Output)
		}
	case "pass", "fail", "skip":
		p.end = e.Action
		for _, t := range r.tests {
			if t.pkg == p.name && t.end == "" {
				fmt.Fprint(show, t.out.String())
			}
		}
	}
}

func (r *run) takeTest(e event, show io.Writer) {
	id := e.Package + " " + e.Test
	t, ok := r.byName[id]
	if !ok {
		t = &test{pkg: e.Package, name: e.Test}
		r.byName[id], r.tests = t, append(r.tests, t)
	}
	switch e.Action {
	case "output":
		t.said = t.said || saidForm.MatchString(e.Output)
		t.out.WriteString(e.Output)
	case "pass", "fail", "skip":
		t.end = e.Action
		if t.end == "fail" {
			fmt.Fprint(show, t.out.String())
		}
		t.out.Reset()
	}
}
