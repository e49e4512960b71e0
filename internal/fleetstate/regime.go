// A certification regime governs some kinds of requests, which only workers and router nodes with
// a certificate for the regime may handle. This file checks regimes and certificates before a
// configuration is accepted, and locates errors in the operator's text.

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

// Register compiles the regimes, issuers and certificates. It returns nil if there are no regimes.
func (c *CertificationConfig) Register() (*certification.Register, error) {
	return certification.Compile(c.Regimes, c.Issuers, c.Certificates)
}

// invalidRegime returns the error for an invalid field at a path of the configuration.
func invalidRegime(path []string, reason string) error {
	return failure.As(&certification.Fault{
		Path:   path,
		Reason: reason,
	}, failure.InvalidArgument, "check regimes", strings.Join(path, "."))
}

// checkRegimes checks that every certificate is valid, that every kind that a regime governs
// exists, and that each regime has a certified router node and, for each of its kinds, a certified
// worker of each role.
func (cfg *Configuration) checkRegimes() error {
	if len(cfg.Regimes)+len(cfg.Certificates)+len(cfg.Issuers) == 0 {
		return nil
	}
	if _, err := cfg.Register(); err != nil {
		var f *certification.Fault
		if errors.As(err, &f) {
			return invalidRegime(f.Path, f.Reason)
		}
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Regimes)) {
		if len(cfg.Regimes[name].Kinds) == 0 {
			return invalidRegime([]string{"regimes", name, "kinds"}, "it governs no kind")
		}
		for _, kind := range cfg.Regimes[name].Kinds {
			k, ok := cfg.Kinds[kind]
			if !ok {
				return invalidRegime([]string{"regimes", name, "kinds"}, "unknown kind "+quote(kind))
			}
			for _, role := range []ids.Role{ids.Prefill, ids.Decode} {
				if !cfg.hasCertifiedWorker(name, k.Model, role) {
					return invalidRegime([]string{
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
			return invalidRegime([]string{"regimes", name}, "no router node is certified")
		}
	}
	return nil
}

func quote(s string) string { return `"` + s + `"` }

// hasCertifiedWorker reports whether a configured worker of the model has a certificate for its
// own role in the regime.
func (cfg *Configuration) hasCertifiedWorker(regime, model string, role ids.Role) bool {
	for _, c := range cfg.Certificates {
		if w, ok := cfg.Workers[c.Worker]; ok && c.Regime == regime && w.Model == model && w.Role == role &&
			slices.Contains(c.Roles, role) {
			return true
		}
	}
	return false
}

// CheckTransition checks a configuration against the one that it replaces: a serial is never
// reused for another certificate, and no certificate that has already expired is added.
func (cfg *Configuration) CheckTransition(previous *Configuration, now certification.TimeBounds) error {
	for _, serial := range slices.Sorted(maps.Keys(cfg.Certificates)) {
		c := cfg.Certificates[serial]
		old, exists := previous.Certificates[serial]
		switch {
		case exists && old.Signature != c.Signature:
			return invalidRegime([]string{
				"certificates", serial,
			}, "serial "+quote(serial)+" stands for another certificate already; a new one needs a new serial")
		case !exists && now.High > 0 && certificateExpired(cfg, serial, now):
			return invalidRegime([]string{
				"certificates", serial, "until",
			}, "it has expired: its end "+c.Until+" is past")
		}
	}
	return nil
}

// certificateExpired reports whether the certificate of a serial has expired.
func certificateExpired(cfg *Configuration, serial string, now certification.TimeBounds) bool {
	register, _ := cfg.Register()
	for _, row := range register.CertificateStatuses(cfg.Certificates[serial].Regime, now) {
		if row.Serial == serial {
			return row.State == certification.Expired
		}
	}
	return false
}

// LocateFault adds to an error that wraps a certification.Fault the position of the faulty field
// in the operator's text, or of the nearest field that encloses it. It returns other errors
// unchanged.
func LocateFault(name string, text []byte, err error) error {
	var fault *certification.Fault
	if !errors.As(err, &fault) {
		return err
	}
	file, parseErr := parser.ParseFile(name, text)
	if parseErr != nil {
		return err
	}
	position := name
	if pos, _ := findPosition(file.Decls, fault.Path); pos.IsValid() {
		position = pos.Position().String()
	}
	return failure.New(
		failure.InvalidArgument, "check policy", "", "%s: %s: %s", position, strings.Join(fault.Path, "."), fault.Reason,
	)
}

// findPosition returns the position of the deepest field along a path, and its depth.
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

// NodeName returns the name by which certificates identify a node: its id without the suffix that
// changes with each start.
func NodeName(id ids.NodeID) string {
	if i := strings.LastIndexByte(string(id), '-'); i > 0 {
		return string(id)[:i]
	}
	return string(id)
}

// Eligible reports whether the duty of a key may be assigned to a node. The duty of a certified
// worker goes only to nodes that are certified for every regime that the worker may serve, since
// its holder passes on requests under a regime. ResolutionKey, whose holder reads outcomes, goes
// only to nodes that are certified for all regimes.
func (m *Machine) Eligible(key ids.Key, node ids.NodeID) bool {
	id, isWorkerKey := strings.CutPrefix(string(key), string(WorkerKey("")))
	if m.unrevokedRegister == nil || !isWorkerKey && key != ResolutionKey {
		return true
	}
	register := m.unrevokedRegister.WithRevoked(m.revocations)
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
