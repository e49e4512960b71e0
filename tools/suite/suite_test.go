// Tests of the verdict with shortened real output of go test -json, and with real runs of generated packages.

package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// runFromEvents returns a run with the given events. A line has the form "package test action output", with "-"
// for no test.
func runFromEvents(lines ...string) *run {
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
		r.processLine([]byte(e+"}"), io.Discard)
		r.commandFailed = r.commandFailed || f[2] == "fail"
	}
	return r
}

// failuresOf returns the failures of the verdict over the runs, given the text of a list of known failures.
func failuresOf(t *testing.T, list string, runs ...*run) []string {
	k, problems := parseKnown(list)
	require.Empty(t, problems)
	return evaluate(k, runs).failures
}

// entry returns the text of a known-failure entry for the named test.
func entry(name string) string {
	return "test: " + name + "\ncommand: go test -run " + name + " ./a\nseen: a failure\nissue: 1\n\n"
}

// entries returns the text of a known-failure list with an entry for each named test.
func entries(names ...string) string {
	var b strings.Builder
	for _, name := range names {
		b.WriteString(entry(name))
	}
	return b.String()
}

// TestKnownList checks that comments, blank lines and any order of fields are accepted.
func TestKnownList(t *testing.T) {
	list, problems := parseKnown("# why\n\ntest: TestA\ncommand: KEELSTAIR_SEEDS=3 go test ./a\n" +
		"# within\nseen: one: two runs\nissue: 3\n\n\n" +
		" issue:4 \nseen:  two\ntest: router.TestB/x/1\ncommand: go test ./router")
	require.Empty(t, problems)
	require.Equal(t, []knownFailure{
		{"TestA", "KEELSTAIR_SEEDS=3 go test ./a", "one: two runs", "3"},
		{"router.TestB/x/1", "go test ./router", "two", "4"},
	}, list)
	require.Equal(t, "TestA: one: two runs (KEELSTAIR_SEEDS=3 go test ./a; issue 3)", list[0].String())
	list, problems = parseKnown(entries("TestA", "TestB", "TestC", "TestD", "TestE"))
	require.Empty(t, problems)
	require.Len(t, list, 5)
}

// TestKnownListRejectsInvalidEntries checks that a missing, unknown, duplicate or empty field and a test that
// is listed twice are one problem each.
func TestKnownListRejectsInvalidEntries(t *testing.T) {
	complete := strings.TrimSpace(entry("TestA"))
	lines := strings.Split(complete, "\n")
	for i, line := range lines {
		field, _, _ := strings.Cut(line, ":")
		remaining := slices.Delete(slices.Clone(lines), i, i+1)
		_, problems := parseKnown(strings.Join(remaining, "\n"))
		require.Equal(t, []string{"the entry on line 1 has no " + field + " field"}, problems)
		_, problems = parseKnown(complete + "\n" + line)
		require.Equal(t, []string{"line 5: duplicate " + field + " field"}, problems)
		_, problems = parseKnown(strings.Replace(complete, line, field+":", 1))
		require.Equal(t, []string{fmt.Sprintf("line %d: invalid value of field %s: \"\"", i+1, field)}, problems)
	}
	for bad, problem := range map[string]string{
		complete + "\n" + "cause: load":                      "line 5 is not a test, command, seen or issue field: cause: load",
		complete + "\n" + "TestB, cause, issue 1":            "line 5 is not a test, command, seen or issue field: TestB, cause, issue 1",
		strings.Replace(complete, "TestA\n", "A\n", 1):       `line 1: invalid value of field test: "A"`,
		strings.Replace(complete, "TestA\n", "TestA b\n", 1): `line 1: invalid value of field test: "TestA b"`,
		strings.Replace(complete, "issue: 1", "issue: x", 1): `line 4: invalid value of field issue: "x"`,
		complete + "\n\n" + complete:                         "the entry on line 6 repeats test TestA",
	} {
		_, problems := parseKnown(bad)
		require.Equal(t, []string{problem}, problems, bad)
	}
}

// TestInvalidListStopsBeforeRuns checks that an invalid list ends the command with its problems before any
// test is run.
func TestInvalidListStopsBeforeRuns(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	require.NoError(t, os.WriteFile(path, []byte("TestA, cause, issue 1\n"), 0o600))
	out, err := exec.Command("go", "run", ".", path, "--", "echo", "a run started").CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(out), "the entry on line 1 has no test field\n")
	require.NotContains(t, string(out), "a run started")
}

// TestListed checks that a listed test may fail, that it must fail in at least one run, and that its name must not
// match tests of several packages.
func TestListed(t *testing.T) {
	r := func() *run {
		return runFromEvents(
			"m/a TestA fail",
			"m/a TestB pass",
			"m/a TestC skip",
			"m/a - output FAIL",
			"m/a - fail",
			"m/b TestD pass",
			"m/b - pass",
		)
	}
	require.Equal(t, []string{"TestA in m/a failed"}, failuresOf(t, "", r()))
	k, _ := parseKnown(entries("TestA"))
	v := evaluate(k, []*run{r()})
	require.Equal(t, &verdict{passed: 2, skipped: 1, knownFailures: []string{"TestA: a failure (go test -run TestA ./a; issue 1)"}}, v)
	require.Empty(t, failuresOf(t, entries("a.TestA"), r()))
	require.Len(t, failuresOf(t, entries("b.TestA"), r()), 2)
	require.Equal(
		t,
		[]string{"TestB is on the list of known failures, but passed"},
		failuresOf(t, entries("TestA", "TestB"), r()),
	)
	require.Equal(
		t,
		[]string{"TestC is on the list of known failures, but neither passed nor failed in any run"},
		failuresOf(t, entries("TestA", "TestC"), r()),
	)
	require.Equal(
		t,
		[]string{"TestX is on the list of known failures, but neither passed nor failed in any run"},
		failuresOf(t, entries("TestA", "TestX"), r()),
	)
	secondRun := runFromEvents("m/a TestA pass", "m/a - pass")
	require.Empty(t, failuresOf(t, entries("TestA"), r(), secondRun), "it failed in one of two runs")
	sameName := runFromEvents("m/b TestA pass", "m/b - pass")
	require.Len(t, failuresOf(t, entries("TestA"), r(), sameName), 1, "the entry matches tests of two packages")
}

// TestSubtests checks that a test may fail because of listed subtests, but not by itself or because of other
// subtests.
func TestSubtests(t *testing.T) {
	r := func(own string) *run {
		return runFromEvents(
			"m/a TestA/x fail",
			"m/a TestA/y pass",
			"m/a TestA output "+own,
			"m/a TestA fail",
			"m/a - output FAIL",
			"m/a - fail",
		)
	}
	require.Empty(t, failuresOf(t, entries("TestA/x"), r("--- FAIL: TestA")))
	require.Equal(
		t,
		[]string{"TestA in m/a failed"},
		failuresOf(t, entries("TestA/x"), r("    a_test.go:5: own")),
		"it also failed by itself",
	)
	require.Equal(
		t,
		[]string{"TestA/x in m/a failed"},
		failuresOf(t, entries("TestA"), r("")),
		"an entry for a test does not cover its subtests",
	)
	two := runFromEvents(
		"m/a TestA/x/1 fail",
		"m/a TestA/x fail",
		"m/a TestA/z fail",
		"m/a TestA fail",
		"m/a - output FAIL",
		"m/a - fail",
	)
	require.ElementsMatch(t, []string{
		"TestA/z in m/a failed", "TestA in m/a failed",
	}, failuresOf(t, entries("TestA/x/1"), two))
}

// TestBrokenRuns checks that a run that did not finish, or failed outside its tests, is reported as failed although
// its failed test is listed.
func TestBrokenRuns(t *testing.T) {
	list := entries("TestA")
	for what, r := range map[string]*run{
		"panic":     runFromEvents("m/a TestA fail", "m/a - fail"),
		"exit":      runFromEvents("m/a TestA fail", "m/a TestB run", "m/a - output FAIL", "m/a - fail"),
		"truncated": runFromEvents("m/a TestA fail", "m/a - start"),
		"build": runFromEvents(
			"m/a TestA fail",
			"m/a - output FAIL",
			"m/a - fail",
			"m/b - output FAIL m/b [build failed]",
			"m/b - fail",
		),
		"outside": runFromEvents(
			"m/a TestA fail",
			"m/a - output FAIL",
			"m/a - fail",
			"m/b TestB pass",
			"m/b - output FAIL",
			"m/b - fail",
		),
		"race": runFromEvents(
			"m/a TestA fail",
			"m/a - output testing: race detected outside of test execution",
			"m/a - output FAIL",
			"m/a - fail",
		),
		"no events": newRun(),
	} {
		require.NotEmpty(t, failuresOf(t, list, r, runFromEvents("m/a TestA fail", "m/a - output FAIL", "m/a - fail")), what)
	}
	r := runFromEvents("m/a TestB pass", "m/a - pass")
	require.Empty(t, failuresOf(t, "", r))
	r.commandFailed = true
	require.NotEmpty(t, failuresOf(t, "", r))
}

// TestRealRuns checks the verdict over the actual output of go test for a generated package.
func TestRealRuns(t *testing.T) {
	const packageFailed, unfinished = "a failed to build, or panicked, called os.Exit or timed out", "TestA in a did not finish"
	for what, c := range map[string]struct {
		body     string
		failures []string
	}{
		"listed": {`func TestA(t *testing.T) { t.Run("x", func(t *testing.T) { t.Error("listed") }) }`, nil},
		"own": {
			`func TestA(t *testing.T) { t.Run("x", func(t *testing.T) { t.Error("listed") }); t.Error("own") }`,
			[]string{"TestA in a failed"},
		},
		"passes": {
			`func TestA(t *testing.T) { t.Run("x", func(t *testing.T) {}) }`,
			[]string{"TestA/x is on the list of known failures, but passed"},
		},
		"panics": {`func TestA(t *testing.T) { t.Run("x", func(t *testing.T) { panic("listed") }) }`, []string{packageFailed}},
		"exits": {
			`func TestA(t *testing.T) { t.Run("x", func(t *testing.T) { t.Error("listed") }); os.Exit(1) }`,
			[]string{unfinished, packageFailed},
		},
		"late": {
			`func TestA(t *testing.T) { t.Run("x", func(t *testing.T) { t.Error("listed") }); select {} }`,
			[]string{unfinished, packageFailed},
		},
		"compile": {
			`func TestA(t *testing.T) { x }`,
			[]string{packageFailed, "a run executed no test", "TestA/x is on the list of known failures, but neither passed nor failed in any run"},
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			src := "package a\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nvar _ = os.Exit\n\n" + c.body + "\n"
			require.NoError(t, os.WriteFile(filepath.Join(dir, "go.mod"), []byte("module a\n\ngo 1.26.0\n"), 0o600))
			require.NoError(t, os.WriteFile(filepath.Join(dir, "a_test.go"), []byte(src), 0o600))
			r := runCommand([]string{
				"env", "GOWORK=off", "go", "test", "-C", dir, "-json", "-count=1", "-timeout=1s", "./...",
			}, io.Discard)
			require.Equal(t, c.failures, failuresOf(t, entries("TestA/x"), r))
		})
	}
}
