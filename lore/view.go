// The view is a node's folded sight of the lore, read without locks on the path
// of a request. A version heard of in any message is put in force as soon as it
// is staged here; until it is, the view says that new picks must be held.

package lore

import (
	"maps"
	"sync"
	"sync/atomic"

	"keelstair.example/crux"
	"keelstair.example/tale"
	"keelstair.example/word"
	"keelstair.example/writ"
)

// Sight is one frozen state of the view.
type Sight struct {
	Version word.Version
	Policy  *Policy
	Table   *Table
	Text    []byte
	Newest  word.Version
	Zones   map[word.Zone]bool
	Drained map[word.WorkerId]bool
	Turning map[word.WorkerId]word.Part
	// Register says who is cleared for governed work; nil without regimes. Bare is the
	// same without revocations. Revoked has their serials: true once in force everywhere.
	Register *writ.Register
	Bare     *writ.Register
	Revoked  map[string]bool
}

// View is a crux.Follower. Ready is called with every policy as it is staged,
// so that programs are compiled before they are in force.
type View struct {
	Ready func(word.Version, *Policy)
	Ring  *tale.Ring
	Read  Reader // Plain, if it is not set: makes a policy of a text

	mu    sync.Mutex
	state *State
	kept  map[word.Version]*Policy
	sight atomic.Pointer[Sight]
	heard atomic.Uint64
}

func NewView(ring *tale.Ring) *View {
	v := &View{Ring: ring, state: newState(true, Depth{}), kept: map[word.Version]*Policy{}}
	v.sight.Store(&Sight{Policy: &Policy{}, Table: NewTable(&Policy{}), Zones: map[word.Zone]bool{}, Drained: map[word.WorkerId]bool{}})
	return v
}

func (v *View) Sight() *Sight { return v.sight.Load() }

// Heard notes a version that someone else knows. It tells whether this node
// may pick under what it has.
func (v *View) Heard(n word.Version) bool {
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
func (v *View) Known() word.Version { return word.Version(v.heard.Load()) }

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

func (v *View) Fold(_ word.Seq, kind string, body []byte) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, err := v.state.Apply(kind, body); err != nil && err != crux.Same {
		v.Ring.Error().AnErr("cause", err).Str("kind", kind).Msg("news does not fold")
	}
	loud := kind == StageKind || kind == ActivateKind || kind == VacateKind || kind == DrainKind || kind == TurnKind || kind == RevokeKind || kind == SealKind
	if loud {
		v.show()
	}
	return loud
}

func (v *View) Picture() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return crux.Pack(v.state.image(true))
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
	return v.state.count, v.state.most
}

// show swaps in the next sight. Old streams keep the sight they began with.
func (v *View) show() {
	all := append([]Ruled{v.state.active}, v.state.staged...)
	now := v.state.active
	for i, r := range all {
		if _, ok := v.kept[r.Version]; !ok && len(r.Text) > 0 {
			read := v.Read
			if read == nil {
				read = Plain
			}
			p, err := read(unpack(r.Text))
			if err != nil {
				v.Ring.Error().AnErr("cause", err).Msg("policy cannot be read")
				continue
			}
			v.kept[r.Version] = p
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
	text := v.sight.Load().Text
	if v.sight.Load().Version != now.Version {
		text = unpack(now.Text)
	}
	s := &Sight{Version: now.Version, Policy: v.kept[now.Version], Text: text, Newest: all[len(all)-1].Version,
		Zones: map[word.Zone]bool{}, Drained: map[word.WorkerId]bool{}, Turning: maps.Clone(v.state.turning)}
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
		s.Register = s.Bare.With(s.Revoked)
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
