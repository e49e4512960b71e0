package metering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

// testClock simulates the clocks of a machine. Tests can step the wall clock; the monotonic clock only advances.
type testClock struct {
	now  ids.Tick
	wall time.Time
}

func (c *testClock) Now() ids.Tick   { return c.now }
func (c *testClock) Wall() time.Time { return c.wall }

func (c *testClock) advance(d time.Duration) {
	c.now = c.now.Add(d)
	c.wall = c.wall.Add(d)
}

var start = time.Unix(1_700_000_000, 0)

// TestWallClockStepDoesNotMoveWindows checks that a step of the wall clock under a running process changes
// neither the estimated time nor the window.
func TestWallClockStepDoesNotMoveWindows(t *testing.T) {
	hostClock := &testClock{now: 5, wall: start}
	clock := NewClock(hostClock)
	hostClock.advance(3 * time.Second)
	hostClock.wall = hostClock.wall.Add(-time.Hour)
	require.Equal(t, start.Add(3*time.Second).UnixNano(), clock.Now())
	windows := Windows(5 * time.Second)
	number := windows.At(clock.Now())
	require.EqualValues(t, 1_700_000_003/5, number)
	require.EqualValues(t, (number+1)*5*uint64(time.Second), windows.End(number))
}

// TestClockCorrectedToMedian checks that the clock of a node that started with a wrong wall clock is corrected to
// the median of all nodes' clocks, and that nodes that have not reported for offsetMaxAge no longer count.
func TestClockCorrectedToMedian(t *testing.T) {
	hostClock := &testClock{wall: start.Add(time.Hour)}
	clock := NewClock(hostClock) // the collector's clock, which is one hour ahead
	c := NewCollector(clock)
	trueTime := start.UnixNano()
	c.Record(&NodeReport{Node: "self", OwnTime: clock.OwnTime()})
	c.Record(&NodeReport{Node: "a", OwnTime: trueTime})
	got := c.Record(&NodeReport{Node: "b", OwnTime: trueTime + int64(time.Millisecond)})
	require.Equal(t, trueTime+int64(time.Millisecond), got)
	clock.Correct(time.Duration(got - clock.OwnTime()))
	require.Equal(t, got, clock.Now())
	hostClock.advance(offsetMaxAge + time.Second)
	require.Equal(t, clock.OwnTime(), c.Record(&NodeReport{Node: "self", OwnTime: clock.OwnTime()}), "the reports of the other nodes are too old")
}

// TestLedger checks that a changed count is unacknowledged until its current value has been acknowledged, that
// all counts are unacknowledged after a reset, and that old counts are pruned.
func TestLedger(t *testing.T) {
	l := NewLedger()
	l.Add(7, "b")
	l.Add(7, "a")
	l.Add(6, "b")
	rows := l.Unacknowledged()
	require.Equal(t, []Row{{6, "b", 1}, {7, "a", 1}, {7, "b", 1}}, rows)
	l.Add(7, "a") // while the rows are in flight
	l.Acknowledge(rows)
	require.Equal(t, []Row{{7, "a", 2}}, l.Unacknowledged())
	l.ResetAcknowledgements()
	require.Len(t, l.Unacknowledged(), 3)
	l.Acknowledge(l.Unacknowledged())
	require.Len(t, l.All(), 3)
	l.ResetAcknowledgements()
	l.Prune(7 + KeptWindows)
	require.Equal(t, []Row{{7, "a", 2}, {7, "b", 1}}, l.Unacknowledged())
}

// TestRepeatedCountsAddedOnce checks that counts that arrive repeatedly or out of order are added once, and that
// the counts of a restarted node are added to those of its previous process.
func TestRepeatedCountsAddedOnce(t *testing.T) {
	clock := NewClock(&testClock{wall: start})
	c := NewCollector(clock)
	require.Zero(t, c.FirstWindow())
	report := func(node ids.NodeID, upTo int64, rows ...Row) {
		c.Record(&NodeReport{Node: node, StartWindow: 6, OwnTime: clock.OwnTime(), EstimatedTime: upTo, Rows: rows})
	}
	report("a/1", 10, Row{7, "x", 2})
	report("a/1", 12, Row{7, "x", 3}, Row{8, "x", 1})
	report("a/1", 10, Row{7, "x", 2})
	report("a/2", 15, Row{7, "x", 4}, Row{7, "y", 1})
	require.Equal(t, map[string]int{"x": 7, "y": 1}, c.Sum(7))
	require.Empty(t, c.Sum(9))
	require.EqualValues(t, 6, c.FirstWindow())
	require.True(t, c.HasRecentMajority([]ids.NodeID{"a/1", "a/2", "b"}))
	require.False(t, c.HasRecentMajority([]ids.NodeID{"a/1", "b"}), "one of two nodes is not a majority")
	require.True(t, c.Complete(12, []ids.NodeID{"a/1", "a/2"}))
	require.False(t, c.Complete(13, []ids.NodeID{"a/1", "a/2"}))
	require.False(t, c.Complete(12, []ids.NodeID{"a/1", "b"}))
	c.Prune(8 + KeptWindows)
	require.Empty(t, c.Sum(7))
	require.Equal(t, map[string]int{"x": 1}, c.Sum(8))
}
