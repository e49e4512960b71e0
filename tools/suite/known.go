// The list of tests that are known to fail. An entry is a block of lines "field: value" that ends with a blank
// line. It has each of the fields test, command, seen and issue exactly once. A subtest is given by its full
// name. If several packages have a test of the same name, the package precedes it: "router.TestName". Lines
// that begin with # are comments.

package main

import (
	"fmt"
	"path"
	"regexp"
	"strings"
)

// knownFailure is one entry: a test, the command and seed that reproduce the failure, what was seen, and the
// number of the issue.
type knownFailure struct{ name, command, seen, issue string }

// fieldPatterns maps each field of an entry to the pattern of its value.
var fieldPatterns = map[string]*regexp.Regexp{
	"test":    regexp.MustCompile(`^(\w+\.)?Test\S*$`),
	"command": regexp.MustCompile(`^\S.*$`),
	"seen":    regexp.MustCompile(`^\S.*$`),
	"issue":   regexp.MustCompile(`^\d+$`),
}

// knownParser parses the list of tests that are known to fail, line by line.
type knownParser struct {
	list      []knownFailure
	problems  []string
	names     map[string]bool   // names of the tests that are listed so far
	entryLine int               // the line on which the current entry begins
	fields    map[string]string // fields of the current entry, nil between entries
}

// parseKnown parses the list of tests that are known to fail. It reports a problem for each line that is not a
// field, each missing, duplicate or invalid field, and each test that is listed twice.
func parseKnown(text string) (list []knownFailure, problems []string) {
	p := &knownParser{names: map[string]bool{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "":
			p.endEntry()
		case line[0] != '#':
			p.parseField(i+1, line)
		}
	}
	p.endEntry()
	return p.list, p.problems
}

func (p *knownParser) addProblem(format string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf(format, args...))
}

// parseField parses one line of an entry.
func (p *knownParser) parseField(lineNumber int, line string) {
	if p.fields == nil {
		p.entryLine, p.fields = lineNumber, map[string]string{}
	}
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	pattern, ok := fieldPatterns[field]
	_, duplicate := p.fields[field]
	switch {
	case !ok:
		p.addProblem("line %d is not a test, command, seen or issue field: %s", lineNumber, line)
	case duplicate:
		p.addProblem("line %d: duplicate %s field", lineNumber, field)
	case !pattern.MatchString(value):
		p.addProblem("line %d: invalid value of field %s: %q", lineNumber, field, value)
	}
	p.fields[field] = value
}

// endEntry adds the current entry, if any, to the list and checks that it is complete.
func (p *knownParser) endEntry() {
	if p.fields == nil {
		return
	}
	fields := p.fields
	p.fields = nil
	for _, field := range []string{"test", "command", "seen", "issue"} {
		if _, ok := fields[field]; !ok {
			p.addProblem("the entry on line %d has no %s field", p.entryLine, field)
		}
	}
	k := knownFailure{fields["test"], fields["command"], fields["seen"], fields["issue"]}
	if k.name != "" && p.names[k.name] {
		p.addProblem("the entry on line %d repeats test %s", p.entryLine, k.name)
	}
	p.names[k.name] = true
	p.list = append(p.list, k)
}

// String returns the entry on one line.
func (k knownFailure) String() string {
	return fmt.Sprintf("%s: %s (%s; issue %s)", k.name, k.seen, k.command, k.issue)
}

// matches reports whether the entry names a test, with or without its package.
func (k knownFailure) matches(t *test) bool {
	return k.name == t.name || k.name == path.Base(t.pkg)+"."+t.name
}
