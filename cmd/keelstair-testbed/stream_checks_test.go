package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/platform/workerstandin"
)

// TestRunsOfOtherWeightsAreSeen guards against a check that passes over a stream which goes on with other weights.
func TestRunsOfOtherWeightsAreSeen(t *testing.T) {
	run := func(weights, after int) workerstandin.Run {
		return workerstandin.Run{AttemptID: "r", Weights: weights, LastEventID: after}
	}
	require.Empty(t, mixedWeights(0, []workerstandin.Run{run(1, 0), run(2, 0), run(2, 5), run(2, 7)}))
	require.Empty(t, mixedWeights(3, []workerstandin.Run{run(2, 3)}))
	require.NotEmpty(t, mixedWeights(0, []workerstandin.Run{run(1, 0), run(2, 5)}))
	require.NotEmpty(t, mixedWeights(3, []workerstandin.Run{run(1, 3), run(1, 5), run(2, 7)}))
}
