// The state as one message, for snapshots and for watchers.

package fleetstate

import (
	"sort"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

func (s *State) encode(open bool) *EncodedState {
	s.compress()
	s.programs.compress()
	encoded := &EncodedState{
		Active:           s.active,
		Prepared:         s.prepared,
		Programs:         s.programs.active,
		ProgramsPrepared: s.programs.prepared,
		Fence:            s.fence,
		RecordCount:      s.recordCount,
	}
	for z := range s.zones {
		encoded.Zones = append(encoded.Zones, string(z))
	}
	sort.Strings(encoded.Zones)
	encoded.FailbackCount = s.failbackCount
	for _, f := range s.failbacks {
		encoded.Failbacks = append(encoded.Failbacks, f)
	}
	sort.Slice(encoded.Failbacks, func(i, j int) bool {
		return encoded.Failbacks[i].Number < encoded.Failbacks[j].Number
	})
	for w := range s.drained {
		encoded.Drained = append(encoded.Drained, string(w))
	}
	sort.Strings(encoded.Drained)
	for w, to := range s.roleChanges {
		encoded.RoleChanges = append(encoded.RoleChanges, RoleChange{Worker: w, To: to})
	}
	for serial, sure := range s.revoked {
		encoded.Revoked = append(encoded.Revoked, Revocation{serial, sure})
	}
	sort.Slice(encoded.Revoked, func(i, j int) bool { return encoded.Revoked[i].Serial < encoded.Revoked[j].Serial })
	encoded.Time = s.time
	sort.Slice(encoded.RoleChanges, func(i, j int) bool {
		return encoded.RoleChanges[i].Worker < encoded.RoleChanges[j].Worker
	})
	encoded.OrderMemory = s.orderMemory()
	if !open && !s.claimsOnly {
		for _, k := range s.resolvedOrder {
			encoded.Records = append(encoded.Records, s.records[k])
		}
		encoded.Duties = s.encodeDuties()
		encoded.Audits, encoded.AuditCount, encoded.AuditHead = s.audit.open, s.audit.count, s.audit.head
		for _, r := range s.aged.openEntries {
			encoded.AgedRows = append(encoded.AgedRows, r[:]...)
		}
	}
	for _, d := range s.records {
		if d.Outcome == Claimed {
			encoded.Records = append(encoded.Records, d)
		}
	}
	return encoded
}

func (s *State) decode(body []byte) error {
	var encoded EncodedState
	if _, err := encoded.UnmarshalMsg(body); err != nil {
		return failure.As(err, failure.InvalidArgument, "restore state", "")
	}
	next := newState(s.claimsOnly, s.aged.Retention)
	next.putInForce(encoded.Active)
	next.prepared = encoded.Prepared
	next.fence = encoded.Fence
	next.recordCount = encoded.RecordCount
	next.aged.sealed = s.aged.sealed
	next.programs = versionHistory{active: encoded.Programs, prepared: encoded.ProgramsPrepared}
	next.restoreOrderMemory(encoded.OrderMemory)
	for _, z := range encoded.Zones {
		next.zones[ids.Zone(z)] = true
	}
	next.failbackCount = encoded.FailbackCount
	for _, f := range encoded.Failbacks {
		next.failbacks[f.Zone] = f
	}
	for _, w := range encoded.Drained {
		next.drained[ids.WorkerID(w)] = true
	}
	for _, t := range encoded.RoleChanges {
		next.roleChanges[t.Worker] = t.To
	}
	for _, r := range encoded.Revoked {
		next.revoked[r.Serial] = r.Confirmed
	}
	next.time = encoded.Time
	next.audit = audit{encoded.AuditCount, encoded.AuditHead, encoded.Audits, s.audit.sealed}
	for _, d := range encoded.Records {
		next.records[d.Key] = d
		if d.Outcome != Claimed {
			next.resolvedOrder = append(next.resolvedOrder, d.Key)
		}
	}
	for _, d := range encoded.Duties {
		next.duties[d.Name] = d
	}
	for at := 0; at+entrySize <= len(encoded.AgedRows); at += entrySize {
		next.aged.addEntry([entrySize]byte(encoded.AgedRows[at : at+entrySize]))
	}
	*s = *next
	return nil
}
