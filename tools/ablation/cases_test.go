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

// testSources returns the contents of all test files of a package.
func testSources(t *testing.T, pkg string) string {
	files, err := filepath.Glob(filepath.Join(root, pkg, "*_test.go"))
	require.NoError(t, err)
	var sources strings.Builder
	for _, file := range files {
		body, err := os.ReadFile(file)
		require.NoError(t, err)
		sources.Write(body)
	}
	return sources.String()
}

// TestCasesMatchSource checks that the text that each case replaces is in its file and that the named test
// exists. A case that does not match would test nothing.
func TestCasesMatchSource(t *testing.T) {
	cases, err := Cases()
	require.NoError(t, err)
	require.NotEmpty(t, cases)
	seen := map[string]bool{}
	tests := map[string]string{}
	for _, c := range cases {
		require.False(t, seen[c.Name], "%s is defined twice", c.Name)
		seen[c.Name] = true
		body, err := os.ReadFile(filepath.Join(root, c.File))
		require.NoError(t, err, c.Name)
		if !strings.Contains(string(body), c.Old) {
			t.Errorf("%s: %s does not contain the text to replace", c.Name, c.File)
		}
		if _, ok := tests[c.Package]; !ok {
			tests[c.Package] = testSources(t, c.Package)
		}
		for name := range strings.SplitSeq(c.Test, "|") {
			name, _, _ = strings.Cut(strings.TrimSuffix(name, "$"), "/")
			if !regexp.MustCompile(`func ` + name).MatchString(tests[c.Package]) {
				t.Errorf("%s: test %s does not exist in %s", c.Name, name, c.Package)
			}
		}
	}
}
