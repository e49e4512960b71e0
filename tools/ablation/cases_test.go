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

// TestPatchesMatchSource guards against patches that no longer apply because the source around a change has moved on.
func TestPatchesMatchSource(t *testing.T) {
	patches, err := filepath.Glob("*.diff")
	require.NoError(t, err)
	require.NotEmpty(t, patches)
	for _, patch := range patches {
		body, err := os.ReadFile(patch)
		require.NoError(t, err)
		hunks := patchedTexts(string(body))
		require.NotEmpty(t, hunks, patch)
		for _, hunk := range hunks {
			source, err := os.ReadFile(filepath.Join(root, hunk.file))
			require.NoError(t, err, patch)
			if !strings.Contains(string(source), hunk.text) {
				t.Errorf("%s: %s does not contain the text to replace:\n%s", patch, hunk.file, hunk.text)
			}
		}
	}
}

// patchedText is a text that a hunk of a patch replaces, with its context.
type patchedText struct{ file, text string }

// patchedTexts returns the text that each hunk of a unified diff replaces.
func patchedTexts(patch string) []patchedText {
	var texts []patchedText
	file, inHunk := "", false
	for line := range strings.Lines(patch) {
		name, isName := strings.CutPrefix(line, "+++ b/")
		switch {
		case strings.HasPrefix(line, "diff "):
			inHunk = false
		case isName && !inHunk:
			file = strings.TrimSpace(name)
		case strings.HasPrefix(line, "@@"):
			inHunk = true
			texts = append(texts, patchedText{file: file})
		case inHunk && (line[0] == ' ' || line[0] == '-'):
			texts[len(texts)-1].text += line[1:]
		}
	}
	return texts
}
