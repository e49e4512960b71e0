// The command line's policy.

package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/platform"
)

// TestPrograms: the programs of the named policy are taken with their shares; without one
// there are none, and one that is missing, malformed or off in its shares is refused.
func TestPrograms(t *testing.T) {
	old := os.Args
	defer func() { os.Args = old }()
	at := filepath.Join(t.TempDir(), "policy.json")
	os.Args = []string{"keelstair-platform", "router"}
	got, err := programs()
	require.NoError(t, err)
	require.Empty(t, got)
	os.Args = append(os.Args, at)
	_, err = programs()
	require.ErrorContains(t, err, at)
	for text, ok := range map[string]bool{
		`{"programs":{"a":{"source":"x","share":60},"b":{"source":"y","share":40},"c":{"source":"z","shadow":true}}}`: true,
		`{"programs":{"a":{"source":"x","share":60}}}`:                                                                false,
		`{"programs":`: false,
	} {
		require.NoError(t, os.WriteFile(at, []byte(text), 0o600))
		got, err := programs()
		require.Equal(t, ok, err == nil, text)
		if ok {
			require.Len(t, got, 3)
		}
	}
	os.Args[2] = "../../deploy/two-programs.json"
	got, err = programs()
	require.NoError(t, err)
	require.Len(t, got, 3)
}

// TestHangUpDuringStart: a SIGHUP that comes before the process has started does not end it, and
// the settings are read once it has.
func TestHangUpDuringStart(t *testing.T) {
	at := filepath.Join(t.TempDir(), "local.conf")
	settings := "nodeName=a\nip=10.0.0.1\nzone=north\nzones.north=land\ninternalPorts=7300,7315\nseedNodes=10.0.0.1:1,10.0.0.2:1\n"
	require.NoError(t, os.WriteFile(at, []byte(settings), 0o600))
	t.Setenv(platform.SettingsVariable, at)
	_, err := platform.LoadSettings()
	require.NoError(t, err)
	hangUps := catchHangUps()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	seeds := make(chan []string, 1)
	watch(t.Context(), hangUps, func(s []string) { seeds <- s })
	require.Equal(t, []string{"10.0.0.1:1", "10.0.0.2:1"}, <-seeds)
}
