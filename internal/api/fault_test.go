package api

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"keelstair.example/failure"
)

// TestWriteError checks the status, the body and the Retry-After header for each kind of error. Clients and
// operators' programs depend on them.
func TestWriteError(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		code  int
		after string
		body  string
	}{
		{
			"fault",
			NewFault(http.StatusNotFound, "unknown", "zone", "no %s", "a"),
			404, "", `{"error":{"name":"unknown","field":"zone","detail":"no a"}}`,
		},
		{
			"retry later", RetryLater(http.StatusServiceUnavailable, "full", 1500*time.Millisecond, "wait"),
			503, "2", `{"error":{"name":"full","detail":"wait","retryAfterMs":1500}}`,
		},
		{
			"bad",
			failure.New(failure.InvalidArgument, "check", "", "wrong"),
			400, "", `{"error":{"name":"bad","detail":"check: wrong"}}`,
		},
		{
			"stale",
			failure.New(failure.Stale, "check", "", "old"), 409, "", `{"error":{"name":"stale","detail":"check: old"}}`,
		},
		{"other error", errors.New("cut"), 504, "", `{"error":{"name":"unknown-fate","detail":"cut"}}`},
		{
			"away",
			failure.New(failure.Unavailable, "ask", "", "none"),
			503, "1", `{"error":{"name":"away","detail":"ask: none","retryAfterMs":1000}}`,
		},
	} {
		w := httptest.NewRecorder()
		WriteError(w, c.err)
		if w.Code != c.code || w.Header().Get("Retry-After") != c.after ||
			strings.TrimSpace(w.Body.String()) != c.body {
			t.Errorf("%s: %d, Retry-After %q, %s", c.name, w.Code, w.Header().Get("Retry-After"), w.Body)
		}
	}
}

// TestSubmitError checks that an operation that may have been executed is never reported as not executed.
func TestSubmitError(t *testing.T) {
	for kind, code := range map[failure.Kind]int{
		failure.OutcomeUnknown: 504,
		failure.NotExecuted:    503,
		failure.Unavailable:    503,
		failure.DataLost:       503,
	} {
		var f *Fault
		if err := SubmitError(
			failure.New(kind, "submit", "", "x"), time.Second,
		); !errors.As(err, &f) || f.Code != code || f.RetryAfterMs != 1000 {
			t.Errorf("%s: %v", kind, err)
		}
	}
	for _, kind := range []failure.Kind{failure.InvalidArgument, failure.Stale} {
		if err := failure.New(kind, "submit", "", "x"); SubmitError(err, time.Second) != err {
			t.Errorf("%s is changed", kind)
		}
	}
}

// TestReadJSON checks that a body must be a single JSON value with known fields only, within the size limit.
func TestReadJSON(t *testing.T) {
	for body, want := range map[string]string{
		`{"op":"a"}`:                        "",
		`{"op":"a"} {}`:                     "malformed ",
		`{"op":`:                            "malformed ",
		`{"op":1}`:                          "wrong-type op",
		`{"opp":"a"}`:                       "unknown-field opp",
		`{"op":"` + strings.Repeat("a", 64): "too-large ",
	} {
		var m MarkRequest
		got := ""
		if f := ReadJSON(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)), &m, 32); f != nil {
			got = f.Name + " " + f.Field
		}
		if got != want {
			t.Errorf("%s: %q, not %q", body, got, want)
		}
	}
}
