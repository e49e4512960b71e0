package ablation

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const root = "../.."

// testSources gives the names of the tests of a package.
func testSources(t *testing.T, pkg string) string {
	files, err := filepath.Glob(filepath.Join(root, pkg, "*_test.go"))
	require.NoError(t, err)
	var all strings.Builder
	for _, file := range files {
		body, err := os.ReadFile(file)
		require.NoError(t, err)
		all.Write(body)
	}
	return all.String()
}

// TestCasesMatchSource: what each case takes away stands in its file, and the test that must miss it is
// there, so that no case is silently void.
func TestCasesMatchSource(t *testing.T) {
	cases, err := Cases()
	require.NoError(t, err)
	require.NotEmpty(t, cases)
	seen := map[string]bool{}
	tests := map[string]string{}
	for _, c := range cases {
		require.False(t, seen[c.Name], "%s stands twice", c.Name)
		seen[c.Name] = true
		body, err := os.ReadFile(filepath.Join(root, c.File))
		require.NoError(t, err, c.Name)
		if !strings.Contains(string(body), c.Old) {
			t.Errorf("%s: the text to take away is not in %s", c.Name, c.File)
		}
		if _, ok := tests[c.Package]; !ok {
			tests[c.Package] = testSources(t, c.Package)
		}
		for name := range strings.SplitSeq(c.Test, "|") {
			name, _, _ = strings.Cut(strings.TrimSuffix(name, "$"), "/")
			if !regexp.MustCompile(`func ` + name).MatchString(tests[c.Package]) {
				t.Errorf("%s: there is no test %s in %s", c.Name, name, c.Package)
			}
		}
	}
}
