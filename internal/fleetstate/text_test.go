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
	require.Less(t, len(pack(large)), len(large)/10)
	require.Equal(t, large, unpack(pack(large)))
	require.Equal(t, pack(large), pack(pack(large)))
	short := []byte(`{"limits":{}}`)
	require.Equal(t, short, pack(short))
	require.Equal(t, short, unpack(short))
	cut := pack(large)[:40]
	require.True(t, bytes.Equal(cut, unpack(cut)))
}

// TestPackedRules: what a packed text says is in force like any other.
func TestPackedRules(t *testing.T) {
	text := []byte(`{"limits":{"deeds":1234},"zones":["` + strings.Repeat("z", packFrom) + `"]}`)
	require.True(t, isPacked(pack(text)))
	s := newState(false, Depth{})
	s.rule(Ruled{Version: 3, Text: pack(text)})
	require.Equal(t, 1234, s.most)
	m := NewMachine(MachineOptions{})
	m.active = Ruled{Version: 3, Text: pack(text)}
	require.Len(t, m.Keys(), 2)
	v := NewView(nil)
	v.state.active = Ruled{Version: 3, Text: pack(text)}
	v.show()
	require.Len(t, v.Sight().Policy.Zones, 1)
	require.Equal(t, text, v.Sight().Text)
}
