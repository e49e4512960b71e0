// The operators' side of the door.

package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"keelstair.example/certification"
	"keelstair.example/failure"
)

// Apply is a whole or partial configuration. Source is CUE or JSON text; Base
// is the version it was made over; Op is the operation's id, by which an
// operator who was told nothing may ask again and learns the one outcome.
type Apply struct {
	Op      string `json:"op"`
	Base    uint64 `json:"base"`
	Partial bool   `json:"partial,omitempty"`
	Name    string `json:"name,omitempty"`
	Source  string `json:"source"`
	Dry     bool   `json:"dry,omitempty"`
}

// Applied answers it.
type Applied struct {
	Version uint64          `json:"version"`
	Active  bool            `json:"active"`
	Policy  json.RawMessage `json:"policy,omitempty"`
}

// Mark is an evacuation, a drain, or the taking back of one.
type Mark struct {
	Op  string `json:"op"`
	Out bool   `json:"out"`
}

// Shown is the configuration in force.
type Shown struct {
	Version uint64          `json:"version"`
	Newest  uint64          `json:"newest"`
	Policy  json.RawMessage `json:"policy"`
	Zones   []string        `json:"evacuated"`
	Drained []string        `json:"drained"`
}

// Regimes shows who is certified. Low and High bound the fleet's time; Wall is the
// node's own clock, which decides nothing. All in nanoseconds since 1970.
type Regimes struct {
	Version uint64   `json:"version"`
	Low     int64    `json:"low"`
	High    int64    `json:"high"`
	Wall    int64    `json:"wall"`
	Regimes []Regime `json:"regimes"`
}

// Regime is one of them, with its certificates and what it lacks now.
type Regime struct {
	Name  string              `json:"name"`
	Kinds []string            `json:"kinds"`
	Keep  int                 `json:"keep"`
	Rows  []certification.Row `json:"certificates"`
	Short []string            `json:"short"`
}

// Audits are rows of the audit record as their own lines: the number of the first that
// is kept, how many there ever were, and the newest one's hash.
type Audits struct {
	First int               `json:"first"`
	Count int               `json:"count"`
	Head  string            `json:"head"`
	Rows  []json.RawMessage `json:"rows"`
}

// Operator is what operators may ask of a node.
type Operator interface {
	Apply(ctx context.Context, a *Apply) (*Applied, error)
	Evacuate(ctx context.Context, zone string, m *Mark) (*Applied, error)
	Drain(ctx context.Context, worker string, m *Mark) (*Applied, error)
	Revoke(ctx context.Context, serial string, m *Mark) (*Applied, error)
	Regimes() *Regimes
	Audits(ctx context.Context, from, most int) (*Audits, error)
	Shown(ctx context.Context) (*Shown, error)
	Status() any
}

// Stale is the answer to a configuration that was made over another than the newest.
func Stale(base, newest uint64) error {
	return No(http.StatusConflict, "stale", "base", "it was made over version %d; the newest is %d", base, newest)
}

// Fate tells an operator whether a thing was surely not done, and when to ask again.
func Fate(err error, after time.Duration) error {
	switch failure.KindOf(err) {
	case failure.Unknown:
		return Later(http.StatusGatewayTimeout, "unknown-fate", after, "it may have been taken; ask again with the same op: %v", err)
	case failure.Bad, failure.Stale:
		return err
	}
	return Later(http.StatusServiceUnavailable, "core-away", after, "it was not taken: %v", err)
}

const maxPolicy = 8 << 20

// MountOperator puts the operators' side on a mux.
func MountOperator(mux *http.ServeMux, o Operator) {
	mux.HandleFunc("GET /v1/policy", func(w http.ResponseWriter, r *http.Request) {
		got, err := o.Shown(r.Context())
		answer(w, got, err)
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { Write(w, http.StatusOK, o.Status()) })
	mux.HandleFunc("POST /v1/policy", func(w http.ResponseWriter, r *http.Request) {
		var a Apply
		if f := Read(r, &a, maxPolicy); f != nil {
			Bounce(w, f)
			return
		}
		if a.Op == "" {
			Bounce(w, No(http.StatusBadRequest, "missing", "op", "an operation needs an id of its own"))
			return
		}
		got, err := o.Apply(r.Context(), &a)
		answer(w, got, err)
	})
	mark := func(f func(context.Context, string, *Mark) (*Applied, error)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var m Mark
			if f := Read(r, &m, 4096); f != nil {
				Bounce(w, f)
				return
			}
			if m.Op == "" {
				Bounce(w, No(http.StatusBadRequest, "missing", "op", "an operation needs an id of its own"))
				return
			}
			got, err := f(r.Context(), r.PathValue("name"), &m)
			answer(w, got, err)
		}
	}
	mux.HandleFunc("POST /v1/zones/{name}", mark(o.Evacuate))
	mux.HandleFunc("POST /v1/workers/{name}", mark(o.Drain))
	mux.HandleFunc("POST /v1/certificates/{name}", mark(o.Revoke))
	mux.HandleFunc("GET /v1/regimes", func(w http.ResponseWriter, _ *http.Request) { Write(w, http.StatusOK, o.Regimes()) })
	mux.HandleFunc("GET /v1/audit", func(w http.ResponseWriter, r *http.Request) {
		from, err := strconv.Atoi(r.FormValue("from"))
		if err != nil || from < 1 {
			Bounce(w, No(http.StatusBadRequest, "out-of-range", "from", "a row's number is needed, from 1 on"))
			return
		}
		got, err := o.Audits(r.Context(), from, 500)
		if err != nil {
			Bounce(w, err)
			return
		}
		Write(w, http.StatusOK, got)
	})
}

func answer(w http.ResponseWriter, a any, err error) {
	if err != nil {
		Bounce(w, err)
		return
	}
	Write(w, http.StatusOK, a)
}
