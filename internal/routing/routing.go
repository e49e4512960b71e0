// Package routing runs routing programs: rival ideas of which worker should take a
// piece of work. A program only orders candidates that the controller has
// already cleared, so no program can break a promise; one that fails, runs too
// long or names strangers falls back to the built-in order and is counted.
package routing

import (
	"sort"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// PickRequest is what a program may know of the work.
type PickRequest struct {
	Request      string
	Kind         string
	Model        string
	Adapters     []string
	Role         ids.Role
	Zone         ids.Zone
	PromptTokens int
	MaxTokens    int
	NeededTokens int
	HasCost      bool // the candidates' cost was reckoned
}

// Candidate is a worker that may take it. Affinity, from 0 to 1, is the same on
// every node for the same prompt prefix and worker.
type Candidate struct {
	ID            ids.WorkerID
	Zone          ids.Zone
	Weights       string
	Adapters      []string
	Free          int
	Capacity      int
	Outstanding   int
	MaxConcurrent int
	Affinity      float64
	Cost          float64 // ms that the node reckons it takes there, if the question is priced
}

// Program is a routing policy: which of the cleared workers a request matches, in
// which order they are tried (best first, those it leaves out last), and when a
// worker should change its part. It need not have an idea of each.
type Program interface {
	Match(q *PickRequest, list []Candidate) ([]Candidate, error)
	Order(q *PickRequest, list []Candidate) ([]ids.WorkerID, error)
	ProposeRoleChange(p *Pool) (RoleChange, bool, error)
	ProposesRoleChanges() bool
}

// Affinity is high for the worker that a prefix falls to.
func Affinity(prefix uint64, id ids.WorkerID) float64 {
	return AffinityFromHash(prefix, WorkerHash(id))
}

// WorkerHash is what Affinity makes of a worker's id.
func WorkerHash(id ids.WorkerID) uint64 { return ids.Hash(string(id)) }

// AffinityFromHash is the Affinity of a worker by its id's Hash, from 0 to 1.
func AffinityFromHash(prefix, hash uint64) float64 {
	return float64(ids.Mix(hash^prefix)>>11) / (1 << 53)
}

// PrefixHash hashes the first tokens of a prompt.
func PrefixHash(prompt []int32, n int) uint64 {
	v := uint64(14695981039346656037)
	for _, t := range prompt[:min(n, len(prompt))] {
		v = (v ^ uint64(uint32(t))) * 1099511628211
	}
	return v
}

// BuiltIn is the built-in order: for prefill the least busy, for decode the most
// free blocks, and where a cost was reckoned, the cheapest; among equals the request decides,
// so that calls which come between
// two heartbeats do not all fall to one worker.
type BuiltIn struct{}

// Match returns all candidates.
func (BuiltIn) Match(_ *PickRequest, list []Candidate) ([]Candidate, error) { return list, nil }

// ProposesRoleChanges reports that the built-in order also says when workers change their part.
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
	row := append([]Candidate(nil), list...)
	own := ids.Hash(q.Request)
	sort.SliceStable(row, func(i, j int) bool {
		a, b := score(row[i]), score(row[j])
		if a != b {
			return a < b
		}
		return Affinity(own, row[i].ID) > Affinity(own, row[j].ID)
	})
	out := make([]ids.WorkerID, len(row))
	for i, c := range row {
		out[i] = c.ID
	}
	return out, nil
}

// checkOrder holds a program's order against the candidates: strangers and repeats
// are an error, and whoever was left out comes last in the plain order.
func checkOrder(q *PickRequest, list []Candidate, got []ids.WorkerID) ([]ids.WorkerID, error) {
	left := make(map[ids.WorkerID]bool, len(list))
	for _, c := range list {
		left[c.ID] = true
	}
	out := make([]ids.WorkerID, 0, len(list))
	for _, id := range got {
		if !left[id] {
			return nil, failure.New(
				failure.InvalidArgument,
				"order workers",
				string(id),
				"the program names a worker that is no candidate, or names it twice",
			)
		}
		delete(left, id)
		out = append(out, id)
	}
	if len(left) > 0 {
		rest, _ := BuiltIn{}.Order(q, list)
		for _, id := range rest {
			if left[id] {
				out = append(out, id)
			}
		}
	}
	return out, nil
}
