package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

const window = 10 * time.Second

func at(d time.Duration) ids.Tick { return ids.Tick(time.Hour + d) }

// TestSpend: no span of the window has more repeats than the ratio of its requests and the
// allowance give, and what was spent comes back once the window has passed.
func TestSpend(t *testing.T) {
	b := New(window)
	for range 50 {
		b.CountRequest(at(0))
	}
	spent := 0
	for b.Spend(at(time.Second), 0.2, 3) {
		spent++
	}
	require.Equal(t, 13, spent)
	require.False(t, b.Spend(at(window-time.Millisecond), 0.2, 3))
	require.True(t, b.Spend(at(2*window), 0.2, 3))
}

// TestPeers: nodes that are seen no more are counted for the TTL, and forgotten after two of them.
func TestPeers(t *testing.T) {
	b := New(window)
	require.Equal(t, 9, b.Peers(at(0), 9))
	require.Equal(t, 9, b.Peers(at(time.Second), 4))
	require.Equal(t, 9, b.Peers(at(PeerCountTTL), 4))
	require.Equal(t, 9, b.Peers(at(PeerCountTTL+2*time.Second), 4))
	require.Equal(t, 4, b.Peers(at(3*PeerCountTTL), 4))
}
