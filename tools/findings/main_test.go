package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// staticcheckOutput is what staticcheck 2026.1 (v0.8) writes with -f json, cut short.
const staticcheckOutput = `{"code":"U1000","severity":"error","location":{"file":"/x/a/a.go","line":17,"column":2},"end":{"file":"/x/a/a.go","line":17,"column":5},"message":"field bye is unused"}
{"code":"SA4006","severity":"error","location":{"file":"/x/b/b.go","line":3,"column":4},"end":{"file":"","line":0,"column":0},"message":"this value of a is never used"}
`

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

// TestInvalidOutput: output that is cut short or is no finding is an error, never "clean".
func TestInvalidOutput(t *testing.T) {
	for _, bad := range []string{staticcheckOutput[:60], "-: cannot find package", "{}"} {
		_, err := readFindings(strings.NewReader(bad), "/x")
		require.Error(t, err, bad)
	}
	reported, err := readFindings(strings.NewReader(""), "/x")
	require.NoError(t, err)
	require.Empty(t, reported)
}

// TestRun: a checker that could not do its work is never taken for one that found nothing.
func TestRun(t *testing.T) {
	one := `{"code":"U1000","location":{"file":"a.go","line":1,"column":1},"message":"m"}`
	for script, found := range map[string]int{"exit 0": 0, "echo '" + one + "'; exit 1": 1} {
		reported, err := runChecker([]string{"sh", "-c", script})
		require.NoError(t, err, script)
		require.Len(t, reported, found, script)
	}
	for _, script := range []string{
		"exit 1", "exit 2", "echo '" + one + "'; exit 2", "echo '" + one + "'; kill -9 $$", "echo matched no packages",
	} {
		_, err := runChecker([]string{"sh", "-c", script})
		require.Error(t, err, script)
	}
	_, err := runChecker([]string{"no-such-program"})
	require.Error(t, err)
}
