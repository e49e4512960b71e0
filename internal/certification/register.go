// The register is compiled once per configuration. While a request is processed, the register determines whether a
// subject is currently authorized for a regime, and by which certificate.

package certification

import (
	"errors"
	"slices"
	"sort"
	"time"

	"keelstair.example/ids"
)

// TimeBounds is the interval that contains the fleet's current time, in nanoseconds since 1970. A validity
// period has begun when its start is not after Low, and has ended when its end is not after High. The zero value
// means that the time is unknown.
type TimeBounds struct{ Low, High int64 }

// ExactTime returns the bounds of a time that is known exactly.
func ExactTime(t time.Time) TimeBounds { return TimeBounds{t.UnixNano(), t.UnixNano()} }

type grantKey struct {
	regime  string
	subject Subject
	role    ids.Role
}

type grant struct {
	serial      string
	from, until int64
}

// Register holds the regimes and the correctly signed certificates of a configuration, including certificates that
// have expired or are not valid yet. It is not changed after Compile, but it keeps the maps that were passed to
// Compile and WithRevoked, which must not be changed either. A nil Register has no regimes.
type Register struct {
	regimes      map[string]Regime
	regimeOfKind map[string]string
	grants       map[grantKey][]grant
	certificates map[string]*Certificate // by serial
	validity     map[string]grant        // by serial
	revoked      map[string]bool         // by serial; the values are ignored
}

// Compile returns the register of a configuration. The error joins the faults of the regimes, of the issuers and of
// the certificates, in the order of their names and serials. Invalid certificates are omitted from the register: those
// that are malformed or wrongly signed, and those whose validity period does not overlap that of their issuer. Without
// regimes the register is nil.
func Compile(regimes map[string]Regime, issuers map[string]Issuer, certs map[string]Certificate) (*Register, error) {
	var errs []error
	if len(regimes) == 0 {
		if len(certs) > 0 {
			return nil, invalid([]string{"certificates"}, "there are certificates and no regime")
		}
		return nil, nil
	}
	r := &Register{
		regimes:      regimes,
		regimeOfKind: map[string]string{},
		grants:       map[grantKey][]grant{},
		certificates: map[string]*Certificate{},
		validity:     map[string]grant{},
	}
	for _, name := range sortedKeys(regimes) {
		for _, k := range regimes[name].Kinds {
			if other, ok := r.regimeOfKind[k]; ok {
				errs = append(errs, invalid([]string{
					"regimes", name, "kinds",
				}, "kind %q is already governed by regime %q", k, other))
				continue
			}
			r.regimeOfKind[k] = name
		}
	}
	keys := map[string]*issuerKey{}
	for _, id := range sortedKeys(issuers) {
		k, err := issuers[id].parse([]string{"issuers", id})
		if err != nil {
			errs = append(errs, err)
			continue
		}
		keys[id] = k
	}
	serialOfSignature := map[string]string{}
	for _, serial := range sortedKeys(certs) {
		c := certs[serial]
		if err := r.addCertificate(serial, &c, keys, serialOfSignature); err != nil {
			errs = append(errs, err)
		}
	}
	return r, errors.Join(errs...)
}

// addCertificate verifies a certificate and adds it to the register. serialOfSignature maps the signatures of the
// earlier certificates to their serials.
func (r *Register) addCertificate(
	serial string,
	c *Certificate,
	keys map[string]*issuerKey,
	serialOfSignature map[string]string,
) error {
	path := []string{"certificates", serial}
	switch other, duplicate := serialOfSignature[c.Signature]; {
	case c.Serial != serial:
		return invalid(
			path,
			"the certificate with serial %q is stored under the key %q: they must be equal",
			c.Serial,
			serial,
		)
	case duplicate:
		return invalid(
			append(path, "signature"), "the signature is a copy: the certificate with serial %q has the same one", other,
		)
	case (c.Worker == "") == (c.Node == ""):
		return invalid(path, "the subject of a certificate must be one worker or one node")
	case (c.Worker == "") != (len(c.Roles) == 0):
		return invalid(path, "a worker's certificate must have roles, and a node's must have none")
	}
	if _, ok := r.regimes[c.Regime]; !ok {
		return invalid(append(path, "regime"), "unknown regime %q", c.Regime)
	}
	serialOfSignature[c.Signature] = serial
	from, until, err := c.verify(path, keys)
	if err != nil {
		return err
	}
	roles := c.Roles
	if c.Node != "" {
		roles = []ids.Role{""}
	}
	g := grant{serial, from, until}
	for _, role := range roles {
		key := grantKey{c.Regime, c.Subject(), role}
		r.grants[key] = append(r.grants[key], g)
	}
	r.certificates[serial], r.validity[serial] = c, g
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// WithRevoked returns a copy of the register in which the revoked certificates are those whose serials are keys of
// revoked. The values of the map are ignored.
func (r *Register) WithRevoked(revoked map[string]bool) *Register {
	if r == nil {
		return nil
	}
	next := *r
	next.revoked = revoked
	return &next
}

// RegimeOf returns the name of the regime that governs a kind of request, or "".
func (r *Register) RegimeOf(kind string) string {
	if r == nil {
		return ""
	}
	return r.regimeOfKind[kind]
}

func (r *Register) isRevoked(serial string) bool {
	_, ok := r.revoked[serial]
	return ok
}

// HasRegime reports whether the configuration has the regime.
func (r *Register) HasRegime(regime string) bool {
	if r == nil {
		return false
	}
	_, ok := r.regimes[regime]
	return ok
}

// Authorizes reports whether a subject may now process requests of a regime in a role, which is "" for a node,
// and returns the serial of the certificate. Of several valid certificates it returns the one that expires last. If
// the time is unknown, no subject is authorized.
func (r *Register) Authorizes(regime string, s Subject, role ids.Role, now TimeBounds) (serial string, ok bool) {
	if r == nil || now.High == 0 {
		return "", false
	}
	var last int64
	for _, g := range r.grants[grantKey{regime, s, role}] {
		if g.from <= now.Low && now.High < g.until && !r.isRevoked(g.serial) && g.until > last {
			serial, last, ok = g.serial, g.until, true
		}
	}
	return serial, ok
}

// ReservedPercent returns the percentage of a worker's cache blocks that is reserved for governed requests: the
// largest value of all regimes for which the worker is currently authorized in the role.
func (r *Register) ReservedPercent(w ids.WorkerID, role ids.Role, now TimeBounds) int {
	percent := 0
	if r != nil {
		for name, regime := range r.regimes {
			if _, ok := r.Authorizes(name, Subject{Worker: w}, role, now); ok {
				percent = max(percent, regime.ReservedPercent)
			}
		}
	}
	return percent
}

// RegimeNames returns the names of the regimes in sorted order.
func (r *Register) RegimeNames() []string {
	if r == nil {
		return nil
	}
	return sortedKeys(r.regimes)
}

// State is the state of a certificate at a given time.
type State string

const (
	Valid       State = "valid"         // within the validity period and not revoked
	NotYetValid State = "not yet valid" // the validity period may not have begun yet
	Expired     State = "expired"       // the validity period may have ended
	Revoked     State = "revoked"       // revoked, whatever the validity period
)

// CertificateStatus is a certificate with its state and the end of its validity period, which is limited by that
// of its issuer.
type CertificateStatus struct {
	Certificate
	State State `json:"state"`
	Ends  int64 `json:"ends"` // nanoseconds since 1970
}

// CertificateStatuses returns the certificates of a regime, ordered by expiry and then by serial.
func (r *Register) CertificateStatuses(regime string, now TimeBounds) []CertificateStatus {
	var out []CertificateStatus
	if r == nil {
		return out
	}
	for serial, c := range r.certificates {
		g := r.validity[serial]
		if c.Regime != regime {
			continue
		}
		row := CertificateStatus{Certificate: *c, State: Valid, Ends: g.until}
		switch {
		case r.isRevoked(serial):
			row.State = Revoked
		case now.High >= g.until:
			row.State = Expired
		case now.Low < g.from:
			row.State = NotYetValid
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b CertificateStatus) int {
		if a.Ends != b.Ends {
			return int(min(max(a.Ends-b.Ends, -1), 1))
		}
		if a.Serial < b.Serial {
			return -1
		}
		return 1
	})
	return out
}

// Find returns the certificate with the given serial.
func (r *Register) Find(serial string) (Certificate, bool) {
	if r == nil || r.certificates[serial] == nil {
		return Certificate{}, false
	}
	return *r.certificates[serial], true
}

// Shortages lists the roles for which a regime has fewer than minimum valid subjects at a given time: prefill
// workers, decode workers and router nodes. Only subjects for which available returns true are counted; a nil
// available counts all.
func (r *Register) Shortages(regime string, minimum int, now TimeBounds, available func(Subject) bool) []string {
	count := map[ids.Role]map[Subject]bool{ids.Prefill: {}, ids.Decode: {}, "": {}}
	for _, row := range r.CertificateStatuses(regime, now) {
		if row.State != Valid || available != nil && !available(row.Subject()) {
			continue
		}
		if row.Node != "" {
			count[""][row.Subject()] = true
		}
		for _, role := range row.Roles {
			count[role][row.Subject()] = true
		}
	}
	var out []string
	for _, role := range []ids.Role{ids.Prefill, ids.Decode} {
		if n := len(count[role]); n < minimum {
			out = append(out, string(role)+" workers")
		}
	}
	if len(count[""]) < minimum {
		out = append(out, "router nodes")
	}
	return out
}
