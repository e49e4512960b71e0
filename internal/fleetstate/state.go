// This file defines State, which is built by applying the commands of the replicated log and is
// therefore the same on every replica. Each command is a type with an apply method. A command that is
// rejected changes nothing.

package fleetstate

import (
	"encoding/json"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
)

// State is the replicated state of the fleet. If claimsOnly is set, as on router nodes, it keeps
// only those idempotency records that are still claimed.
type State struct {
	versionHistory                 // of the configuration
	programs        versionHistory // of the program sets
	claimsOnly      bool
	evacuatedZones  map[ids.Zone]bool
	zoneRevisions   map[ids.Zone]uint64
	drainedWorkers  map[ids.WorkerID]bool
	roleChanges     map[ids.WorkerID]ids.Role
	failbacks       map[ids.Zone]Failback
	failbackCount   uint64
	resolutionFence ids.Fence
	records         map[string]IdempotencyRecord
	resolvedKeys    []string // keys of the resolved records that are kept in full, oldest first
	agedKeys        agedKeys
	recordCount     int             // number of idempotency records ever created
	maxRecords      int             // limit of recordCount from the active configuration; 0 for none
	revocations     map[string]bool // by serial; true once every node enforces the revocation
	timeBound       int64           // upper bound of the fleet's time, in ns since 1970
	// hasRegimes is true if the active configuration defines at least one regime, that is, a set of
	// request kinds that need certified workers.
	hasRegimes   bool
	auditLog     auditLog
	dutySubjects map[string]DutySubject
}

func newState(claimsOnly bool, retention Retention) *State {
	return &State{
		claimsOnly:     claimsOnly,
		evacuatedZones: map[ids.Zone]bool{},
		zoneRevisions:  map[ids.Zone]uint64{},
		drainedWorkers: map[ids.WorkerID]bool{},
		failbacks:      map[ids.Zone]Failback{},
		roleChanges:    map[ids.WorkerID]ids.Role{},
		records:        map[string]IdempotencyRecord{},
		agedKeys:       newAgedKeys(retention),
		revocations:    map[string]bool{},
		dutySubjects:   map[string]DutySubject{},
	}
}

// activate makes a version the active configuration. A state with claimsOnly doesn't use the limits or
// regimes, so the text isn't parsed for it.
func (s *State) activate(r VersionedText) {
	if s.active = r; s.claimsOnly {
		return
	}
	var configuration struct {
		Limits  Limits
		Regimes map[string]json.RawMessage
	}
	json.Unmarshal(decompress(r.Text), &configuration)
	s.maxRecords, s.hasRegimes = configuration.Limits.MaxRecords, len(configuration.Regimes) > 0
}

// command is a log command that is applied to a State.
type command interface {
	msgp.Unmarshaler
	apply(*State) (msgp.Marshaler, error)
}

// newCommand returns an empty command of a kind, or nil for an unknown kind.
func newCommand(kind string) command {
	switch kind {
	case PrepareKind:
		return &PrepareVersion{}
	case CommitKind:
		return &CommitVersion{}
	case PrepareProgramsKind:
		return &prepareProgramsCommand{}
	case CommitProgramsKind:
		return &commitProgramsCommand{}
	case EvacuateKind:
		return &Evacuate{}
	case DrainKind:
		return &Drain{}
	case RoleChangeKind:
		return &RoleChange{}
	case SlowStartEndedKind:
		return &SlowStartEnded{}
	case ClaimKind:
		return &Claim{}
	case ResolveKind:
		return &Resolve{}
	case TakeOverKind:
		return &TakeOver{}
	case AssignWorkerKind:
		return &AssignWorker{}
	case RevokeKind:
		return &Revoke{}
	case ConfirmRevocationKind:
		return &ConfirmRevocation{}
	case AdvanceClockKind:
		return &AdvanceClock{}
	case AppendAuditKind:
		return &AppendAudit{}
	case AuditQueryKind:
		return &AuditQuery{}
	case DutyRoundKind:
		return &DutyRound{}
	}
	return nil
}

// Apply decodes a command by its kind, applies it, and returns its encoded reply.
func (s *State) Apply(kind string, body []byte) ([]byte, error) {
	if kind == QueryKind {
		return nil, s.queryOutcome(body)
	}
	c := newCommand(kind)
	if c == nil {
		return nil, failure.New(failure.InvalidArgument, "apply", kind, "unknown command kind")
	}
	if _, err := c.UnmarshalMsg(body); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "apply", kind)
	}
	out, err := c.apply(s)
	if err != nil && err != coordination.ErrUnchanged || out == nil {
		return nil, err
	}
	return coordination.MustMarshal(out), err
}
