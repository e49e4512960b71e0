// Package forecast works out what a change would move, before it is made: workers,
// keys, room, shares of traffic, and whether the core still decides. It only
// reads; the state it is given is the live one, as a node shows it.
package forecast

import (
	"fmt"
	"sort"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/router"
)

// Change is what may be done; one of its fields is set.
type Change struct {
	Configuration *fleetstate.Configuration // a whole new configuration
	Evacuate      ids.Zone
	LoseZone      ids.Zone
	LoseAddr      string // a machine, by any of its addresses
	Drain         ids.WorkerID
	Revoke        string // a certificate's serial
	FleetTime     int64  // the fleet's time moves on to this, in nanoseconds since 1970
}

// KeyMove is a key that would change hands.
type KeyMove struct {
	Key  ids.Key    `json:"key"`
	From ids.NodeID `json:"from"`
	To   ids.NodeID `json:"to"`
}

// PoolCapacity is what one part of a model can hold, in blocks.
type PoolCapacity struct {
	Model   string   `json:"model"`
	Role    ids.Role `json:"part"`
	Workers [2]int   `json:"workers"`
	Blocks  [2]int   `json:"blocks"`
	Used    int      `json:"used"`
	Zones   [2]int   `json:"zones"`
}

// Forecast is what would come of it; pairs are before and after.
type Forecast struct {
	Version       ids.Version       `json:"version"`
	WorkerChanges []string          `json:"workers"`
	KeyMoves      []KeyMove         `json:"keys"`
	Capacity      []PoolCapacity    `json:"rooms"`
	TrafficShares map[string][2]int `json:"shares"`
	Nodes         [2]int            `json:"nodes"`
	Voters        [2]int            `json:"disks"`
	Warnings      []string          `json:"warnings"`
}

func (f *Forecast) warn(form string, args ...any) {
	f.Warnings = append(f.Warnings, fmt.Sprintf(form, args...))
}

// Compute holds a change against the live state.
func Compute(st *router.NodeStatus, now *fleetstate.Configuration, c Change) (*Forecast, error) {
	if err := validate(st, now, c); err != nil {
		return nil, err
	}
	f := &Forecast{
		Version:       st.Version,
		WorkerChanges: []string{},
		KeyMoves:      []KeyMove{},
		Capacity:      []PoolCapacity{},
		TrafficShares: map[string][2]int{},
		Warnings:      []string{},
	}
	next := now
	if c.Configuration != nil {
		next = c.Configuration
	}
	f.compareWorkers(now, next)
	f.compareShares(now, next)
	f.compareKeys(st, next, c)
	f.compareCapacity(st, now, next, c)
	f.checkCore(st, c)
	f.checkRecords(st, next)
	if err := f.checkRegimes(st, now, next, c); err != nil {
		return nil, err
	}
	return f, nil
}

func validate(st *router.NodeStatus, p *fleetstate.Configuration, c Change) error {
	for _, z := range []ids.Zone{c.Evacuate, c.LoseZone} {
		ok := z == ""
		for _, have := range p.Zones {
			ok = ok || have == z
		}
		if !ok {
			return failure.New(failure.InvalidArgument, "plan", string(z), "there is no such zone")
		}
	}
	if _, ok := p.Workers[c.Drain]; !ok && c.Drain != "" {
		return failure.New(failure.InvalidArgument, "plan", string(c.Drain), "there is no such worker")
	}
	if c.LoseAddr != "" {
		for _, m := range st.Members {
			if m.Addr == c.LoseAddr {
				return nil
			}
		}
		for _, s := range st.Core.Voters {
			if s.Addr == c.LoseAddr {
				return nil
			}
		}
		return failure.New(failure.InvalidArgument, "plan", c.LoseAddr, "no node and no disk machine has this address")
	}
	return nil
}

func sortedWorkerIDs(a, b *fleetstate.Configuration) []ids.WorkerID {
	set := map[ids.WorkerID]bool{}
	for id := range a.Workers {
		set[id] = true
	}
	for id := range b.Workers {
		set[id] = true
	}
	out := make([]ids.WorkerID, 0, len(set))
	for id := range set {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (f *Forecast) compareWorkers(a, b *fleetstate.Configuration) {
	for _, id := range sortedWorkerIDs(a, b) {
		x, was := a.Workers[id]
		y, is := b.Workers[id]
		switch {
		case !was:
			f.WorkerChanges = append(
				f.WorkerChanges,
				fmt.Sprintf("+ %s: %s of %s %s in %s, %d blocks", id, y.Role, y.Model, y.Weights, y.Zone, y.Capacity),
			)
		case !is:
			f.WorkerChanges = append(
				f.WorkerChanges, fmt.Sprintf("- %s: %s of %s %s in %s", id, x.Role, x.Model, x.Weights, x.Zone),
			)
		case fmt.Sprint(x) != fmt.Sprint(y):
			f.WorkerChanges = append(f.WorkerChanges, fmt.Sprintf("~ %s: %v -> %v", id, x, y))
		}
	}
}

func (f *Forecast) compareShares(a, b *fleetstate.Configuration) {
	for i, p := range []*fleetstate.Configuration{a, b} {
		plain := 100
		put := func(name string, n int) {
			pair := f.TrafficShares[name]
			pair[i] = n
			f.TrafficShares[name] = pair
		}
		for name, g := range p.Programs {
			if !g.Shadow {
				put(name, g.Share)
				plain -= g.Share
			}
		}
		put("plain", plain)
	}
}

// removes tells whether a change takes away what stands at an address in a zone.
func (c Change) removes(zone ids.Zone, addr string) bool {
	return c.LoseZone != "" && c.LoseZone == zone || c.LoseAddr != "" && c.LoseAddr == addr
}

func (f *Forecast) compareKeys(st *router.NodeStatus, next *fleetstate.Configuration, c Change) {
	var was, is []ids.NodeID
	for _, m := range st.Members {
		was = append(was, m.Node)
		if !c.removes(m.Zone, m.Addr) {
			is = append(is, m.Node)
		}
	}
	f.Nodes = [2]int{len(was), len(is)}
	if len(is) == 0 {
		f.warn("no node would be left")
	}
	keys := []ids.Key{fleetstate.RetryBudgetKey, fleetstate.ResolutionKey}
	pools := map[string]bool{}
	for id, w := range next.Workers {
		keys = append(keys, fleetstate.WorkerKey(id))
		pools[w.Model] = true
	}
	for m := range pools {
		keys = append(keys, fleetstate.PoolKey(m))
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	for _, k := range keys {
		if from, to := coordination.Owner(k, was), coordination.Owner(k, is); from != to {
			f.KeyMoves = append(f.KeyMoves, KeyMove{k, from, to})
		}
	}
}

func (f *Forecast) compareCapacity(st *router.NodeStatus, now, next *fleetstate.Configuration, c Change) {
	type group struct {
		model string
		role  ids.Role
	}
	rooms := map[group]*PoolCapacity{}
	zones := map[group][2]map[ids.Zone]bool{}
	stands := map[ids.WorkerID]router.WorkerStatus{}
	for _, s := range st.Workers {
		stands[s.ID] = s
	}
	out := map[string]bool{}
	for _, z := range st.Evacuated {
		out[z] = true
	}
	for _, w := range st.Drained {
		out[w] = true
	}
	for i, p := range []*fleetstate.Configuration{now, next} {
		for id, w := range p.Workers {
			part := w.Role
			s, live := stands[id]
			if live && s.Role != "" {
				part = s.Role
			}
			g := group{w.Model, part}
			if rooms[g] == nil {
				rooms[g] = &PoolCapacity{Model: w.Model, Role: part}
				zones[g] = [2]map[ids.Zone]bool{{}, {}}
			}
			if out[string(w.Zone)] || out[string(id)] {
				continue
			}
			if i == 0 {
				rooms[g].Used += max(0, s.Capacity-s.Free)
			} else if c.removes(w.Zone, "") || c.Evacuate == w.Zone && w.Zone != "" || c.Drain == id {
				continue
			}
			rooms[g].Workers[i]++
			rooms[g].Blocks[i] += w.Capacity
			zones[g][i][w.Zone] = true
		}
	}
	for g, r := range rooms {
		r.Zones = [2]int{len(zones[g][0]), len(zones[g][1])}
		f.Capacity = append(f.Capacity, *r)
	}
	sort.Slice(f.Capacity, func(i, j int) bool {
		a, b := f.Capacity[i], f.Capacity[j]
		return a.Model+string(a.Role) < b.Model+string(b.Role)
	})
	for _, r := range f.Capacity {
		who := fmt.Sprintf("%s of %s", r.Role, r.Model)
		switch {
		case r.Workers[1] == 0 && r.Workers[0] > 0:
			f.warn("no worker would be left for %s", who)
		case r.Used > r.Blocks[1]:
			f.warn("%s would have %d blocks, %d are taken now", who, r.Blocks[1], r.Used)
		case r.Used*10 > r.Blocks[1]*8:
			f.warn("%s would be over four fifths full: %d of %d blocks", who, r.Used, r.Blocks[1])
		case r.Zones[1] < 2 && r.Zones[0] >= 2:
			f.warn("%s would stand in one zone only", who)
		}
	}
}

// idempotency records warns early of a store that fills up.
func (f *Forecast) checkRecords(st *router.NodeStatus, next *fleetstate.Configuration) {
	if n, limit := st.Records[0], next.Limits.MaxRecords; limit > 0 && n*10 >= limit*8 {
		f.warn("%d of %d deeds are taken; at the last one new keys are bounced: raise limits.deeds", n, limit)
	}
}

func (f *Forecast) checkCore(st *router.NodeStatus, c Change) {
	f.Voters[0] = len(st.Core.Voters)
	for _, s := range st.Core.Voters {
		if !c.removes(s.Zone, s.Addr) {
			f.Voters[1]++
		}
	}
	switch {
	case f.Voters[1]*2 <= f.Voters[0]:
		f.warn("the core could not decide: %d of %d disk machines would be left", f.Voters[1], f.Voters[0])
	case f.Voters[1] < f.Voters[0]:
		f.warn("the core would bear no further loss until a spare disk machine joins")
	}
}
