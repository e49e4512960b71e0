// The machine puts the state under the core: it says which duties there are
// and when a staged version is due.

package lore

import (
	"sort"
	"time"

	"keelstair.example/crux"
	"keelstair.example/word"
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
	wait time.Duration
	read Reader
	due  map[word.Version]stagedAt
	keys []word.Key
	of   word.Version
	warm time.Duration        // the longest that a zone that was taken back may hold cold workers
	back map[uint64]word.Tick // since when the failback of a number is seen here, while this leads
	now  word.Tick
}

// MachineOptions of a machine; what is zero takes the default named beside it.
type MachineOptions struct {
	Wait  time.Duration // 300ms for silent nodes before a staged version is put in force
	Read  Reader        // Plain: makes a policy of a text
	Depth Depth
}

func NewMachine(opt MachineOptions) *Machine {
	word.Or(&opt.Wait, 300*time.Millisecond)
	if opt.Read == nil {
		opt.Read = Plain
	}
	return &Machine{State: newState(false, opt.Depth), wait: opt.Wait, read: opt.Read, due: map[word.Version]stagedAt{}, back: map[uint64]word.Tick{}}
}

// Apply notes at which number a version was staged: that is what nodes must have
// seen, not the claims that come after it.
func (m *Machine) Apply(seq word.Seq, kind string, body []byte) ([]byte, error) {
	out, err := m.State.Apply(kind, body)
	if err == nil && kind == StageKind {
		m.due[m.newest()] = stagedAt{seq: seq}
	}
	return out, err
}

func (m *Machine) Open(string) bool          { return true }
func (m *Machine) Restore(body []byte) error { m.of = 0; m.keys = nil; return m.load(body) }

func (m *Machine) Picture(open bool) []byte {
	img := m.image(open)
	for i, f := range img.Failbacks {
		img.Failbacks[i].Ago = int64(m.ago(f))
	}
	return crux.Pack(img)
}

// Keys names a duty for each worker and each model of the active policy.
func (m *Machine) Keys() []word.Key {
	if m.keys != nil && m.of == m.active.Version {
		return m.keys
	}
	m.of = m.active.Version
	m.keys, m.warm = []word.Key{BudgetKey, SettleKey}, 0
	if p, err := m.read(unpack(m.active.Text)); len(m.active.Text) > 0 && err == nil {
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

// Due puts in force the newest staged version that all live nodes have seen,
// or that has waited long enough for silent ones, and names zones that are warm again.
func (m *Machine) Due(now word.Tick, seq, seen word.Seq) []crux.Cmd {
	out := m.warmed(now)
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
		return out
	}
	for v := range m.due {
		if v <= top {
			delete(m.due, v)
		}
	}
	return append(out, crux.Cmd{Kind: ActivateKind, Body: crux.Pack(&Activate{top})})
}
