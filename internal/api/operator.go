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

// ApplyRequest applies a configuration or, if Partial is set, a change to the current one. Source is the CUE or
// JSON text, Name is the name that error messages give to it, and BaseVersion is the version that it was derived
// from. Op is the operation's ID: a request that got no response may be retried with the same ID, and the retry
// returns the outcome of the first request. If DryRun is set, the configuration is only validated.
type ApplyRequest struct {
	Op          string `json:"op"`
	BaseVersion uint64 `json:"base"`
	Partial     bool   `json:"partial,omitempty"`
	Name        string `json:"name,omitempty"`
	Source      string `json:"source"`
	DryRun      bool   `json:"dry,omitempty"`
}

// ApplyResponse is the response to a change: the resulting version, and whether that version is active on the
// node. Policy is the complete configuration and is set after a dry run only.
type ApplyResponse struct {
	Version uint64          `json:"version"`
	Active  bool            `json:"active"`
	Policy  json.RawMessage `json:"policy,omitempty"`
}

// MarkRequest takes a zone, a worker or a certificate out of service or, if Out is false, returns it to service.
// The revocation of a certificate cannot be undone. Op is the operation's ID, as in ApplyRequest.
type MarkRequest struct {
	Op  string `json:"op"`
	Out bool   `json:"out"`
}

// ActivePolicy is the configuration that is active on a node, the newest version that the node knows, and the
// zones and workers that are out of service.
type ActivePolicy struct {
	Version        uint64          `json:"version"`
	Newest         uint64          `json:"newest"`
	Policy         json.RawMessage `json:"policy"`
	EvacuatedZones []string        `json:"evacuated"`
	DrainedWorkers []string        `json:"drained"`
}

// Regimes lists the certified workers and nodes. Earliest and Latest are the bounds of the fleet's time; Wall
// is the node's own clock, which is informational only. All are in nanoseconds since 1970.
type Regimes struct {
	Version  uint64   `json:"version"`
	Earliest int64    `json:"low"`
	Latest   int64    `json:"high"`
	Wall     int64    `json:"wall"`
	Regimes  []Regime `json:"regimes"`
}

// Regime is a regime with its certificates. Shortages names the roles for which too few workers or nodes are
// certified at present.
type Regime struct {
	Name            string                            `json:"name"`
	Kinds           []string                          `json:"kinds"`
	ReservedPercent int                               `json:"keep"`
	Certificates    []certification.CertificateStatus `json:"certificates"`
	Shortages       []string                          `json:"short"`
}

// AuditPage is a page of the audit log: its rows, the number of the oldest row retained, the number of rows
// ever written, and the hash of the newest row.
type AuditPage struct {
	First int               `json:"first"`
	Count int               `json:"count"`
	Head  string            `json:"head"`
	Rows  []json.RawMessage `json:"rows"`
}

// Operator executes operators' requests. WriteError writes its errors to the response. If a change fails after it
// was submitted, its error comes from SubmitError and states whether the change may have been executed.
type Operator interface {
	// Apply validates a configuration and activates it.
	Apply(ctx context.Context, a *ApplyRequest) (*ApplyResponse, error)
	// Evacuate stops assigning new requests to a zone, or undoes that.
	Evacuate(ctx context.Context, zone string, m *MarkRequest) (*ApplyResponse, error)
	// Drain stops assigning new requests to a worker, or undoes that.
	Drain(ctx context.Context, worker string, m *MarkRequest) (*ApplyResponse, error)
	// Revoke revokes a certificate permanently.
	Revoke(ctx context.Context, serial string, m *MarkRequest) (*ApplyResponse, error)
	// Regimes returns the regimes with their certificates.
	Regimes() *Regimes
	// AuditRows returns at most limit rows of the audit log, starting with the row number from.
	AuditRows(ctx context.Context, from, limit int) (*AuditPage, error)
	// ActivePolicy returns the active configuration.
	ActivePolicy(ctx context.Context) (*ActivePolicy, error)
	// Status returns the node's state, which must be encodable as JSON.
	Status() any
}

// Stale returns the error for a configuration that was not derived from the newest version.
func Stale(base, newest uint64) error {
	return NewFault(
		http.StatusConflict, "stale", "base", "it was made over version %d; the newest is %d", base, newest,
	)
}

// SubmitError converts an error of package failure into the response to a change: 504 if the change may have
// been executed and 503 if it was not, both with after as the retry delay. Errors of kind InvalidArgument and
// Stale are returned unchanged.
func SubmitError(err error, after time.Duration) error {
	switch failure.KindOf(err) {
	case failure.OutcomeUnknown:
		return RetryLater(
			http.StatusGatewayTimeout,
			"unknown-fate",
			after,
			"the operation may have been executed; retry it with the same op: %v",
			err,
		)
	case failure.InvalidArgument, failure.Stale:
		return err
	}
	return RetryLater(http.StatusServiceUnavailable, "core-away", after, "the operation was not executed: %v", err)
}

// Limits on operators' requests and their responses.
const (
	maxPolicyBytes = 8 << 20 // bytes of a request that applies a configuration
	maxMarkBytes   = 4096    // bytes of any other request
	// MaxBodyBytes is the length of the longest body of any request.
	MaxBodyBytes = maxPolicyBytes
	maxAuditRows = 500 // rows of the audit log in a response
)

// RegisterOperatorAPI registers the handlers of the operator API, under /v1.
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
				NewFault(
					http.StatusBadRequest,
					"out-of-range",
					"from",
					"the number of the first row is required and must be at least 1",
				),
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

// markHandler decodes a MarkRequest for the zone, worker or certificate in the path and executes it with apply.
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

// writeResult writes the result, or the error if it is not nil.
func writeResult(w http.ResponseWriter, result any, err error) {
	if err != nil {
		WriteError(w, err)
		return
	}
	WriteJSON(w, http.StatusOK, result)
}
