package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"strings"

	"keelstair.example/internal/workerclient"
)

// Limits on a client's request.
const (
	maxRequestBytes = 4 << 20 // bytes of the body
	maxKeyBytes     = 200     // bytes of the key
	maxTemperature  = 10
)

const (
	vocabularySize = 50000 // number of token IDs that the words of a text prompt are hashed to
	digestBytes    = 12    // prefix length of a request's SHA-256 hash
)

// StreamRequest is a client's request. The prompt is given either as text or as token IDs. Key is the
// idempotency key; the configuration states which kinds of request require one. Adapters lists the adapters
// that the worker must have loaded.
type StreamRequest struct {
	Kind        string   `json:"kind"`
	Key         string   `json:"key,omitempty"`
	Model       string   `json:"model,omitempty"`
	Adapters    []string `json:"adapters,omitempty"`
	Prompt      string   `json:"prompt,omitempty"`
	PromptIDs   []int32  `json:"promptIds,omitempty"`
	MaxTokens   int      `json:"maxTokens,omitempty"`
	Temperature float64  `json:"temperature,omitempty"`
	Seed        uint64   `json:"seed,omitempty"`
}

// Digest returns a hash of all fields of the request, in hex. A request is a retry of an earlier one only if both
// the key and the digest are the same.
func (r *StreamRequest) Digest() string {
	b, _ := json.Marshal(r)
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:digestBytes])
}

// PromptTokens returns the token IDs of the prompt: PromptIDs if set, else one hashed ID per word of the text.
func (r *StreamRequest) PromptTokens() []int32 {
	if len(r.PromptIDs) > 0 {
		return r.PromptIDs
	}
	words := strings.Fields(r.Prompt)
	out := make([]int32, len(words))
	for i, w := range words {
		h := fnv.New32a()
		h.Write([]byte(w))
		out[i] = int32(h.Sum32()%vocabularySize) + 1
	}
	return out
}

// StreamEvent is one line of the response stream: the token at Index or, if End is set, the end of the stream
// after Count tokens. Replay marks an event that is replayed from the record of an earlier request with the
// same key.
type StreamEvent struct {
	Index  int                     `json:"index"`
	Token  int32                   `json:"token,omitempty"`
	Text   string                  `json:"text,omitempty"`
	End    string                  `json:"end,omitempty"`
	Count  int                     `json:"count,omitempty"`
	Error  *workerclient.Rejection `json:"error,omitempty"`
	Replay bool                    `json:"replay,omitempty"`
}

// Values of StreamEvent.End.
const (
	EndComplete = "complete" // all tokens were sent
	EndBroken   = "broken"   // the stream stopped early and cannot be continued
	EndUnknown  = "unknown"  // the stream stopped early, and it is not known whether the request ran to completion
)

// Sink receives the events of a stream.
type Sink interface {
	// Put writes and flushes an event. An error means that the client has disconnected.
	Put(StreamEvent) error
}

// Server executes inference requests of clients and reports whether the node is ready for them.
type Server interface {
	// Serve executes a request and writes its events to out. An error before the first event sets the HTTP
	// status (see WriteError); after it, the last event states how the stream ended.
	Serve(ctx context.Context, request *StreamRequest, out Sink) error
	// Ready reports whether the node can serve requests, and the reason if it cannot.
	Ready() (bool, string)
}

// Readiness is the body of the response to GET /ready, whose status is 200 or 503.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"why"`
}

// HandleStreams registers a handler for clients' requests on a path.
func HandleStreams(mux *http.ServeMux, path string, serve func(context.Context, *StreamRequest, Sink) error) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request StreamRequest
		if f := ReadJSON(r, &request, maxRequestBytes); f != nil {
			WriteError(w, f)
			return
		}
		r.Body.Close() // its memory is not needed while the stream runs
		out := &eventWriter{w: w, encoder: json.NewEncoder(w)}
		if err := serve(r.Context(), &request, out); err != nil && !out.started {
			WriteError(w, err)
		}
	})
}

// RegisterClientAPI registers the handlers of the client API: POST /v1/streams and GET /ready.
func RegisterClientAPI(mux *http.ServeMux, s Server) {
	HandleStreams(mux, "/v1/streams", s.Serve)
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := s.Ready()
		code := http.StatusOK
		if !ok {
			code = http.StatusServiceUnavailable
		}
		WriteJSON(w, code, Readiness{ok, reason})
	})
}

// eventWriter is a Sink that writes each event as one line of JSON to an HTTP response.
type eventWriter struct {
	w       http.ResponseWriter
	encoder *json.Encoder
	started bool // the status and headers have been written
}

func (w *eventWriter) Put(event StreamEvent) error {
	if !w.started {
		w.started = true
		w.w.Header().Set("Content-Type", "application/x-ndjson")
		w.w.WriteHeader(http.StatusOK)
	}
	if err := w.encoder.Encode(event); err != nil {
		return err
	}
	if f, ok := w.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// Validate returns a Fault if the request is invalid. keyRequired states that its kind requires a key;
// maxTokens and maxPrompt limit the number of tokens of the output and of the prompt.
func (r *StreamRequest) Validate(keyRequired bool, maxTokens, maxPrompt int) *Fault {
	switch {
	case r.Prompt != "" && len(r.PromptIDs) > 0:
		return NewFault(http.StatusBadRequest, "both", "promptIds", "prompt and promptIds are mutually exclusive")
	case len(r.PromptTokens()) == 0:
		return NewFault(http.StatusBadRequest, "missing", "prompt", "the prompt is empty")
	case len(r.PromptTokens()) > maxPrompt:
		return NewFault(
			http.StatusRequestEntityTooLarge,
			"too-large",
			"prompt",
			"%d tokens exceed the limit of %d",
			len(r.PromptTokens()),
			maxPrompt,
		)
	case r.MaxTokens < 0 || r.MaxTokens > maxTokens:
		return NewFault(http.StatusBadRequest, "out-of-range", "maxTokens", "the value must be from 0 to %d", maxTokens)
	case r.Temperature < 0 || r.Temperature > maxTemperature:
		return NewFault(http.StatusBadRequest, "out-of-range", "temperature", "the value must be from 0 to %d", maxTemperature)
	case keyRequired && r.Key == "":
		return NewFault(http.StatusBadRequest, "missing", "key", "requests of kind %q require a key", r.Kind)
	case len(r.Key) > maxKeyBytes:
		return NewFault(http.StatusBadRequest, "too-large", "key", "the key exceeds the limit of %d bytes", maxKeyBytes)
	}
	for _, t := range r.PromptIDs {
		if t <= 0 {
			return NewFault(http.StatusBadRequest, "out-of-range", "promptIds", "token IDs must be greater than 0")
		}
	}
	return nil
}
