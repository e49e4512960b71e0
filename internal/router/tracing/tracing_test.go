// Format of the written traces.

package tracing

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/workerclient"
)

// TestHandoffTrace checks that a handoff is written as one line when it ends, with one span per
// step under a common parent, and that a dropped one has the error status and its reason.
func TestHandoffTrace(t *testing.T) {
	var out bytes.Buffer
	clock := simulated.NewWorld(1).Machine("10.0.0.1").Start().Host().Clock
	w := New(&out, "n1", clock)
	id := workerclient.ID{Request: "r", Attempt: 2}
	for i, s := range []handoff.Step{
		handoff.Granted, handoff.Prefilled, handoff.Exported, handoff.Imported, handoff.Dropped,
	} {
		require.Zero(t, out.Len())
		w.Record(handoff.Event{
			ID:     id,
			Step:   s,
			Worker: "d1",
			At:     clock.Now().Add(time.Duration(i) * time.Millisecond),
			Reason: "lost",
		})
	}
	var got struct {
		ResourceSpans []struct {
			ScopeSpans []struct {
				Spans []struct {
					Name, TraceID, SpanID, ParentSpanID, StartTimeUnixNano, EndTimeUnixNano string
					Status                                                                  struct {
						Code    int
						Message string
					}
				}
			}
		}
	}
	require.NoError(t, json.Unmarshal(out.Bytes(), &got))
	spans := got.ResourceSpans[0].ScopeSpans[0].Spans
	require.Len(t, spans, 5)
	require.Equal(t, "hand-over", spans[0].Name)
	require.Equal(t, 2, spans[0].Status.Code)
	require.Equal(t, "lost", spans[0].Status.Message)
	for _, s := range spans[1:] {
		require.Equal(t, spans[0].SpanID, s.ParentSpanID)
		require.Equal(t, spans[0].TraceID, s.TraceID)
		require.Less(t, s.StartTimeUnixNano, s.EndTimeUnixNano)
	}
	require.Empty(t, w.pending)
}
