// This file holds the routing programs of one configuration version with their shares of the
// traffic, and the scores of programs. Scores are kept across versions, so that a program can be
// compared before and after a change.

package routing

import (
	"hash/fnv"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// Score holds the counters and the latest times to first token of a program. Its counters are atomic
// because they are updated on the request path. Runs counts the runs of the program, also as a
// shadow; Fallbacks the runs that failed, so that the built-in order was used; Agreed the runs as a
// shadow whose first choice, or role change, was the one that was used.
type Score struct {
	Runs, Fallbacks, Agreed, Completed, Aborted, NotExecuted atomic.Int64
	RoleChangeCalls, RoleChangeProposals                     atomic.Int64 // calls for a role change, and calls that proposed one

	mu              sync.Mutex
	firstTokenTimes []time.Duration
	nextSample      int // index in firstTokenTimes that is overwritten next, once it is full
}

const maxFirstTokenSamples = 2048

// ObserveFirstToken records a time to first token. Only the latest ones are kept.
func (s *Score) ObserveFirstToken(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.firstTokenTimes) < maxFirstTokenSamples {
		s.firstTokenTimes = append(s.firstTokenTimes, d)
		return
	}
	s.firstTokenTimes[s.nextSample%maxFirstTokenSamples] = d
	s.nextSample++
}

// FirstTokenQuantile returns the quantile q, from 0 to 1, of the latest times to first token, or 0
// if there are none.
func (s *Score) FirstTokenQuantile(q float64) time.Duration {
	s.mu.Lock()
	times := slices.Clone(s.firstTokenTimes)
	s.mu.Unlock()
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[int(q*float64(len(times)-1))]
}

// Scores holds the scores of programs by name. It is safe for concurrent use.
type Scores struct{ byName sync.Map }

// Of returns the score of a program, and creates it at its first use.
func (s *Scores) Of(name string) *Score {
	v, ok := s.byName.Load(name)
	if !ok {
		v, _ = s.byName.LoadOrStore(name, &Score{})
	}
	return v.(*Score)
}

// Each calls f for every score, in no particular order.
func (s *Scores) Each(f func(string, *Score)) {
	s.byName.Range(func(k, v any) bool { f(k.(string), v.(*Score)); return true })
}

// Source is the source code of a program with its settings in the configuration.
type Source struct {
	Name         string
	Text         string
	Share        int  // percent of the requests
	Shadow       bool // the program is run and counted, but its order is not used
	ChangesRoles bool // the program decides on role changes
}

// compiledProgram is a program of a set, with its settings.
type compiledProgram struct {
	name         string
	share        int
	shadow       bool
	changesRoles bool
	program      Program
}

// BuiltInName is the name of the built-in program in the scores.
const BuiltInName = "plain"

// ProgramSet holds the programs of one configuration version.
type ProgramSet struct {
	programs []compiledProgram
	scores   *Scores
}

// NewProgramSet compiles all sources. An error in one of them rejects the whole set.
func NewProgramSet(list []Source, stepLimit uint64, scores *Scores) (*ProgramSet, error) {
	set := &ProgramSet{scores: scores}
	for _, s := range list {
		p, err := Compile(s.Name, s.Text, stepLimit)
		if err == nil && s.ChangesRoles && !p.ProposesRoleChanges() {
			err = failure.New(
				failure.InvalidArgument,
				"compile program",
				s.Name,
				"%s.star:1: the program is to decide on role changes and has no turn(pool)",
				s.Name,
			)
		}
		if err != nil {
			return nil, failure.Wrap(err, "check programs", "")
		}
		set.programs = append(set.programs, compiledProgram{s.Name, s.Share, s.Shadow, s.ChangesRoles, p})
	}
	return set, nil
}

// ProgramFor returns the name of the program that orders the workers of a request.
func (set *ProgramSet) ProgramFor(request string) string {
	h := fnv.New32a()
	h.Write([]byte(request))
	bucket := int(h.Sum32() % 100)
	for _, s := range set.programs {
		if s.shadow {
			continue
		}
		if bucket -= s.share; bucket < 0 {
			return s.name
		}
	}
	return BuiltInName
}

// HasPrograms reports whether the set has any program besides the built-in one.
func (set *ProgramSet) HasPrograms() bool { return len(set.programs) > 0 }

// matchAndOrder returns the candidates that a program matches, in the order of the program.
func matchAndOrder(p Program, q *PickRequest, list []Candidate) ([]ids.WorkerID, error) {
	matched, err := p.Match(q, list)
	if err != nil {
		return nil, err
	}
	order, err := p.Order(q, matched)
	if err != nil {
		return nil, err
	}
	return checkOrder(q, matched, order)
}

// Order returns the candidates in the order of the request's program. It also runs the shadow
// programs and counts their runs, their failures and how often their first choice is the same, but
// it does not use their order.
func (set *ProgramSet) Order(q *PickRequest, list []Candidate) []ids.WorkerID {
	name := set.ProgramFor(q.Request)
	builtIn, _ := BuiltIn{}.Order(q, list)
	out, shadowChoices := builtIn, map[string]ids.WorkerID{}
	for _, s := range set.programs {
		if s.name != name && !s.shadow {
			continue
		}
		order, err := matchAndOrder(s.program, q, list)
		score := set.scores.Of(s.name)
		if score.Runs.Add(1); err != nil {
			score.Fallbacks.Add(1)
			order = builtIn
		}
		if s.name == name {
			out = order
		} else if err == nil && len(order) > 0 {
			shadowChoices[s.name] = order[0]
		}
	}
	for name, first := range shadowChoices {
		if len(out) > 0 && first == out[0] {
			set.scores.Of(name).Agreed.Add(1)
		}
	}
	if name == BuiltInName {
		set.scores.Of(name).Runs.Add(1)
	}
	return out
}
