// The verdict over all runs: only a test that the list names may fail, and whatever it
// names must run and fail.

package main

import (
	"fmt"
	"strings"
)

type verdict struct {
	passed, skipped int
	knownRed             []string // entries of the list that hold
	failures          []string // each counts as one failure
}

func (v *verdict) fail(form string, args ...any) {
	v.failures = append(v.failures, fmt.Sprintf(form, args...))
}

func evaluate(list []knownFailure, runs []*run) *verdict {
	v := &verdict{}
	for _, r := range runs {
		r.evaluate(list, v)
	}
	for _, k := range list {
		pkgs, ends := map[string]bool{}, map[string]int{}
		for _, r := range runs {
			for _, t := range r.tests {
				if k.matches(t) {
					pkgs[t.pkg] = true
					ends[t.outcome]++
				}
			}
		}
		switch {
		case len(pkgs) > 1:
			v.fail("%s is known red, but several packages have a test of that name", k.name)
		case ends["fail"] > 0:
			v.knownRed = append(v.knownRed, k.String())
		case ends["pass"] > 0:
			v.fail("%s is known red, but passes now", k.name)
		default:
			v.fail("%s is known red, but was never run", k.name)
		}
	}
	return v
}

func (r *run) evaluate(list []knownFailure, v *verdict) {
	failed := map[string]bool{}
	for _, t := range r.tests {
		switch {
		case t.outcome == "skip":
			v.skipped++
		case t.outcome == "fail":
			failed[t.pkg] = true
			if !isListed(list, t) && !r.failedOnlyInListedSubtests(list, t) {
				v.fail("%s failed in %s", t.name, t.pkg)
			}
		case t.outcome == "":
			v.fail("%s came to no end in %s", t.name, t.pkg)
		case !isListed(list, t):
			v.passed++
		}
	}
	bad := len(r.tests) == 0
	for _, p := range r.pkgs {
		switch {
		case p.outcome == "":
			v.fail("%s came to no end", p.name)
		case p.outcome == "fail" && !p.testsFinished:
			v.fail("%s did not build, panicked, exited or ran out of time", p.name)
		case p.outcome == "fail" && !failed[p.name]:
			v.fail("%s failed, but none of its tests did", p.name)
		case p.raceOutsideTests:
			v.fail("%s raced outside its tests", p.name)
		}
		bad = bad || p.outcome == "fail"
	}
	if len(r.tests) == 0 {
		v.fail("a run had no test")
	} else if r.commandFailed && !bad {
		v.fail("go test ended badly, but no package failed")
	}
}

func isListed(list []knownFailure, t *test) bool {
	for _, k := range list {
		if k.matches(t) {
			return true
		}
	}
	return false
}

// failedOnlyInListedSubtests tells that a test failed for nothing but its subtests, and that the innermost
// of those that failed are all listed.
func (r *run) failedOnlyInListedSubtests(list []knownFailure, t *test) bool {
	if t.logged {
		return false
	}
	inner := 0
	for _, s := range r.tests {
		if !r.isSubtest(s, t) || s.outcome != "fail" || r.hasFailedSubtest(s) {
			continue
		}
		if !isListed(list, s) {
			return false
		}
		inner++
	}
	return inner > 0
}

func (r *run) isSubtest(s, t *test) bool { return s.pkg == t.pkg && strings.HasPrefix(s.name, t.name+"/") }

// hasFailedSubtest tells whether a subtest of a test failed.
func (r *run) hasFailedSubtest(t *test) bool {
	for _, s := range r.tests {
		if s.outcome == "fail" && r.isSubtest(s, t) {
			return true
		}
	}
	return false
}
