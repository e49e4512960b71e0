package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

const window = 10 * time.Second

func at(d time.Duration) ids.Tick { return ids.Tick(time.Hour + d) }

// TestSpend checks that a window has no more retries than the ratio of its requests and the allowance permit, and
// that the allowance is available again once the window has passed.
func TestSpend(t *testing.T) {
	b := New(window)
	for range 50 {
		b.CountRequest(at(0))
	}
	retries := 0
	for b.Spend(at(time.Second), 0.2, 3) {
		retries++
	}
	require.Equal(t, 13, retries)
	require.False(t, b.Spend(at(window-time.Millisecond), 0.2, 3))
	require.True(t, b.Spend(at(2*window), 0.2, 3))
}

// TestRecordNodeCount checks that nodes that are no longer visible still count after NodeCountTTL, but not after
// three times NodeCountTTL.
func TestRecordNodeCount(t *testing.T) {
	b := New(window)
	require.Equal(t, 9, b.RecordNodeCount(at(0), 9))
	require.Equal(t, 9, b.RecordNodeCount(at(time.Second), 4))
	require.Equal(t, 9, b.RecordNodeCount(at(NodeCountTTL), 4))
	require.Equal(t, 9, b.RecordNodeCount(at(NodeCountTTL+2*time.Second), 4))
	require.Equal(t, 4, b.RecordNodeCount(at(3*NodeCountTTL), 4))
}
