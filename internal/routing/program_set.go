// A deck is the programs of one version of the policy, with their shares. The
// scores outlive decks, so that a program is compared across swaps.

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

// Score counts how a program fares. All is atomic: it is on the request path.
type Score struct {
	Picks, Fallbacks, Agreed, Completed, Aborted, NotExecuted atomic.Int64
	RoleChangeCalls, RoleChangeProposals                      atomic.Int64 // of turning

	mu              sync.Mutex
	firstTokenTimes []time.Duration
	nextSample      int
}

const maxFirstTokenSamples = 2048

// ObserveFirstToken notes the time to a first piece.
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

// Quantile returns the quantile q, from 0 to 1, of the newest times to a first piece, or 0
// without any.
func (s *Score) Quantile(q float64) time.Duration {
	s.mu.Lock()
	row := slices.Clone(s.firstTokenTimes)
	s.mu.Unlock()
	if len(row) == 0 {
		return 0
	}
	sort.Slice(row, func(i, j int) bool { return row[i] < row[j] })
	return row[int(q*float64(len(row)-1))]
}

// Scores holds the scores by the names of their programs. It is safe for concurrent use.
type Scores struct{ byName sync.Map }

// Of returns the score of a program, which is made at its first use.
func (s *Scores) Of(name string) *Score {
	v, ok := s.byName.Load(name)
	if !ok {
		v, _ = s.byName.LoadOrStore(name, &Score{})
	}
	return v.(*Score)
}

// Each calls f with every score, in no order.
func (s *Scores) Each(f func(string, *Score)) {
	s.byName.Range(func(k, v any) bool { f(k.(string), v.(*Score)); return true })
}

// Source is a program as the policy has it.
type Source struct {
	Name         string
	Text         string
	Share        int
	Shadow       bool
	ChangesRoles bool // it is in charge of turning
}

type compiledProgram struct {
	name         string
	share        int
	shadow       bool
	changesRoles bool
	program      Program
}

// BuiltInName is what the built-in order is called in the scores.
const BuiltInName = "plain"

// ProgramSet is the programs of one version of the configuration, with their shares.
type ProgramSet struct {
	programs []compiledProgram
	scores   *Scores
}

// NewProgramSet compiles all sources; any fault refuses the whole deck.
func NewProgramSet(list []Source, steps uint64, scores *Scores) (*ProgramSet, error) {
	d := &ProgramSet{scores: scores}
	for _, s := range list {
		p, err := Compile(s.Name, s.Text, steps)
		if err == nil && s.ChangesRoles && !p.ProposesRoleChanges() {
			err = failure.New(
				failure.InvalidArgument,
				"compile program",
				s.Name,
				"%s.star:1: it is to be in charge of turning and has no turn(pool)",
				s.Name,
			)
		}
		if err != nil {
			return nil, failure.Wrap(err, "check programs", "")
		}
		d.programs = append(d.programs, compiledProgram{s.Name, s.Share, s.Shadow, s.ChangesRoles, p})
	}
	return d, nil
}

// ProgramFor gives the name of the program that a request falls to.
func (d *ProgramSet) ProgramFor(request string) string {
	h := fnv.New32a()
	h.Write([]byte(request))
	at := int(h.Sum32() % 100)
	for _, s := range d.programs {
		if s.shadow {
			continue
		}
		if at -= s.share; at < 0 {
			return s.name
		}
	}
	return BuiltInName
}

// HasPrograms tells whether any program stands beside the built-in order.
func (d *ProgramSet) HasPrograms() bool { return len(d.programs) > 0 }

// matchAndOrder gives the candidates that a program matches, in its order.
func matchAndOrder(p Program, q *PickRequest, list []Candidate) ([]ids.WorkerID, error) {
	some, err := p.Match(q, list)
	if err != nil {
		return nil, err
	}
	got, err := p.Order(q, some)
	if err != nil {
		return nil, err
	}
	return checkOrder(q, some, got)
}

// Order asks the request's program, and in its shadow the shadow programs,
// whose choices are only counted.
func (d *ProgramSet) Order(q *PickRequest, list []Candidate) []ids.WorkerID {
	name := d.ProgramFor(q.Request)
	plain, _ := BuiltIn{}.Order(q, list)
	out, firsts := plain, map[string]ids.WorkerID{}
	for _, s := range d.programs {
		if s.name != name && !s.shadow {
			continue
		}
		got, err := matchAndOrder(s.program, q, list)
		score := d.scores.Of(s.name)
		if score.Picks.Add(1); err != nil {
			score.Fallbacks.Add(1)
			got = plain
		}
		if s.name == name {
			out = got
		} else if err == nil && len(got) > 0 {
			firsts[s.name] = got[0]
		}
	}
	for name, first := range firsts {
		if len(out) > 0 && first == out[0] {
			d.scores.Of(name).Agreed.Add(1)
		}
	}
	if name == BuiltInName {
		d.scores.Of(name).Picks.Add(1)
	}
	return out
}
