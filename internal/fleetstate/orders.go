// What the state remembers so that a late or repeated order is told from a new one.

package fleetstate

import (
	"sort"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file orders.go
//msgp:shim ids.Version as:uint64 using:uint64/ids.Version
//msgp:shim ids.Zone as:string using:string/ids.Zone
//msgp:ignore supersededVersions

// maxSuperseded is how many superseded versions a line remembers. The core remembers the
// ids of the newest 2,048 operations of a class. Each version of a line is one of them, so
// an order that was taken over a version remembered here is always answered by its id.
const maxSuperseded = 1024

// ZoneRevision is how often a zone was emptied or taken back in all.
type ZoneRevision struct {
	Zone  ids.Zone
	Count uint64
}

// OrderMemory is the part of the image that tells late and repeated orders from new ones.
// Images of earlier releases lack it.
type OrderMemory struct {
	ZoneRevisions      []ZoneRevision `msg:"ZoneRevisions,omitempty"`
	Superseded         []ids.Version  `msg:"Superseded,omitempty"`
	SupersededPrograms []ids.Version  `msg:"SupersededPrograms,omitempty"`
}

// OutcomeAsk is the body of an AskKind command: the version that the operation was made
// over, and whether it was for the line of program sets.
type OutcomeAsk struct {
	Base     ids.Version
	Programs bool
}

// supersededVersions are the newest versions that another one was staged over, oldest
// first. A line that began empty starts with 0.
type supersededVersions []ids.Version

// push remembers one more and forgets the oldest beyond the bound.
func (s *supersededVersions) push(v ids.Version) {
	*s = append(*s, v)
	if extra := len(*s) - maxSuperseded; extra > 0 {
		*s = append(supersededVersions(nil), (*s)[extra:]...)
	}
}

// checkBase tells what became of an order made over a base: nil if that is the newest
// version, Unknown if the memory does not reach back to it, so that the order may have been
// taken and its id forgotten, and else Stale, which says that it never was taken.
func (l *line) checkBase(base ids.Version) error {
	reach := l.newest()
	if len(l.superseded) > 0 {
		reach = l.superseded[0]
	}
	switch {
	case base == l.newest():
		return nil
	case base < reach:
		return failure.New(failure.OutcomeUnknown, "apply policy", "", "it was made over version %d; what was made over versions below %d is not remembered", base, reach)
	}
	return failure.New(failure.Stale, "apply policy", "", "it was made over version %d, the current one is %d", base, l.newest())
}

// outcome answers AskKind for an operation whose id is not known.
func (s *State) outcome(body []byte) error {
	never := failure.New(failure.Stale, "ask for an outcome", "", "no operation of this id was taken")
	if len(body) == 0 {
		return never // asked by an earlier release
	}
	var q OutcomeAsk
	if _, err := q.UnmarshalMsg(body); err != nil {
		return failure.As(err, failure.InvalidArgument, "ask for an outcome", "")
	}
	of := &s.line
	if q.Programs {
		of = &s.programs
	}
	if err := of.checkBase(q.Base); err != nil {
		return err
	}
	return failure.New(failure.NotExecuted, "ask for an outcome", "", "version %d is the newest; nothing was made over it", q.Base)
}

// checkZone refuses a compared evacuation if the zone changed since its base was read.
func (s *State) checkZone(c *Vacate) error {
	if now := s.zoneRevisions[c.Zone]; c.Compare && c.Base != now {
		return failure.New(failure.Stale, "evacuate", string(c.Zone), "it was asked for at change %d of the zone, which is at %d", c.Base, now)
	}
	return nil
}

// orderMemory gives the part for an image.
func (s *State) orderMemory() OrderMemory {
	out := OrderMemory{Superseded: s.superseded, SupersededPrograms: s.programs.superseded}
	for zone, count := range s.zoneRevisions {
		out.ZoneRevisions = append(out.ZoneRevisions, ZoneRevision{zone, count})
	}
	sort.Slice(out.ZoneRevisions, func(i, j int) bool { return out.ZoneRevisions[i].Zone < out.ZoneRevisions[j].Zone })
	return out
}

// recall takes the part from an image.
func (s *State) recall(m OrderMemory) {
	for _, z := range m.ZoneRevisions {
		s.zoneRevisions[z.Zone] = z.Count
	}
	s.superseded, s.programs.superseded = m.Superseded, m.SupersededPrograms
}
