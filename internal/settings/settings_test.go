// Tests of the precedence of settings and of the errors for invalid fields.

package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
)

type sample struct {
	Settings string   `arg:"--settings" json:"-"`
	Addr     string   `arg:"--addr" json:"addr"`
	Seeds    []string `arg:"--seeds" json:"seeds"`
	BeatMs   int      `arg:"--beat-ms" default:"200" json:"beatMs"`
}

func (s *sample) File() string { return s.Settings }
func (s *sample) Check() error {
	return FirstError(CheckAddr("addr", s.Addr), CheckSeeds("seeds", s.Seeds))
}

// TestSettings checks that flags take precedence over the file and the file over the defaults, and that an
// error names the invalid field.
func TestSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	put := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o644)) }
	put(`{"addr":"10.0.0.1:7","seeds":["10.0.0.1:7","10.0.0.2:7","10.0.0.3:7"],"beatMs":150}`)
	s := &sample{}
	require.NoError(t, Parse(s, "x", "", []string{"--settings", path, "--addr", "10.0.0.9:7"}))
	require.Equal(t, "10.0.0.9:7", s.Addr, "a flag takes precedence over the file")
	require.Equal(t, 150, s.BeatMs, "the file takes precedence over the default")
	for text, field := range map[string]string{
		`{"addr":"host:7","seeds":["10.0.0.1:7","10.0.0.2:7","10.0.0.3:7"]}`: "addr",
		`{"addr":"10.0.0.1:7","seeds":["10.0.0.1:7"]}`:                       "seeds",
		`{"addr":"10.0.0.1:7","seeds":["10.0.0.1:7","x","10.0.0.3:7"]}`:      "seeds[1]",
		`{"colour":1}`:   "colour",
		`{"beatMs":"x"}`: "beatMs",
		`{`:              "settings",
	} {
		put(text)
		err := Parse(&sample{}, "x", "", []string{"--settings", path})
		require.ErrorContains(t, err, field)
		require.True(t, failure.Is(err, failure.InvalidArgument), text)
	}
	require.Error(t, Parse(&sample{}, "x", "", []string{"--colour"}))
	require.Error(t, Parse(&sample{}, "x", "", []string{"--settings", path + "gone"}))
}
