// These tests check the compression of configuration texts.

package fleetstate

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCompressText checks that a large text is compressed and restored byte for byte, that a short
// text stays as it is, and that a truncated compressed text is returned unchanged.
func TestCompressText(t *testing.T) {
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

// TestCompressedConfigurationIsApplied checks that a compressed configuration takes effect like an
// uncompressed one.
func TestCompressedConfigurationIsApplied(t *testing.T) {
	text := []byte(`{"limits":{"deeds":1234},"zones":["` + strings.Repeat("z", minCompressBytes) + `"]}`)
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
