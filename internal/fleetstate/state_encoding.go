// This file converts State to and from EncodedState, for snapshots and for watchers.

package fleetstate

import (
	"sort"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// encode returns the complete state or, with forWatchers, only the part that is sent to watchers. It
// compresses the texts of the versions in place.
func (s *State) encode(forWatchers bool) *EncodedState {
	s.compress()
	s.programs.compress()
	encoded := &EncodedState{
		Active:           s.active,
		Prepared:         s.prepared,
		Programs:         s.programs.active,
		ProgramsPrepared: s.programs.prepared,
		ResolutionFence:  s.resolutionFence,
		RecordCount:      s.recordCount,
	}
	for z := range s.evacuatedZones {
		encoded.EvacuatedZones = append(encoded.EvacuatedZones, string(z))
	}
	sort.Strings(encoded.EvacuatedZones)
	encoded.FailbackCount = s.failbackCount
	for _, f := range s.failbacks {
		encoded.Failbacks = append(encoded.Failbacks, f)
	}
	sort.Slice(encoded.Failbacks, func(i, j int) bool {
		return encoded.Failbacks[i].Number < encoded.Failbacks[j].Number
	})
	for w := range s.drainedWorkers {
		encoded.DrainedWorkers = append(encoded.DrainedWorkers, string(w))
	}
	sort.Strings(encoded.DrainedWorkers)
	for w, to := range s.roleChanges {
		encoded.RoleChanges = append(encoded.RoleChanges, RoleChange{Worker: w, To: to})
	}
	for serial, confirmed := range s.revocations {
		encoded.Revoked = append(encoded.Revoked, Revocation{serial, confirmed})
	}
	sort.Slice(encoded.Revoked, func(i, j int) bool { return encoded.Revoked[i].Serial < encoded.Revoked[j].Serial })
	encoded.Time = s.timeBound
	sort.Slice(encoded.RoleChanges, func(i, j int) bool {
		return encoded.RoleChanges[i].Worker < encoded.RoleChanges[j].Worker
	})
	encoded.RevisionHistory = s.encodeRevisionHistory()
	if !forWatchers && !s.claimsOnly {
		for _, k := range s.resolvedKeys {
			encoded.Records = append(encoded.Records, s.records[k])
		}
		encoded.Duties = s.encodeDuties()
		encoded.AuditRows, encoded.AuditCount, encoded.AuditHead = s.auditLog.openRows, s.auditLog.rowCount, s.auditLog.lastHash
		for _, r := range s.agedKeys.openEntries {
			encoded.AgedRows = append(encoded.AgedRows, r[:]...)
		}
	}
	for _, record := range s.records {
		if record.Outcome == OutcomeClaimed {
			encoded.Records = append(encoded.Records, record)
		}
	}
	return encoded
}

// decode replaces the state with an encoded one. Sealed chunks are kept, since a snapshot only refers
// to them.
func (s *State) decode(body []byte) error {
	var encoded EncodedState
	if _, err := encoded.UnmarshalMsg(body); err != nil {
		return failure.As(err, failure.InvalidArgument, "restore state", "")
	}
	next := newState(s.claimsOnly, s.agedKeys.Retention)
	next.activate(encoded.Active)
	next.prepared = encoded.Prepared
	next.resolutionFence = encoded.ResolutionFence
	next.recordCount = encoded.RecordCount
	next.agedKeys.sealed = s.agedKeys.sealed
	next.programs = versionHistory{active: encoded.Programs, prepared: encoded.ProgramsPrepared}
	next.restoreRevisionHistory(encoded.RevisionHistory)
	for _, z := range encoded.EvacuatedZones {
		next.evacuatedZones[ids.Zone(z)] = true
	}
	next.failbackCount = encoded.FailbackCount
	for _, f := range encoded.Failbacks {
		next.failbacks[f.Zone] = f
	}
	for _, w := range encoded.DrainedWorkers {
		next.drainedWorkers[ids.WorkerID(w)] = true
	}
	for _, change := range encoded.RoleChanges {
		next.roleChanges[change.Worker] = change.To
	}
	for _, r := range encoded.Revoked {
		next.revocations[r.Serial] = r.Confirmed
	}
	next.timeBound = encoded.Time
	next.auditLog = auditLog{encoded.AuditCount, encoded.AuditHead, encoded.AuditRows, s.auditLog.sealedChunks}
	for _, record := range encoded.Records {
		next.records[record.Key] = record
		if record.Outcome != OutcomeClaimed {
			next.resolvedKeys = append(next.resolvedKeys, record.Key)
		}
	}
	for _, subject := range encoded.Duties {
		next.dutySubjects[subject.Name] = subject
	}
	for at := 0; at+entrySize <= len(encoded.AgedRows); at += entrySize {
		next.agedKeys.addEntry([entrySize]byte(encoded.AgedRows[at : at+entrySize]))
	}
	*s = *next
	return nil
}
