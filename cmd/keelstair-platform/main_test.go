// Tests of the policy file on the command line and of SIGHUP.

package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/platform"
)

// TestLoadPrograms checks that the programs of the policy file are loaded with their shares, that
// there are none without a policy file, and that a file is rejected if it is missing, is malformed
// or has shares that do not add up to 100.
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

// TestSIGHUPDuringStartup checks that a SIGHUP during startup does not terminate the process, and that
// the settings are reloaded once startup is complete.
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
