// Package fleetstate is what the fleet agrees on: the operators' configuration (in
// our words the configuration), zones that are evacuated, workers that drain, and the
// idempotency records, that is, claims and outcomes of rulings and verdicts. This file reads
// and checks a configuration with CUE.
package fleetstate

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/parser"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

//go:embed policy.cue
var schema string

// Worker is one line of the catalogue.
type Worker struct {
	Role     ids.Role `json:"part"`
	Model    string   `json:"model"`
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters"`
	Capacity int      `json:"room"`
	Block    int      `json:"block"`
	Zone     ids.Zone `json:"zone"`
}

// Kind is one sort of stream.
type Kind struct {
	Claimed   bool   `json:"claimed"`
	Model     string `json:"model"`
	MaxTokens int    `json:"maxTokens"`
	MaxPrompt int    `json:"maxPrompt"`
	Weight    int    `json:"weight"`
}

// Program is a routing program and its share of the traffic.
type Program struct {
	Source       string `json:"source"`
	Share        int    `json:"share"`
	Shadow       bool   `json:"shadow"`
	ChangesRoles bool   `json:"turns"`
}

// Limits are the numbers that operators may set; the schema has the defaults.
type Limits struct {
	Inflight     int     `json:"inflight"`
	Queue        int     `json:"queue"`
	SlowStartMs  int     `json:"rampMs"`
	LagMs        int     `json:"lagMs"`
	RetryRate    float64 `json:"retryRate"`
	RetryBurst   int     `json:"retryBurst"`
	Attempts     int     `json:"attempts"`
	PrefixTokens int     `json:"prefixTokens"`
	RetryAfterMs int     `json:"retryAfterMs"`
	DwellMs      int     `json:"dwellMs"`
	Steps        uint64  `json:"steps"`
	GiveUpMs     int     `json:"giveUpMs"`
	MaxRecords   int     `json:"deeds"`
}

// Lag is by how much a worker's report may be older than its answer.
func (l Limits) Lag() time.Duration { return time.Duration(l.LagMs) * time.Millisecond }

// SlowStart is how long a worker that came up is given less work.
func (l Limits) SlowStart() time.Duration { return time.Duration(l.SlowStartMs) * time.Millisecond }

// Dwell is how long a worker keeps a role at least.
func (l Limits) Dwell() time.Duration { return time.Duration(l.DwellMs) * time.Millisecond }

// GiveUp is for how long a request that could not begin is picked again.
func (l Limits) GiveUp() time.Duration { return time.Duration(l.GiveUpMs) * time.Millisecond }

// Configuration is one version of what operators set: workers or services, routes, programs and
// limits. Its JSON and CUE forms have the schema of configuration.cue.
type Configuration struct {
	Workers      map[ids.WorkerID]Worker `json:"workers"`
	Zones        []ids.Zone              `json:"zones"`
	Kinds        map[string]Kind         `json:"kinds"`
	Programs     map[string]Program      `json:"programs"`
	Limits       Limits                  `json:"limits"`
	RoleChanges  bool                    `json:"switch"`
	Routes       []Route                 `json:"routes,omitempty"`
	Services     map[string]Service      `json:"services,omitempty"`
	ClientLimits ClientLimits            `json:"intake,omitzero"`
	Tenants      []Tenant                `json:"tenants,omitzero"` // nil: requests need no key
	CertificationConfig
}

// ConfigurationReader makes a configuration of an operator's text.
type ConfigurationReader func(text []byte) (*Configuration, error)

// ReadPlain reads the product's own form, as ParseComplete gives it.
func ReadPlain(text []byte) (*Configuration, error) {
	p := &Configuration{}
	return p, json.Unmarshal(text, p)
}

// Names lists the programs in a fixed order.
func (p *Configuration) Names() []string {
	var out []string
	for n := range p.Programs {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

func invalid(err error) error {
	var rows []string
	for _, e := range errors.Errors(err) {
		form, args := e.Msg()
		row := fmt.Sprintf(form, args...)
		if path := e.Path(); len(path) > 0 {
			row = strings.TrimPrefix(strings.Join(path, "."), "#Policy.") + ": " + row
		}
		for _, pos := range append(e.InputPositions(), e.Position()) {
			if pos.IsValid() && pos.Filename() != "schema" {
				row = fmt.Sprintf("%s:%d:%d: %s", pos.Filename(), pos.Line(), pos.Column(), row)
				break
			}
		}
		if rows = append(rows, row); len(rows) == 5 {
			break
		}
	}
	return failure.New(failure.InvalidArgument, "check policy", "", "%s", strings.Join(rows, "; "))
}

// checkDuplicates finds an entry, such as a worker, that is listed two times; CUE alone
// would join equal or matching ones in silence.
func checkDuplicates(f *ast.File) error {
	seen := map[string]bool{}
	var look func(row []ast.Decl, path []string) error
	look = func(row []ast.Decl, path []string) error {
		for _, d := range row {
			if e, ok := d.(*ast.EmbedDecl); ok {
				if lit, ok := e.Expr.(*ast.StructLit); ok {
					if err := look(lit.Elts, path); err != nil {
						return err
					}
				}
			}
			fd, ok := d.(*ast.Field)
			if !ok {
				continue
			}
			name, _, err := ast.LabelName(fd.Label)
			if err != nil {
				continue
			}
			at := append(append([]string(nil), path...), name)
			lit, deep := fd.Value.(*ast.StructLit)
			if len(at) < 2 && deep {
				if err := look(lit.Elts, at); err != nil {
					return err
				}
				continue
			}
			key := strings.Join(at, ".")
			if pos := fd.Pos(); seen[key] {
				return failure.New(
					failure.InvalidArgument,
					"check policy",
					"",
					"%s:%d:%d: %s stands twice",
					pos.Filename(),
					pos.Line(),
					pos.Column(),
					key,
				)
			}
			if seen[key] = true; len(seen) > maxEntries+100 {
				return failure.New(
					failure.InvalidArgument,
					"check policy",
					"",
					"%s: over %d entries; a policy may have no more",
					fd.Pos().Filename(),
					maxEntries,
				)
			}
		}
		return nil
	}
	return look(f.Decls, nil)
}

// Source reads CUE or JSON text to plain JSON, with positions in its errors.
func Source(name string, text []byte) ([]byte, error) {
	f, err := parser.ParseFile(name, text)
	if err != nil {
		return nil, invalid(err)
	}
	if err := checkDuplicates(f); err != nil {
		return nil, err
	}
	v := cuecontext.New().BuildFile(f)
	if v.Err() != nil {
		return nil, invalid(v.Err())
	}
	b, err := v.MarshalJSON()
	if err != nil {
		return nil, invalid(err)
	}
	return b, nil
}

// Check holds a configuration, as JSON or CUE, against the schema and fills defaults.
func Check(name string, text []byte) (*Configuration, error) {
	p, err := shape(name, text)
	if err != nil {
		return nil, err
	}
	return p, p.validate()
}

// shape holds a text against the schema alone.
func shape(name string, text []byte) (*Configuration, error) {
	f, err := parser.ParseFile(name, text)
	if err != nil {
		return nil, invalid(err)
	}
	if err := checkDuplicates(f); err != nil {
		return nil, err
	}
	v, err := buildValue(f, true)
	if err != nil {
		return nil, err
	}
	p := &Configuration{}
	if err := v.Decode(p); err != nil {
		return nil, invalid(err)
	}
	return p, nil
}

// buildValue unifies a text with the schema.
func buildValue(f *ast.File, complete bool) (cue.Value, error) {
	cx := cuecontext.New()
	law := cx.CompileString(schema, cue.Filename("schema"))
	if law.Err() != nil {
		return law, invalid(law.Err())
	}
	v := law.LookupPath(cue.ParsePath("#Policy")).Unify(cx.BuildFile(f))
	if err := v.Validate(cue.Concrete(complete), cue.All()); err != nil {
		return v, invalid(err)
	}
	return v, nil
}

// Explain looks for the place of a fault in an operator's own text.
func Explain(name string, text []byte, complete bool) error {
	f, err := parser.ParseFile(name, text)
	if err != nil {
		return invalid(err)
	}
	_, err = buildValue(f, complete)
	return err
}

// ParseComplete checks a configuration and gives it back as plain JSON with all defaults.
func ParseComplete(name string, text []byte) (*Configuration, []byte, error) {
	p, err := shape(name, text)
	if err != nil {
		return nil, nil, err
	}
	return p.finish()
}

// validate checks what spans several fields.
func (p *Configuration) validate() error {
	fault := func(field, form string, args ...any) error {
		return failure.New(failure.InvalidArgument, "check policy", "", field+": "+form, args...)
	}
	if n := len(p.Workers) + len(p.Kinds) + len(p.Programs) + len(p.Certificates); n > maxEntries {
		return fault("workers, kinds, programs, certificates", "%d entries in all, over %d", n, maxEntries)
	}
	zones := map[ids.Zone]bool{}
	for _, z := range p.Zones {
		if zones[z] {
			return fault("zones", "%s stands twice", z)
		}
		zones[z] = true
	}
	models := map[string]map[ids.Role]bool{}
	for id, w := range p.Workers {
		if !zones[w.Zone] {
			return fault(fmt.Sprintf("workers.%s.zone", id), "unknown zone %q", w.Zone)
		}
		if models[w.Model] == nil {
			models[w.Model] = map[ids.Role]bool{}
		}
		models[w.Model][w.Role] = true
	}
	for name, k := range p.Kinds {
		if m := models[k.Model]; !(m[ids.Prefill] && m[ids.Decode]) {
			return fault(fmt.Sprintf("kinds.%s.model", name), "no prefill and decode worker offers %q", k.Model)
		}
	}
	if err := p.CheckPrograms(); err != nil {
		return err
	}
	if err := p.checkRegimes(); err != nil {
		return err
	}
	if err := p.CheckTenants(); err != nil {
		return err
	}
	return p.CheckRoutes()
}

// CheckPrograms checks that the shares add up and that one program at most role changes workers.
func (p *Configuration) CheckPrograms() error {
	fault := func(form string, args ...any) error {
		return failure.New(failure.InvalidArgument, "check policy", "", "programs: "+form, args...)
	}
	sum, shares, turners := 0, 0, 0
	for _, g := range p.Programs {
		if g.ChangesRoles {
			turners++
		}
		if !g.Shadow && (g.Share > 0 || !g.ChangesRoles) {
			sum, shares = sum+g.Share, shares+1
		}
	}
	if turners > 1 {
		return fault("%d are in charge of turning; one may be", turners)
	}
	if shares > 0 && sum != 100 {
		return fault("the shares add up to %d, not to 100", sum)
	}
	return nil
}

// Merge lays a partial configuration over a whole one: fields replace fields, null
// removes, all else stays.
func Merge(complete, part []byte) ([]byte, error) {
	var a, b any
	if len(complete) == 0 {
		complete = []byte("{}")
	}
	if err := json.Unmarshal(complete, &a); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "merge policy", "")
	}
	if err := json.Unmarshal(part, &b); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "merge policy", "")
	}
	return json.Marshal(mergeValues(a, b))
}

func mergeValues(a, b any) any {
	over, ok := b.(map[string]any)
	if !ok {
		return b
	}
	under, ok := a.(map[string]any)
	if !ok {
		under = map[string]any{}
	}
	for k, v := range over {
		if v == nil {
			delete(under, k)
		} else {
			under[k] = mergeValues(under[k], v)
		}
	}
	return under
}
