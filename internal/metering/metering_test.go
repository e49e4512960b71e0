package metering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

// testClock is a machine's clock: the wall clock may step, the steady one goes on.
type testClock struct {
	now  ids.Tick
	wall time.Time
}

func (c *testClock) Now() ids.Tick   { return c.now }
func (c *testClock) Wall() time.Time { return c.wall }

func (c *testClock) pass(d time.Duration) {
	c.now = c.now.Add(d)
	c.wall = c.wall.Add(d)
}

var start = time.Unix(1_700_000_000, 0)

// TestClockStepMovesNoWindow: a step of the wall clock under a running process changes nothing.
func TestClockStepMovesNoWindow(t *testing.T) {
	steady := &testClock{now: 5, wall: start}
	clock := NewClock(steady)
	steady.pass(3 * time.Second)
	steady.wall = steady.wall.Add(-time.Hour)
	require.Equal(t, start.Add(3*time.Second).UnixNano(), clock.Now())
	windows := Windows(5 * time.Second)
	number := windows.At(clock.Now())
	require.EqualValues(t, 1_700_000_003/5, number)
	require.EqualValues(t, (number+1)*5*uint64(time.Second), windows.End(number))
}

// TestClockOfMost: a node that started on a wrong wall clock is set by the middle of all clocks.
func TestClockOfMost(t *testing.T) {
	steady := &testClock{wall: start.Add(time.Hour)}
	clock := NewClock(steady) // of the collector, which is wrong
	c := NewCollector(clock)
	right := start.UnixNano()
	c.Take(&Told{Node: "self", Own: clock.Own()})
	c.Take(&Told{Node: "a", Own: right})
	got := c.Take(&Told{Node: "b", Own: right + int64(time.Millisecond)})
	require.Equal(t, right+int64(time.Millisecond), got)
	clock.Correct(time.Duration(got - clock.Own()))
	require.Equal(t, got, clock.Now())
	steady.pass(offsetMaxAge + time.Second)
	require.Equal(t, clock.Own(), c.Take(&Told{Node: "self", Own: clock.Own()}), "others were heard too long ago")
}

// TestLedger: a collector is told each change of a count once, and another collector all of them.
func TestLedger(t *testing.T) {
	l := NewLedger()
	l.Add(7, "b")
	l.Add(7, "a")
	l.Add(6, "b")
	rows := l.Unheard()
	require.Equal(t, []Row{{6, "b", 1}, {7, "a", 1}, {7, "b", 1}}, rows)
	l.Add(7, "a") // while the rows are on their way
	l.Hear(rows)
	require.Equal(t, []Row{{7, "a", 2}}, l.Unheard())
	l.NewCollector()
	require.Len(t, l.Unheard(), 3)
	l.Hear(l.Unheard())
	require.Len(t, l.All(), 3)
	l.NewCollector()
	l.Prune(7 + KeptWindows)
	require.Equal(t, []Row{{7, "a", 2}, {7, "b", 1}}, l.Unheard())
}

// TestCountsToldTwice: counts that are told again, or late and out of order, are added once; a
// node's next life adds to them.
func TestCountsToldTwice(t *testing.T) {
	clock := NewClock(&testClock{wall: start})
	c := NewCollector(clock)
	require.Zero(t, c.First())
	tell := func(node ids.NodeID, upTo int64, rows ...Row) {
		c.Take(&Told{Node: node, Since: 6, Own: clock.Own(), Now: upTo, Rows: rows})
	}
	tell("a/1", 10, Row{7, "x", 2})
	tell("a/1", 12, Row{7, "x", 3}, Row{8, "x", 1})
	tell("a/1", 10, Row{7, "x", 2})
	tell("a/2", 15, Row{7, "x", 4}, Row{7, "y", 1})
	require.Equal(t, map[string]int{"x": 7, "y": 1}, c.Sum(7))
	require.Empty(t, c.Sum(9))
	require.EqualValues(t, 6, c.First())
	require.True(t, c.HeardMost([]ids.NodeID{"a/1", "a/2", "b"}))
	require.False(t, c.HeardMost([]ids.NodeID{"a/1", "b"}), "half of them is not most")
	require.True(t, c.Complete(12, []ids.NodeID{"a/1", "a/2"}))
	require.False(t, c.Complete(13, []ids.NodeID{"a/1", "a/2"}))
	require.False(t, c.Complete(12, []ids.NodeID{"a/1", "b"}))
	c.Prune(8 + KeptWindows)
	require.Empty(t, c.Sum(7))
	require.Equal(t, map[string]int{"x": 1}, c.Sum(8))
}
