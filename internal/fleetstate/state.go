// The state that the decrees and deeds build, the same on every copy. Commands
// are types with an apply method; one that is refused changes nothing.

package fleetstate

import (
	"encoding/json"
	"sort"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
)

// Kinds of command by their names in the log.
const (
	StageKind    = "lore.stage"
	ActivateKind = "lore.activate"
	VacateKind   = "lore.vacate"
	DrainKind    = "lore.drain"
	ClaimKind    = "lore.claim"
	SettleKind   = "lore.settle"
	SeizeKind    = "lore.seize"
	BindKind     = "lore.bind"
	// AskKind changes nothing and is always refused: asked under an operation's
	// id, it gives the outcome that the operation had, if it had one.
	AskKind = "lore.ask"
)

// State holds it all. A lean one (on nodes) keeps open claims only.
type State struct {
	line               // the configuration
	programs      line // the program sets
	lean          bool
	zones         map[ids.Zone]bool
	zoneRevisions map[ids.Zone]uint64
	drained       map[ids.WorkerID]bool
	turning       map[ids.WorkerID]ids.Role
	failbacks     map[ids.Zone]Failback
	returns       uint64
	fence         ids.Fence
	deeds         map[string]Deed
	order         []string // settled, oldest first
	shelf         shelf
	count         int             // of all deeds there ever were
	most          int             // that the policy in force allows
	revoked       map[string]bool // serials; true once in force everywhere
	time          int64           // bound of the fleet's time
	governed      bool            // the policy in force has regimes
	audit         audit
}

func newState(lean bool, d Depth) *State {
	return &State{lean: lean, zones: map[ids.Zone]bool{}, zoneRevisions: map[ids.Zone]uint64{}, drained: map[ids.WorkerID]bool{}, failbacks: map[ids.Zone]Failback{}, turning: map[ids.WorkerID]ids.Role{}, deeds: map[string]Deed{}, shelf: newShelf(d), revoked: map[string]bool{}}
}

// rule puts a version in force. A lean state has no need of its bounds.
func (s *State) rule(r Ruled) {
	if s.active = r; s.lean {
		return
	}
	var p struct {
		Limits  Limits
		Regimes map[string]json.RawMessage
	}
	json.Unmarshal(unpack(r.Text), &p)
	s.most, s.governed = p.Limits.Deeds, len(p.Regimes) > 0
}

type command interface {
	msgp.Unmarshaler
	apply(*State) (msgp.Marshaler, error)
}

func parse(kind string) command {
	switch kind {
	case StageKind:
		return &Stage{}
	case ActivateKind:
		return &Activate{}
	case StageProgramsKind:
		return &stagePrograms{}
	case ActivateProgramsKind:
		return &activatePrograms{}
	case VacateKind:
		return &Vacate{}
	case DrainKind:
		return &Drain{}
	case TurnKind:
		return &Turn{}
	case WarmedKind:
		return &Warmed{}
	case ClaimKind:
		return &Claim{}
	case SettleKind:
		return &Settle{}
	case SeizeKind:
		return &Seize{}
	case BindKind:
		return &Bind{}
	case RevokeKind:
		return &Revoke{}
	case SealKind:
		return &Seal{}
	case ClockKind:
		return &Clock{}
	case AuditKind:
		return &Audit{}
	case AuditsKind:
		return &Audits{}
	}
	return nil
}

// Apply reads a command by its kind and applies it.
func (s *State) Apply(kind string, body []byte) ([]byte, error) {
	if kind == AskKind {
		return nil, s.outcome(body)
	}
	c := parse(kind)
	if c == nil {
		return nil, failure.New(failure.InvalidArgument, "apply", kind, "no such command")
	}
	if _, err := c.UnmarshalMsg(body); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "apply", kind)
	}
	out, err := c.apply(s)
	if err != nil && err != coordination.ErrUnchanged || out == nil {
		return nil, err
	}
	return coordination.MustMarshal(out), err
}

func (c *Stage) apply(s *State) (msgp.Marshaler, error) { return s.stage(c) }

func (c *Activate) apply(s *State) (msgp.Marshaler, error) {
	r, err := s.activate(c.Version)
	if err == nil {
		s.rule(r)
	}
	return &Ruling{c.Version}, err
}

func (c *Vacate) apply(s *State) (msgp.Marshaler, error) {
	if s.zones[c.Zone] == c.Out {
		return s.unchanged(c.Compare)
	}
	if err := s.checkZone(c); err != nil {
		return nil, err
	}
	s.zoneRevisions[c.Zone]++
	if s.zones[c.Zone] = c.Out; c.Out {
		delete(s.failbacks, c.Zone)
	} else {
		delete(s.zones, c.Zone)
		s.returns++
		s.failbacks[c.Zone] = Failback{Zone: c.Zone, No: s.returns}
	}
	return &Ruling{s.newest()}, nil
}

// unchanged answers an order that finds all as it asks. One that is known by its id alone is
// written all the same: were its id not remembered, a copy of it that arrives after the
// opposite order would be done.
func (s *State) unchanged(compared bool) (msgp.Marshaler, error) {
	if compared {
		return &Ruling{s.newest()}, coordination.ErrUnchanged
	}
	return &Ruling{s.newest()}, nil
}

func (c *Drain) apply(s *State) (msgp.Marshaler, error) {
	if s.drained[c.Worker] == c.Out {
		return s.unchanged(false)
	}
	if s.drained[c.Worker] = c.Out; !c.Out {
		delete(s.drained, c.Worker)
	}
	return &Ruling{s.newest()}, nil
}

func (c *Claim) apply(s *State) (msgp.Marshaler, error) {
	if d, ok := s.deeds[c.Key]; ok {
		return &ClaimReply{Deed: d}, coordination.ErrUnchanged
	}
	if d, ok := s.shelf.find(c.Key, c.Digest); ok {
		return &ClaimReply{Deed: d}, coordination.ErrUnchanged
	}
	if !s.lean && s.most > 0 && s.count >= s.most {
		return nil, failure.New(failure.Stale, "claim", c.Key, "the store of deeds is full: %d", s.count)
	}
	d := Deed{Key: c.Key, Owner: c.Owner, Worker: c.Worker, Life: c.Life, Digest: c.Digest, Fate: Claimed}
	s.deeds[c.Key] = d
	s.count++
	return &ClaimReply{Fresh: true, Deed: d}, nil
}

// age puts the oldest settled deeds over the count that is kept in full on the
// shelf.
func (s *State) age() {
	for len(s.order) > s.shelf.Full {
		s.shelf.put(s.deeds[s.order[0]])
		delete(s.deeds, s.order[0])
		s.order = s.order[1:]
	}
}

func (c *Settle) apply(s *State) (msgp.Marshaler, error) {
	d, ok := s.deeds[c.Key]
	if !ok || d.Fate != Claimed || d.Owner != c.Owner {
		return nil, failure.New(failure.Stale, "settle", c.Key, "it is %q and not this node's", d.Fate)
	}
	if s.lean {
		delete(s.deeds, c.Key)
		return nil, nil
	}
	if len(c.Audit) > 0 {
		if _, err := (&Audit{c.Audit}).apply(s); err != nil {
			return nil, err
		}
	}
	d.Fate, d.Out = c.Fate, c.Out
	s.deeds[c.Key] = d
	s.order = append(s.order, c.Key)
	s.age()
	return &d, nil
}

func (c *Bind) apply(s *State) (msgp.Marshaler, error) {
	d, ok := s.deeds[c.Key]
	if !ok || d.Fate != Claimed || d.Owner != c.Owner {
		return nil, failure.New(failure.Stale, "bind", c.Key, "it is %q and not this node's", d.Fate)
	}
	d.Worker, d.Life = c.Worker, c.Life
	s.deeds[c.Key] = d
	return &d, nil
}

func (c *Seize) apply(s *State) (msgp.Marshaler, error) {
	d, ok := s.deeds[c.Key]
	if !ok || d.Fate != Claimed || d.Owner != c.From || c.Fence < s.fence {
		return nil, failure.New(failure.Stale, "seize", c.Key, "it is %q of %s, fence %d", d.Fate, d.Owner, s.fence)
	}
	s.fence = c.Fence
	d.Owner = c.To
	s.deeds[c.Key] = d
	return &d, nil
}

func (s *State) image(open bool) *Image {
	s.pack()
	s.programs.pack()
	img := &Image{Active: s.active, Staged: s.staged, Programs: s.programs.active, ProgramsPending: s.programs.staged, Fence: s.fence, Count: s.count}
	for z := range s.zones {
		img.Zones = append(img.Zones, string(z))
	}
	sort.Strings(img.Zones)
	img.Returns = s.returns
	for _, f := range s.failbacks {
		img.Failbacks = append(img.Failbacks, f)
	}
	sort.Slice(img.Failbacks, func(i, j int) bool { return img.Failbacks[i].No < img.Failbacks[j].No })
	for w := range s.drained {
		img.Drained = append(img.Drained, string(w))
	}
	sort.Strings(img.Drained)
	for w, to := range s.turning {
		img.Turning = append(img.Turning, Turn{Worker: w, To: to})
	}
	for serial, sure := range s.revoked {
		img.Revoked = append(img.Revoked, Revocation{serial, sure})
	}
	sort.Slice(img.Revoked, func(i, j int) bool { return img.Revoked[i].Serial < img.Revoked[j].Serial })
	img.Time = s.time
	sort.Slice(img.Turning, func(i, j int) bool { return img.Turning[i].Worker < img.Turning[j].Worker })
	img.OrderMemory = s.orderMemory()
	if !open && !s.lean {
		for _, k := range s.order {
			img.Deeds = append(img.Deeds, s.deeds[k])
		}
		img.Audits, img.AuditCount, img.AuditHead = s.audit.open, s.audit.count, s.audit.head
		for _, r := range s.shelf.row {
			img.Rows = append(img.Rows, r[:]...)
		}
	}
	for _, d := range s.deeds {
		if d.Fate == Claimed {
			img.Deeds = append(img.Deeds, d)
		}
	}
	return img
}

func (s *State) load(body []byte) error {
	var img Image
	if _, err := img.UnmarshalMsg(body); err != nil {
		return failure.As(err, failure.InvalidArgument, "restore lore", "")
	}
	next := newState(s.lean, s.shelf.Depth)
	next.rule(img.Active)
	next.staged, next.fence, next.count, next.shelf.sealed = img.Staged, img.Fence, img.Count, s.shelf.sealed
	next.programs = line{active: img.Programs, staged: img.ProgramsPending}
	next.recall(img.OrderMemory)
	for _, z := range img.Zones {
		next.zones[ids.Zone(z)] = true
	}
	next.returns = img.Returns
	for _, f := range img.Failbacks {
		next.failbacks[f.Zone] = f
	}
	for _, w := range img.Drained {
		next.drained[ids.WorkerID(w)] = true
	}
	for _, t := range img.Turning {
		next.turning[t.Worker] = t.To
	}
	for _, r := range img.Revoked {
		next.revoked[r.Serial] = r.Sure
	}
	next.time = img.Time
	next.audit = audit{img.AuditCount, img.AuditHead, img.Audits, s.audit.sealed}
	for _, d := range img.Deeds {
		next.deeds[d.Key] = d
		if d.Fate != Claimed {
			next.order = append(next.order, d.Key)
		}
	}
	for at := 0; at+rowSize <= len(img.Rows); at += rowSize {
		next.shelf.add([rowSize]byte(img.Rows[at : at+rowSize]))
	}
	*s = *next
	return nil
}
