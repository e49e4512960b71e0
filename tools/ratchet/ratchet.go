// Package ratchet reads the checked-in lists that let a check be introduced before all of
// the code holds to it, and compares such a list with what the check finds today. An entry
// that the code no longer needs is reported like a finding that the list lacks, so a list
// of exceptions only shrinks and a list of what is held only grows.
package ratchet

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// Read gives the entries of a list file: one a line, without blank lines and lines that
// begin with '#'. An entry that stands twice is an error.
func Read(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	entries, err := Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return entries, nil
}

// Parse gives the entries of a list's text, as Read does.
func Parse(text string) ([]string, error) {
	var entries []string
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		if slices.Contains(entries, line) {
			return nil, fmt.Errorf("line %d: %q is listed twice", i+1, line)
		}
		entries = append(entries, line)
	}
	return entries, nil
}

// Compare gives what was found and is not listed, and what is listed and was not found,
// both sorted and without repeats.
func Compare(listed, found []string) (unlisted, stale []string) {
	return without(found, listed), without(listed, found)
}

func without(entries, others []string) []string {
	var rest []string
	for _, entry := range entries {
		if !slices.Contains(others, entry) {
			rest = append(rest, entry)
		}
	}
	slices.Sort(rest)
	return slices.Compact(rest)
}
