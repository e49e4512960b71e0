// Texts that are kept packed.

package fleetstate

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPacked: a large text is kept short and comes back byte for byte; a short one and one
// that does not pack stay as they are; what only looks packed is given back untouched.
func TestPacked(t *testing.T) {
	large := []byte(`{"routes":[` + strings.Repeat(`{"name":"r","host":"a.example"},`, 500) + `{}]}`)
	require.Less(t, len(compress(large)), len(large)/10)
	require.Equal(t, large, decompress(compress(large)))
	require.Equal(t, compress(large), compress(compress(large)))
	short := []byte(`{"limits":{}}`)
	require.Equal(t, short, compress(short))
	require.Equal(t, short, decompress(short))
	truncated := compress(large)[:40]
	require.True(t, bytes.Equal(truncated, decompress(truncated)))
}

// TestPackedRules: what a packed text says is in force like any other.
func TestPackedRules(t *testing.T) {
	text := []byte(`{"limits":{"deeds":1234},"zones":["` + strings.Repeat("z", compressFrom) + `"]}`)
	require.True(t, isCompressed(compress(text)))
	s := newState(false, Retention{})
	s.activate(VersionedText{Version: 3, Text: compress(text)})
	require.Equal(t, 1234, s.maxRecords)
	m := NewMachine(MachineOptions{})
	m.active = VersionedText{Version: 3, Text: compress(text)}
	require.Len(t, m.Keys(), 2)
	v := NewView(nil)
	v.state.active = VersionedText{Version: 3, Text: compress(text)}
	v.publish()
	require.Len(t, v.Current().Configuration.Zones, 1)
	require.Equal(t, text, v.Current().Text)
}
