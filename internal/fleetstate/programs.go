// Program sets: routing programs with their shares, apart from the configuration, for
// fleets whose operators' document has none. A set is a configuration of the product's own in
// which nothing but programs and what bounds them is given; it comes over the same log,
// is prepared, compiled and put in force as the configuration is.

package fleetstate

import (
	"context"
	"encoding/json"
	"reflect"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/routing"
	"keelstair.example/rpc"
)

type preparePrograms struct{ PrepareVersion }

func (c *preparePrograms) apply(s *State) (msgp.Marshaler, error) {
	return s.programs.prepare(&c.PrepareVersion)
}

type commitPrograms struct{ CommitVersion }

func (c *commitPrograms) apply(s *State) (msgp.Marshaler, error) {
	_, err := s.programs.commit(c.Version)
	return &VersionReply{c.Version}, err
}

// Bounds of a set: every node keeps and compiles it, small ones too.
const (
	maxPrograms = 16
	maxSources  = 64 << 10 // bytes of all sources
	maxSteps    = 100000
)

// Sources lists a configuration's programs.
func (p *Configuration) Sources() []routing.Source {
	var out []routing.Source
	for _, name := range p.Names() {
		g := p.Programs[name]
		out = append(out, routing.Source{
			Name:         name,
			Text:         g.Source,
			Share:        g.Share,
			Shadow:       g.Shadow,
			ChangesRoles: g.ChangesRoles,
		})
	}
	return out
}

// CompileSet compiles a configuration's programs. Faults have file, line and reason.
func (p *Configuration) CompileSet(scores *routing.Scores) (*routing.ProgramSet, error) {
	return routing.NewProgramSet(p.Sources(), p.Limits.Steps, scores)
}

// Draft makes a checked configuration of a text that Source gave, whole or, with partial, over
// base, and compiles its programs. Where a fault shows in the operator's own source, its
// place is given. The configuration also comes as JSON with all defaults.
func Draft(name, source string, text, base []byte, partial bool) (*Configuration, []byte, error) {
	var p *Configuration
	var complete []byte
	var err error
	if partial && len(base) > 0 {
		p, complete, err = Overlay(name, base, text)
	} else {
		p, complete, err = ParseComplete(name, text)
	}
	if err == nil {
		_, err = p.CompileSet(&routing.Scores{})
	} else if e := Explain(name, []byte(source), !partial); e != nil {
		err = e
	} else {
		err = LocateFault(name, []byte(source), err)
	}
	if err != nil {
		return nil, nil, err
	}
	return p, complete, nil
}

// CheckSet checks that a configuration is a program set and within its bounds.
func (p *Configuration) CheckSet() error {
	fault := func(form string, args ...any) error {
		return failure.New(failure.InvalidArgument, "check programs", "", form, args...)
	}
	size := 0
	for _, g := range p.Programs {
		size += len(g.Source)
	}
	switch {
	case len(p.Programs) > maxPrograms:
		return fault("programs: %d, over %d", len(p.Programs), maxPrograms)
	case size > maxSources:
		return fault("programs: %d bytes of source, over %d", size, maxSources)
	case p.Limits.Steps > maxSteps:
		return fault("limits.steps: %d, over %d", p.Limits.Steps, maxSteps)
	}
	none, _, err := ParseComplete("set", []byte("{}"))
	if err != nil {
		return err
	}
	none.Programs, none.Limits.Steps, none.Limits.DwellMs = p.Programs, p.Limits.Steps, p.Limits.DwellMs
	if !reflect.DeepEqual(none.Limits, p.Limits) {
		return fault("limits: only steps and dwellMs rule here")
	}
	if len(p.Workers)+len(p.Zones)+len(p.Kinds)+len(p.Routes)+len(p.Services) > 0 ||
		p.RoleChanges != none.RoleChanges || p.ClientLimits != none.ClientLimits {
		return fault(
			"only programs, limits.steps and limits.dwellMs may be given here; the rest comes with the fleet's own document",
		)
	}
	return p.CheckPrograms()
}

// CompileProgramSet reads the text of a program set and compiles it.
func CompileProgramSet(text []byte, scores *routing.Scores) (*Configuration, *routing.ProgramSet, error) {
	p, err := ReadPlain(decompress(text))
	if err != nil {
		return nil, nil, failure.As(err, failure.InvalidArgument, "read programs", "")
	}
	d, err := p.CompileSet(scores)
	return p, d, err
}

// PutPrograms asks the core for a program set, as JSON, made over the version base. Its
// errors are those of Put.
func PutPrograms(
	ctx context.Context,
	caller *rpc.Caller,
	directory *coordination.Directory,
	op ids.OpID,
	base ids.Version,
	text []byte,
) (ids.Version, error) {
	return submitForVersion(ctx, caller, directory, &coordination.SubmitRequest{
		Op:   op,
		Kind: PrepareProgramsKind,
		Body: coordination.MustMarshal(&PrepareVersion{Base: base, Text: compress(text)}),
	})
}

// SetText is a set as JSON; for none it is the empty one.
func SetText(r VersionedText) json.RawMessage {
	if len(r.Text) == 0 {
		return json.RawMessage("{}")
	}
	return decompress(r.Text)
}
