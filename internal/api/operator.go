package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"keelstair.example/failure"
	"keelstair.example/internal/certification"
)

// ApplyRequest is an order for a whole or partial configuration. Source is CUE or JSON text, Name what
// it is called in errors, and Base the version that it builds on. Op is the operation's id, by
// which an operator who got no answer may send it again and learns its one outcome. Dry only
// checks it.
type ApplyRequest struct {
	Op      string `json:"op"`
	Base    uint64 `json:"base"`
	Partial bool   `json:"partial,omitempty"`
	Name    string `json:"name,omitempty"`
	Source  string `json:"source"`
	Dry     bool   `json:"dry,omitempty"`
}

// ApplyResponse answers an order: the version that it led to, and whether that is in force at the
// node. Policy is the whole configuration, after a dry run only.
type ApplyResponse struct {
	Version uint64          `json:"version"`
	Active  bool            `json:"active"`
	Policy  json.RawMessage `json:"policy,omitempty"`
}

// MarkRequest is an order to take a zone, a worker or a certificate out of use or, with Out false,
// to take that back (not of a certificate). Op is the operation's id, as in ApplyRequest.
type MarkRequest struct {
	Op  string `json:"op"`
	Out bool   `json:"out"`
}

// ActivePolicy is the configuration that is in force at a node, the newest version that it knows of,
// and the zones and workers that are taken out of use.
type ActivePolicy struct {
	Version uint64          `json:"version"`
	Newest  uint64          `json:"newest"`
	Policy  json.RawMessage `json:"policy"`
	Zones   []string        `json:"evacuated"`
	Drained []string        `json:"drained"`
}

// Regimes lists the certified workers and nodes. Low and High bound the fleet's time; Wall is
// the node's own clock, which decides nothing. All are in nanoseconds since 1970.
type Regimes struct {
	Version  uint64   `json:"version"`
	Earliest int64    `json:"low"`
	Latest   int64    `json:"high"`
	Wall     int64    `json:"wall"`
	Regimes  []Regime `json:"regimes"`
}

// Regime is one regime with its certificates and, in Short, what it lacks now.
type Regime struct {
	Name            string                            `json:"name"`
	Kinds           []string                          `json:"kinds"`
	ReservedPercent int                               `json:"keep"`
	Certificates    []certification.CertificateStatus `json:"certificates"`
	Shortages       []string                          `json:"short"`
}

// AuditPage is a part of the audit record: its rows, the number of the first one that is kept, how
// many there have been, and the hash of the newest.
type AuditPage struct {
	First int               `json:"first"`
	Count int               `json:"count"`
	Head  string            `json:"head"`
	Rows  []json.RawMessage `json:"rows"`
}

// Operator carries out operators' orders. Its errors are answered as WriteError says; SubmitError makes
// them where an order may have been carried out.
type Operator interface {
	// Apply checks a configuration and puts it in force.
	Apply(ctx context.Context, a *ApplyRequest) (*ApplyResponse, error)
	// Evacuate keeps new work from a zone, or takes that back.
	Evacuate(ctx context.Context, zone string, m *MarkRequest) (*ApplyResponse, error)
	// Drain keeps new work from a worker, or takes that back.
	Drain(ctx context.Context, worker string, m *MarkRequest) (*ApplyResponse, error)
	// Revoke makes a certificate void for good.
	Revoke(ctx context.Context, serial string, m *MarkRequest) (*ApplyResponse, error)
	// Regimes lists the regimes and their certificates.
	Regimes() *Regimes
	// Audits returns at most so many rows of the audit record, from the one with number from on.
	AuditRows(ctx context.Context, from, limit int) (*AuditPage, error)
	// Shown returns the configuration in force.
	ActivePolicy(ctx context.Context) (*ActivePolicy, error)
	// Status returns the node's state, to be written as JSON.
	Status() any
}

// Stale returns the refusal of a configuration that builds on another version than the newest.
func Stale(base, newest uint64) error {
	return NewFault(
		http.StatusConflict, "stale", "base", "it was made over version %d; the newest is %d", base, newest,
	)
}

// SubmitError turns an error of package failure into the refusal of an order: 504 if it may have been
// carried out, 503 if it was not, each with when to send it again. Errors of kind Bad and
// Stale stay as they are.
func SubmitError(err error, after time.Duration) error {
	switch failure.KindOf(err) {
	case failure.OutcomeUnknown:
		return RetryLater(
			http.StatusGatewayTimeout,
			"unknown-fate",
			after,
			"it may have been taken; ask again with the same op: %v",
			err,
		)
	case failure.InvalidArgument, failure.Stale:
		return err
	}
	return RetryLater(http.StatusServiceUnavailable, "core-away", after, "it was not taken: %v", err)
}

// Bounds on what operators send and get.
const (
	maxPolicyBytes = 8 << 20 // bytes of a configuration
	maxMarkBytes   = 4096    // bytes of another order
	maxAuditRows   = 500     // rows of the audit record in an answer
)

// RegisterOperatorAPI registers the operators' side of the interface, under /v1.
func RegisterOperatorAPI(mux *http.ServeMux, o Operator) {
	mux.HandleFunc("GET /v1/policy", func(w http.ResponseWriter, r *http.Request) {
		result, err := o.ActivePolicy(r.Context())
		writeResult(w, result, err)
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, o.Status())
	})
	mux.HandleFunc("POST /v1/policy", func(w http.ResponseWriter, r *http.Request) {
		var a ApplyRequest
		if f := ReadJSON(r, &a, maxPolicyBytes); f != nil {
			WriteError(w, f)
			return
		}
		if a.Op == "" {
			WriteError(w, NewFault(http.StatusBadRequest, "missing", "op", "an operation needs an id of its own"))
			return
		}
		result, err := o.Apply(r.Context(), &a)
		writeResult(w, result, err)
	})
	mux.HandleFunc("POST /v1/zones/{name}", markHandler(o.Evacuate))
	mux.HandleFunc("POST /v1/workers/{name}", markHandler(o.Drain))
	mux.HandleFunc("POST /v1/certificates/{name}", markHandler(o.Revoke))
	mux.HandleFunc("GET /v1/regimes", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, o.Regimes())
	})
	mux.HandleFunc("GET /v1/audit", func(w http.ResponseWriter, r *http.Request) {
		from, err := strconv.Atoi(r.FormValue("from"))
		if err != nil || from < 1 {
			WriteError(
				w,
				NewFault(http.StatusBadRequest, "out-of-range", "from", "a row's number is needed, from 1 on"),
			)
			return
		}
		result, err := o.AuditRows(r.Context(), from, maxAuditRows)
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, result)
	})
}

// markHandler reads an order about one zone, worker or certificate and has f carry it out.
func markHandler(apply func(context.Context, string, *MarkRequest) (*ApplyResponse, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var m MarkRequest
		if fault := ReadJSON(r, &m, maxMarkBytes); fault != nil {
			WriteError(w, fault)
			return
		}
		if m.Op == "" {
			WriteError(w, NewFault(http.StatusBadRequest, "missing", "op", "an operation needs an id of its own"))
			return
		}
		result, err := apply(r.Context(), r.PathValue("name"), &m)
		writeResult(w, result, err)
	}
}

// writeResult writes the answer a, or the error.
func writeResult(w http.ResponseWriter, result any, err error) {
	if err != nil {
		WriteError(w, err)
		return
	}
	WriteJSON(w, http.StatusOK, result)
}
