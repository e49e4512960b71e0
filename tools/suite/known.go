// The list of the known red: tests that fail for a cause that is named and has an
// issue. One a line, "TestName, cause, issue N"; a subtest is named in full, and a
// name that several packages have is written with its package before it, "router.TestName".
// The list is bounded, so that red tests
// are mended and do not pile up.

package main

import (
	"fmt"
	"path"
	"regexp"
	"strings"
)

type known struct{ name, line string }

var knownForm = regexp.MustCompile(`^((?:\w+\.)?Test\S*), (\S.*), issue \d+$`)

// maxKnown is how many entries the list may hold.
const maxKnown = 3

// parseKnown reads the list. Each line that is not an entry is a fault, and so is a list
// of more than maxKnown entries.
func parseKnown(text string) (list []known, faults []string) {
	had := map[string]bool{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		m := knownForm.FindStringSubmatch(line)
		switch {
		case m == nil:
			faults = append(
				faults,
				fmt.Sprintf("line %d of the known red is not \"TestName, cause, issue N\": %s", i+1, line),
			)
		case had[m[1]]:
			faults = append(faults, fmt.Sprintf("line %d of the known red names %s again", i+1, m[1]))
		default:
			had[m[1]] = true
			list = append(list, known{m[1], line})
		}
	}
	if len(list) > maxKnown {
		faults = append(
			faults, fmt.Sprintf("the known red has %d entries, %d at most are allowed", len(list), maxKnown),
		)
	}
	return list, faults
}

func (k known) names(t *test) bool {
	return k.name == t.name || k.name == path.Base(t.pkg)+"."+t.name
}
