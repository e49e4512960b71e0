// Machine connects State to the coordination service: it lists the duties to assign to nodes
// and proposes the commands that follow from time and from what nodes have seen.

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
	RetryBudgetKey     ids.Key = "budget"
	ClaimResolutionKey ids.Key = "settle"
)

// WorkerKey is the key of the duty of dispatching requests to one worker.
func WorkerKey(id ids.WorkerID) ids.Key { return ids.Key("worker/" + string(id)) }

// PoolKey is the key of the duty of balancing the prefill and decode roles of a model's workers.
func PoolKey(model string) ids.Key { return ids.Key("pool/" + model) }

// prepareProgress records how far a prepared version has got towards its commit.
type prepareProgress struct {
	firstConsidered ids.Tick // when Due first considered the version on this machine
	seq             ids.Seq  // the log entry that nodes must have seen
}

// commitTracker tracks when the prepared versions of one version history may be committed.
type commitTracker struct {
	*versionHistory
	prepareKind, commitKind string // the command kinds of this history
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
	failbackFirstSeen  map[uint64]ids.Tick // by failback number: when Due first saw the failback here
	now                ids.Tick
	pendingRevocations map[string]ids.Seq // by serial: the entry that nodes must have applied
	clock              fleetClock
	configuredRegister *certification.Register // certificates of the active configuration, without revocations
	meteringEnabled    bool
}

// MachineOptions are the options of NewMachine. A zero field takes the default named beside it.
type MachineOptions struct {
	CommitTimeout      time.Duration       // 300ms: how long a commit waits for nodes that have not seen the prepared version
	ParseConfiguration ConfigurationParser // ReadPlain: parses the text of a configuration
	Retention          Retention
	WallClock          func() time.Time // time.Now: read once, to initialize the fleet's time
	Metering           bool             // usage is reported, so MeteringKey is listed
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

// Apply applies the command of the log entry seq. It records the entries that prepare a version
// or revoke a certificate, since nodes need to have seen only these before Due proposes the commit
// or the confirmation, not the claims that follow them in the log.
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

// Published reports whether commands of a kind are sent to watchers. Nodes get the time with
// their leases, audit rows by query, and the result of a duty round in the reply.
func (m *Machine) Published(kind string) bool {
	return kind != AdvanceClockKind && kind != AppendAuditKind && kind != DutyRoundKind
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(body []byte) error { m.keysVersion = 0; m.keys = nil; return m.decode(body) }

// Snapshot encodes the whole state or, with forWatchers, only the part that is sent to watchers.
func (m *Machine) Snapshot(forWatchers bool) []byte {
	encoded := m.encode(forWatchers)
	for i, f := range encoded.Failbacks {
		encoded.Failbacks[i].ElapsedNs = int64(m.timeSinceFailback(f))
	}
	return coordination.MustMarshal(encoded)
}

// Keys lists the keys of all duties under the active configuration: those of its workers, models
// and services, and the fixed ones.
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
// revocations that every node with a lease has seen, end the slow start of zones whose workers are
// warm, and commit prepared versions. Every node with a lease has applied the log up to applied;
// seq is its newest entry.
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

// confirmRevocationCommands returns the commands that confirm the revocations seen by every node with a
// lease. For a revocation that this machine did not apply itself, such as one from a snapshot, the
// entry is unknown, so that nodes must have seen the whole log up to seq.
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

// newestCommittable returns the newest prepared version that all live nodes have seen, or that
// has waited long enough for silent ones. It returns 0 if there is none.
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
