// The list of tests that are known to fail. An entry is a block of lines "field: value"
// that a blank line ends; it has each of the fields test, command, seen and issue once. A
// subtest is named in full, and a name that several packages have is written with its
// package before it, "router.TestName". Lines that begin with # are comments.

package main

import (
	"fmt"
	"path"
	"regexp"
	"strings"
)

// knownFailure is one entry: a test, the command with its seed that shows the failure, what was
// seen, and the issue.
type knownFailure struct{ name, command, seen, issue string }

// fieldPatterns are the fields of an entry, each with the form of its value.
var fieldPatterns = map[string]*regexp.Regexp{
	"test":    regexp.MustCompile(`^(\w+\.)?Test\S*$`),
	"command": regexp.MustCompile(`^\S.*$`),
	"seen":    regexp.MustCompile(`^\S.*$`),
	"issue":   regexp.MustCompile(`^\d+$`),
}

// knownParser folds the lines of the list in, one after the other.
type knownParser struct {
	list   []knownFailure
	problems []string
	names  map[string]bool
	entryLine  int               // the line on which the open entry begins
	fields map[string]string // of the open entry; nil where none is open
}

// parseKnown reads the list. Each line that is no field, each entry that lacks one or has it
// twice, and each test that is named twice is a fault.
func parseKnown(text string) (list []knownFailure, faults []string) {
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

func (p *knownParser) addProblem(form string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf(form, args...))
}

// parseField folds one line of an entry in.
func (p *knownParser) parseField(at int, line string) {
	if p.fields == nil {
		p.entryLine, p.fields = at, map[string]string{}
	}
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	form, ok := fieldPatterns[field]
	_, again := p.fields[field]
	switch {
	case !ok:
		p.addProblem("line %d is none of test:, command:, seen:, issue:: %s", at, line)
	case again:
		p.addProblem("line %d: the entry has %s: twice", at, field)
	case !form.MatchString(value):
		p.addProblem("line %d: %s: can't be %q", at, field, value)
	}
	p.fields[field] = value
}

// endEntry ends the open entry, if there is one.
func (p *knownParser) endEntry() {
	if p.fields == nil {
		return
	}
	fields := p.fields
	p.fields = nil
	for _, field := range []string{"test", "command", "seen", "issue"} {
		if _, ok := fields[field]; !ok {
			p.addProblem("the entry on line %d has no %s:", p.entryLine, field)
		}
	}
	k := knownFailure{fields["test"], fields["command"], fields["seen"], fields["issue"]}
	if k.name != "" && p.names[k.name] {
		p.addProblem("the entry on line %d names %s again", p.entryLine, k.name)
	}
	p.names[k.name] = true
	p.list = append(p.list, k)
}

// String gives the entry on one line.
func (k knownFailure) String() string {
	return fmt.Sprintf("%s: %s (%s; issue %s)", k.name, k.seen, k.command, k.issue)
}

func (k knownFailure) matches(t *test) bool {
	return k.name == t.name || k.name == path.Base(t.pkg)+"."+t.name
}
