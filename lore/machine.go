// The machine puts the state under the core: it says which duties there are
// and when a staged version is due.

package lore

import (
	"sort"
	"time"

	"keelstair.example/crux"
	"keelstair.example/word"
	"keelstair.example/writ"
)

// The keys of duties that do not hang on a worker.
const (
	BudgetKey word.Key = "budget"
	SettleKey word.Key = "settle"
)

func WorkerKey(id word.WorkerId) word.Key { return word.Key("worker/" + string(id)) }
func PoolKey(model string) word.Key       { return word.Key("pool/" + model) }

type stagedAt struct {
	at  word.Tick
	seq word.Seq
}

// Machine is what tenets run over the core.
type Machine struct {
	*State
	wait  time.Duration
	read  Reader
	due   map[word.Version]stagedAt
	keys  []word.Key
	of    word.Version
	seals map[string]word.Seq // revocations that wait for nodes to have seen them
	clock clock
	bare  *writ.Register // of the active policy
}

// MachineOptions of a machine; what is zero takes the default named beside it.
type MachineOptions struct {
	Wait  time.Duration // 300ms for silent nodes before a staged version is put in force
	Read  Reader        // Plain: makes a policy of a text
	Depth Depth
	Wall  func() time.Time // time.Now: read once, for the fleet's time to begin
}

func NewMachine(opt MachineOptions) *Machine {
	word.Or(&opt.Wait, 300*time.Millisecond)
	if opt.Read == nil {
		opt.Read = Plain
	}
	if opt.Wall == nil {
		opt.Wall = time.Now
	}
	return &Machine{State: newState(false, opt.Depth), wait: opt.Wait, read: opt.Read, due: map[word.Version]stagedAt{}, seals: map[string]word.Seq{}, clock: clock{wall: opt.Wall}}
}

// Apply notes at which number a version was staged: that is what nodes must have
// seen, not the claims that come after it.
func (m *Machine) Apply(seq word.Seq, kind string, body []byte) ([]byte, error) {
	out, err := m.State.Apply(kind, body)
	if err == nil && kind == StageKind {
		m.due[m.newest()] = stagedAt{seq: seq}
	}
	if err == nil && kind == RevokeKind {
		var c Revoke
		c.UnmarshalMsg(body)
		m.seals[c.Serial] = seq
	}
	return out, err
}

// Open: nodes hear of the time by their leases, and of the audit record when they ask.
func (m *Machine) Open(kind string) bool     { return kind != ClockKind && kind != AuditKind }
func (m *Machine) Picture(open bool) []byte  { return crux.Pack(m.image(open)) }
func (m *Machine) Restore(body []byte) error { m.of = 0; m.keys = nil; return m.load(body) }

// Keys names a duty for each worker and each model of the active policy.
func (m *Machine) Keys() []word.Key {
	if m.keys != nil && m.of == m.active.Version {
		return m.keys
	}
	m.of = m.active.Version
	m.keys, m.bare = []word.Key{BudgetKey, SettleKey}, nil
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
		for n := range p.Services {
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
// seen, and activates what may be.
func (m *Machine) Due(now word.Tick, seq, seen word.Seq) []crux.Cmd {
	return append(append(m.tick(now), m.seal(seq, seen)...), m.activate(now, seq, seen)...)
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

func (m *Machine) seal(seq, seen word.Seq) []crux.Cmd {
	var out []crux.Cmd
	for _, r := range m.waiting() {
		at, ok := m.seals[r]
		if !ok {
			at = seq
			m.seals[r] = at
		}
		if seen >= at {
			delete(m.seals, r)
			out = append(out, crux.Cmd{Kind: SealKind, Body: crux.Pack(&Seal{r})})
		}
	}
	return out
}

// activate puts in force the newest staged version that all live nodes have seen,
// or that has waited long enough for silent ones.
func (m *Machine) activate(now word.Tick, seq, seen word.Seq) []crux.Cmd {
	var top word.Version
	for _, r := range m.staged {
		d, ok := m.due[r.Version]
		if !ok {
			d.seq = seq
		}
		if d.at == 0 {
			d.at = now
			m.due[r.Version] = d
		}
		if seen >= d.seq || now.Past(d.at, m.wait) {
			top = r.Version
		}
	}
	if top == 0 {
		return nil
	}
	for v := range m.due {
		if v <= top {
			delete(m.due, v)
		}
	}
	return []crux.Cmd{{Kind: ActivateKind, Body: crux.Pack(&Activate{top})}}
}
