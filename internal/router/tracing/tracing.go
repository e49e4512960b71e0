// Package tracing writes hand-overs as traces in the OpenTelemetry JSON form, one
// line each: a span for the whole hand-over and one for each of its steps. It
// is a view folded from the node's journal, and off unless a writer is given.
package tracing

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"sync"

	common "go.opentelemetry.io/proto/otlp/common/v1"
	resource "go.opentelemetry.io/proto/otlp/resource/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/encoding/protojson"

	"keelstair.example/host"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/workerclient"
)

const maxOpenHandovers = 4096

// Writer gathers steps until a hand-over ends, then writes its line.
type Writer struct {
	mu      sync.Mutex
	node    string
	out     io.Writer
	clock   host.Clock
	pending map[workerclient.ID][]handoff.Event
}

// New returns a writer of traces for a node, by its name. Ticks become wall time by the clock.
func New(out io.Writer, node string, clock host.Clock) *Writer {
	return &Writer{out: out, node: node, clock: clock, pending: map[workerclient.ID][]handoff.Event{}}
}

// Record takes one event of the journal.
func (w *Writer) Record(e handoff.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := append(w.pending[e.ID], e)
	if e.Step != handoff.Ended && e.Step != handoff.Dropped {
		if len(w.pending) < maxOpenHandovers {
			w.pending[e.ID] = rows
		}
		return
	}
	delete(w.pending, e.ID)
	if line, err := marshalTraces(w.buildTrace(e.ID, rows)); err == nil {
		w.out.Write(append(line, '\n'))
	}
}

// marshalTraces gives the JSON form, in which enumerations are numbers and ids are hex, where the
// library writes any bytes as base64.
func marshalTraces(t *trace.TracesData) ([]byte, error) {
	line, err := protojson.MarshalOptions{UseEnumNumbers: true}.Marshal(t)
	if err != nil {
		return nil, err
	}
	var doc any
	if err := json.Unmarshal(line, &doc); err != nil {
		return nil, err
	}
	return json.Marshal(hexIDs(doc))
}

func hexIDs(v any) any {
	switch v := v.(type) {
	case []any:
		for i := range v {
			v[i] = hexIDs(v[i])
		}
	case map[string]any:
		for k, one := range v {
			var id []byte
			if s, ok := one.(string); ok && (k == "traceId" || k == "spanId" || k == "parentSpanId") &&
				json.Unmarshal([]byte(`"`+s+`"`), &id) == nil {
				v[k] = hex.EncodeToString(id)
			} else {
				v[k] = hexIDs(one)
			}
		}
	}
	return v
}

func stringAttribute(key, v string) *common.KeyValue {
	return &common.KeyValue{Key: key, Value: &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: v}}}
}

func (w *Writer) buildTrace(id workerclient.ID, rows []handoff.Event) *trace.TracesData {
	scope := &trace.ScopeSpans{Scope: &common.InstrumentationScope{Name: "keelstair.example/internal/handoff"}}
	res := &trace.ResourceSpans{ScopeSpans: []*trace.ScopeSpans{scope},
		Resource: &resource.Resource{Attributes: []*common.KeyValue{
			stringAttribute("service.name", "keelstair"), stringAttribute("service.instance.id", w.node),
		}}}
	// Ticks become wall time by what the clocks show now.
	now, wall := w.clock.Now(), w.clock.Wall()
	at := func(e handoff.Event) uint64 { return uint64(wall.Add(-now.Since(e.At)).UnixNano()) }
	sum := sha256.Sum256([]byte(id.Request))
	put := func(name string, n int, from, to handoff.Event) *trace.Span {
		s := &trace.Span{
			TraceId:           sum[:16],
			SpanId:            append([]byte{byte(id.Attempt), byte(n + 1)}, sum[16:22]...),
			Name:              name,
			StartTimeUnixNano: at(from),
			EndTimeUnixNano:   at(to),
		}
		scope.Spans = append(scope.Spans, s)
		return s
	}
	last := rows[len(rows)-1]
	complete := put("hand-over", 0, rows[0], last)
	complete.Attributes = []*common.KeyValue{stringAttribute("request", id.Request),
		{Key: "attempt", Value: &common.AnyValue{Value: &common.AnyValue_IntValue{IntValue: int64(id.Attempt)}}}}
	if last.Step == handoff.Dropped {
		complete.Status = &trace.Status{Code: trace.Status_STATUS_CODE_ERROR, Message: last.Reason}
	}
	for i := 1; i < len(rows); i++ {
		s := put(string(rows[i].Step), i, rows[i-1], rows[i])
		s.ParentSpanId = complete.SpanId
		s.Attributes = []*common.KeyValue{stringAttribute("worker", string(rows[i].Worker))}
	}
	return &trace.TracesData{ResourceSpans: []*trace.ResourceSpans{res}}
}
