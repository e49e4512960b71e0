package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/fleetstate"
)

// TestHugeSlowStartRateDoesNotOverflow guards against a rate beyond the integers, which became a limit that differed
// between processor architectures, and kept cold workers from getting requests.
func TestHugeSlowStartRateDoesNotOverflow(t *testing.T) {
	node, err := New(Options{Name: "n", Zone: "a", Host: newSimulatedHost(), SlowStartOvershoot: 1e11})
	require.NoError(t, err)
	interval, ok := node.slowStartInterval("w", &fleetstate.Service{SlowStartRate: 1e12})
	require.True(t, ok)
	require.Less(t, interval, 50*time.Millisecond)
}
