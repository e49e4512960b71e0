// Command names checks that the platform's own names are used only in the directory that contains the list of these
// names: no source file in another directory, except those in exemptDirs, may contain a word of the list.
// Usage: names platform/names.txt
package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: names platform/names.txt")
		os.Exit(2)
	}
	text, err := os.ReadFile(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	words := strings.Fields(string(text))
	if len(words) == 0 {
		fmt.Fprintln(os.Stderr, os.Args[1], "contains no words")
		os.Exit(2)
	}
	allowedDir := filepath.Dir(os.Args[1])
	violations := scan(os.DirFS("."), allowedDir, words)
	for _, violation := range violations {
		fmt.Println(violation)
	}
	if len(violations) > 0 {
		fmt.Printf("%d uses of the platform's names outside %s/\n", len(violations), allowedDir)
		os.Exit(1)
	}
}

// exemptDirs may contain any word: the deployment, the documents about the platform, the journal, and build and run
// output.
var exemptDirs = []string{"deploy", "docs", "journal", "bin", "testbed-data"}

// scan returns a line for each listed word in a source file outside allowedDir. A file that cannot be read
// counts as a violation.
func scan(root fs.FS, allowedDir string, words []string) (violations []string) {
	namePattern := pattern(words)
	fs.WalkDir(root, ".", func(name string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			violations = append(violations, fmt.Sprintf("%s: %v", name, err))
		case d.IsDir() && name != "." && (name == allowedDir || name[0] == '.' || slices.Contains(exemptDirs, name)):
			return fs.SkipDir
		case !d.IsDir() && slices.Contains([]string{".go", ".cue", ".star"}, filepath.Ext(name)):
			body, err := fs.ReadFile(root, name)
			if err != nil {
				violations = append(violations, fmt.Sprintf("%s: %v", name, err))
			}
			for i, line := range strings.Split(string(body), "\n") {
				for _, m := range namePattern.FindAllString(line, -1) {
					violations = append(violations, fmt.Sprintf("%s:%d: %s", name, i+1, m))
				}
			}
		}
		return nil
	})
	return violations
}

// pattern returns a pattern that matches any of the words as a whole word: if a word starts or ends with a letter,
// digit or underscore, no such character may come before its start or after its end. Longer words are tried first.
func pattern(words []string) *regexp.Regexp {
	wordCharacter := regexp.MustCompile(`^\w$`)
	longestFirst := slices.Clone(words)
	slices.SortFunc(longestFirst, func(a, b string) int { return len(b) - len(a) })
	var expressions []string
	for _, w := range longestFirst {
		expression := regexp.QuoteMeta(w)
		if wordCharacter.MatchString(w[:1]) {
			expression = `\b` + expression
		}
		if wordCharacter.MatchString(w[len(w)-1:]) {
			expression += `\b`
		}
		expressions = append(expressions, expression)
	}
	return regexp.MustCompile(strings.Join(expressions, "|"))
}
