// Package ratchet reads the checked-in lists of checks that not all code passes yet, and compares such a list
// with the current result of the check. A stale entry is reported just like a finding that is not listed, so
// that a list of exceptions only shrinks and a list of conforming packages only grows.
package ratchet

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// Read returns the entries of a list file, one per line. Blank lines and lines that begin with '#' are skipped.
// A duplicate entry is an error.
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

// Parse returns the entries of the text of a list, in the format that Read describes.
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

// Compare returns the entries of found that are not listed, and the listed entries that were not found, both sorted
// and without duplicates.
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
