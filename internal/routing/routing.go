// Package routing runs routing programs, which are interchangeable policies for picking the worker
// of a request. A program only orders candidates that the caller has already found eligible, so no
// program can violate a guarantee of the system. If a program fails, runs too long or names a
// worker that is not a candidate, the built-in order is used and the fallback is counted.
package routing

import (
	"sort"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// PickRequest describes a request to a program.
type PickRequest struct {
	Request      string
	Kind         string
	Model        string
	Adapters     []string
	Role         ids.Role
	Zone         ids.Zone
	PromptTokens int
	MaxTokens    int
	NeededTokens int  // tokens of memory to reserve; 0 if unknown
	HasCost      bool // the candidates' Cost is set
}

// Candidate is a worker that may serve the request. Affinity, from 0 to 1, is the same on every
// node for the same prompt prefix and worker.
type Candidate struct {
	ID            ids.WorkerID
	Zone          ids.Zone
	Weights       string
	Adapters      []string
	Free          int
	Capacity      int
	Outstanding   int // requests reserved or running
	MaxConcurrent int
	Affinity      float64
	Cost          float64 // estimated ms at this worker, if the request has HasCost set
}

// Program is a routing policy. It decides which candidates a request may use, in which order they
// are tried (best first, those that it omits last), and when a worker should change its role. A
// program need not define all three.
type Program interface {
	Match(q *PickRequest, list []Candidate) ([]Candidate, error)
	Order(q *PickRequest, list []Candidate) ([]ids.WorkerID, error)
	ProposeRoleChange(p *Pool) (RoleChange, bool, error)
	ProposesRoleChanges() bool
}

// Affinity returns the rendezvous-hashing weight of a worker for the hash of a prompt prefix, from 0
// to 1.
func Affinity(prefix uint64, id ids.WorkerID) float64 {
	return AffinityFromHash(prefix, WorkerHash(id))
}

// WorkerHash returns the hash of a worker id for AffinityFromHash.
func WorkerHash(id ids.WorkerID) uint64 { return ids.Hash(string(id)) }

// AffinityFromHash returns the Affinity of the worker whose id has the given WorkerHash.
func AffinityFromHash(prefix, hash uint64) float64 {
	return float64(ids.Mix(hash^prefix)>>11) / (1 << 53)
}

// PrefixHash returns a hash of the first n tokens of a prompt.
func PrefixHash(prompt []int32, n int) uint64 {
	hash := uint64(14695981039346656037)
	for _, token := range prompt[:min(n, len(prompt))] {
		hash = (hash ^ uint64(uint32(token))) * 1099511628211
	}
	return hash
}

// BuiltIn is the built-in program. It orders candidates by cost if that is set, otherwise by the
// fewest outstanding requests for prefill and by the largest share of free memory for decode. Ties
// are broken by a hash of the request, so that requests between two heartbeats do not all go to one worker.
type BuiltIn struct{}

// Match returns all candidates.
func (BuiltIn) Match(_ *PickRequest, list []Candidate) ([]Candidate, error) { return list, nil }

// ProposesRoleChanges returns true: the built-in program also proposes role changes.
func (BuiltIn) ProposesRoleChanges() bool { return true }

// Order returns the candidates in the built-in order; it never fails.
func (BuiltIn) Order(q *PickRequest, list []Candidate) ([]ids.WorkerID, error) {
	score := func(c Candidate) float64 {
		if q.HasCost {
			return c.Cost
		}
		if q.Role == ids.Prefill {
			return float64(c.Outstanding)
		}
		return -float64(c.Free) / float64(max(c.Capacity, 1))
	}
	sorted := append([]Candidate(nil), list...)
	requestHash := ids.Hash(q.Request)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := score(sorted[i]), score(sorted[j])
		if a != b {
			return a < b
		}
		return Affinity(requestHash, sorted[i].ID) > Affinity(requestHash, sorted[j].ID)
	})
	out := make([]ids.WorkerID, len(sorted))
	for i, c := range sorted {
		out[i] = c.ID
	}
	return out, nil
}

// checkOrder validates a program's order and completes it. A worker that is not a candidate or is
// named twice is an error; omitted candidates come last, in the built-in order.
func checkOrder(q *PickRequest, list []Candidate, order []ids.WorkerID) ([]ids.WorkerID, error) {
	missing := make(map[ids.WorkerID]bool, len(list))
	for _, c := range list {
		missing[c.ID] = true
	}
	out := make([]ids.WorkerID, 0, len(list))
	for _, id := range order {
		if !missing[id] {
			return nil, failure.New(
				failure.InvalidArgument,
				"order workers",
				string(id),
				"the program names a worker that is not a candidate, or names it twice",
			)
		}
		delete(missing, id)
		out = append(out, id)
	}
	if len(missing) > 0 {
		rest, _ := BuiltIn{}.Order(q, list)
		for _, id := range rest {
			if missing[id] {
				out = append(out, id)
			}
		}
	}
	return out, nil
}
