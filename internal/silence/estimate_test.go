package silence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSuspicionTimeout checks that the timeout is the ceiling with too few samples, MinTimeout if all silences
// are equal and short, well above the longest silence if they vary, and the ceiling again if they vary widely.
func TestSuspicionTimeout(t *testing.T) {
	const ceiling = 500 * time.Millisecond
	var e Estimate
	for range MinSamples - 1 {
		e.Observe(20 * time.Millisecond)
		require.Equal(t, ceiling, e.SuspicionTimeout(ceiling))
	}
	for range 50 {
		e.Observe(20 * time.Millisecond)
	}
	require.Equal(t, MinTimeout, e.SuspicionTimeout(ceiling))
	for i := range 100 {
		e.Observe(time.Duration(10+40*(i%2)) * time.Millisecond)
	}
	require.InDelta(t, 190, float64(e.SuspicionTimeout(ceiling)/time.Millisecond), 15)
	for i := range 100 {
		e.Observe(time.Duration(400*(i%2)) * time.Millisecond)
	}
	require.Equal(t, ceiling, e.SuspicionTimeout(ceiling))
}
