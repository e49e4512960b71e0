// A duty round is a request for permission to perform one action outside the fleet, such as a call to
// the platform. The node that holds a duty submits a DutyRound command for the action, and may perform
// the action only if the command is accepted, that is, if it wins the round. An action is identified by
// its subject and number. The log orders the rounds. Once a holder with a higher fencing token has won a
// round for a subject, the rounds of earlier holders for that subject are rejected. The first round for
// an action fixes its content, so that every holder performs the action with the same content.

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

// maxDutyActions is the maximum number of actions that are kept for each subject. Those with the
// lowest numbers are dropped first.
const maxDutyActions = 16

func (c *DutyRound) apply(s *State) (msgp.Marshaler, error) {
	subject := s.dutySubjects[c.Subject]
	if c.Fence < subject.Fence || c.Fence == subject.Fence && c.Owner != subject.Owner {
		return nil, failure.New(failure.Stale, "win round", c.Subject,
			"fencing token %d of %s is not higher than fencing token %d of %s", c.Fence, c.Owner, subject.Fence, subject.Owner)
	}
	number := c.Number
	if number == 0 {
		number = subject.newestAction() + 1
	}
	if number <= subject.LastDropped {
		return nil, failure.New(failure.Stale, "win round", c.Subject,
			"action %d was dropped, as were all actions up to %d", number, subject.LastDropped)
	}
	next, action, changed := subject.withRound(number, c)
	if !changed && c.Fence == subject.Fence {
		return &DutyRoundReply{action}, coordination.ErrUnchanged
	}
	next.Name, next.Owner, next.Fence = c.Subject, c.Owner, c.Fence
	s.dutySubjects[c.Subject] = next
	return &DutyRoundReply{action}, nil
}

// newestAction returns the number of the newest action, kept or dropped.
func (d *DutySubject) newestAction() uint64 {
	if len(d.Actions) == 0 {
		return d.LastDropped
	}
	return d.Actions[len(d.Actions)-1].Number
}

// withRound returns the subject after a round for the action with the given number, that action, and
// whether the actions changed. It does not modify d.
func (d *DutySubject) withRound(number uint64, c *DutyRound) (next DutySubject, action DutyAction, changed bool) {
	next = *d
	next.Actions = slices.Clone(d.Actions)
	index := sort.Search(len(next.Actions), func(i int) bool { return next.Actions[i].Number >= number })
	if index == len(next.Actions) || next.Actions[index].Number != number {
		next.Actions = slices.Insert(next.Actions, index, DutyAction{Number: number, Content: c.Content})
		changed = true
	}
	if c.Done && !next.Actions[index].Done {
		next.Actions[index] = DutyAction{Number: number, Done: true}
		changed = true
	}
	action = next.Actions[index]
	if extra := len(next.Actions) - maxDutyActions; extra > 0 {
		next.LastDropped = next.Actions[extra-1].Number
		next.Actions = next.Actions[extra:]
	}
	return next, action, changed
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
