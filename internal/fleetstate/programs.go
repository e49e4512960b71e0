// This file handles program sets: routing programs with their traffic shares, versioned separately
// from the configuration, for fleets whose operators' document cannot contain programs. A set is a
// Configuration in which only the programs and their limits are given. It is sent over the same
// log, and is prepared, compiled and committed in the same way as the configuration.

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

type prepareProgramsCommand struct{ PrepareVersion }

func (c *prepareProgramsCommand) apply(s *State) (msgp.Marshaler, error) {
	return s.programs.prepare(&c.PrepareVersion)
}

type commitProgramsCommand struct{ CommitVersion }

func (c *commitProgramsCommand) apply(s *State) (msgp.Marshaler, error) {
	_, err := s.programs.commit(c.Version)
	return &VersionReply{c.Version}, err
}

// Limits of a program set. Every node, however small, stores and compiles each set.
const (
	maxPrograms        = 16
	maxSourceBytes     = 64 << 10 // total bytes of all sources
	maxStepsPerRequest = 100000
)

// ProgramSources returns the sources of a configuration's programs, sorted by name.
func (cfg *Configuration) ProgramSources() []routing.Source {
	var out []routing.Source
	for _, name := range cfg.ProgramNames() {
		program := cfg.Programs[name]
		out = append(out, routing.Source{
			Name:         name,
			Text:         program.Source,
			Share:        program.Share,
			Shadow:       program.Shadow,
			ChangesRoles: program.ChangesRoles,
		})
	}
	return out
}

// CompilePrograms compiles a configuration's programs. Its errors give file, line and reason.
func (cfg *Configuration) CompilePrograms(scores *routing.Scores) (*routing.ProgramSet, error) {
	return routing.NewProgramSet(cfg.ProgramSources(), cfg.Limits.MaxProgramSteps, scores)
}

// ParseUpdate validates an operator's update and compiles its programs. The text is the output of
// CUEToJSON for source; it is a complete configuration or, if partial is set, one that is merged
// into base. If a fault can be located in source, the error gives its position there. The
// configuration is also returned as JSON with all defaults filled in.
func ParseUpdate(name, source string, text, base []byte, partial bool) (*Configuration, []byte, error) {
	var cfg *Configuration
	var complete []byte
	var err error
	if partial && len(base) > 0 {
		cfg, complete, err = Overlay(name, base, text)
	} else {
		cfg, complete, err = ParseComplete(name, text)
	}
	if err == nil {
		_, err = cfg.CompilePrograms(&routing.Scores{})
	} else if e := ValidateSource(name, []byte(source), !partial); e != nil {
		err = e
	} else {
		err = LocateFault(name, []byte(source), err)
	}
	if err != nil {
		return nil, nil, err
	}
	return cfg, complete, nil
}

// CheckProgramSet checks that a configuration is a program set and within the limits of one.
func (cfg *Configuration) CheckProgramSet() error {
	fault := func(format string, args ...any) error {
		return failure.New(failure.InvalidArgument, "check programs", "", format, args...)
	}
	sourceBytes := 0
	for _, program := range cfg.Programs {
		sourceBytes += len(program.Source)
	}
	switch {
	case len(cfg.Programs) > maxPrograms:
		return fault("programs: %d, over %d", len(cfg.Programs), maxPrograms)
	case sourceBytes > maxSourceBytes:
		return fault("programs: %d bytes of source, over %d", sourceBytes, maxSourceBytes)
	case cfg.Limits.MaxProgramSteps > maxStepsPerRequest:
		return fault("limits.steps: %d, over %d", cfg.Limits.MaxProgramSteps, maxStepsPerRequest)
	}
	defaults, _, err := ParseComplete("set", []byte("{}"))
	if err != nil {
		return err
	}
	defaults.Programs, defaults.Limits.MaxProgramSteps, defaults.Limits.MinRoleDwellMs = cfg.Programs, cfg.Limits.MaxProgramSteps, cfg.Limits.MinRoleDwellMs
	if !reflect.DeepEqual(defaults.Limits, cfg.Limits) {
		return fault("limits: only steps and dwellMs rule here")
	}
	if len(cfg.Workers)+len(cfg.Zones)+len(cfg.Kinds)+len(cfg.Routes)+len(cfg.Services) > 0 ||
		cfg.RoleChangesEnabled != defaults.RoleChangesEnabled || cfg.ClientLimits != defaults.ClientLimits {
		return fault(
			"only programs, limits.steps and limits.dwellMs may be given here; the rest comes with the fleet's own document",
		)
	}
	return cfg.CheckPrograms()
}

// CompileProgramSet parses the text of a program set, which may be compressed, and compiles it.
func CompileProgramSet(text []byte, scores *routing.Scores) (*Configuration, *routing.ProgramSet, error) {
	cfg, err := ParseJSON(decompress(text))
	if err != nil {
		return nil, nil, failure.As(err, failure.InvalidArgument, "read programs", "")
	}
	set, err := cfg.CompilePrograms(scores)
	return cfg, set, err
}

// PutPrograms submits a program set, in JSON, that is based on the version base. It returns the
// same errors as Put.
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

// ProgramSetJSON returns a program set as JSON, or the empty set if the version has no text.
func ProgramSetJSON(version VersionedText) json.RawMessage {
	if len(version.Text) == 0 {
		return json.RawMessage("{}")
	}
	return decompress(version.Text)
}
