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

// TestLoadPrograms: the programs of the named policy are taken with their shares; without one
// there are none, and one that is missing, malformed or off in its shares is refused.
func TestLoadPrograms(t *testing.T) {
	old := os.Args
	defer func() { os.Args = old }()
	path := filepath.Join(t.TempDir(), "policy.json")
	os.Args = []string{"keelstair-platform", "router"}
	got, err := loadPrograms()
	require.NoError(t, err)
	require.Empty(t, got)
	os.Args = append(os.Args, path)
	_, err = loadPrograms()
	require.ErrorContains(t, err, path)
	for text, ok := range map[string]bool{
		`{"programs":{"a":{"source":"x","share":60},"b":{"source":"y","share":40},"c":{"source":"z","shadow":true}}}`: true,
		`{"programs":{"a":{"source":"x","share":60}}}`:                                                                false,
		`{"programs":`: false,
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		got, err := loadPrograms()
		require.Equal(t, ok, err == nil, text)
		if ok {
			require.Len(t, got, 3)
		}
	}
	os.Args[2] = "../../deploy/two-programs.json"
	got, err = loadPrograms()
	require.NoError(t, err)
	require.Len(t, got, 3)
}

// TestSIGHUPDuringStartup: a SIGHUP that comes before the process has started does not end it, and
// the settings are read once it has.
func TestSIGHUPDuringStartup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.conf")
	settings := "nodeName=a\nip=10.0.0.1\nzone=north\nzones.north=land\ninternalPorts=7300,7315\nseedNodes=10.0.0.1:1,10.0.0.2:1\n"
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	t.Setenv(platform.SettingsVariable, path)
	_, err := platform.LoadSettings()
	require.NoError(t, err)
	hangups := notifySIGHUP()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	seeds := make(chan []string, 1)
	reloadSeedsOnSIGHUP(t.Context(), hangups, func(s []string) { seeds <- s })
	require.Equal(t, []string{"10.0.0.1:1", "10.0.0.2:1"}, <-seeds)
}
