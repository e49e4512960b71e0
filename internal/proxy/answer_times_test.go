package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExpectedLongestAnswer checks that the estimate is the longest duration of a full window, that it forgets
// older answers, and that it is higher with few answers.
func TestExpectedLongestAnswer(t *testing.T) {
	var a answerTimes
	require.Zero(t, a.expectedLongest())
	a.observe(time.Second)
	require.InDelta(t, 3, a.expectedLongest().Seconds(), 1e-6)
	for range 7 {
		a.observe(time.Second)
	}
	require.InDelta(t, 2, a.expectedLongest().Seconds(), 1e-6)
	a.observe(4 * time.Second)
	for range answerWindow - 1 {
		a.observe(time.Second)
	}
	require.Equal(t, 4*time.Second, a.expectedLongest())
	a.observe(time.Second)
	require.Equal(t, time.Second, a.expectedLongest())
}
