package silence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSuspicious: the suspicious silence lies far beyond those that were seen, at the floor for
// regular ones and at the ceiling for irregular ones or while few were seen.
func TestSuspicious(t *testing.T) {
	const ceiling = 500 * time.Millisecond
	var e Estimate
	for range MinSamples - 1 {
		e.Observe(20 * time.Millisecond)
		require.Equal(t, ceiling, e.Suspicious(ceiling))
	}
	for range 50 {
		e.Observe(20 * time.Millisecond)
	}
	require.Equal(t, Floor, e.Suspicious(ceiling))
	for i := range 100 {
		e.Observe(time.Duration(10+40*(i%2)) * time.Millisecond)
	}
	require.InDelta(t, 190, float64(e.Suspicious(ceiling)/time.Millisecond), 15)
	for i := range 100 {
		e.Observe(time.Duration(400*(i%2)) * time.Millisecond)
	}
	require.Equal(t, ceiling, e.Suspicious(ceiling))
}
