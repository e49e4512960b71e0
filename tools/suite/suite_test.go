// The verdict over outputs of go test -json, as they were seen, cut short; and over real
// runs of packages made for it.

package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// told makes a run of lines "package test action output", "-" for none.
func told(lines ...string) *run {
	r := newRun()
	for _, l := range lines {
		f := strings.SplitN(l, " ", 4)
		e := fmt.Sprintf(`{"Action":%q,"Package":%q`, f[2], f[0])
		if f[1] != "-" {
			e += fmt.Sprintf(`,"Test":%q`, f[1])
		}
		if len(f) > 3 {
			e += fmt.Sprintf(`,"Output":%q`, f[3]+"\n")
		}
		r.take([]byte(e+"}"), io.Discard)
		r.broken = r.broken || f[2] == "fail"
	}
	return r
}

func faultsOf(t *testing.T, list string, runs ...*run) []string {
	k, faults := parseKnown(list)
	require.Empty(t, faults)
	return judge(k, runs).faults
}

func TestKnownList(t *testing.T) {
	list, faults := parseKnown("# why\n\nTestA, one, with a comma, issue 3\n router.TestB/x/1, two, issue 4\n")
	require.Empty(t, faults)
	require.Equal(t, []known{
		{"TestA", "TestA, one, with a comma, issue 3"},
		{"router.TestB/x/1", "router.TestB/x/1, two, issue 4"},
	}, list)
	for _, bad := range []string{
		"TestA", "TestA, issue 3", "TestA, cause", "TestA, cause, issue x", "A, cause, issue 1", "TestA, , issue 1",
		"TestA, a, issue 1\nTestA, b, issue 2",
	} {
		_, faults := parseKnown(bad)
		require.Len(t, faults, 1, bad)
	}
}

// TestKnownListIsBounded: three tests may be known red; the list with a fourth is refused
// by one line, however many there are.
func TestKnownListIsBounded(t *testing.T) {
	three := "# why\nTestA, one, issue 1\nTestB, two, issue 2\n\nTestC, three, issue 3\n"
	list, faults := parseKnown(three)
	require.Empty(t, faults)
	require.Len(t, list, 3)
	for entries, text := range map[int]string{
		4: three + "TestD, four, issue 4\n",
		5: three + "TestD, four, issue 4\nTestE, five, issue 4\n",
	} {
		_, faults := parseKnown(text)
		require.Equal(t, []string{fmt.Sprintf("the known red has %d entries, 3 at most are allowed", entries)}, faults)
	}
}

// TestRefusedListEndsBeforeTheRuns: a list that cannot be taken as it is ends the command
// with its faults, and no test is run.
func TestRefusedListEndsBeforeTheRuns(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	text := "TestA, c, issue 1\nTestB, c, issue 1\nTestC, c, issue 1\nTestD, c, issue 1\n"
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	out, err := exec.Command("go", "run", ".", path, "--", "echo", "a run began").CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(out), "the known red has 4 entries, 3 at most are allowed\n")
	require.NotContains(t, string(out), "a run began")
}

func TestListed(t *testing.T) {
	r := func() *run {
		return told(
			"m/a TestA fail",
			"m/a TestB pass",
			"m/a TestC skip",
			"m/a - output FAIL",
			"m/a - fail",
			"m/b TestD pass",
			"m/b - pass",
		)
	}
	require.Equal(t, []string{"TestA failed in m/a"}, faultsOf(t, "", r()))
	k, _ := parseKnown("TestA, cause, issue 1")
	v := judge(k, []*run{r()})
	require.Equal(t, &verdict{passed: 2, skipped: 1, red: []string{"TestA, cause, issue 1"}}, v)
	require.Empty(t, faultsOf(t, "a.TestA, cause, issue 1", r()))
	require.Len(t, faultsOf(t, "b.TestA, cause, issue 1", r()), 2)
	require.Equal(
		t,
		[]string{"TestB is known red, but passes now"},
		faultsOf(t, "TestA, c, issue 1\nTestB, c, issue 2", r()),
	)
	require.Equal(
		t,
		[]string{"TestC is known red, but was never run"},
		faultsOf(t, "TestA, c, issue 1\nTestC, c, issue 2", r()),
	)
	require.Equal(
		t,
		[]string{"TestX is known red, but was never run"},
		faultsOf(t, "TestA, c, issue 1\nTestX, c, issue 2", r()),
	)
	again := told("m/a TestA pass", "m/a - pass")
	require.Empty(t, faultsOf(t, "TestA, cause, issue 1", r(), again), "red in one of two runs")
	twin := told("m/b TestA pass", "m/b - pass")
	require.Len(t, faultsOf(t, "TestA, cause, issue 1", r(), twin), 1, "which of the two is meant")
}

func TestSubtests(t *testing.T) {
	r := func(own string) *run {
		return told(
			"m/a TestA/x fail",
			"m/a TestA/y pass",
			"m/a TestA output "+own,
			"m/a TestA fail",
			"m/a - output FAIL",
			"m/a - fail",
		)
	}
	require.Empty(t, faultsOf(t, "TestA/x, c, issue 1", r("--- FAIL: TestA")))
	require.Equal(
		t,
		[]string{"TestA failed in m/a"},
		faultsOf(t, "TestA/x, c, issue 1", r("    a_test.go:5: own")),
		"it failed of itself too",
	)
	require.Equal(
		t,
		[]string{"TestA/x failed in m/a"},
		faultsOf(t, "TestA, c, issue 1", r("")),
		"a test's name is not its subtests'",
	)
	two := told(
		"m/a TestA/x/1 fail",
		"m/a TestA/x fail",
		"m/a TestA/z fail",
		"m/a TestA fail",
		"m/a - output FAIL",
		"m/a - fail",
	)
	require.ElementsMatch(t, []string{
		"TestA/z failed in m/a", "TestA failed in m/a",
	}, faultsOf(t, "TestA/x/1, c, issue 1", two))
}

func TestBrokenRuns(t *testing.T) {
	list := "TestA, c, issue 1"
	for what, r := range map[string]*run{
		"panic":     told("m/a TestA fail", "m/a - fail"),
		"exit":      told("m/a TestA fail", "m/a TestB run", "m/a - output FAIL", "m/a - fail"),
		"cut short": told("m/a TestA fail", "m/a - start"),
		"build": told(
			"m/a TestA fail",
			"m/a - output FAIL",
			"m/a - fail",
			"m/b - output FAIL m/b [build failed]",
			"m/b - fail",
		),
		"outside": told(
			"m/a TestA fail",
			"m/a - output FAIL",
			"m/a - fail",
			"m/b TestB pass",
			"m/b - output FAIL",
			"m/b - fail",
		),
		"raced": told(
			"m/a TestA fail",
			"m/a - output testing: race detected outside of test execution",
			"m/a - output FAIL",
			"m/a - fail",
		),
		"nothing told": newRun(),
	} {
		require.NotEmpty(t, faultsOf(t, list, r, told("m/a TestA fail", "m/a - output FAIL", "m/a - fail")), what)
	}
	r := told("m/a TestB pass", "m/a - pass")
	require.Empty(t, faultsOf(t, "", r))
	r.broken = true
	require.NotEmpty(t, faultsOf(t, "", r))
}

// TestRealRuns: what go test writes today is read rightly.
func TestRealRuns(t *testing.T) {
	const broke, open = "a did not build, panicked, exited or ran out of time", "TestA came to no end in a"
	for what, c := range map[string]struct {
		body   string
		faults []string
	}{
		"listed": {`func TestA(t *testing.T) { t.Run("x", func(t *testing.T) { t.Error("red") }) }`, nil},
		"own": {
			`func TestA(t *testing.T) { t.Run("x", func(t *testing.T) { t.Error("red") }); t.Error("own") }`,
			[]string{"TestA failed in a"},
		},
		"passes": {
			`func TestA(t *testing.T) { t.Run("x", func(t *testing.T) {}) }`,
			[]string{"TestA/x is known red, but passes now"},
		},
		"panics": {`func TestA(t *testing.T) { t.Run("x", func(t *testing.T) { panic("red") }) }`, []string{broke}},
		"exits": {
			`func TestA(t *testing.T) { t.Run("x", func(t *testing.T) { t.Error("red") }); os.Exit(1) }`,
			[]string{open, broke},
		},
		"late": {
			`func TestA(t *testing.T) { t.Run("x", func(t *testing.T) { t.Error("red") }); select {} }`,
			[]string{open, broke},
		},
		"compile": {
			`func TestA(t *testing.T) { x }`,
			[]string{broke, "a run had no test", "TestA/x is known red, but was never run"},
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			src := "package a\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nvar _ = os.Exit\n\n" + c.body + "\n"
			require.NoError(t, os.WriteFile(filepath.Join(dir, "go.mod"), []byte("module a\n\ngo 1.26.0\n"), 0o600))
			require.NoError(t, os.WriteFile(filepath.Join(dir, "a_test.go"), []byte(src), 0o600))
			r := start([]string{
				"env", "GOWORK=off", "go", "test", "-C", dir, "-json", "-count=1", "-timeout=1s", "./...",
			}, io.Discard)
			require.Equal(t, c.faults, faultsOf(t, "TestA/x, c, issue 1", r))
		})
	}
}
