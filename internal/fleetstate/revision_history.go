// This file keeps zone revisions and superseded versions, which distinguish a late or repeated command
// from a new one.

package fleetstate

import (
	"sort"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

//msgp:ignore supersededVersions

// maxSuperseded is the maximum number of superseded versions that a history keeps. The coordination
// service remembers the ids of the newest 2,048 operations of a class. Each version of a history
// is one of those operations, so a command that was accepted on top of a version remembered here
// is always recognized by its operation id.
const maxSuperseded = 1024

// supersededVersions are the newest versions on top of which another version was prepared, oldest
// first. For a history that began empty the first one is 0.
type supersededVersions []ids.Version

// push appends a version and drops the oldest ones beyond maxSuperseded.
func (s *supersededVersions) push(v ids.Version) {
	*s = append(*s, v)
	if extra := len(*s) - maxSuperseded; extra > 0 {
		*s = append(supersededVersions(nil), (*s)[extra:]...)
	}
}

// checkBaseVersion checks the base version of a command whose operation id is not remembered. It
// returns nil if base is the newest version. The error has the kind OutcomeUnknown if base is
// older than all remembered versions: the command may have been accepted and its operation id dropped
// since. Otherwise the error has the kind Stale: the command was never accepted.
func (l *versionHistory) checkBaseVersion(base ids.Version) error {
	oldest := l.newest()
	if len(l.superseded) > 0 {
		oldest = l.superseded[0]
	}
	switch {
	case base == l.newest():
		return nil
	case base < oldest:
		return failure.New(
			failure.OutcomeUnknown,
			"apply policy",
			"",
			"the command is based on version %d; commands based on versions below %d are not remembered",
			base,
			oldest,
		)
	}
	return failure.New(
		failure.Stale, "apply policy", "", "it was made over version %d, the current one is %d", base, l.newest(),
	)
}

// queryOutcome returns the error that answers a QueryKind command for an operation whose id is not
// remembered.
func (s *State) queryOutcome(body []byte) error {
	neverAccepted := failure.New(failure.Stale, "ask for an outcome", "", "no operation with this id was accepted")
	if len(body) == 0 {
		return neverAccepted // a query from an earlier release
	}
	var request OutcomeQuery
	if _, err := request.UnmarshalMsg(body); err != nil {
		return failure.As(err, failure.InvalidArgument, "ask for an outcome", "")
	}
	history := &s.versionHistory
	if request.Programs {
		history = &s.programs
	}
	if err := history.checkBaseVersion(request.Base); err != nil {
		return err
	}
	return failure.New(
		failure.NotExecuted,
		"ask for an outcome",
		"",
		"version %d is the newest; no command based on it was accepted",
		request.Base,
	)
}

// checkZoneRevision rejects an Evacuate command that has Compare set if the revision of the zone is
// not the base revision of the command.
func (s *State) checkZoneRevision(c *Evacuate) error {
	if current := s.zoneRevisions[c.Zone]; c.Compare && c.BaseRevision != current {
		return failure.New(
			failure.Stale,
			"evacuate",
			string(c.Zone),
			"the command is based on revision %d of the zone; the current revision is %d",
			c.BaseRevision,
			current,
		)
	}
	return nil
}

// encodeRevisionHistory returns the revision history for a snapshot.
func (s *State) encodeRevisionHistory() RevisionHistory {
	out := RevisionHistory{Superseded: s.superseded, SupersededPrograms: s.programs.superseded}
	for zone, count := range s.zoneRevisions {
		out.ZoneRevisions = append(out.ZoneRevisions, ZoneRevision{zone, count})
	}
	sort.Slice(out.ZoneRevisions, func(i, j int) bool { return out.ZoneRevisions[i].Zone < out.ZoneRevisions[j].Zone })
	return out
}

// restoreRevisionHistory sets the revision history from a snapshot.
func (s *State) restoreRevisionHistory(m RevisionHistory) {
	for _, z := range m.ZoneRevisions {
		s.zoneRevisions[z.Zone] = z.Count
	}
	s.superseded, s.programs.superseded = m.Superseded, m.SupersededPrograms
}
