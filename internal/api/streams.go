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

// Bounds on an origin's request.
const (
	maxRequestBytes = 4 << 20 // bytes of its body
	maxKeyBytes     = 200     // bytes of its key
	maxTemperature  = 10
)

const (
	vocabularySize = 50000 // ids that the words of a prompt are mapped to
	digestBytes    = 12    // of the SHA-256 hash of a request
)

// StreamRequest is an origin's request. The prompt is given either as text or as token ids. Key, by
// which a repeat is recognized, is needed for the kinds that the configuration says; Adapters
// are those that the worker must have.
type StreamRequest struct {
	Kind        string   `json:"kind"`
	Key         string   `json:"key,omitempty"`
	Model       string   `json:"model,omitempty"`
	Adapters    []string `json:"adapters,omitempty"`
	Prompt      string   `json:"prompt,omitempty"`
	PromptIds   []int32  `json:"promptIds,omitempty"`
	MaxTokens   int      `json:"maxTokens,omitempty"`
	Temperature float64  `json:"temperature,omitempty"`
	Seed        uint64   `json:"seed,omitempty"`
}

// Digest returns a hash of the whole request in hex. A request with the key of an earlier one
// is its repeat only if the digests are equal.
func (a *StreamRequest) Digest() string {
	b, _ := json.Marshal(a)
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:digestBytes])
}

// Tokens returns the ids of the prompt's tokens: those that were sent, or one for each word of
// its text.
func (a *StreamRequest) Tokens() []int32 {
	if len(a.PromptIds) > 0 {
		return a.PromptIds
	}
	words := strings.Fields(a.Prompt)
	out := make([]int32, len(words))
	for i, w := range words {
		h := fnv.New32a()
		h.Write([]byte(w))
		out[i] = int32(h.Sum32()%vocabularySize) + 1
	}
	return out
}

// StreamEvent is one line of the stream that an origin reads: the token at Index or, where End is set,
// the end of the stream after Count tokens. Replay marks a line that comes from the record of
// an earlier request with the same key.
type StreamEvent struct {
	Index  int                     `json:"index"`
	Token  int32                   `json:"token,omitempty"`
	Text   string                  `json:"text,omitempty"`
	End    string                  `json:"end,omitempty"`
	Count  int                     `json:"count,omitempty"`
	Error  *workerclient.Rejection `json:"error,omitempty"`
	Replay bool                    `json:"replay,omitempty"`
}

// Ends of a stream.
const (
	Complete = "complete" // the answer is whole
	Broken   = "broken"   // it stops midway and won't go on
	Unknown  = "unknown"  // it stops, and whether the request ran to its end isn't known
)

// Sink takes the lines of a stream.
type Sink interface {
	// Put writes a line out at once. After an error nobody reads the stream any more.
	Put(StreamEvent) error
}

// Server serves origins' requests.
type Server interface {
	// Serve runs a request and puts its answer to out. An error before the first line becomes
	// the HTTP status (see WriteError); after it, the last line says how the stream ended.
	Serve(ctx context.Context, ask *StreamRequest, out Sink) error
	// Ready reports whether the node can serve, and else why not.
	Ready() (bool, string)
}

// Readiness is the body of the answer to GET /ready, whose status is 200 or 503.
type Readiness struct {
	Ready bool   `json:"ready"`
	Why   string `json:"why"`
}

// HandleStreams registers a handler for origins' requests on a path.
func HandleStreams(mux *http.ServeMux, path string, serve func(context.Context, *StreamRequest, Sink) error) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request StreamRequest
		if f := ReadJSON(r, &request, maxRequestBytes); f != nil {
			WriteError(w, f)
			return
		}
		out := &eventWriter{w: w, encoder: json.NewEncoder(w)}
		if err := serve(r.Context(), &request, out); err != nil && !out.started {
			WriteError(w, err)
		}
	})
}

// RegisterClientAPI registers the origins' side of the interface: POST /v1/streams and GET /ready.
func RegisterClientAPI(mux *http.ServeMux, s Server) {
	HandleStreams(mux, "/v1/streams", s.Serve)
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		ok, why := s.Ready()
		code := http.StatusOK
		if !ok {
			code = http.StatusServiceUnavailable
		}
		WriteJSON(w, code, Readiness{ok, why})
	})
}

// eventWriter is the sink that writes to an origin, one line of JSON each.
type eventWriter struct {
	w       http.ResponseWriter
	encoder *json.Encoder
	started bool // the status and headers are written
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

// Validate returns what is wrong with a request, or nil. claimed tells that its kind needs a key;
// maxTokens and maxPrompt bound the tokens of its answer and of its prompt.
func (a *StreamRequest) Validate(keyRequired bool, maxTokens, maxPrompt int) *Fault {
	switch {
	case a.Prompt != "" && len(a.PromptIds) > 0:
		return NewFault(http.StatusBadRequest, "both", "promptIds", "give prompt or promptIds, not both")
	case len(a.Tokens()) == 0:
		return NewFault(http.StatusBadRequest, "missing", "prompt", "the prompt is empty")
	case len(a.Tokens()) > maxPrompt:
		return NewFault(
			http.StatusRequestEntityTooLarge,
			"too-large",
			"prompt",
			"%d tokens, at most %d",
			len(a.Tokens()),
			maxPrompt,
		)
	case a.MaxTokens < 0 || a.MaxTokens > maxTokens:
		return NewFault(http.StatusBadRequest, "out-of-range", "maxTokens", "at most %d", maxTokens)
	case a.Temperature < 0 || a.Temperature > maxTemperature:
		return NewFault(http.StatusBadRequest, "out-of-range", "temperature", "from 0 to %d", maxTemperature)
	case keyRequired && a.Key == "":
		return NewFault(http.StatusBadRequest, "missing", "key", "kind %q needs the caller's key", a.Kind)
	case len(a.Key) > maxKeyBytes:
		return NewFault(http.StatusBadRequest, "too-large", "key", "at most %d bytes", maxKeyBytes)
	}
	for _, t := range a.PromptIds {
		if t <= 0 {
			return NewFault(http.StatusBadRequest, "out-of-range", "promptIds", "ids are above 0")
		}
	}
	return nil
}
