// Package tracing writes handoffs as traces in the OpenTelemetry JSON format, one line per
// handoff, with a span for the whole handoff and a child span for each step. The traces are
// derived from the node's event journal. Tracing is off unless a writer is configured.
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

// maxOpenHandoffs limits the handoffs that are collected at once. Of further ones only the last
// event is written.
const maxOpenHandoffs = 4096

// Writer collects the events of each handoff and writes the handoff's trace at its end.
type Writer struct {
	mu      sync.Mutex
	node    string
	out     io.Writer
	clock   host.Clock
	pending map[workerclient.ID][]handoff.Event
}

// New returns a trace writer for the node with the given name. The clock converts ticks to wall time.
func New(out io.Writer, node string, clock host.Clock) *Writer {
	return &Writer{out: out, node: node, clock: clock, pending: map[workerclient.ID][]handoff.Event{}}
}

// Record processes one event of the journal.
func (w *Writer) Record(e handoff.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	events := append(w.pending[e.ID], e)
	if e.Step != handoff.Ended && e.Step != handoff.Dropped {
		if len(w.pending) < maxOpenHandoffs {
			w.pending[e.ID] = events
		}
		return
	}
	delete(w.pending, e.ID)
	if line, err := marshalTraces(w.buildTrace(e.ID, events)); err == nil {
		w.out.Write(append(line, '\n'))
	}
}

// marshalTraces returns the OpenTelemetry JSON encoding, with enumerations as numbers and ids in
// hexadecimal. The protobuf library writes all bytes in base64, so the ids are converted.
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

// hexIDs converts the base64 trace and span ids in a JSON document to hexadecimal.
func hexIDs(v any) any {
	switch v := v.(type) {
	case []any:
		for i := range v {
			v[i] = hexIDs(v[i])
		}
	case map[string]any:
		for k, value := range v {
			var id []byte
			if s, ok := value.(string); ok && (k == "traceId" || k == "spanId" || k == "parentSpanId") &&
				json.Unmarshal([]byte(`"`+s+`"`), &id) == nil {
				v[k] = hex.EncodeToString(id)
			} else {
				v[k] = hexIDs(value)
			}
		}
	}
	return v
}

// stringAttribute returns a string attribute.
func stringAttribute(key, v string) *common.KeyValue {
	return &common.KeyValue{Key: key, Value: &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: v}}}
}

// buildTrace returns the trace of a handoff.
func (w *Writer) buildTrace(id workerclient.ID, events []handoff.Event) *trace.TracesData {
	scope := &trace.ScopeSpans{Scope: &common.InstrumentationScope{Name: "keelstair.example/internal/handoff"}}
	resourceSpans := &trace.ResourceSpans{ScopeSpans: []*trace.ScopeSpans{scope},
		Resource: &resource.Resource{Attributes: []*common.KeyValue{
			stringAttribute("service.name", "keelstair"), stringAttribute("service.instance.id", w.node),
		}}}
	// The offset between ticks and wall time is taken from both clocks now.
	now, wall := w.clock.Now(), w.clock.Wall()
	unixNano := func(e handoff.Event) uint64 { return uint64(wall.Add(-now.Since(e.At)).UnixNano()) }
	hash := sha256.Sum256([]byte(id.Request))
	addSpan := func(name string, n int, from, to handoff.Event) *trace.Span {
		s := &trace.Span{
			TraceId:           hash[:16],
			SpanId:            append([]byte{byte(id.Attempt), byte(n + 1)}, hash[16:22]...),
			Name:              name,
			StartTimeUnixNano: unixNano(from),
			EndTimeUnixNano:   unixNano(to),
		}
		scope.Spans = append(scope.Spans, s)
		return s
	}
	last := events[len(events)-1]
	root := addSpan("hand-over", 0, events[0], last)
	root.Attributes = []*common.KeyValue{stringAttribute("request", id.Request),
		{Key: "attempt", Value: &common.AnyValue{Value: &common.AnyValue_IntValue{IntValue: int64(id.Attempt)}}}}
	if last.Step == handoff.Dropped {
		root.Status = &trace.Status{Code: trace.Status_STATUS_CODE_ERROR, Message: last.Reason}
	}
	for i := 1; i < len(events); i++ {
		s := addSpan(string(events[i].Step), i, events[i-1], events[i])
		s.ParentSpanId = root.SpanId
		s.Attributes = []*common.KeyValue{stringAttribute("worker", string(events[i].Worker))}
	}
	return &trace.TracesData{ResourceSpans: []*trace.ResourceSpans{resourceSpans}}
}
