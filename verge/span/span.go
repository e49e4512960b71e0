// Package span writes hand-overs as traces in the OpenTelemetry JSON form, one
// line each: a span for the whole hand-over and one for each of its steps. It
// is a view folded from the node's journal, and off unless a writer is given.
package span

import (
	"crypto/sha256"
	"io"
	"sync"

	"go.opentelemetry.io/collector/pdata/pcommon"
	"go.opentelemetry.io/collector/pdata/ptrace"

	"keelstair.example/passage"
	"keelstair.example/rein"
	"keelstair.example/seam"
)

const most = 4096

// Writer gathers steps until a hand-over ends, then writes its line.
type Writer struct {
	mu    sync.Mutex
	node  string
	out   io.Writer
	clock seam.Clock
	open  map[rein.Id][]passage.Event
}

func New(out io.Writer, node string, clock seam.Clock) *Writer {
	return &Writer{out: out, node: node, clock: clock, open: map[rein.Id][]passage.Event{}}
}

// Tell takes one event of the journal.
func (w *Writer) Tell(e passage.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := append(w.open[e.Id], e)
	if e.Stage != passage.Ended && e.Stage != passage.Dropped {
		if len(w.open) < most {
			w.open[e.Id] = rows
		}
		return
	}
	delete(w.open, e.Id)
	if line, err := (&ptrace.JSONMarshaler{}).MarshalTraces(w.trace(e.Id, rows)); err == nil {
		w.out.Write(append(line, '\n'))
	}
}

func (w *Writer) trace(id rein.Id, rows []passage.Event) ptrace.Traces {
	t := ptrace.NewTraces()
	res := t.ResourceSpans().AppendEmpty()
	res.Resource().Attributes().PutStr("service.name", "keelstair")
	res.Resource().Attributes().PutStr("service.instance.id", w.node)
	scope := res.ScopeSpans().AppendEmpty()
	scope.Scope().SetName("keelstair.example/passage")
	// Ticks become wall time by what the clocks show now.
	now, wall := w.clock.Now(), w.clock.Wall()
	at := func(e passage.Event) pcommon.Timestamp {
		return pcommon.NewTimestampFromTime(wall.Add(-now.Since(e.At)))
	}
	sum := sha256.Sum256([]byte(id.Request))
	put := func(name string, n int, from, to passage.Event) ptrace.Span {
		s := scope.Spans().AppendEmpty()
		s.SetTraceID(pcommon.TraceID(sum[:16]))
		s.SetSpanID(pcommon.SpanID{byte(id.Attempt), byte(n + 1), sum[16], sum[17], sum[18], sum[19], sum[20], sum[21]})
		s.SetName(name)
		s.SetStartTimestamp(at(from))
		s.SetEndTimestamp(at(to))
		return s
	}
	last := rows[len(rows)-1]
	whole := put("hand-over", 0, rows[0], last)
	whole.Attributes().PutStr("request", id.Request)
	whole.Attributes().PutInt("attempt", int64(id.Attempt))
	if last.Stage == passage.Dropped {
		whole.Status().SetCode(ptrace.StatusCodeError)
		whole.Status().SetMessage(last.Why)
	}
	for i := 1; i < len(rows); i++ {
		s := put(string(rows[i].Stage), i, rows[i-1], rows[i])
		s.SetParentSpanID(whole.SpanID())
		s.Attributes().PutStr("worker", string(rows[i].Worker))
	}
	return t
}
