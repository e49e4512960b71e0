// What a role spends, added up over processes.

package main

// Role is what one process, or one node of several in a process, spends.
type Role struct {
	CPU     float64            `json:"cpu"`     // % of one core
	Memory  float64            `json:"memory"`  // MB: resident, or of a node its part of heap and stacks
	Rss     float64            `json:"rss"`     // MB resident, of a node its part of its process
	In      float64            `json:"in"`      // bytes a second
	Out     float64            `json:"out"`     // bytes a second
	Asked   float64            `json:"asked"`   // requests a second sent
	Served  float64            `json:"served"`  // requests a second answered
	Files   float64            `json:"files"`   // open
	Sockets float64            `json:"sockets"` // of these
	Flows   map[string]PerSpan `json:"flows,omitempty"`
}

// PerSpan is a Flow by the second.
type PerSpan struct {
	Asked  float64 `json:"asked"`
	Served float64 `json:"served"`
	In     float64 `json:"in"`
	Out    float64 `json:"out"`
}

func (q PerSpan) plus(r PerSpan) PerSpan {
	return PerSpan{q.Asked + r.Asked, q.Served + r.Served, q.In + r.In, q.Out + r.Out}
}

// flow adds what went by under a name.
func (r *Role) flow(name string, q PerSpan) {
	r.Flows[name] = r.Flows[name].plus(q)
	r.Asked, r.Served, r.In, r.Out = r.Asked+q.Asked, r.Served+q.Served, r.In+q.In, r.Out+q.Out
}

func (r *Role) add(o *Role) {
	r.CPU, r.Memory, r.Rss = r.CPU+o.CPU, r.Memory+o.Memory, r.Rss+o.Rss
	r.Files, r.Sockets = r.Files+o.Files, r.Sockets+o.Sockets
	for name, q := range o.Flows {
		r.flow(name, q)
	}
}

func (r *Role) scale(x float64) {
	for _, v := range []*float64{&r.CPU, &r.Memory, &r.Rss, &r.In, &r.Out, &r.Asked, &r.Served, &r.Files, &r.Sockets} {
		*v *= x
	}
	for name, q := range r.Flows {
		r.Flows[name] = PerSpan{q.Asked * x, q.Served * x, q.In * x, q.Out * x}
	}
}
