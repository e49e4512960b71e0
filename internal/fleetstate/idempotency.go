// An idempotency record allows one execution for its key: a node claims the key before it runs the
// request, and one outcome is recorded afterwards. The newest resolved records are kept with their
// answers; of older ones only the outcome and hashes of the key and digest are kept.

package fleetstate

import (
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/failure"
)

func (c *Claim) apply(s *State) (msgp.Marshaler, error) {
	if record, ok := s.records[c.Key]; ok {
		return &ClaimReply{Record: record}, coordination.ErrUnchanged
	}
	if record, ok := s.agedKeys.lookup(c.Key, c.Digest); ok {
		return &ClaimReply{Record: record}, coordination.ErrUnchanged
	}
	if !s.claimsOnly && s.maxRecords > 0 && s.recordCount >= s.maxRecords {
		return nil, failure.New(failure.Stale, "claim", c.Key, "the store of idempotency records is full: %d", s.recordCount)
	}
	record := IdempotencyRecord{
		Key:         c.Key,
		Owner:       c.Owner,
		Worker:      c.Worker,
		Incarnation: c.Incarnation,
		Digest:      c.Digest,
		Outcome:     OutcomeClaimed,
	}
	s.records[c.Key] = record
	s.recordCount++
	return &ClaimReply{Fresh: true, Record: record}, nil
}

// ageRecords moves the oldest resolved records beyond the number that is kept in full to agedKeys.
func (s *State) ageRecords() {
	for len(s.resolvedKeys) > s.agedKeys.FullRecords {
		s.agedKeys.addRecord(s.records[s.resolvedKeys[0]])
		delete(s.records, s.resolvedKeys[0])
		s.resolvedKeys = s.resolvedKeys[1:]
	}
}

func (c *Resolve) apply(s *State) (msgp.Marshaler, error) {
	record, ok := s.records[c.Key]
	if !ok || record.Outcome != OutcomeClaimed || record.Owner != c.Owner {
		return nil, failure.New(
			failure.Stale, "settle", c.Key, "no open claim of this node; the outcome is %q", record.Outcome,
		)
	}
	if s.claimsOnly {
		delete(s.records, c.Key)
		return nil, nil
	}
	if len(c.Audit) > 0 {
		if _, err := (&AppendAudit{c.Audit}).apply(s); err != nil {
			return nil, err
		}
	}
	record.Outcome, record.Answer = c.Outcome, c.Answer
	s.records[c.Key] = record
	s.resolvedKeys = append(s.resolvedKeys, c.Key)
	s.ageRecords()
	return &record, nil
}

func (c *AssignWorker) apply(s *State) (msgp.Marshaler, error) {
	record, ok := s.records[c.Key]
	if !ok || record.Outcome != OutcomeClaimed || record.Owner != c.Owner {
		return nil, failure.New(
			failure.Stale, "bind", c.Key, "no open claim of this node; the outcome is %q", record.Outcome,
		)
	}
	record.Worker, record.Incarnation = c.Worker, c.Incarnation
	s.records[c.Key] = record
	return &record, nil
}

func (c *TakeOver) apply(s *State) (msgp.Marshaler, error) {
	record, ok := s.records[c.Key]
	if !ok || record.Outcome != OutcomeClaimed || record.Owner != c.From || c.Fence < s.resolutionFence {
		return nil, failure.New(failure.Stale, "seize", c.Key,
			"the record has outcome %q and owner %q; the newest fence is %d",
			record.Outcome, record.Owner, s.resolutionFence)
	}
	s.resolutionFence = c.Fence
	record.Owner = c.To
	s.records[c.Key] = record
	return &record, nil
}
