// This file implements the view of the replicated state on a router node. Requests read its current
// snapshot without locks. A version that is mentioned in any message takes effect as soon as this
// node has received and parsed it; until then the view reports that new picks must wait.

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

// Snapshot is one immutable state of the view.
type Snapshot struct {
	Version               ids.Version
	Configuration         *Configuration
	RouteTable            *RouteTable
	TenantKeys            *KeyIndex
	Text                  []byte
	NewestReceivedVersion ids.Version
	EvacuatedZones        map[ids.Zone]bool
	DrainedWorkers        map[ids.WorkerID]bool
	RoleChanges           map[ids.WorkerID]ids.Role
	Failbacks             map[ids.Zone]Failback
	Programs              *CompiledPrograms // the active program set; nil if there is none
	// Register holds the valid certificates for the kinds of requests that a certification regime
	// governs; it is nil if there are no regimes. BaseRegister is the same register without
	// revocations applied. RevokedSerials maps the serial of each revoked certificate to whether
	// the revocation is in force on all nodes.
	Register       *certification.Register
	BaseRegister   *certification.Register
	RevokedSerials map[string]bool
}

// parsedVersion is the cached result of parsing a version.
type parsedVersion struct {
	configuration *Configuration
	text          []byte
}

// CompiledPrograms is one version of the program set with its compiled programs.
type CompiledPrograms struct {
	Version       ids.Version
	Configuration *Configuration
	Set           *routing.ProgramSet
}

// View is a coordination.Watcher. OnParsed is called with every configuration before it takes
// effect, so that its programs are compiled by then.
type View struct {
	OnParsed func(ids.Version, *Configuration)
	Ring     *logging.Ring
	Parse    ConfigurationParser // parses a configuration; ParseJSON if nil
	// Scores are passed to compiled programs; if nil, program sets are not compiled.
	Scores *routing.Scores

	mu               sync.Mutex
	state            *State
	parsed           map[ids.Version]parsedVersion
	programSets      map[ids.Version]*CompiledPrograms
	batching         bool // a batch of entries is being observed
	unpublished      bool // an entry of the batch changes the snapshot
	current          atomic.Pointer[Snapshot]
	highestMentioned atomic.Uint64
}

// NewView returns a view with an empty configuration.
func NewView(ring *logging.Ring) *View {
	v := &View{
		Ring:        ring,
		state:       newState(true, Retention{}), // keeps open claims only
		parsed:      map[ids.Version]parsedVersion{},
		programSets: map[ids.Version]*CompiledPrograms{},
	}
	v.current.Store(&Snapshot{
		Configuration:  &Configuration{},
		RouteTable:     NewRouteTable(&Configuration{}),
		TenantKeys:     NewKeyIndex(&Configuration{}),
		EvacuatedZones: map[ids.Zone]bool{},
		DrainedWorkers: map[ids.WorkerID]bool{},
	})
	return v
}

// Current returns the newest snapshot. A snapshot is immutable; later ones replace it.
func (v *View) Current() *Snapshot { return v.current.Load() }

// NoteVersion records a version that another process has mentioned. It reports whether this node
// may pick workers with the version that it has.
func (v *View) NoteVersion(n ids.Version) bool {
	for {
		previous := v.highestMentioned.Load()
		if uint64(n) <= previous {
			break
		}
		if v.highestMentioned.CompareAndSwap(previous, uint64(n)) {
			v.mu.Lock()
			v.publish()
			v.mu.Unlock()
			break
		}
	}
	return uint64(v.current.Load().Version) >= v.highestMentioned.Load()
}

// HighestMentionedVersion returns the highest version that any message has mentioned. This node may
// not have received it yet.
func (v *View) HighestMentionedVersion() ids.Version { return ids.Version(v.highestMentioned.Load()) }

// UpToDate reports whether no message has mentioned a version newer than the active one.
func (v *View) UpToDate() bool { return uint64(v.current.Load().Version) >= v.highestMentioned.Load() }

// Restore replaces the view's state. It implements coordination.Watcher.
func (v *View) Restore(encoded []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.state.decode(encoded); err != nil {
		return err
	}
	v.publish()
	return nil
}

// Observe applies an entry and reports whether it is urgent, that is, whether the coordination
// service waits until nodes have applied it. It implements coordination.Watcher.
func (v *View) Observe(_ ids.Seq, kind string, body []byte) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, err := v.state.Apply(kind, body); err != nil && err != coordination.ErrUnchanged {
		v.Ring.Error().AnErr("cause", err).Str("kind", kind).Msg("log entry not applied")
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

// Batch publishes one snapshot for all entries that observe applies. A version that a later one
// in the batch supersedes is never parsed. Batch implements coordination.Batcher.
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

// Snapshot encodes the state for a peer. It implements coordination.Watcher.
func (v *View) Snapshot() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return coordination.MustMarshal(v.state.encode(true)) // only the part that watchers need
}

// OpenClaims returns the records of open claims by key. The view keeps no other records.
func (v *View) OpenClaims() map[string]IdempotencyRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]IdempotencyRecord, len(v.state.records))
	for k, d := range v.state.records {
		out[k] = d
	}
	return out
}

// RecordCount returns the number of idempotency records ever made, and the configured maximum of
// that number.
func (v *View) RecordCount() (count, limit int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.recordCount, v.current.Load().Configuration.Limits.MaxRecords
}

// publish replaces the current snapshot. Running streams keep the snapshot they started with.
func (v *View) publish() {
	versions := v.state.versions()
	active := v.versionToActivate(versions)
	if previous := v.current.Load(); previous.Version > active.Version {
		active = VersionedText{previous.Version, previous.Text}
	}
	for n := range v.parsed {
		if n < active.Version {
			delete(v.parsed, n)
		}
	}
	next := v.buildSnapshot(active)
	next.NewestReceivedVersion = versions[len(versions)-1].Version
	v.current.Store(next)
	if uint64(active.Version) > v.highestMentioned.Load() {
		v.highestMentioned.Store(uint64(active.Version))
	}
}

// versionToActivate returns the version to activate on this node: the newest one that can be parsed
// among the committed one, which is the first of versions, and those that a message has mentioned.
// It parses that version and, ahead of time, the newest version of all, which is activated next.
func (v *View) versionToActivate(versions []VersionedText) VersionedText {
	newestParsed := false
	for i, version := range slices.Backward(versions) {
		mayActivate := i == 0 || uint64(version.Version) <= v.highestMentioned.Load()
		if newestParsed && !mayActivate || !v.parse(version) {
			continue
		}
		newestParsed = true
		if mayActivate {
			return version
		}
	}
	return v.state.active
}

// parse parses a version unless that was done before, and reports whether it is parsed.
func (v *View) parse(version VersionedText) bool {
	if _, ok := v.parsed[version.Version]; ok || len(version.Text) == 0 {
		return true
	}
	parseText := v.Parse
	if parseText == nil {
		parseText = ParseJSON
	}
	text := decompress(version.Text)
	configuration, err := parseText(text)
	if err != nil {
		v.Ring.Error().AnErr("cause", err).Msg("configuration not parsed")
		return false
	}
	v.parsed[version.Version] = parsedVersion{configuration, text}
	if v.OnParsed != nil {
		v.OnParsed(version.Version, configuration)
	}
	return true
}

// buildSnapshot builds a snapshot of the current state with the given version as the active one.
func (v *View) buildSnapshot(active VersionedText) *Snapshot {
	parsed := v.parsed[active.Version]
	if parsed.configuration == nil {
		parsed.configuration, parsed.text = &Configuration{}, decompress(active.Text)
	}
	s := &Snapshot{
		Version:        active.Version,
		Configuration:  parsed.configuration,
		Text:           parsed.text,
		EvacuatedZones: map[ids.Zone]bool{},
		DrainedWorkers: map[ids.WorkerID]bool{},
		RoleChanges:    maps.Clone(v.state.roleChanges),
		Failbacks:      maps.Clone(v.state.failbacks),
		Programs:       v.compilePrograms(),
	}
	v.indexConfiguration(s)
	for z := range v.state.evacuatedZones {
		s.EvacuatedZones[z] = true
	}
	for w := range v.state.drainedWorkers {
		s.DrainedWorkers[w] = true
	}
	return s
}

// indexConfiguration sets the fields that are derived from the configuration. It copies them from
// the previous snapshot if that has the same configuration.
func (v *View) indexConfiguration(s *Snapshot) {
	if previous := v.current.Load(); previous.Configuration == s.Configuration && previous.RouteTable != nil {
		s.RouteTable, s.TenantKeys, s.BaseRegister = previous.RouteTable, previous.TenantKeys, previous.BaseRegister
	} else {
		s.RouteTable, s.TenantKeys = NewRouteTable(s.Configuration), previous.TenantKeys.forConfiguration(s.Configuration)
		var err error
		if s.BaseRegister, err = s.Configuration.CompileRegister(); err != nil {
			v.Ring.Error().AnErr("cause", err).Msg("certificates that are not valid are left out")
		}
	}
	if s.BaseRegister != nil {
		s.RevokedSerials = maps.Clone(v.state.revocations)
		s.Register = s.BaseRegister.WithRevoked(s.RevokedSerials)
	}
}

// compilePrograms compiles the prepared program sets and returns the active one. If the active set
// does not compile on this node, the previous one stays active.
func (v *View) compilePrograms() *CompiledPrograms {
	previous := v.current.Load().Programs
	if v.Scores == nil {
		return nil
	}
	for _, r := range v.state.programs.versions() {
		if _, ok := v.programSets[r.Version]; ok || r.Version == 0 {
			continue
		}
		cfg, set, err := CompileProgramSet(r.Text, v.Scores)
		if err != nil {
			v.Ring.Error().AnErr("cause", err).Uint64("version", uint64(r.Version)).
				Msg("programs do not compile; the previous set stays active")
			v.programSets[r.Version] = nil
			continue
		}
		v.programSets[r.Version] = &CompiledPrograms{r.Version, cfg, set}
	}
	active := v.state.programs.active.Version
	for n := range v.programSets {
		if n < active {
			delete(v.programSets, n)
		}
	}
	if compiled := v.programSets[active]; compiled != nil && (previous == nil || compiled.Version > previous.Version) {
		return compiled
	}
	return previous
}
