// Idempotency records: one execution for each key. A claim precedes the run, one outcome ends
// it; the answers of the newest keys are kept in full, of older ones only the outcome.

package fleetstate

import (
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/failure"
)

func (c *Claim) apply(s *State) (msgp.Marshaler, error) {
	if d, ok := s.records[c.Key]; ok {
		return &ClaimReply{Record: d}, coordination.ErrUnchanged
	}
	if d, ok := s.agedKeys.find(c.Key, c.Digest); ok {
		return &ClaimReply{Record: d}, coordination.ErrUnchanged
	}
	if !s.claimsOnly && s.maxRecords > 0 && s.recordCount >= s.maxRecords {
		return nil, failure.New(failure.Stale, "claim", c.Key, "the store of deeds is full: %d", s.recordCount)
	}
	d := IdempotencyRecord{
		Key:         c.Key,
		Owner:       c.Owner,
		Worker:      c.Worker,
		Incarnation: c.Incarnation,
		Digest:      c.Digest,
		Outcome:     OutcomeClaimed,
	}
	s.records[c.Key] = d
	s.recordCount++
	return &ClaimReply{Fresh: true, Record: d}, nil
}

// ageRecords puts the oldest settled idempotency records over the count that is kept in full on the
// shelf.
func (s *State) ageRecords() {
	for len(s.resolvedKeys) > s.agedKeys.Full {
		s.agedKeys.put(s.records[s.resolvedKeys[0]])
		delete(s.records, s.resolvedKeys[0])
		s.resolvedKeys = s.resolvedKeys[1:]
	}
}

func (c *Resolve) apply(s *State) (msgp.Marshaler, error) {
	d, ok := s.records[c.Key]
	if !ok || d.Outcome != OutcomeClaimed || d.Owner != c.Owner {
		return nil, failure.New(failure.Stale, "settle", c.Key, "it is %q and not this node's", d.Outcome)
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
	d.Outcome, d.Answer = c.Outcome, c.Answer
	s.records[c.Key] = d
	s.resolvedKeys = append(s.resolvedKeys, c.Key)
	s.ageRecords()
	return &d, nil
}

func (c *AssignWorker) apply(s *State) (msgp.Marshaler, error) {
	d, ok := s.records[c.Key]
	if !ok || d.Outcome != OutcomeClaimed || d.Owner != c.Owner {
		return nil, failure.New(failure.Stale, "bind", c.Key, "it is %q and not this node's", d.Outcome)
	}
	d.Worker, d.Incarnation = c.Worker, c.Incarnation
	s.records[c.Key] = d
	return &d, nil
}

func (c *TakeOver) apply(s *State) (msgp.Marshaler, error) {
	d, ok := s.records[c.Key]
	if !ok || d.Outcome != OutcomeClaimed || d.Owner != c.From || c.Fence < s.resolutionFence {
		return nil, failure.New(failure.Stale, "seize", c.Key, "it is %q of %s, fence %d", d.Outcome, d.Owner, s.resolutionFence)
	}
	s.resolutionFence = c.Fence
	d.Owner = c.To
	s.records[c.Key] = d
	return &d, nil
}
