package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// staticcheckOutput is shortened output of staticcheck 2026.1 (v0.8) with -f json.
const staticcheckOutput = `{"code":"U1000","severity":"error","location":{"file":"/x/a/a.go","line":17,"column":2},"end":{"file":"/x/a/a.go","line":17,"column":5},"message":"field bye is unused"}
{"code":"SA4006","severity":"error","location":{"file":"/x/b/b.go","line":3,"column":4},"end":{"file":"","line":0,"column":0},"message":"this value of a is never used"}
`

// TestCheck checks which unlisted and stale findings are reported.
func TestCheck(t *testing.T) {
	reported, err := readFindings(strings.NewReader(staticcheckOutput), "/x")
	require.NoError(t, err)
	require.Equal(t, []string{
		"a/a.go:17:2: field bye is unused (U1000)",
		"b/b.go:3:4: this value of a is never used (SA4006)",
	}, check(nil, reported))
	listed := []string{"a/a.go U1000 field bye is unused", "b/b.go SA4006 this value of a is never used"}
	require.Empty(t, check(listed, reported))
	require.Equal(t, []string{
		`"b/b.go SA4006 this value of a is never used" is listed, but no longer found: remove it from the list`,
	}, check(listed, reported[:1]))
}

// TestInvalidOutput checks that truncated output or output that is no finding is an error, and does not count
// as no findings.
func TestInvalidOutput(t *testing.T) {
	for _, invalid := range []string{staticcheckOutput[:60], "-: cannot find package", "{}"} {
		_, err := readFindings(strings.NewReader(invalid), "/x")
		require.Error(t, err, invalid)
	}
	reported, err := readFindings(strings.NewReader(""), "/x")
	require.NoError(t, err)
	require.Empty(t, reported)
}

// TestRun checks that a checker that could not check the code is an error, and does not count as no findings.
func TestRun(t *testing.T) {
	findingJSON := `{"code":"U1000","location":{"file":"a.go","line":1,"column":1},"message":"m"}`
	for script, count := range map[string]int{"exit 0": 0, "echo '" + findingJSON + "'; exit 1": 1} {
		reported, err := runChecker([]string{"sh", "-c", script})
		require.NoError(t, err, script)
		require.Len(t, reported, count, script)
	}
	for _, script := range []string{
		"exit 1", "exit 2", "echo '" + findingJSON + "'; exit 2", "echo '" + findingJSON + "'; kill -9 $$", "echo matched no packages",
	} {
		_, err := runChecker([]string{"sh", "-c", script})
		require.Error(t, err, script)
	}
	_, err := runChecker([]string{"no-such-program"})
	require.Error(t, err)
}
