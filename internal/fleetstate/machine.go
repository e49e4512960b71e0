// The machine puts the state under the core: it says which duties there are
// and when a prepared version is due.

package fleetstate

import (
	"sort"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/certification"
)

// The keys of duties that do not hang on a worker.
const (
	RetryBudgetKey ids.Key = "budget"
	ResolutionKey  ids.Key = "settle"
)

// WorkerKey is the key of the duty to order one worker.
func WorkerKey(id ids.WorkerID) ids.Key { return ids.Key("worker/" + string(id)) }

// PoolKey is the key of the duty to balance the roles of a model's workers.
func PoolKey(model string) ids.Key { return ids.Key("pool/" + model) }

type prepareProgress struct {
	firstConsidered ids.Tick
	seq             ids.Seq
}

// pendingCommit is when the prepared versions of a line may be put in force.
type pendingCommit struct {
	*versionHistory
	prepareKind, commitKind string // the kinds of its commands
	progress                map[ids.Version]prepareProgress
}

// Machine is what controllers run over the core.
type Machine struct {
	*State
	commitTimeout      time.Duration
	readConfiguration  ConfigurationReader
	pendingCommits     []*pendingCommit
	keys               []ids.Key
	keysVersion        ids.Version
	maxSlowStart       time.Duration       // the longest that a zone that was taken back may hold cold workers
	failbackSince      map[uint64]ids.Tick // since when the failback of a number is seen here, while this leads
	now                ids.Tick
	pendingRevocations map[string]ids.Seq // revocations that wait for nodes to have seen them
	clock              fleetClock
	unrevokedRegister  *certification.Register // of the active configuration
	meteringEnabled    bool
}

// MachineOptions of a machine; what is zero takes the default named beside it.
type MachineOptions struct {
	CommitTimeout time.Duration       // 300ms for silent nodes before a prepared version is put in force
	Read          ConfigurationReader // Plain: makes a configuration of a text
	Retention     Retention
	WallClock     func() time.Time // time.Now: read once, for the fleet's time to begin
	Metering      bool             // usage is reported, so that there is a key for it
}

// NewMachine returns an empty machine; zero options take their defaults.
func NewMachine(opt MachineOptions) *Machine {
	ids.SetDefault(&opt.CommitTimeout, 300*time.Millisecond)
	if opt.Read == nil {
		opt.Read = ReadPlain
	}
	if opt.WallClock == nil {
		opt.WallClock = time.Now
	}
	m := &Machine{
		State:              newState(false, opt.Retention),
		commitTimeout:      opt.CommitTimeout,
		readConfiguration:  opt.Read,
		failbackSince:      map[uint64]ids.Tick{},
		pendingRevocations: map[string]ids.Seq{},
		clock:              fleetClock{wallClock: opt.WallClock},
		meteringEnabled:    opt.Metering,
	}
	m.pendingCommits = []*pendingCommit{
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

// Apply notes at which number a version was prepared: that is what nodes must have
// seen, not the claims that come after it.
func (m *Machine) Apply(seq ids.Seq, kind string, body []byte) ([]byte, error) {
	out, err := m.State.Apply(kind, body)
	for _, w := range m.pendingCommits {
		if err == nil && kind == w.prepareKind {
			w.progress[w.newest()] = prepareProgress{seq: seq}
		}
	}
	if err == nil && kind == RevokeKind {
		var c Revoke
		c.UnmarshalMsg(body)
		m.pendingRevocations[c.Serial] = seq
	}
	return out, err
}

// Published reports whether watchers see a command: nodes hear of the time by their leases, of
// the audit record when they ask, and of duty rounds by the answers.
func (m *Machine) Published(kind string) bool {
	return kind != AdvanceClockKind && kind != AppendAuditKind && kind != DutyRoundKind
}

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(body []byte) error { m.keysVersion = 0; m.keys = nil; return m.decode(body) }

// Snapshot encodes the state: all of it, or only what watchers see.
func (m *Machine) Snapshot(open bool) []byte {
	encoded := m.encode(open)
	for i, f := range encoded.Failbacks {
		encoded.Failbacks[i].ElapsedNs = int64(m.sinceFailback(f))
	}
	return coordination.MustMarshal(encoded)
}

// Keys names a duty for each worker and each model of the active configuration.
func (m *Machine) Keys() []ids.Key {
	if m.keys != nil && m.keysVersion == m.active.Version {
		return m.keys
	}
	m.keysVersion = m.active.Version
	m.keys, m.unrevokedRegister, m.maxSlowStart = []ids.Key{RetryBudgetKey, ResolutionKey}, nil, 0
	if p, err := m.readConfiguration(decompress(m.active.Text)); len(m.active.Text) > 0 && err == nil {
		m.unrevokedRegister, _ = p.Register()
		pools := map[string]bool{}
		for id, w := range p.Workers {
			m.keys = append(m.keys, WorkerKey(id))
			pools[w.Model] = true
		}
		if len(p.Services) > 0 {
			m.keys = append(m.keys, WorkerListKey)
		}
		if len(p.Services) > 0 && m.meteringEnabled {
			m.keys = append(m.keys, MeteringKey)
		}
		for n, svc := range p.Services {
			m.maxSlowStart = max(m.maxSlowStart, svc.SlowStart())
			m.keys = append(m.keys, ServiceKey(n))
		}
		for n := range pools {
			m.keys = append(m.keys, PoolKey(n))
		}
	}
	sort.Slice(m.keys, func(i, j int) bool { return m.keys[i] < m.keys[j] })
	return m.keys
}

// Due moves the fleet's time on, seals revocations that every node with a lease has
// seen, names zones that are warm again, and activates what may be.
func (m *Machine) Due(now ids.Tick, seq, seen ids.Seq) []coordination.Command {
	out := append(append(m.advanceClock(now), m.confirmRevocations(seq, seen)...), m.endedSlowStarts(now)...)
	for _, w := range m.pendingCommits {
		if top := w.newestCommittable(now, seq, seen, m.commitTimeout); top != 0 {
			out = append(out, coordination.Command{
				Kind: w.commitKind,
				Body: coordination.MustMarshal(&CommitVersion{top}),
			})
		}
	}
	return out
}

// unconfirmedRevocations lists revocations that may not be in force everywhere yet.
func (s *State) unconfirmedRevocations() []string {
	var out []string
	for serial, sure := range s.revocations {
		if !sure {
			out = append(out, serial)
		}
	}
	sort.Strings(out)
	return out
}

func (m *Machine) confirmRevocations(seq, seen ids.Seq) []coordination.Command {
	var out []coordination.Command
	for _, r := range m.unconfirmedRevocations() {
		at, ok := m.pendingRevocations[r]
		if !ok {
			at = seq
			m.pendingRevocations[r] = at
		}
		if seen >= at {
			delete(m.pendingRevocations, r)
			out = append(out, coordination.Command{
				Kind: ConfirmRevocationKind,
				Body: coordination.MustMarshal(&ConfirmRevocation{r}),
			})
		}
	}
	return out
}

// newestCommittable names the newest prepared version that all live nodes have seen, or that has waited
// long enough for silent ones.
func (w *pendingCommit) newestCommittable(now ids.Tick, seq, seen ids.Seq, wait time.Duration) ids.Version {
	var top ids.Version
	for _, r := range w.prepared {
		d, ok := w.progress[r.Version]
		if !ok {
			d.seq = seq
		}
		if d.firstConsidered == 0 {
			d.firstConsidered = now
			w.progress[r.Version] = d
		}
		if seen >= d.seq || now.Past(d.firstConsidered, wait) {
			top = r.Version
		}
	}
	if top != 0 {
		for v := range w.progress {
			if v <= top {
				delete(w.progress, v)
			}
		}
	}
	return top
}
