// The view is a node's folded snapshot of the state, read without locks on the path
// of a request. A version heard of in any message is put in force as soon as it
// is prepared here; until it is, the view says that new picks must be held.

package fleetstate

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/routing"
	"keelstair.example/logging"
)

// Snapshot is one frozen state of the view.
type Snapshot struct {
	Version       ids.Version
	Configuration *Configuration
	Table         *RouteTable
	Keys          *KeyIndex // of tenants
	Text          []byte
	Newest        ids.Version
	Zones         map[ids.Zone]bool
	Drained       map[ids.WorkerID]bool
	RoleChanges   map[ids.WorkerID]ids.Role
	Failbacks     map[ids.Zone]Failback
	Programs      *CompiledPrograms // the program set in force, if the core has one
	// Register says who is cleared for governed work; nil without regimes. Bare is the
	// same without revocations. Revoked has their serials: true once in force everywhere.
	Register  *certification.Register
	Unrevoked *certification.Register
	Revoked   map[string]bool
}

// parsedVersion is a version as it was read, once.
type parsedVersion struct {
	configuration *Configuration
	text          []byte
}

// CompiledPrograms is one program set, compiled.
type CompiledPrograms struct {
	Version       ids.Version
	Configuration *Configuration
	Set           *routing.ProgramSet
}

// View is a coordination.Watcher. Ready is called with every configuration before it is in
// force, so that programs are compiled by then.
type View struct {
	Ready func(ids.Version, *Configuration)
	Ring  *logging.Ring
	Read  ConfigurationReader // Plain, if it is not set: makes a configuration of a text
	// Scores of programs; where it is not set, program sets are not compiled.
	Scores *routing.Scores

	mu          sync.Mutex
	state       *State
	parsed      map[ids.Version]parsedVersion
	programSets map[ids.Version]*CompiledPrograms
	batching    bool // entries that came together are being observed
	unpublished bool // some of them change the snapshot
	current     atomic.Pointer[Snapshot]
	highest     atomic.Uint64
}

// NewView returns a view that knows no configuration yet.
func NewView(ring *logging.Ring) *View {
	v := &View{
		Ring:        ring,
		state:       newState(true, Retention{}),
		parsed:      map[ids.Version]parsedVersion{},
		programSets: map[ids.Version]*CompiledPrograms{},
	}
	v.current.Store(&Snapshot{
		Configuration: &Configuration{},
		Table:         NewRouteTable(&Configuration{}),
		Keys:          NewKeyIndex(&Configuration{}),
		Zones:         map[ids.Zone]bool{},
		Drained:       map[ids.WorkerID]bool{},
	})
	return v
}

// Current is the newest snapshot. It never changes; a later one replaces it.
func (v *View) Current() *Snapshot { return v.current.Load() }

// NoteVersion notes a version that someone else knows. It tells whether this node
// may pick under what it has.
func (v *View) NoteVersion(n ids.Version) bool {
	for {
		previous := v.highest.Load()
		if uint64(n) <= previous {
			break
		}
		if v.highest.CompareAndSwap(previous, uint64(n)) {
			v.mu.Lock()
			v.publish()
			v.mu.Unlock()
			break
		}
	}
	return uint64(v.current.Load().Version) >= v.highest.Load()
}

// HighestVersion is the newest version heard of.
func (v *View) HighestVersion() ids.Version { return ids.Version(v.highest.Load()) }

// UpToDate tells whether nothing newer than the version in force was heard of.
func (v *View) UpToDate() bool { return uint64(v.current.Load().Version) >= v.highest.Load() }

// Restore replaces the view's state, as coordination.Watcher.
func (v *View) Restore(open []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.state.decode(open); err != nil {
		return err
	}
	v.publish()
	return nil
}

// Observe applies an entry, as coordination.Watcher. It is urgent where the core waits for nodes
// to have applied it.
func (v *View) Observe(_ ids.Seq, kind string, body []byte) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, err := v.state.Apply(kind, body); err != nil && err != coordination.ErrUnchanged {
		v.Ring.Error().AnErr("cause", err).Str("kind", kind).Msg("entry not applied")
	}
	urgent := false
	switch kind {
	case PrepareKind, CommitKind, PrepareProgramsKind, CommitProgramsKind,
		EvacuateKind, DrainKind, RoleChangeKind, RevokeKind, ConfirmRevocationKind:
		urgent = true
		if v.unpublished = v.batching; !v.batching {
			v.publish()
		}
	}
	return urgent
}

// Batch publishes once for all entries that observe applies, as coordination.Batcher. A version
// that a later one of them supersedes is never parsed.
func (v *View) Batch(observe func()) {
	v.setBatching(true)
	defer v.setBatching(false)
	observe()
}

func (v *View) setBatching(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.batching = on; !on && v.unpublished {
		v.unpublished = false
		v.publish()
	}
}

// Snapshot encodes the state for a peer, as coordination.Watcher.
func (v *View) Snapshot() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return coordination.MustMarshal(v.state.encode(true))
}

// OpenClaims lists the open claims by owner.
func (v *View) OpenClaims() map[string]IdempotencyRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]IdempotencyRecord, len(v.state.records))
	for k, d := range v.state.records {
		out[k] = d
	}
	return out
}

// RecordCount tells how many idempotency records there are, and how many there may be.
func (v *View) RecordCount() (count, limit int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.recordCount, v.current.Load().Configuration.Limits.MaxRecords
}

// publish swaps in the next snapshot. Old streams keep the snapshot they began with.
func (v *View) publish() {
	all := v.state.all()
	now := v.newestInForce(all)
	if previous := v.current.Load(); previous.Version > now.Version {
		now = VersionedText{previous.Version, previous.Text}
	}
	for n := range v.parsed {
		if n < now.Version {
			delete(v.parsed, n)
		}
	}
	next := v.snapshotOf(now)
	next.Newest = all[len(all)-1].Version
	v.current.Store(next)
	if uint64(now.Version) > v.highest.Load() {
		v.highest.Store(uint64(now.Version))
	}
}

// newestInForce gives the version to put in force: the newest that can be parsed of those
// committed or heard of. It parses that one, and the newest of all, which is the next.
func (v *View) newestInForce(all []VersionedText) VersionedText {
	newest := false
	for i, version := range slices.Backward(all) {
		mayServe := i == 0 || uint64(version.Version) <= v.highest.Load()
		if newest && !mayServe || !v.parse(version) {
			continue
		}
		newest = true
		if mayServe {
			return version
		}
	}
	return v.state.active
}

// parse reads a version once, and reports whether that could be done.
func (v *View) parse(version VersionedText) bool {
	if _, ok := v.parsed[version.Version]; ok || len(version.Text) == 0 {
		return true
	}
	read := v.Read
	if read == nil {
		read = ReadPlain
	}
	text := decompress(version.Text)
	configuration, err := read(text)
	if err != nil {
		v.Ring.Error().AnErr("cause", err).Msg("configuration not parsed")
		return false
	}
	v.parsed[version.Version] = parsedVersion{configuration, text}
	if v.Ready != nil {
		v.Ready(version.Version, configuration)
	}
	return true
}

// snapshotOf is the state as it is now, with a version in force.
func (v *View) snapshotOf(now VersionedText) *Snapshot {
	parsed := v.parsed[now.Version]
	if parsed.configuration == nil {
		parsed.configuration, parsed.text = &Configuration{}, decompress(now.Text)
	}
	s := &Snapshot{
		Version:       now.Version,
		Configuration: parsed.configuration,
		Text:          parsed.text,
		Zones:         map[ids.Zone]bool{},
		Drained:       map[ids.WorkerID]bool{},
		RoleChanges:   maps.Clone(v.state.roleChanges),
		Failbacks:     maps.Clone(v.state.failbacks),
		Programs:      v.compilePrograms(),
	}
	v.indexConfiguration(s)
	for z := range v.state.evacuatedZones {
		s.Zones[z] = true
	}
	for w := range v.state.drainedWorkers {
		s.Drained[w] = true
	}
	return s
}

// indexConfiguration sets what is derived from the configuration, or takes it from the snapshot
// before if that has the same one.
func (v *View) indexConfiguration(s *Snapshot) {
	if previous := v.current.Load(); previous.Configuration == s.Configuration && previous.Table != nil {
		s.Table, s.Keys, s.Unrevoked = previous.Table, previous.Keys, previous.Unrevoked
	} else {
		s.Table, s.Keys = NewRouteTable(s.Configuration), previous.Keys.next(s.Configuration)
		var err error
		if s.Unrevoked, err = s.Configuration.Register(); err != nil {
			v.Ring.Error().AnErr("cause", err).Msg("invalid certificates left out")
		}
	}
	if s.Unrevoked != nil {
		s.Revoked = maps.Clone(v.state.revocations)
		s.Register = s.Unrevoked.WithRevoked(s.Revoked)
	}
}

// compilePrograms compiles the program sets as they are prepared, and gives the one in force. One that
// does not compile here leaves the one before it in force.
func (v *View) compilePrograms() *CompiledPrograms {
	previous := v.current.Load().Programs
	if v.Scores == nil {
		return nil
	}
	for _, r := range v.state.programs.all() {
		if _, ok := v.programSets[r.Version]; ok || r.Version == 0 {
			continue
		}
		p, set, err := CompileProgramSet(r.Text, v.Scores)
		if err != nil {
			v.Ring.Error().AnErr("cause", err).Uint64("version", uint64(r.Version)).
				Msg("programs not compiled; earlier ones stay in force")
			v.programSets[r.Version] = nil
			continue
		}
		v.programSets[r.Version] = &CompiledPrograms{r.Version, p, set}
	}
	now := v.state.programs.active.Version
	for n := range v.programSets {
		if n < now {
			delete(v.programSets, n)
		}
	}
	if d := v.programSets[now]; d != nil && (previous == nil || d.Version > previous.Version) {
		return d
	}
	return previous
}
