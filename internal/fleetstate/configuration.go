// Package fleetstate holds the replicated state of the fleet: the operators' configuration,
// evacuated zones, draining workers, and the idempotency records, which are the claims and
// outcomes of requests. This file parses a configuration and validates it with CUE.
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

// Worker describes one worker. Weights identifies its model weights. Capacity is the size of its KV
// cache in blocks, BlockSize the number of tokens in a block.
type Worker struct {
	Role      ids.Role `json:"part"`
	Model     string   `json:"model"`
	Weights   string   `json:"weights"`
	Adapters  []string `json:"adapters"`
	Capacity  int      `json:"room"`
	BlockSize int      `json:"block"`
	Zone      ids.Zone `json:"zone"`
}

// StreamKind is a class of streams that share a model and limits. If Claimed is set, the idempotency
// key of a request is claimed before the request runs. Weight is the share of the kind in a loaded
// node's streams, relative to the weights of the other kinds.
type StreamKind struct {
	Claimed   bool   `json:"claimed"`
	Model     string `json:"model"`
	MaxTokens int    `json:"maxTokens"`
	MaxPrompt int    `json:"maxPrompt"`
	Weight    int    `json:"weight"`
}

// Program is a routing program and its share of the traffic in percent. If Shadow is set, the
// program is run and counted but its order is not used. If ChangesRoles is set, the program decides
// when workers change between prefill and decode.
type Program struct {
	Source       string `json:"source"`
	Share        int    `json:"share"`
	Shadow       bool   `json:"shadow"`
	ChangesRoles bool   `json:"turns"`
}

// Limits are the numeric limits that operators may set. The schema holds the defaults.
type Limits struct {
	MaxInflight     int     `json:"inflight"`
	MaxQueued       int     `json:"queue"`
	SlowStartMs     int     `json:"rampMs"`
	MaxReportLagMs  int     `json:"lagMs"`
	RetryRate       float64 `json:"retryRate"`
	RetryBurst      int     `json:"retryBurst"`
	MaxAttempts     int     `json:"attempts"`
	PrefixTokens    int     `json:"prefixTokens"`
	RetryAfterMs    int     `json:"retryAfterMs"`
	MinRoleDwellMs  int     `json:"dwellMs"`
	MaxProgramSteps uint64  `json:"steps"`
	PickTimeoutMs   int     `json:"giveUpMs"`
	MaxRecords      int     `json:"deeds"`
}

// MaxReportLag is how far the state in a worker's load report may lag behind the response that
// carries it.
func (l Limits) MaxReportLag() time.Duration {
	return time.Duration(l.MaxReportLagMs) * time.Millisecond
}

// SlowStart is how long a worker that has just started receives reduced load.
func (l Limits) SlowStart() time.Duration { return time.Duration(l.SlowStartMs) * time.Millisecond }

// MinRoleDwell is the minimum time between two role changes of a worker.
func (l Limits) MinRoleDwell() time.Duration {
	return time.Duration(l.MinRoleDwellMs) * time.Millisecond
}

// PickTimeout is how long a node keeps picking workers for a request that has not started yet.
func (l Limits) PickTimeout() time.Duration { return time.Duration(l.PickTimeoutMs) * time.Millisecond }

// Configuration is one version of the operators' settings: workers or services, routes, programs
// and limits. policy.cue is the schema of its JSON and CUE forms.
type Configuration struct {
	Workers            map[ids.WorkerID]Worker `json:"workers"`
	Zones              []ids.Zone              `json:"zones"`
	Kinds              map[string]StreamKind   `json:"kinds"`
	Programs           map[string]Program      `json:"programs"`
	Limits             Limits                  `json:"limits"`
	RoleChangesEnabled bool                    `json:"switch"`
	Routes             []Route                 `json:"routes,omitempty"`
	Services           map[string]Service      `json:"services,omitempty"`
	ClientLimits       ClientLimits            `json:"intake,omitzero"`
	Tenants            []Tenant                `json:"tenants,omitzero"` // nil means that requests need no API key
	CertificationConfig
}

// ConfigurationParser parses an operator's document into a configuration.
type ConfigurationParser func(text []byte) (*Configuration, error)

// ParseJSON decodes the complete JSON form that ParseComplete returns. It does not validate.
func ParseJSON(text []byte) (*Configuration, error) {
	cfg := &Configuration{}
	return cfg, json.Unmarshal(text, cfg)
}

// ProgramNames returns the names of the programs in sorted order.
func (cfg *Configuration) ProgramNames() []string {
	var out []string
	for n := range cfg.Programs {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// invalidCUE converts a CUE error to an InvalidArgument failure that lists the first five faults
// with their fields and positions.
func invalidCUE(err error) error {
	var lines []string
	for _, e := range errors.Errors(err) {
		format, args := e.Msg()
		line := fmt.Sprintf(format, args...)
		if path := e.Path(); len(path) > 0 {
			line = strings.TrimPrefix(strings.Join(path, "."), "#Policy.") + ": " + line
		}
		for _, pos := range append(e.InputPositions(), e.Position()) {
			if pos.IsValid() && pos.Filename() != "schema" {
				line = fmt.Sprintf("%s:%d:%d: %s", pos.Filename(), pos.Line(), pos.Column(), line)
				break
			}
		}
		if lines = append(lines, line); len(lines) == 5 {
			break
		}
	}
	return failure.New(failure.InvalidArgument, "check policy", "", "%s", strings.Join(lines, "; "))
}

// checkDuplicates rejects a document that defines an entry, such as a worker, twice. CUE alone
// would silently unify equal or compatible definitions. It also rejects documents with too many
// entries before the schema is applied.
func checkDuplicates(f *ast.File) error {
	seen := map[string]bool{}
	var visit func(decls []ast.Decl, path []string) error
	visit = func(decls []ast.Decl, path []string) error {
		for _, d := range decls {
			if e, ok := d.(*ast.EmbedDecl); ok {
				if lit, ok := e.Expr.(*ast.StructLit); ok {
					if err := visit(lit.Elts, path); err != nil {
						return err
					}
				}
			}
			field, ok := d.(*ast.Field)
			if !ok {
				continue
			}
			name, _, err := ast.LabelName(field.Label)
			if err != nil {
				continue
			}
			fieldPath := append(append([]string(nil), path...), name)
			lit, isStruct := field.Value.(*ast.StructLit)
			if len(fieldPath) < 2 && isStruct {
				if err := visit(lit.Elts, fieldPath); err != nil {
					return err
				}
				continue
			}
			key := strings.Join(fieldPath, ".")
			if pos := field.Pos(); seen[key] {
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
			// The 100 allows for fields that are not entries, which are counted here as well.
			if seen[key] = true; len(seen) > maxEntries+100 {
				return failure.New(
					failure.InvalidArgument,
					"check policy",
					"",
					"%s: over %d entries; a policy may have no more",
					field.Pos().Filename(),
					maxEntries,
				)
			}
		}
		return nil
	}
	return visit(f.Decls, nil)
}

// CUEToJSON evaluates CUE or JSON text to JSON. Its errors have positions in the text.
func CUEToJSON(name string, text []byte) ([]byte, error) {
	f, err := parser.ParseFile(name, text)
	if err != nil {
		return nil, invalidCUE(err)
	}
	if err := checkDuplicates(f); err != nil {
		return nil, err
	}
	v := cuecontext.New().BuildFile(f)
	if v.Err() != nil {
		return nil, invalidCUE(v.Err())
	}
	b, err := v.MarshalJSON()
	if err != nil {
		return nil, invalidCUE(err)
	}
	return b, nil
}

// ParseConfiguration validates a configuration in JSON or CUE and fills in the defaults.
func ParseConfiguration(name string, text []byte) (*Configuration, error) {
	cfg, err := parseWithSchema(name, text)
	if err != nil {
		return nil, err
	}
	return cfg, cfg.validate()
}

// parseWithSchema validates a text against the schema only and fills in the defaults.
func parseWithSchema(name string, text []byte) (*Configuration, error) {
	f, err := parser.ParseFile(name, text)
	if err != nil {
		return nil, invalidCUE(err)
	}
	if err := checkDuplicates(f); err != nil {
		return nil, err
	}
	v, err := buildValue(f, true)
	if err != nil {
		return nil, err
	}
	cfg := &Configuration{}
	if err := v.Decode(cfg); err != nil {
		return nil, invalidCUE(err)
	}
	return cfg, nil
}

// buildValue unifies a document with the schema. Unless complete is set, fields may be missing.
func buildValue(f *ast.File, complete bool) (cue.Value, error) {
	ctx := cuecontext.New()
	schemaValue := ctx.CompileString(schema, cue.Filename("schema"))
	if schemaValue.Err() != nil {
		return schemaValue, invalidCUE(schemaValue.Err())
	}
	v := schemaValue.LookupPath(cue.ParsePath("#Policy")).Unify(ctx.BuildFile(f))
	if err := v.Validate(cue.Concrete(complete), cue.All()); err != nil {
		return v, invalidCUE(err)
	}
	return v, nil
}

// ValidateSource validates an operator's original text against the schema, so that the errors
// have positions in that text. Unless complete is set, fields may be missing.
func ValidateSource(name string, text []byte, complete bool) error {
	f, err := parser.ParseFile(name, text)
	if err != nil {
		return invalidCUE(err)
	}
	_, err = buildValue(f, complete)
	return err
}

// ParseComplete validates a complete configuration and also returns it as JSON with all defaults
// filled in.
func ParseComplete(name string, text []byte) (*Configuration, []byte, error) {
	cfg, err := parseWithSchema(name, text)
	if err != nil {
		return nil, nil, err
	}
	return cfg.validateAndEncode()
}

// validate checks the constraints between fields, which the schema does not express.
func (cfg *Configuration) validate() error {
	fault := func(field, format string, args ...any) error {
		return failure.New(failure.InvalidArgument, "check policy", "", field+": "+format, args...)
	}
	if n := len(cfg.Workers) + len(cfg.Kinds) + len(cfg.Programs) + len(cfg.Certificates); n > maxEntries {
		return fault("workers, kinds, programs, certificates", "%d entries in all, over %d", n, maxEntries)
	}
	zones := map[ids.Zone]bool{}
	for _, z := range cfg.Zones {
		if zones[z] {
			return fault("zones", "%s stands twice", z)
		}
		zones[z] = true
	}
	rolesByModel := map[string]map[ids.Role]bool{}
	for id, w := range cfg.Workers {
		if !zones[w.Zone] {
			return fault(fmt.Sprintf("workers.%s.zone", id), "unknown zone %q", w.Zone)
		}
		if rolesByModel[w.Model] == nil {
			rolesByModel[w.Model] = map[ids.Role]bool{}
		}
		rolesByModel[w.Model][w.Role] = true
	}
	for name, k := range cfg.Kinds {
		if roles := rolesByModel[k.Model]; !(roles[ids.Prefill] && roles[ids.Decode]) {
			return fault(fmt.Sprintf("kinds.%s.model", name), "no prefill and decode worker offers %q", k.Model)
		}
	}
	if err := cfg.CheckPrograms(); err != nil {
		return err
	}
	if err := cfg.checkRegimes(); err != nil {
		return err
	}
	if err := cfg.CheckTenants(); err != nil {
		return err
	}
	return cfg.CheckRoutes()
}

// CheckPrograms checks that the traffic shares add up to 100 percent and that at most one program
// changes the roles of workers.
func (cfg *Configuration) CheckPrograms() error {
	fault := func(format string, args ...any) error {
		return failure.New(failure.InvalidArgument, "check policy", "", "programs: "+format, args...)
	}
	sum, programsWithShare, roleChangers := 0, 0, 0
	for _, program := range cfg.Programs {
		if program.ChangesRoles {
			roleChangers++
		}
		if !program.Shadow && (program.Share > 0 || !program.ChangesRoles) {
			sum, programsWithShare = sum+program.Share, programsWithShare+1
		}
	}
	if roleChangers > 1 {
		return fault("%d are in charge of turning; one may be", roleChangers)
	}
	if programsWithShare > 0 && sum != 100 {
		return fault("the shares add up to %d, not to 100", sum)
	}
	return nil
}

// Merge applies a partial configuration to a complete one as a JSON merge patch: given fields
// replace existing ones, null removes a field, and all other fields stay.
func Merge(complete, partial []byte) ([]byte, error) {
	var a, b any
	if len(complete) == 0 {
		complete = []byte("{}")
	}
	if err := json.Unmarshal(complete, &a); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "merge policy", "")
	}
	if err := json.Unmarshal(partial, &b); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "merge policy", "")
	}
	return json.Marshal(mergePatch(a, b))
}

func mergePatch(base, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	merged, ok := base.(map[string]any)
	if !ok {
		merged = map[string]any{}
	}
	for k, v := range changes {
		if v == nil {
			delete(merged, k)
		} else {
			merged[k] = mergePatch(merged[k], v)
		}
	}
	return merged
}
