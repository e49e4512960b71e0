// The machine puts the state under the core: it says which duties there are
// and when a staged version is due.

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
	BudgetKey ids.Key = "budget"
	SettleKey ids.Key = "settle"
)

func WorkerKey(id ids.WorkerID) ids.Key { return ids.Key("worker/" + string(id)) }
func PoolKey(model string) ids.Key      { return ids.Key("pool/" + model) }

type stagedAt struct {
	at  ids.Tick
	seq ids.Seq
}

// waiting is when the staged versions of a line may be put in force.
type waiting struct {
	*line
	stage, activate string // the kinds of its commands
	due             map[ids.Version]stagedAt
}

// Machine is what controllers run over the core.
type Machine struct {
	*State
	wait  time.Duration
	read  Reader
	waits []*waiting
	keys  []ids.Key
	of    ids.Version
	warm  time.Duration       // the longest that a zone that was taken back may hold cold workers
	back  map[uint64]ids.Tick // since when the failback of a number is seen here, while this leads
	now   ids.Tick
	seals map[string]ids.Seq // revocations that wait for nodes to have seen them
	clock clock
	bare  *certification.Register // of the active policy
}

// MachineOptions of a machine; what is zero takes the default named beside it.
type MachineOptions struct {
	Wait  time.Duration // 300ms for silent nodes before a staged version is put in force
	Read  Reader        // Plain: makes a policy of a text
	Depth Depth
	Wall  func() time.Time // time.Now: read once, for the fleet's time to begin
}

func NewMachine(opt MachineOptions) *Machine {
	ids.SetDefault(&opt.Wait, 300*time.Millisecond)
	if opt.Read == nil {
		opt.Read = Plain
	}
	if opt.Wall == nil {
		opt.Wall = time.Now
	}
	m := &Machine{State: newState(false, opt.Depth), wait: opt.Wait, read: opt.Read, back: map[uint64]ids.Tick{}, seals: map[string]ids.Seq{}, clock: clock{wall: opt.Wall}}
	m.waits = []*waiting{
		{line: &m.line, stage: StageKind, activate: ActivateKind, due: map[ids.Version]stagedAt{}},
		{line: &m.programs, stage: StageProgramsKind, activate: ActivateProgramsKind, due: map[ids.Version]stagedAt{}},
	}
	return m
}

// Apply notes at which number a version was staged: that is what nodes must have
// seen, not the claims that come after it.
func (m *Machine) Apply(seq ids.Seq, kind string, body []byte) ([]byte, error) {
	out, err := m.State.Apply(kind, body)
	for _, w := range m.waits {
		if err == nil && kind == w.stage {
			w.due[w.newest()] = stagedAt{seq: seq}
		}
	}
	if err == nil && kind == RevokeKind {
		var c Revoke
		c.UnmarshalMsg(body)
		m.seals[c.Serial] = seq
	}
	return out, err
}

// Published: nodes hear of the time by their leases, and of the audit record when they ask.
func (m *Machine) Published(kind string) bool { return kind != ClockKind && kind != AuditKind }
func (m *Machine) Restore(body []byte) error  { m.of = 0; m.keys = nil; return m.load(body) }

func (m *Machine) Snapshot(open bool) []byte {
	img := m.image(open)
	for i, f := range img.Failbacks {
		img.Failbacks[i].Ago = int64(m.ago(f))
	}
	return coordination.MustMarshal(img)
}

// Keys names a duty for each worker and each model of the active policy.
func (m *Machine) Keys() []ids.Key {
	if m.keys != nil && m.of == m.active.Version {
		return m.keys
	}
	m.of = m.active.Version
	m.keys, m.bare, m.warm = []ids.Key{BudgetKey, SettleKey}, nil, 0
	if p, err := m.read(unpack(m.active.Text)); len(m.active.Text) > 0 && err == nil {
		m.bare, _ = p.Register()
		pools := map[string]bool{}
		for id, w := range p.Workers {
			m.keys = append(m.keys, WorkerKey(id))
			pools[w.Model] = true
		}
		if len(p.Services) > 0 {
			m.keys = append(m.keys, RosterKey)
		}
		for n, svc := range p.Services {
			m.warm = max(m.warm, svc.WarmSpan())
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
	out := append(append(m.tick(now), m.seal(seq, seen)...), m.warmed(now)...)
	for _, w := range m.waits {
		if top := w.ripe(now, seq, seen, m.wait); top != 0 {
			out = append(out, coordination.Command{Kind: w.activate, Body: coordination.MustMarshal(&Activate{top})})
		}
	}
	return out
}

// waiting lists revocations that may not be in force everywhere yet.
func (s *State) waiting() []string {
	var out []string
	for serial, sure := range s.revoked {
		if !sure {
			out = append(out, serial)
		}
	}
	sort.Strings(out)
	return out
}

func (m *Machine) seal(seq, seen ids.Seq) []coordination.Command {
	var out []coordination.Command
	for _, r := range m.waiting() {
		at, ok := m.seals[r]
		if !ok {
			at = seq
			m.seals[r] = at
		}
		if seen >= at {
			delete(m.seals, r)
			out = append(out, coordination.Command{Kind: SealKind, Body: coordination.MustMarshal(&Seal{r})})
		}
	}
	return out
}

// ripe names the newest staged version that all live nodes have seen, or that has waited
// long enough for silent ones.
func (w *waiting) ripe(now ids.Tick, seq, seen ids.Seq, wait time.Duration) ids.Version {
	var top ids.Version
	for _, r := range w.staged {
		d, ok := w.due[r.Version]
		if !ok {
			d.seq = seq
		}
		if d.at == 0 {
			d.at = now
			w.due[r.Version] = d
		}
		if seen >= d.seq || now.Past(d.at, wait) {
			top = r.Version
		}
	}
	if top != 0 {
		for v := range w.due {
			if v <= top {
				delete(w.due, v)
			}
		}
	}
	return top
}
