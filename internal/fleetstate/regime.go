// Regimes in a configuration: which kinds are governed, by whose certificates they may be
// handled, and what is refused beforehand, with its place in the operator's text.

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

// CertificationConfig is the part of a configuration that certified nodes are for.
type CertificationConfig struct {
	Regimes      map[string]certification.Regime      `json:"regimes,omitempty"`
	Issuers      map[string]certification.Issuer      `json:"issuers,omitempty"`
	Certificates map[string]certification.Certificate `json:"certificates,omitempty"`
}

// Register compiles what the configuration says of regimes; nil without any.
func (c *CertificationConfig) Register() (*certification.Register, error) {
	return certification.Compile(c.Regimes, c.Issuers, c.Certificates)
}

func invalidRegime(path []string, reason string) error {
	return failure.As(&certification.Fault{
		Path:   path,
		Reason: reason,
	}, failure.InvalidArgument, "check regimes", strings.Join(path, "."))
}

// checkRegimes: every certificate holds, every governed kind exists, and each regime has
// a certified worker of each part for each of its kinds, and a certified router node.
func (p *Configuration) checkRegimes() error {
	if len(p.Regimes)+len(p.Certificates)+len(p.Issuers) == 0 {
		return nil
	}
	if _, err := p.Register(); err != nil {
		var f *certification.Fault
		if errors.As(err, &f) {
			return invalidRegime(f.Path, f.Reason)
		}
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(p.Regimes)) {
		if len(p.Regimes[name].Kinds) == 0 {
			return invalidRegime([]string{"regimes", name, "kinds"}, "it governs no kind")
		}
		for _, kind := range p.Regimes[name].Kinds {
			k, ok := p.Kinds[kind]
			if !ok {
				return invalidRegime([]string{"regimes", name, "kinds"}, "unknown kind "+quote(kind))
			}
			for _, part := range []ids.Role{ids.Prefill, ids.Decode} {
				if !p.hasCertifiedWorker(name, k.Model, part) {
					return invalidRegime([]string{
						"regimes", name,
					}, "no certified "+string(part)+" worker offers "+quote(k.Model)+" for kind "+quote(kind))
				}
			}
		}
		node := false
		for _, c := range p.Certificates {
			node = node || c.Regime == name && c.Node != ""
		}
		if !node {
			return invalidRegime([]string{"regimes", name}, "no router node is certified")
		}
	}
	return nil
}

func quote(s string) string { return `"` + s + `"` }

// hasCertifiedWorker tells whether a worker of the catalogue, in its own part, has a certificate.
func (p *Configuration) hasCertifiedWorker(regime, model string, part ids.Role) bool {
	for _, c := range p.Certificates {
		if w, ok := p.Workers[c.Worker]; ok && c.Regime == regime && w.Model == model && w.Role == part &&
			slices.Contains(c.Roles, part) {
			return true
		}
	}
	return false
}

// CheckTransition checks a configuration against the one that it replaces: a serial never stands for
// another certificate, and none comes in that has ended by now.
func (p *Configuration) CheckTransition(previous *Configuration, now certification.Now) error {
	for _, serial := range slices.Sorted(maps.Keys(p.Certificates)) {
		c := p.Certificates[serial]
		was, had := previous.Certificates[serial]
		switch {
		case had && was.Signature != c.Signature:
			return invalidRegime([]string{
				"certificates", serial,
			}, "serial "+quote(serial)+" stands for another certificate already; a new one needs a new serial")
		case !had && now.High > 0 && certificateExpired(p, serial, now):
			return invalidRegime([]string{
				"certificates", serial, "until",
			}, "it has expired: its end "+c.Until+" is past")
		}
	}
	return nil
}

func certificateExpired(p *Configuration, serial string, now certification.Now) bool {
	r, _ := p.Register()
	for _, row := range r.Rows(p.Certificates[serial].Regime, now) {
		if row.Serial == serial {
			return row.State == certification.Expired
		}
	}
	return false
}

// LocateFault gives the place of a fault's field in an operator's own text, or of the nearest
// field around it, before the fault's line.
func LocateFault(name string, text []byte, err error) error {
	var at *certification.Fault
	if !errors.As(err, &at) {
		return err
	}
	f, bad := parser.ParseFile(name, text)
	if bad != nil {
		return err
	}
	where := name
	if pos, _ := findPosition(f.Decls, at.Path); pos.IsValid() {
		where = pos.Position().String()
	}
	return failure.New(
		failure.InvalidArgument, "check policy", "", "%s: %s: %s", where, strings.Join(at.Path, "."), at.Reason,
	)
}

// findPosition finds the deepest field along a path, and how deep it is.
func findPosition(row []ast.Decl, path []string) (pos token.Pos, depth int) {
	type found struct {
		pos   token.Pos
		depth int
	}
	var all []found
	for _, d := range row {
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

// NodeName is the name that a node's certificate bears: its id without the part that
// changes at each start.
func NodeName(id ids.NodeID) string {
	if i := strings.LastIndexByte(string(id), '-'); i > 0 {
		return string(id)[:i]
	}
	return string(id)
}

// Eligible reports whether a key may fall to a node. A certified worker's key falls to nodes
// that are certified for every regime that it may serve, since its holder hands on what is
// governed; and settling, which reads
// outcomes, to those certified for all.
func (m *Machine) Eligible(key ids.Key, node ids.NodeID) bool {
	id, worker := strings.CutPrefix(string(key), string(WorkerKey("")))
	if m.unrevokedRegister == nil || !worker && key != ResolutionKey {
		return true
	}
	register := m.unrevokedRegister.WithRevoked(m.revocations)
	now := certification.Now{Low: m.timeBound - int64(clockBoundLead), High: m.timeBound}
	for _, g := range register.Regimes() {
		for _, part := range []ids.Role{ids.Prefill, ids.Decode} {
			if _, ok := register.Clears(g, certification.Subject{Worker: ids.WorkerID(id)}, part, now); !ok && worker {
				continue
			}
			if _, ok := register.Clears(g, certification.Subject{Node: NodeName(node)}, "", now); !ok {
				return false
			}
		}
	}
	return true
}
