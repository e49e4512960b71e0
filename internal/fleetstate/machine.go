// This file connects State to the coordination service. Machine lists the duties to assign to nodes
// and proposes the commands that are due because time has passed or because nodes have applied the
// log up to an entry. A duty is a singleton role: the coordination service assigns its key to one
// node at a time.

package fleetstate

import (
	"sort"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/certification"
)

// These are the keys of the duties that exist under every configuration.
const (
	RetryBudgetKey     ids.Key = "budget" // the duty of granting retries from the fleet's retry budget
	ClaimResolutionKey ids.Key = "settle" // the duty of recording the outcomes of claims whose nodes are dead
)

// WorkerKey is the key of the duty of dispatching requests to one worker.
func WorkerKey(id ids.WorkerID) ids.Key { return ids.Key("worker/" + string(id)) }

// PoolKey is the key of the duty of balancing the prefill and decode roles of a model's workers.
func PoolKey(model string) ids.Key { return ids.Key("pool/" + model) }

// prepareProgress records what the commit of a prepared version waits for.
type prepareProgress struct {
	firstConsidered ids.Tick // when DueCommands of this replica first considered the version, or 0
	// Nodes must have applied the log up to this entry before the version is committed, unless
	// commitTimeout passes first.
	seq ids.Seq
}

// commitTracker tracks when the prepared versions of one version history may be committed.
type commitTracker struct {
	*versionHistory
	prepareKind, commitKind string // the kinds of the commands that prepare and commit its versions
	progress                map[ids.Version]prepareProgress
}

// Machine is the coordination.StateMachine that controllers replicate.
type Machine struct {
	*State
	commitTimeout      time.Duration
	parseConfiguration ConfigurationParser
	commitTrackers     []*commitTracker
	keys               []ids.Key
	keysVersion        ids.Version
	maxSlowStart       time.Duration       // the longest slow start of a failed-back zone, over all services
	failbackFirstSeen  map[uint64]ids.Tick // by failback number: when DueCommands of this replica first saw the failback
	now                ids.Tick
	pendingRevocations map[string]ids.Seq // by serial: the log entry that nodes must have applied
	clock              fleetClock
	configuredRegister *certification.Register // certificates of the active configuration; revocations are not applied
	meteringEnabled    bool
}

// MachineOptions are the options of NewMachine. A zero field takes the default named beside it.
type MachineOptions struct {
	CommitTimeout      time.Duration       // 300ms: how long a commit waits for nodes that have not applied the prepared version
	ParseConfiguration ConfigurationParser // ParseJSON: parses the text of a configuration
	Retention          Retention
	WallClock          func() time.Time // time.Now: read to initialize the fleet's time
	Metering           bool             // Keys lists MeteringKey if the configuration has services
}

// NewMachine returns a Machine with an empty state.
func NewMachine(opt MachineOptions) *Machine {
	ids.SetDefault(&opt.CommitTimeout, 300*time.Millisecond)
	if opt.ParseConfiguration == nil {
		opt.ParseConfiguration = ParseJSON
	}
	if opt.WallClock == nil {
		opt.WallClock = time.Now
	}
	m := &Machine{
		State:              newState(false, opt.Retention),
		commitTimeout:      opt.CommitTimeout,
		parseConfiguration: opt.ParseConfiguration,
		failbackFirstSeen:  map[uint64]ids.Tick{},
		pendingRevocations: map[string]ids.Seq{},
		clock:              fleetClock{wallClock: opt.WallClock},
		meteringEnabled:    opt.Metering,
	}
	m.commitTrackers = []*commitTracker{
		{
			versionHistory: &m.versionHistory,
			prepareKind:    PrepareKind,
			commitKind:     CommitKind,
			progress:       map[ids.Version]prepareProgress{},
		},
		{
			versionHistory: &m.programs,
			prepareKind:    PrepareProgramsKind,
			commitKind:     CommitProgramsKind,
			progress:       map[ids.Version]prepareProgress{},
		},
	}
	return m
}

// Apply applies the command of the log entry seq. It records the number of each entry that prepares
// a version or revokes a certificate. Before DueCommands proposes the commit or the confirmation,
// nodes must have applied the log up to that entry; they need not have applied later ones.
func (m *Machine) Apply(seq ids.Seq, kind string, body []byte) ([]byte, error) {
	out, err := m.State.Apply(kind, body)
	for _, tracker := range m.commitTrackers {
		if err == nil && kind == tracker.prepareKind {
			tracker.progress[tracker.newest()] = prepareProgress{seq: seq}
		}
	}
	if err == nil && kind == RevokeKind {
		var c Revoke
		c.UnmarshalMsg(body)
		m.pendingRevocations[c.Serial] = seq
	}
	return out, err
}

// Published reports whether commands of a kind are sent to watchers. It excludes the commands whose
// effect nodes learn in another way: the time comes with lease renewals, audit rows are queried, and
// the result of a DutyRoundKind command is in its reply.
func (m *Machine) Published(kind string) bool {
	return kind != AdvanceClockKind && kind != AppendAuditKind && kind != DutyRoundKind
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(body []byte) error { m.keysVersion = 0; m.keys = nil; return m.decode(body) }

// Snapshot encodes the complete state or, with forWatchers, only the part that is sent to watchers.
func (m *Machine) Snapshot(forWatchers bool) []byte {
	encoded := m.encode(forWatchers)
	for i, f := range encoded.Failbacks {
		encoded.Failbacks[i].ElapsedNs = int64(m.timeSinceFailback(f))
	}
	return coordination.MustMarshal(encoded)
}

// Keys returns the sorted keys of all duties under the active configuration: those of each worker,
// model and service, those that exist under every configuration, and, if there are services,
// WorkerListKey and, with metering, MeteringKey. If the configuration cannot be parsed, only the keys
// that exist under every configuration are listed. Keys builds the list when the active version has
// changed or a snapshot was restored, and then also sets configuredRegister and maxSlowStart.
func (m *Machine) Keys() []ids.Key {
	if m.keys != nil && m.keysVersion == m.active.Version {
		return m.keys
	}
	m.keysVersion = m.active.Version
	m.keys, m.configuredRegister, m.maxSlowStart = []ids.Key{RetryBudgetKey, ClaimResolutionKey}, nil, 0
	if configuration, err := m.parseConfiguration(decompress(m.active.Text)); len(m.active.Text) > 0 && err == nil {
		m.configuredRegister, _ = configuration.CompileRegister()
		models := map[string]bool{}
		for id, worker := range configuration.Workers {
			m.keys = append(m.keys, WorkerKey(id))
			models[worker.Model] = true
		}
		if len(configuration.Services) > 0 {
			m.keys = append(m.keys, WorkerListKey)
		}
		if len(configuration.Services) > 0 && m.meteringEnabled {
			m.keys = append(m.keys, MeteringKey)
		}
		for name, service := range configuration.Services {
			m.maxSlowStart = max(m.maxSlowStart, service.SlowStart())
			m.keys = append(m.keys, ServiceKey(name))
		}
		for model := range models {
			m.keys = append(m.keys, PoolKey(model))
		}
	}
	sort.Slice(m.keys, func(i, j int) bool { return m.keys[i] < m.keys[j] })
	return m.keys
}

// DueCommands returns the commands to propose now: those that advance the fleet's time, confirm
// revocations that every node with a lease has applied, end the slow start of zones after a
// failback, and commit prepared versions. Every node with a lease has applied the log up to the
// entry applied; seq is the newest entry of the log.
func (m *Machine) DueCommands(now ids.Tick, seq, applied ids.Seq) []coordination.Command {
	out := append(append(m.advanceClockCommands(now), m.confirmRevocationCommands(seq, applied)...), m.slowStartEndedCommands(now)...)
	for _, tracker := range m.commitTrackers {
		if version := tracker.newestCommittable(now, seq, applied, m.commitTimeout); version != 0 {
			out = append(out, coordination.Command{
				Kind: tracker.commitKind,
				Body: coordination.MustMarshal(&CommitVersion{version}),
			})
		}
	}
	return out
}

// unconfirmedRevocations lists the serials whose revocation some node may not enforce yet.
func (s *State) unconfirmedRevocations() []string {
	var out []string
	for serial, confirmed := range s.revocations {
		if !confirmed {
			out = append(out, serial)
		}
	}
	sort.Strings(out)
	return out
}

// confirmRevocationCommands returns the commands that confirm the revocations that every node with a
// lease has applied. It stops tracking the revocations for which it returns a command. If this
// replica did not apply a revocation itself, for example because it came with a snapshot, its entry
// is unknown; nodes must then have applied the log up to the entry seq of the first call.
func (m *Machine) confirmRevocationCommands(seq, applied ids.Seq) []coordination.Command {
	var out []coordination.Command
	for _, serial := range m.unconfirmedRevocations() {
		required, ok := m.pendingRevocations[serial]
		if !ok {
			required = seq
			m.pendingRevocations[serial] = required
		}
		if applied >= required {
			delete(m.pendingRevocations, serial)
			out = append(out, coordination.Command{
				Kind: ConfirmRevocationKind,
				Body: coordination.MustMarshal(&ConfirmRevocation{serial}),
			})
		}
	}
	return out
}

// newestCommittable returns the newest prepared version whose entry every node with a lease has
// applied, or that was first considered more than timeout ago. It returns 0 if there is none. It
// also starts the timeout of versions that it has not considered before, and stops tracking the
// returned version and all older ones.
func (p *commitTracker) newestCommittable(now ids.Tick, seq, applied ids.Seq, timeout time.Duration) ids.Version {
	var newest ids.Version
	for _, r := range p.prepared {
		progress, ok := p.progress[r.Version]
		if !ok {
			progress.seq = seq
		}
		if progress.firstConsidered == 0 {
			progress.firstConsidered = now
			p.progress[r.Version] = progress
		}
		if applied >= progress.seq || now.Past(progress.firstConsidered, timeout) {
			newest = r.Version
		}
	}
	if newest != 0 {
		for v := range p.progress {
			if v <= newest {
				delete(p.progress, v)
			}
		}
	}
	return newest
}
