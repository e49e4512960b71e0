package proxy

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEventsEndAtEmptyLines guards against events that are joined, split or held back because of their line ends.
func TestEventsEndAtEmptyLines(t *testing.T) {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "id: 3\rdata: c\r\r", ": comment\n\r\n", "id: 4\ndata: d\n\n"}
	rest := []byte(strings.Join(events, "") + "id: 5\ndata")
	for _, want := range events {
		event := firstEvent(rest, false)
		require.Equal(t, want, string(event))
		rest = rest[len(event):]
	}
	require.Nil(t, firstEvent(rest, false))
	require.Equal(t, "3", eventID([]byte(events[2])))
	require.False(t, hasField([]byte(events[3])))
	require.Equal(t, "\nab\n\n", string(firstEvent([]byte("\nab\n\nc"), true)), "the end of a line that has begun")
}
