// The state that the decrees and idempotency records build, the same on every copy. Commands
// are types with an apply method; one that is refused changes nothing.

package fleetstate

import (
	"encoding/json"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
)

// State holds it all. A lean one (on nodes) keeps open claims only.
type State struct {
	versionHistory                 // the configuration
	programs        versionHistory // the program sets
	claimsOnly      bool
	evacuatedZones  map[ids.Zone]bool
	zoneRevisions   map[ids.Zone]uint64
	drainedWorkers  map[ids.WorkerID]bool
	roleChanges     map[ids.WorkerID]ids.Role
	failbacks       map[ids.Zone]Failback
	failbackCount   uint64
	resolutionFence ids.Fence
	records         map[string]IdempotencyRecord
	resolvedKeys    []string // settled, oldest first
	agedKeys        agedKeys
	recordCount     int             // of all idempotency records there ever were
	maxRecords      int             // that the configuration in force allows
	revocations     map[string]bool // serials; true once in force everywhere
	timeBound       int64           // bound of the fleet's time
	hasRegimes      bool            // the configuration in force has regimes
	auditLog        auditLog
	dutySubjects    map[string]DutySubject
}

func newState(lean bool, d Retention) *State {
	return &State{
		claimsOnly:     lean,
		evacuatedZones: map[ids.Zone]bool{},
		zoneRevisions:  map[ids.Zone]uint64{},
		drainedWorkers: map[ids.WorkerID]bool{},
		failbacks:      map[ids.Zone]Failback{},
		roleChanges:    map[ids.WorkerID]ids.Role{},
		records:        map[string]IdempotencyRecord{},
		agedKeys:       newAgedKeys(d),
		revocations:    map[string]bool{},
		dutySubjects:   map[string]DutySubject{},
	}
}

// activate puts a version in force. A lean state has no need of its bounds.
func (s *State) activate(r VersionedText) {
	if s.active = r; s.claimsOnly {
		return
	}
	var p struct {
		Limits  Limits
		Regimes map[string]json.RawMessage
	}
	json.Unmarshal(decompress(r.Text), &p)
	s.maxRecords, s.hasRegimes = p.Limits.MaxRecords, len(p.Regimes) > 0
}

type command interface {
	msgp.Unmarshaler
	apply(*State) (msgp.Marshaler, error)
}

func newCommand(kind string) command {
	switch kind {
	case PrepareKind:
		return &PrepareVersion{}
	case CommitKind:
		return &CommitVersion{}
	case PrepareProgramsKind:
		return &preparePrograms{}
	case CommitProgramsKind:
		return &commitPrograms{}
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

// Apply reads a command by its kind and applies it.
func (s *State) Apply(kind string, body []byte) ([]byte, error) {
	if kind == QueryKind {
		return nil, s.queryOutcome(body)
	}
	c := newCommand(kind)
	if c == nil {
		return nil, failure.New(failure.InvalidArgument, "apply", kind, "no such command")
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
