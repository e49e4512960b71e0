// What the state remembers so that a late or repeated order is told from a new one.

package fleetstate

import (
	"sort"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

//msgp:ignore supersededVersions

// maxSuperseded is how many superseded versions a line remembers. The core remembers the
// ids of the newest 2,048 operations of a class. Each version of a line is one of them, so
// an order that was taken over a version remembered here is always answered by its id.
const maxSuperseded = 1024

// supersededVersions are the newest versions that another one was prepared over, oldest
// first. A line that began empty starts with 0.
type supersededVersions []ids.Version

// push remembers one more and forgets the oldest beyond the bound.
func (s *supersededVersions) push(v ids.Version) {
	*s = append(*s, v)
	if extra := len(*s) - maxSuperseded; extra > 0 {
		*s = append(supersededVersions(nil), (*s)[extra:]...)
	}
}

// checkBaseVersion tells what became of an order made over a base: nil if that is the newest
// version, Unknown if the memory does not reach back to it, so that the order may have been
// taken and its id forgotten, and else Stale, which says that it never was taken.
func (l *versionHistory) checkBaseVersion(base ids.Version) error {
	reach := l.newest()
	if len(l.superseded) > 0 {
		reach = l.superseded[0]
	}
	switch {
	case base == l.newest():
		return nil
	case base < reach:
		return failure.New(
			failure.OutcomeUnknown,
			"apply policy",
			"",
			"it was made over version %d; what was made over versions below %d is not remembered",
			base,
			reach,
		)
	}
	return failure.New(
		failure.Stale, "apply policy", "", "it was made over version %d, the current one is %d", base, l.newest(),
	)
}

// queryOutcome answers QueryKind for an operation whose id is not known.
func (s *State) queryOutcome(body []byte) error {
	never := failure.New(failure.Stale, "ask for an outcome", "", "no operation of this id was taken")
	if len(body) == 0 {
		return never // asked by an earlier release
	}
	var request OutcomeQuery
	if _, err := request.UnmarshalMsg(body); err != nil {
		return failure.As(err, failure.InvalidArgument, "ask for an outcome", "")
	}
	of := &s.versionHistory
	if request.Programs {
		of = &s.programs
	}
	if err := of.checkBaseVersion(request.Base); err != nil {
		return err
	}
	return failure.New(
		failure.NotExecuted,
		"ask for an outcome",
		"",
		"version %d is the newest; nothing was made over it",
		request.Base,
	)
}

// checkZoneRevision refuses a compared evacuation if the zone changed since its base was read.
func (s *State) checkZoneRevision(c *Evacuate) error {
	if now := s.zoneRevisions[c.Zone]; c.Compare && c.BaseRevision != now {
		return failure.New(
			failure.Stale,
			"evacuate",
			string(c.Zone),
			"it was asked for at change %d of the zone, which is at %d",
			c.BaseRevision,
			now,
		)
	}
	return nil
}

// encodeRevisionHistory gives the part for an image.
func (s *State) encodeRevisionHistory() RevisionHistory {
	out := RevisionHistory{Superseded: s.superseded, SupersededPrograms: s.programs.superseded}
	for zone, count := range s.zoneRevisions {
		out.ZoneRevisions = append(out.ZoneRevisions, ZoneRevision{zone, count})
	}
	sort.Slice(out.ZoneRevisions, func(i, j int) bool { return out.ZoneRevisions[i].Zone < out.ZoneRevisions[j].Zone })
	return out
}

// restoreRevisionHistory takes the part from an image.
func (s *State) restoreRevisionHistory(m RevisionHistory) {
	for _, z := range m.ZoneRevisions {
		s.zoneRevisions[z.Zone] = z.Count
	}
	s.superseded, s.programs.superseded = m.Superseded, m.SupersededPrograms
}
