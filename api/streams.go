// Package api is the one place that knows how origins and operators speak:
// HTTP/1.1 with JSON. It reads and checks what they send and writes what they
// get; what is done with it stands behind two narrow interfaces. This file is
// the origins' side.
package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"keelstair.example/failure"
	"keelstair.example/workerclient"
)

const (
	maxAsk = 4 << 20
	maxKey = 200
)

// Ask is what an origin sends.
type Ask struct {
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

// Digest tells a key's true repeat from its misuse.
func (a *Ask) Digest() string {
	b, _ := json.Marshal(a)
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:12])
}

// Tokens gives the prompt's ids: those sent, or one for each word.
func (a *Ask) Tokens() []int32 {
	if len(a.PromptIds) > 0 {
		return a.PromptIds
	}
	rows := strings.Fields(a.Prompt)
	out := make([]int32, len(rows))
	for i, w := range rows {
		h := fnv.New32a()
		h.Write([]byte(w))
		out[i] = int32(h.Sum32()%50000) + 1
	}
	return out
}

// Line is one line of the stream that an origin reads.
type Line struct {
	Index  int                  `json:"index"`
	Token  int32                `json:"token,omitempty"`
	Text   string               `json:"text,omitempty"`
	End    string               `json:"end,omitempty"`
	Count  int                  `json:"count,omitempty"`
	Error  *workerclient.Bounce `json:"error,omitempty"`
	Replay bool                 `json:"replay,omitempty"`
}

// Ends of a stream. Only Complete means that the answer is whole.
const (
	Complete = "complete"
	Broken   = "broken"
	Unknown  = "unknown"
)

// Fault is a refusal on its way to an origin or an operator.
type Fault struct {
	Code int
	workerclient.Bounce
}

func (f *Fault) Error() string { return f.Name + " " + f.Field + " " + f.Detail }

// No makes a fault.
func No(code int, name, field, form string, args ...any) *Fault {
	return &Fault{code, workerclient.Bounce{Name: name, Field: field, Detail: fmt.Sprintf(form, args...)}}
}

// Later makes a fault that says when to come back.
func Later(code int, name string, after time.Duration, form string, args ...any) *Fault {
	f := No(code, name, "", form, args...)
	f.After = after.Milliseconds()
	return f
}

// Sink takes the lines of a stream.
type Sink interface{ Put(Line) error }

// Server carries an origin's request. An error before the first line becomes
// the answer's code; after it, the stream's last line says how it ended.
type Server interface {
	Serve(ctx context.Context, ask *Ask, out Sink) error
	Ready() (bool, string)
}

// Streams answers origins' requests on a path.
func Streams(mux *http.ServeMux, path string, serve func(context.Context, *Ask, Sink) error) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var ask Ask
		if f := Read(r, &ask, maxAsk); f != nil {
			Bounce(w, f)
			return
		}
		out := &lines{w: w, rows: json.NewEncoder(w)}
		if err := serve(r.Context(), &ask, out); err != nil && !out.begun {
			Bounce(w, err)
		}
	})
}

// Mount puts the origins' side on a mux.
func Mount(mux *http.ServeMux, s Server) {
	Streams(mux, "/v1/streams", s.Serve)
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		ok, why := s.Ready()
		code := http.StatusOK
		if !ok {
			code = http.StatusServiceUnavailable
		}
		Write(w, code, map[string]any{"ready": ok, "why": why})
	})
}

type lines struct {
	w     http.ResponseWriter
	rows  *json.Encoder
	begun bool
}

func (l *lines) Put(line Line) error {
	if !l.begun {
		l.begun = true
		l.w.Header().Set("Content-Type", "application/x-ndjson")
		l.w.WriteHeader(http.StatusOK)
	}
	if err := l.rows.Encode(line); err != nil {
		return err
	}
	if f, ok := l.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// Read takes a JSON body: one value, known fields only, bounded.
func Read(r *http.Request, into any, most int64) *Fault {
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err != nil {
		return No(http.StatusBadRequest, "unreadable", "", "%v", err)
	}
	if int64(len(body)) > most {
		return No(http.StatusRequestEntityTooLarge, "too-large", "", "a body may have %d bytes", most)
	}
	rows := json.NewDecoder(strings.NewReader(string(body)))
	rows.DisallowUnknownFields()
	err = rows.Decode(into)
	var kind *json.UnmarshalTypeError
	switch {
	case err == nil && rows.More():
		return No(http.StatusBadRequest, "malformed", "", "more than one value")
	case err == nil:
		return nil
	case errors.As(err, &kind):
		return No(http.StatusBadRequest, "wrong-type", kind.Field, "%s is no %s", kind.Value, kind.Type)
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		return No(http.StatusBadRequest, "unknown-field", strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`), "no such field")
	}
	return No(http.StatusBadRequest, "malformed", "", "%v", err)
}

// Write answers with JSON.
func Write(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}

// Bounce answers with an error and, where one may come back, with when.
func Bounce(w http.ResponseWriter, err error) {
	var f *Fault
	if !errors.As(err, &f) {
		switch failure.KindOf(err) {
		case failure.Bad:
			f = No(http.StatusBadRequest, "bad", "", "%v", err)
		case failure.Stale:
			f = No(http.StatusConflict, "stale", "", "%v", err)
		case failure.Unknown:
			f = No(http.StatusGatewayTimeout, "unknown-fate", "", "%v", err)
		default:
			f = Later(http.StatusServiceUnavailable, "away", time.Second, "%v", err)
		}
	}
	if f.After > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((f.After+999)/1000, 10))
	}
	Write(w, f.Code, map[string]any{"error": f.Bounce})
}

// Check holds an ask against the kinds that there are.
func (a *Ask) Check(claimed bool, maxTokens, maxPrompt int) *Fault {
	switch {
	case a.Prompt != "" && len(a.PromptIds) > 0:
		return No(http.StatusBadRequest, "both", "promptIds", "give prompt or promptIds, not both")
	case len(a.Tokens()) == 0:
		return No(http.StatusBadRequest, "missing", "prompt", "the prompt is empty")
	case len(a.Tokens()) > maxPrompt:
		return No(http.StatusRequestEntityTooLarge, "too-large", "prompt", "%d tokens, at most %d", len(a.Tokens()), maxPrompt)
	case a.MaxTokens < 0 || a.MaxTokens > maxTokens:
		return No(http.StatusBadRequest, "out-of-range", "maxTokens", "at most %d", maxTokens)
	case a.Temperature < 0 || a.Temperature > 10:
		return No(http.StatusBadRequest, "out-of-range", "temperature", "from 0 to 10")
	case claimed && a.Key == "":
		return No(http.StatusBadRequest, "missing", "key", "kind %q needs the caller's key", a.Kind)
	case len(a.Key) > maxKey:
		return No(http.StatusBadRequest, "too-large", "key", "at most %d bytes", maxKey)
	}
	for _, t := range a.PromptIds {
		if t <= 0 {
			return No(http.StatusBadRequest, "out-of-range", "promptIds", "ids are above 0")
		}
	}
	return nil
}
