// Command names sees that the platform's own names stay within one module: no source
// file elsewhere may hold a word of its list. Usage: names platform/names.txt
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
		fmt.Fprintln(os.Stderr, os.Args[1], "holds no word")
		os.Exit(2)
	}
	home := filepath.Dir(os.Args[1])
	hits := scan(os.DirFS("."), home, words)
	for _, h := range hits {
		fmt.Println(h)
	}
	if len(hits) > 0 {
		fmt.Printf("%d of the platform's names stand outside %s/\n", len(hits), home)
		os.Exit(1)
	}
}

// exemptDirs may hold any word: what is deployed and written about the platform, and what is
// built or run here.
var exemptDirs = []string{"deploy", "docs", "journal", "bin", "testbed-data"}

// scan gives each line of a source file outside home that holds a word; a file that
// cannot be read counts as a hit.
func scan(root fs.FS, home string, words []string) (hits []string) {
	form := pattern(words)
	fs.WalkDir(root, ".", func(name string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			hits = append(hits, fmt.Sprintf("%s: %v", name, err))
		case d.IsDir() && name != "." && (name == home || name[0] == '.' || slices.Contains(exemptDirs, name)):
			return fs.SkipDir
		case !d.IsDir() && slices.Contains([]string{".go", ".cue", ".star"}, filepath.Ext(name)):
			body, err := fs.ReadFile(root, name)
			if err != nil {
				hits = append(hits, fmt.Sprintf("%s: %v", name, err))
			}
			for i, line := range strings.Split(string(body), "\n") {
				for _, m := range form.FindAllString(line, -1) {
					hits = append(hits, fmt.Sprintf("%s:%d: %s", name, i+1, m))
				}
			}
		}
		return nil
	})
	return hits
}

// pattern matches any of the words where it stands whole: no letter, digit or underline
// follows or precedes an end of it that is one.
func pattern(words []string) *regexp.Regexp {
	letter := regexp.MustCompile(`^\w$`)
	longest := slices.Clone(words)
	slices.SortFunc(longest, func(a, b string) int { return len(b) - len(a) })
	var forms []string
	for _, w := range longest {
		form := regexp.QuoteMeta(w)
		if letter.MatchString(w[:1]) {
			form = `\b` + form
		}
		if letter.MatchString(w[len(w)-1:]) {
			form += `\b`
		}
		forms = append(forms, form)
	}
	return regexp.MustCompile(strings.Join(forms, "|"))
}
