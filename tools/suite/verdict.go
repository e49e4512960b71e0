// The verdict over all runs: only tests on the list of known failures may fail, and each listed test must fail in
// at least one run.

package main

import (
	"fmt"
	"strings"
)

// verdict is the result of all runs.
type verdict struct {
	passed, skipped int
	knownFailures   []string // entries of the list whose test failed as expected
	failures        []string // messages, one for each reason why the runs do not pass
}

func (v *verdict) fail(format string, args ...any) {
	v.failures = append(v.failures, fmt.Sprintf(format, args...))
}

// evaluate returns the verdict over all runs, given the known failures.
func evaluate(known []knownFailure, runs []*run) *verdict {
	v := &verdict{}
	for _, r := range runs {
		r.addTo(known, v)
	}
	for _, k := range known {
		packages, outcomes := map[string]bool{}, map[string]int{}
		for _, r := range runs {
			for _, t := range r.tests {
				if k.matches(t) {
					packages[t.pkg] = true
					outcomes[t.outcome]++
				}
			}
		}
		switch {
		case len(packages) > 1:
			v.fail("%s is on the list of known failures, but several packages have a test with this name", k.name)
		case outcomes["fail"] > 0:
			v.knownFailures = append(v.knownFailures, k.String())
		case outcomes["pass"] > 0:
			v.fail("%s is on the list of known failures, but passed", k.name)
		default:
			v.fail("%s is on the list of known failures, but neither passed nor failed in any run", k.name)
		}
	}
	return v
}

// addTo adds the results of one run to the verdict.
func (r *run) addTo(known []knownFailure, v *verdict) {
	packagesWithFailedTest := map[string]bool{}
	for _, t := range r.tests {
		switch {
		case t.outcome == "skip":
			v.skipped++
		case t.outcome == "fail":
			packagesWithFailedTest[t.pkg] = true
			if !isListed(known, t) && !r.failedOnlyInListedSubtests(known, t) {
				v.fail("%s in %s failed", t.name, t.pkg)
			}
		case t.outcome == "":
			v.fail("%s in %s did not finish", t.name, t.pkg)
		case !isListed(known, t):
			v.passed++
		}
	}
	failureExplained := len(r.tests) == 0
	for _, p := range r.pkgs {
		switch {
		case p.outcome == "":
			v.fail("%s did not finish", p.name)
		case p.outcome == "fail" && !p.testsFinished:
			v.fail("%s failed to build, or panicked, called os.Exit or timed out", p.name)
		case p.outcome == "fail" && !packagesWithFailedTest[p.name]:
			v.fail("%s failed, but none of its tests did", p.name)
		case p.raceOutsideTests:
			v.fail("%s has a data race outside its tests", p.name)
		}
		failureExplained = failureExplained || p.outcome == "fail"
	}
	if len(r.tests) == 0 {
		v.fail("a run executed no test")
	} else if r.commandFailed && !failureExplained {
		v.fail("go test failed, but no package failed")
	}
}

// isListed reports whether a known failure names a test.
func isListed(known []knownFailure, t *test) bool {
	for _, k := range known {
		if k.matches(t) {
			return true
		}
	}
	return false
}

// failedOnlyInListedSubtests reports whether a test failed only because of its subtests, and all innermost
// subtests that failed are listed. A test that logged a line itself may have failed by itself too, so the
// result is false for it.
func (r *run) failedOnlyInListedSubtests(known []knownFailure, t *test) bool {
	if t.logged {
		return false
	}
	failedSubtests := 0
	for _, s := range r.tests {
		if !r.isSubtest(s, t) || s.outcome != "fail" || r.hasFailedSubtest(s) {
			continue
		}
		if !isListed(known, s) {
			return false
		}
		failedSubtests++
	}
	return failedSubtests > 0
}

// isSubtest reports whether s is a direct or indirect subtest of t.
func (r *run) isSubtest(s, t *test) bool {
	return s.pkg == t.pkg && strings.HasPrefix(s.name, t.name+"/")
}

// hasFailedSubtest reports whether a direct or indirect subtest of a test failed in this run.
func (r *run) hasFailedSubtest(t *test) bool {
	for _, s := range r.tests {
		if s.outcome == "fail" && r.isSubtest(s, t) {
			return true
		}
	}
	return false
}
