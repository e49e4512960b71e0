// The verdict over all runs: only a test that the list names may fail, and whatever it
// names must run and fail.

package main

import (
	"fmt"
	"strings"
)

type verdict struct {
	passed, skipped int
	red             []string // entries of the list that hold
	faults          []string // each counts as one failure
}

func (v *verdict) fault(form string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(form, args...))
}

func judge(list []known, runs []*run) *verdict {
	v := &verdict{}
	for _, r := range runs {
		r.judge(list, v)
	}
	for _, k := range list {
		pkgs, ends := map[string]bool{}, map[string]int{}
		for _, r := range runs {
			for _, t := range r.tests {
				if k.names(t) {
					pkgs[t.pkg] = true
					ends[t.end]++
				}
			}
		}
		switch {
		case len(pkgs) > 1:
			v.fault("%s is known red, but several packages have a test of that name", k.name)
		case ends["fail"] > 0:
			v.red = append(v.red, k.String())
		case ends["pass"] > 0:
			v.fault("%s is known red, but passes now", k.name)
		default:
			v.fault("%s is known red, but was never run", k.name)
		}
	}
	return v
}

func (r *run) judge(list []known, v *verdict) {
	failed := map[string]bool{}
	for _, t := range r.tests {
		switch {
		case t.end == "skip":
			v.skipped++
		case t.end == "fail":
			failed[t.pkg] = true
			if !listed(list, t) && !r.excused(list, t) {
				v.fault("%s failed in %s", t.name, t.pkg)
			}
		case t.end == "":
			v.fault("%s came to no end in %s", t.name, t.pkg)
		case !listed(list, t):
			v.passed++
		}
	}
	bad := len(r.tests) == 0
	for _, p := range r.pkgs {
		switch {
		case p.end == "":
			v.fault("%s came to no end", p.name)
		case p.end == "fail" && !p.whole:
			v.fault("%s did not build, panicked, exited or ran out of time", p.name)
		case p.end == "fail" && !failed[p.name]:
			v.fault("%s failed, but none of its tests did", p.name)
		case p.raced:
			v.fault("%s raced outside its tests", p.name)
		}
		bad = bad || p.end == "fail"
	}
	if len(r.tests) == 0 {
		v.fault("a run had no test")
	} else if r.broken && !bad {
		v.fault("go test ended badly, but no package failed")
	}
}

func listed(list []known, t *test) bool {
	for _, k := range list {
		if k.names(t) {
			return true
		}
	}
	return false
}

// excused tells that a test failed for nothing but its subtests, and that the innermost
// of those that failed are all listed.
func (r *run) excused(list []known, t *test) bool {
	if t.said {
		return false
	}
	inner := 0
	for _, s := range r.tests {
		if !r.within(s, t) || s.end != "fail" || r.outer(s) {
			continue
		}
		if !listed(list, s) {
			return false
		}
		inner++
	}
	return inner > 0
}

func (r *run) within(s, t *test) bool { return s.pkg == t.pkg && strings.HasPrefix(s.name, t.name+"/") }

// outer tells whether a subtest of a test failed.
func (r *run) outer(t *test) bool {
	for _, s := range r.tests {
		if s.end == "fail" && r.within(s, t) {
			return true
		}
	}
	return false
}
