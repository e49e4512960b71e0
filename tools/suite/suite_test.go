// The verdict over outputs of go test -json, as they were seen, cut short; and over real
// runs of packages made for it.

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

// runFromEvents makes a run of lines "package test action output", "-" for none.
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

func failuresOf(t *testing.T, list string, runs ...*run) []string {
	k, faults := parseKnown(list)
	require.Empty(t, faults)
	return evaluate(k, runs).failures
}

// entry writes an entry of the list.
func entry(name string) string {
	return "test: " + name + "\ncommand: go test -run " + name + " ./a\nseen: a failure\nissue: 1\n\n"
}

// entries writes a list of entries.
func entries(names ...string) string {
	var b strings.Builder
	for _, name := range names {
		b.WriteString(entry(name))
	}
	return b.String()
}

func TestKnownList(t *testing.T) {
	list, faults := parseKnown("# why\n\ntest: TestA\ncommand: KEELSTAIR_SEEDS=3 go test ./a\n" +
		"# within\nseen: one: two runs\nissue: 3\n\n\n" +
		" issue:4 \nseen:  two\ntest: router.TestB/x/1\ncommand: go test ./router")
	require.Empty(t, faults)
	require.Equal(t, []knownFailure{
		{"TestA", "KEELSTAIR_SEEDS=3 go test ./a", "one: two runs", "3"},
		{"router.TestB/x/1", "go test ./router", "two", "4"},
	}, list)
	require.Equal(t, "TestA: one: two runs (KEELSTAIR_SEEDS=3 go test ./a; issue 3)", list[0].String())
	list, faults = parseKnown(entries("TestA", "TestB", "TestC", "TestD", "TestE"))
	require.Empty(t, faults)
	require.Len(t, list, 5)
}

// TestKnownListRejectsInvalidEntries: an entry without one of its fields, with another one,
// with one twice or empty, and a test named twice are one fault each.
func TestKnownListRejectsInvalidEntries(t *testing.T) {
	whole := strings.TrimSpace(entry("TestA"))
	lines := strings.Split(whole, "\n")
	for i, line := range lines {
		field, _, _ := strings.Cut(line, ":")
		rest := slices.Delete(slices.Clone(lines), i, i+1)
		_, faults := parseKnown(strings.Join(rest, "\n"))
		require.Equal(t, []string{"the entry on line 1 has no " + field + ":"}, faults)
		_, faults = parseKnown(whole + "\n" + line)
		require.Equal(t, []string{"line 5: the entry has " + field + ": twice"}, faults)
		_, faults = parseKnown(strings.Replace(whole, line, field+":", 1))
		require.Equal(t, []string{fmt.Sprintf("line %d: %s: can't be \"\"", i+1, field)}, faults)
	}
	for bad, fault := range map[string]string{
		whole + "\n" + "cause: load":                      "line 5 is none of test:, command:, seen:, issue:: cause: load",
		whole + "\n" + "TestB, cause, issue 1":            "line 5 is none of test:, command:, seen:, issue:: TestB, cause, issue 1",
		strings.Replace(whole, "TestA\n", "A\n", 1):       `line 1: test: can't be "A"`,
		strings.Replace(whole, "TestA\n", "TestA b\n", 1): `line 1: test: can't be "TestA b"`,
		strings.Replace(whole, "issue: 1", "issue: x", 1): `line 4: issue: can't be "x"`,
		whole + "\n\n" + whole:                            "the entry on line 6 names TestA again",
	} {
		_, faults := parseKnown(bad)
		require.Equal(t, []string{fault}, faults, bad)
	}
}

// TestInvalidListStopsBeforeRuns: a list that cannot be taken as it is ends the command
// with its faults, and no test is run.
func TestInvalidListStopsBeforeRuns(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	require.NoError(t, os.WriteFile(path, []byte("TestA, cause, issue 1\n"), 0o600))
	out, err := exec.Command("go", "run", ".", path, "--", "echo", "a run began").CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(out), "the entry on line 1 has no test:\n")
	require.NotContains(t, string(out), "a run began")
}

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
	require.Equal(t, []string{"TestA failed in m/a"}, failuresOf(t, "", r()))
	k, _ := parseKnown(entries("TestA"))
	v := evaluate(k, []*run{r()})
	require.Equal(t, &verdict{passed: 2, skipped: 1, knownRed: []string{"TestA: a failure (go test -run TestA ./a; issue 1)"}}, v)
	require.Empty(t, failuresOf(t, entries("a.TestA"), r()))
	require.Len(t, failuresOf(t, entries("b.TestA"), r()), 2)
	require.Equal(
		t,
		[]string{"TestB is known red, but passes now"},
		failuresOf(t, entries("TestA", "TestB"), r()),
	)
	require.Equal(
		t,
		[]string{"TestC is known red, but was never run"},
		failuresOf(t, entries("TestA", "TestC"), r()),
	)
	require.Equal(
		t,
		[]string{"TestX is known red, but was never run"},
		failuresOf(t, entries("TestA", "TestX"), r()),
	)
	again := runFromEvents("m/a TestA pass", "m/a - pass")
	require.Empty(t, failuresOf(t, entries("TestA"), r(), again), "red in one of two runs")
	twin := runFromEvents("m/b TestA pass", "m/b - pass")
	require.Len(t, failuresOf(t, entries("TestA"), r(), twin), 1, "which of the two is meant")
}

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
		[]string{"TestA failed in m/a"},
		failuresOf(t, entries("TestA/x"), r("    a_test.go:5: own")),
		"it failed of itself too",
	)
	require.Equal(
		t,
		[]string{"TestA/x failed in m/a"},
		failuresOf(t, entries("TestA"), r("")),
		"a test's name is not its subtests'",
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
		"TestA/z failed in m/a", "TestA failed in m/a",
	}, failuresOf(t, entries("TestA/x/1"), two))
}

func TestBrokenRuns(t *testing.T) {
	list := entries("TestA")
	for what, r := range map[string]*run{
		"panic":     runFromEvents("m/a TestA fail", "m/a - fail"),
		"exit":      runFromEvents("m/a TestA fail", "m/a TestB run", "m/a - output FAIL", "m/a - fail"),
		"cut short": runFromEvents("m/a TestA fail", "m/a - start"),
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
		"raced": runFromEvents(
			"m/a TestA fail",
			"m/a - output testing: race detected outside of test execution",
			"m/a - output FAIL",
			"m/a - fail",
		),
		"nothing told": newRun(),
	} {
		require.NotEmpty(t, failuresOf(t, list, r, runFromEvents("m/a TestA fail", "m/a - output FAIL", "m/a - fail")), what)
	}
	r := runFromEvents("m/a TestB pass", "m/a - pass")
	require.Empty(t, failuresOf(t, "", r))
	r.commandFailed = true
	require.NotEmpty(t, failuresOf(t, "", r))
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
			r := runCommand([]string{
				"env", "GOWORK=off", "go", "test", "-C", dir, "-json", "-count=1", "-timeout=1s", "./...",
			}, io.Discard)
			require.Equal(t, c.faults, failuresOf(t, entries("TestA/x"), r))
		})
	}
}
