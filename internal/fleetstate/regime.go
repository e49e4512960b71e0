// A certification regime governs some kinds of requests, which only workers and router nodes with
// a certificate for the regime may handle. This file checks regimes and certificates before a
// configuration is accepted, locates errors in the operator's text, and decides which nodes may hold
// the duties that need a certificate.

package fleetstate

import (
	"errors"
	"maps"
	"slices"
	"sort"
	"strings"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/parser"
	"cuelang.org/go/cue/token"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/certification"
)

// CertificationConfig is the part of a configuration that defines regimes and their certificates.
type CertificationConfig struct {
	Regimes      map[string]certification.Regime      `json:"regimes,omitempty"`
	Issuers      map[string]certification.Issuer      `json:"issuers,omitempty"`
	Certificates map[string]certification.Certificate `json:"certificates,omitempty"`
}

// CompileRegister compiles the regimes, issuers and certificates. It returns nil if there are no regimes.
func (c *CertificationConfig) CompileRegister() (*certification.Register, error) {
	return certification.Compile(c.Regimes, c.Issuers, c.Certificates)
}

// invalidCertificationField returns the error for an invalid field of a regime, issuer or certificate,
// at a path of the configuration.
func invalidCertificationField(path []string, reason string) error {
	return failure.As(&certification.Fault{
		Path:   path,
		Reason: reason,
	}, failure.InvalidArgument, "check regimes", strings.Join(path, "."))
}

// checkRegimes checks that the certificates compile, that every kind that a regime governs exists,
// and that each regime has a certificate for a router node and, for each of its kinds, a certificate
// for a prefill worker and one for a decode worker of the kind's model. Certificates that have
// expired, are not in force yet or were revoked count as well.
func (cfg *Configuration) checkRegimes() error {
	if len(cfg.Regimes)+len(cfg.Certificates)+len(cfg.Issuers) == 0 {
		return nil
	}
	if _, err := cfg.CompileRegister(); err != nil {
		var f *certification.Fault
		if errors.As(err, &f) {
			return invalidCertificationField(f.Path, f.Reason)
		}
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Regimes)) {
		if len(cfg.Regimes[name].Kinds) == 0 {
			return invalidCertificationField([]string{"regimes", name, "kinds"}, "it governs no kind")
		}
		for _, kind := range cfg.Regimes[name].Kinds {
			k, ok := cfg.Kinds[kind]
			if !ok {
				return invalidCertificationField([]string{"regimes", name, "kinds"}, "unknown kind "+quote(kind))
			}
			for _, role := range []ids.Role{ids.Prefill, ids.Decode} {
				if !cfg.hasCertifiedWorker(name, k.Model, role) {
					return invalidCertificationField([]string{
						"regimes", name,
					}, "no certified "+string(role)+" worker offers "+quote(k.Model)+" for kind "+quote(kind))
				}
			}
		}
		hasNode := false
		for _, c := range cfg.Certificates {
			hasNode = hasNode || c.Regime == name && c.Node != ""
		}
		if !hasNode {
			return invalidCertificationField([]string{"regimes", name}, "no router node is certified")
		}
	}
	return nil
}

func quote(s string) string { return `"` + s + `"` }

// hasCertifiedWorker reports whether a configured worker of the model and role has a certificate of
// the regime for that role.
func (cfg *Configuration) hasCertifiedWorker(regime, model string, role ids.Role) bool {
	for _, c := range cfg.Certificates {
		if w, ok := cfg.Workers[c.Worker]; ok && c.Regime == regime && w.Model == model && w.Role == role &&
			slices.Contains(c.Roles, role) {
			return true
		}
	}
	return false
}

// CheckCertificateChanges checks the certificates of a configuration against those of the one that it
// replaces: a serial of the previous configuration must not identify another certificate, and an
// added certificate must not have expired. While the time is unknown, expiry is not checked.
func (cfg *Configuration) CheckCertificateChanges(previous *Configuration, now certification.TimeBounds) error {
	for _, serial := range slices.Sorted(maps.Keys(cfg.Certificates)) {
		c := cfg.Certificates[serial]
		old, exists := previous.Certificates[serial]
		switch {
		case exists && old.Signature != c.Signature:
			return invalidCertificationField([]string{
				"certificates", serial,
			}, "serial "+quote(serial)+" stands for another certificate already; a new one needs a new serial")
		case !exists && now.High > 0 && certificateExpired(cfg, serial, now):
			return invalidCertificationField([]string{
				"certificates", serial, "until",
			}, "it has expired: its end "+c.Until+" is past")
		}
	}
	return nil
}

// certificateExpired reports whether the certificate with a serial has expired at now. It returns
// false if the register compiled from cfg has no such serial.
func certificateExpired(cfg *Configuration, serial string, now certification.TimeBounds) bool {
	register, _ := cfg.CompileRegister()
	for _, row := range register.CertificateStatuses(cfg.Certificates[serial].Regime, now) {
		if row.Serial == serial {
			return row.State == certification.Expired
		}
	}
	return false
}

// LocateFault returns an error that gives the position of a faulty field in the operator's text, if
// err wraps a certification.Fault. The position is that of the field or of the nearest enclosing
// field that is found; if none is found, only the filename is given. The new error does not wrap
// err. LocateFault returns err unchanged if it wraps no Fault or if the text cannot be parsed.
func LocateFault(filename string, text []byte, err error) error {
	var fault *certification.Fault
	if !errors.As(err, &fault) {
		return err
	}
	file, parseErr := parser.ParseFile(filename, text)
	if parseErr != nil {
		return err
	}
	position := filename
	if pos, _ := findPosition(file.Decls, fault.Path); pos.IsValid() {
		position = pos.Position().String()
	}
	return failure.New(
		failure.InvalidArgument, "check policy", "", "%s: %s: %s", position, strings.Join(fault.Path, "."), fault.Reason,
	)
}

// findPosition returns the position of the deepest field that is found along a path, and the number
// of path elements that lead to it.
func findPosition(declarations []ast.Decl, path []string) (pos token.Pos, depth int) {
	type found struct {
		pos   token.Pos
		depth int
	}
	var all []found
	for _, d := range declarations {
		if e, ok := d.(*ast.EmbedDecl); ok {
			if lit, ok := e.Expr.(*ast.StructLit); ok {
				p, n := findPosition(lit.Elts, path)
				all = append(all, found{p, n})
			}
		}
		f, ok := d.(*ast.Field)
		if !ok || len(path) == 0 {
			continue
		}
		if label, _, err := ast.LabelName(f.Label); err != nil || label != path[0] {
			continue
		}
		all = append(all, found{f.Pos(), 1})
		if lit, ok := f.Value.(*ast.StructLit); ok {
			if p, n := findPosition(lit.Elts, path[1:]); n > 0 {
				all = append(all, found{p, n + 1})
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].depth > all[j].depth })
	if len(all) == 0 {
		return token.NoPos, 0
	}
	return all[0].pos, all[0].depth
}

// NodeName returns the name by which certificates identify a node: its id without the part from the
// last hyphen on, which changes with each start of the node.
func NodeName(id ids.NodeID) string {
	if i := strings.LastIndexByte(string(id), '-'); i > 0 {
		return string(id)[:i]
	}
	return string(id)
}

// Eligible reports whether the duty of a key may be assigned to a node. For the duty of a worker,
// the node must be certified for every regime for which the worker is certified now, since the
// holder forwards requests under these regimes. For the duty of ClaimResolutionKey, whose holder
// reads the outcomes of claims, the node must be certified for all regimes. Every node is eligible
// for other duties, and for all duties while there is no register, which Keys compiles. If no live
// node is eligible, the coordination service assigns the duty to any of them.
func (m *Machine) Eligible(key ids.Key, node ids.NodeID) bool {
	id, isWorkerKey := strings.CutPrefix(string(key), string(WorkerKey("")))
	if m.configuredRegister == nil || !isWorkerKey && key != ClaimResolutionKey {
		return true
	}
	register := m.configuredRegister.WithRevoked(m.revocations)
	now := certification.TimeBounds{Low: m.timeBound - int64(clockBoundLead), High: m.timeBound}
	for _, regime := range register.RegimeNames() {
		for _, role := range []ids.Role{ids.Prefill, ids.Decode} {
			if _, ok := register.Authorizes(regime, certification.Subject{Worker: ids.WorkerID(id)}, role, now); !ok && isWorkerKey {
				continue
			}
			if _, ok := register.Authorizes(regime, certification.Subject{Node: NodeName(node)}, "", now); !ok {
				return false
			}
		}
	}
	return true
}
