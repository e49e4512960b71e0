// The view is a node's folded sight of the lore, read without locks on the path
// of a request. A version heard of in any message is put in force as soon as it
// is staged here; until it is, the view says that new picks must be held.

package fleetstate

import (
	"maps"
	"sync"
	"sync/atomic"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/routing"
	"keelstair.example/logging"
)

// Sight is one frozen state of the view.
type Sight struct {
	Version   ids.Version
	Policy    *Policy
	Table     *Table
	Text      []byte
	Newest    ids.Version
	Zones     map[ids.Zone]bool
	Drained   map[ids.WorkerID]bool
	Turning   map[ids.WorkerID]ids.Role
	Failbacks map[ids.Zone]Failback
	Set       *Deal // the program set in force, if the core has one
	// Register says who is cleared for governed work; nil without regimes. Bare is the
	// same without revocations. Revoked has their serials: true once in force everywhere.
	Register *certification.Register
	Bare     *certification.Register
	Revoked  map[string]bool
}

// kept is a version as it was read, once.
type kept struct {
	policy *Policy
	text   []byte
}

// Deal is one program set, compiled.
type Deal struct {
	Version ids.Version
	Policy  *Policy
	Deck    *routing.ProgramSet
}

// View is a coordination.Follower. Ready is called with every policy as it is staged,
// so that programs are compiled before they are in force.
type View struct {
	Ready func(ids.Version, *Policy)
	Ring  *logging.Ring
	Read  Reader // Plain, if it is not set: makes a policy of a text
	// Scores of programs; where it is not set, program sets are not compiled.
	Scores *routing.Scores

	mu    sync.Mutex
	state *State
	kept  map[ids.Version]kept
	sets  map[ids.Version]*Deal
	sight atomic.Pointer[Sight]
	heard atomic.Uint64
}

func NewView(ring *logging.Ring) *View {
	v := &View{Ring: ring, state: newState(true, Depth{}), kept: map[ids.Version]kept{}, sets: map[ids.Version]*Deal{}}
	v.sight.Store(&Sight{Policy: &Policy{}, Table: NewTable(&Policy{}), Zones: map[ids.Zone]bool{}, Drained: map[ids.WorkerID]bool{}})
	return v
}

func (v *View) Sight() *Sight { return v.sight.Load() }

// Heard notes a version that someone else knows. It tells whether this node
// may pick under what it has.
func (v *View) Heard(n ids.Version) bool {
	for {
		old := v.heard.Load()
		if uint64(n) <= old {
			break
		}
		if v.heard.CompareAndSwap(old, uint64(n)) {
			v.mu.Lock()
			v.show()
			v.mu.Unlock()
			break
		}
	}
	return uint64(v.sight.Load().Version) >= v.heard.Load()
}

// Known is the newest version heard of.
func (v *View) Known() ids.Version { return ids.Version(v.heard.Load()) }

// Settled tells whether nothing newer than the version in force was heard of.
func (v *View) Settled() bool { return uint64(v.sight.Load().Version) >= v.heard.Load() }

func (v *View) Restore(open []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.state.load(open); err != nil {
		return err
	}
	v.show()
	return nil
}

func (v *View) Observe(_ ids.Seq, kind string, body []byte) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, err := v.state.Apply(kind, body); err != nil && err != coordination.ErrUnchanged {
		v.Ring.Error().AnErr("cause", err).Str("kind", kind).Msg("news does not fold")
	}
	loud := false
	switch kind {
	case StageKind, ActivateKind, StageProgramsKind, ActivateProgramsKind, VacateKind, DrainKind, TurnKind, RevokeKind, SealKind:
		loud = true
		v.show()
	}
	return loud
}

func (v *View) Snapshot() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return coordination.MustMarshal(v.state.image(true))
}

// Claims lists the open claims by owner.
func (v *View) Claims() map[string]Deed {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]Deed, len(v.state.deeds))
	for k, d := range v.state.deeds {
		out[k] = d
	}
	return out
}

// Deeds tells how many deeds there are, and how many there may be.
func (v *View) Deeds() (count, most int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.count, v.sight.Load().Policy.Limits.Deeds
}

// show swaps in the next sight. Old streams keep the sight they began with.
func (v *View) show() {
	all := v.state.all()
	now := v.state.active
	for i, r := range all {
		if _, ok := v.kept[r.Version]; !ok && len(r.Text) > 0 {
			read := v.Read
			if read == nil {
				read = Plain
			}
			text := unpack(r.Text)
			p, err := read(text)
			if err != nil {
				v.Ring.Error().AnErr("cause", err).Msg("policy cannot be read")
				continue
			}
			v.kept[r.Version] = kept{p, text}
			if v.Ready != nil {
				v.Ready(r.Version, p)
			}
		}
		if i > 0 && uint64(r.Version) <= v.heard.Load() {
			now = r
		}
	}
	if old := v.sight.Load(); old.Version > now.Version {
		now = Ruled{old.Version, old.Text}
	}
	for n := range v.kept {
		if n < now.Version {
			delete(v.kept, n)
		}
	}
	k := v.kept[now.Version]
	if k.policy == nil {
		k.text = unpack(now.Text)
	}
	s := &Sight{Version: now.Version, Policy: k.policy, Text: k.text, Newest: all[len(all)-1].Version,
		Zones: map[ids.Zone]bool{}, Drained: map[ids.WorkerID]bool{}, Turning: maps.Clone(v.state.turning), Failbacks: maps.Clone(v.state.failbacks), Set: v.deal()}
	if s.Policy == nil {
		s.Policy = &Policy{}
	}
	if old := v.sight.Load(); old.Policy == s.Policy && old.Table != nil {
		s.Table, s.Bare = old.Table, old.Bare
	} else {
		s.Table = NewTable(s.Policy)
		var err error
		if s.Bare, err = s.Policy.Register(); err != nil {
			v.Ring.Error().AnErr("cause", err).Msg("certificates that do not hold are left out")
		}
	}
	if s.Bare != nil {
		s.Revoked = maps.Clone(v.state.revoked)
		s.Register = s.Bare.WithRevoked(s.Revoked)
	}
	for z := range v.state.zones {
		s.Zones[z] = true
	}
	for w := range v.state.drained {
		s.Drained[w] = true
	}
	v.sight.Store(s)
	if uint64(now.Version) > v.heard.Load() {
		v.heard.Store(uint64(now.Version))
	}
}

// deal compiles the program sets as they are staged, and gives the one in force. One that
// does not compile here leaves the one before it in force.
func (v *View) deal() *Deal {
	old := v.sight.Load().Set
	if v.Scores == nil {
		return nil
	}
	for _, r := range v.state.programs.all() {
		if _, ok := v.sets[r.Version]; ok || r.Version == 0 {
			continue
		}
		p, deck, err := Set(r.Text, v.Scores)
		if err != nil {
			v.Ring.Error().AnErr("cause", err).Uint64("version", uint64(r.Version)).Msg("programs do not compile; those before them serve")
			v.sets[r.Version] = nil
			continue
		}
		v.sets[r.Version] = &Deal{r.Version, p, deck}
	}
	now := v.state.programs.active.Version
	for n := range v.sets {
		if n < now {
			delete(v.sets, n)
		}
	}
	if d := v.sets[now]; d != nil && (old == nil || d.Version > old.Version) {
		return d
	}
	return old
}
