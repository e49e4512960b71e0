// A duty round is a request for permission to perform one act outside the fleet, such as a call to the
// platform. The node that holds a duty submits a DutyRound command for the act, and may perform the
// act only if the command is accepted, that is, if it wins the round. An act is identified by its
// subject and number. The log orders the rounds. Once a holder with a higher fencing token has won a
// round for a subject, the rounds of earlier holders for that subject are rejected. The first round
// for an act fixes its content, so that every holder performs the act with the same content.

package fleetstate

import (
	"slices"
	"sort"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
)

// MeteringKey is the key of the duty of reporting usage.
const MeteringKey ids.Key = "metering"

// maxDutyActs is the maximum number of acts that are kept for each subject. Those with the lowest
// numbers are dropped first.
const maxDutyActs = 16

func (c *DutyRound) apply(s *State) (msgp.Marshaler, error) {
	subject := s.dutySubjects[c.Subject]
	if c.Fence < subject.Fence || c.Fence == subject.Fence && c.Owner != subject.Owner {
		return nil, failure.New(failure.Stale, "win round", c.Subject,
			"fencing token %d of %s is not higher than fencing token %d of %s", c.Fence, c.Owner, subject.Fence, subject.Owner)
	}
	number := c.Number
	if number == 0 {
		number = subject.newestAct() + 1
	}
	if number <= subject.Forgotten {
		return nil, failure.New(failure.Stale, "win round", c.Subject,
			"act %d was dropped, as were all acts up to %d", number, subject.Forgotten)
	}
	next, act, changed := subject.withRound(number, c)
	if !changed && c.Fence == subject.Fence {
		return &DutyRoundReply{act}, coordination.ErrUnchanged
	}
	next.Name, next.Owner, next.Fence = c.Subject, c.Owner, c.Fence
	s.dutySubjects[c.Subject] = next
	return &DutyRoundReply{act}, nil
}

// newestAct returns the number of the newest act, kept or dropped.
func (d *DutySubject) newestAct() uint64 {
	if len(d.Acts) == 0 {
		return d.Forgotten
	}
	return d.Acts[len(d.Acts)-1].Number
}

// withRound returns the subject after a round for the act with the given number, that act, and whether
// the acts changed. It does not modify d.
func (d *DutySubject) withRound(number uint64, c *DutyRound) (next DutySubject, act DutyAct, changed bool) {
	next = *d
	next.Acts = slices.Clone(d.Acts)
	index := sort.Search(len(next.Acts), func(i int) bool { return next.Acts[i].Number >= number })
	if index == len(next.Acts) || next.Acts[index].Number != number {
		next.Acts = slices.Insert(next.Acts, index, DutyAct{Number: number, Content: c.Content})
		changed = true
	}
	if c.Done && !next.Acts[index].Done {
		next.Acts[index] = DutyAct{Number: number, Done: true}
		changed = true
	}
	act = next.Acts[index]
	if extra := len(next.Acts) - maxDutyActs; extra > 0 {
		next.Forgotten = next.Acts[extra-1].Number
		next.Acts = next.Acts[extra:]
	}
	return next, act, changed
}

// encodeDuties returns the subjects of all duties, sorted by name.
func (s *State) encodeDuties() []DutySubject {
	out := make([]DutySubject, 0, len(s.dutySubjects))
	for _, d := range s.dutySubjects {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
