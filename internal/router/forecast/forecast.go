// Package forecast predicts the effects of an operator's change before it is made: on the worker
// catalog, the owners of coordination keys, memory capacity, the traffic shares of routing
// programs, and the quorum of the core. It only reads the live state as a node reports it.
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

// Change is a change to evaluate. Exactly one field is set.
type Change struct {
	Configuration *fleetstate.Configuration // a complete new configuration
	Evacuate      ids.Zone
	LoseZone      ids.Zone
	LoseAddr      string // the loss of the machine with this address
	Drain         ids.WorkerID
	Revoke        string // the serial of a certificate
	FleetTime     int64  // the fleet time to advance to, in nanoseconds since 1970
}

// KeyMove is a coordination key whose owner would change.
type KeyMove struct {
	Key  ids.Key    `json:"key"`
	From ids.NodeID `json:"from"`
	To   ids.NodeID `json:"to"`
}

// PoolCapacity is the capacity of one role of a model's workers, in memory blocks. Each [2]int
// field holds the values before and after the change.
type PoolCapacity struct {
	Model   string   `json:"model"`
	Role    ids.Role `json:"part"`
	Workers [2]int   `json:"workers"`
	Blocks  [2]int   `json:"blocks"`
	Used    int      `json:"used"`
	Zones   [2]int   `json:"zones"`
}

// Forecast is the predicted effect of a change. Each [2]int field holds the values
// before and after the change.
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

// warn adds a warning.
func (f *Forecast) warn(format string, args ...any) {
	f.Warnings = append(f.Warnings, fmt.Sprintf(format, args...))
}

// Compute returns the forecast for a change to the live state and the configuration in force. It
// returns an error if the change names something that does not exist.
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

// validate checks that the zone, the worker or the address that a change names exists.
func validate(st *router.NodeStatus, configuration *fleetstate.Configuration, c Change) error {
	for _, z := range []ids.Zone{c.Evacuate, c.LoseZone} {
		known := z == ""
		for _, zone := range configuration.Zones {
			known = known || zone == z
		}
		if !known {
			return failure.New(failure.InvalidArgument, "plan", string(z), "the zone does not exist")
		}
	}
	if _, ok := configuration.Workers[c.Drain]; !ok && c.Drain != "" {
		return failure.New(failure.InvalidArgument, "plan", string(c.Drain), "the worker does not exist")
	}
	if c.LoseAddr != "" {
		for _, m := range st.Members {
			if m.Addr == c.LoseAddr {
				return nil
			}
		}
		for _, voter := range st.Core.Voters {
			if voter.Addr == c.LoseAddr {
				return nil
			}
		}
		return failure.New(failure.InvalidArgument, "plan", c.LoseAddr, "no node and no disk machine has this address")
	}
	return nil
}

// sortedWorkerIDs returns the ids of the workers in either configuration, in order.
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

// compareWorkers lists the workers that are added, removed or changed.
func (f *Forecast) compareWorkers(now, next *fleetstate.Configuration) {
	for _, id := range sortedWorkerIDs(now, next) {
		before, existed := now.Workers[id]
		after, exists := next.Workers[id]
		switch {
		case !existed:
			f.WorkerChanges = append(
				f.WorkerChanges,
				fmt.Sprintf(
					"+ %s: %s of %s %s in %s, %d blocks",
					id, after.Role, after.Model, after.Weights, after.Zone, after.Capacity,
				),
			)
		case !exists:
			f.WorkerChanges = append(
				f.WorkerChanges, fmt.Sprintf("- %s: %s of %s %s in %s", id, before.Role, before.Model, before.Weights, before.Zone),
			)
		case fmt.Sprint(before) != fmt.Sprint(after):
			f.WorkerChanges = append(f.WorkerChanges, fmt.Sprintf("~ %s: %v -> %v", id, before, after))
		}
	}
}

// compareShares records the traffic share of each routing program in percent. Requests that no
// program gets are "plain": the built-in order serves them.
func (f *Forecast) compareShares(now, next *fleetstate.Configuration) {
	for i, configuration := range []*fleetstate.Configuration{now, next} {
		builtIn := 100
		setShare := func(name string, percent int) {
			pair := f.TrafficShares[name]
			pair[i] = percent
			f.TrafficShares[name] = pair
		}
		for name, program := range configuration.Programs {
			if !program.Shadow {
				setShare(name, program.Share)
				builtIn -= program.Share
			}
		}
		setShare("plain", builtIn)
	}
}

// removes reports whether a change removes the machine with an address in a zone.
func (c Change) removes(zone ids.Zone, addr string) bool {
	return c.LoseZone != "" && c.LoseZone == zone || c.LoseAddr != "" && c.LoseAddr == addr
}

// compareKeys lists the keys whose owner changes when nodes are lost.
func (f *Forecast) compareKeys(st *router.NodeStatus, next *fleetstate.Configuration, c Change) {
	var before, after []ids.NodeID
	for _, m := range st.Members {
		before = append(before, m.Node)
		if !c.removes(m.Zone, m.Addr) {
			after = append(after, m.Node)
		}
	}
	f.Nodes = [2]int{len(before), len(after)}
	if len(after) == 0 {
		f.warn("no router node would be left")
	}
	keys := []ids.Key{fleetstate.RetryBudgetKey, fleetstate.ClaimResolutionKey}
	models := map[string]bool{}
	for id, w := range next.Workers {
		keys = append(keys, fleetstate.WorkerKey(id))
		models[w.Model] = true
	}
	for model := range models {
		keys = append(keys, fleetstate.PoolKey(model))
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	for _, k := range keys {
		if from, to := coordination.Owner(k, before), coordination.Owner(k, after); from != to {
			f.KeyMoves = append(f.KeyMoves, KeyMove{k, from, to})
		}
	}
}

// compareCapacity computes the capacity of each role of each model and warns of roles that would have
// too little. Workers that are drained or in an evacuated zone are counted neither before nor after the change.
func (f *Forecast) compareCapacity(st *router.NodeStatus, now, next *fleetstate.Configuration, c Change) {
	type group struct {
		model string
		role  ids.Role
	}
	capacities := map[group]*PoolCapacity{}
	zones := map[group][2]map[ids.Zone]bool{}
	statuses := map[ids.WorkerID]router.WorkerStatus{}
	for _, status := range st.Workers {
		statuses[status.ID] = status
	}
	excluded := map[string]bool{}
	for _, z := range st.Evacuated {
		excluded[z] = true
	}
	for _, w := range st.Drained {
		excluded[w] = true
	}
	for i, configuration := range []*fleetstate.Configuration{now, next} {
		for id, w := range configuration.Workers {
			role := w.Role
			status, live := statuses[id]
			if live && status.Role != "" {
				role = status.Role
			}
			g := group{w.Model, role}
			if capacities[g] == nil {
				capacities[g] = &PoolCapacity{Model: w.Model, Role: role}
				zones[g] = [2]map[ids.Zone]bool{{}, {}}
			}
			if excluded[string(w.Zone)] || excluded[string(id)] {
				continue
			}
			if i == 0 {
				capacities[g].Used += max(0, status.Capacity-status.Free)
			} else if c.removes(w.Zone, "") || c.Evacuate == w.Zone && w.Zone != "" || c.Drain == id {
				continue
			}
			capacities[g].Workers[i]++
			capacities[g].Blocks[i] += w.Capacity
			zones[g][i][w.Zone] = true
		}
	}
	for g, r := range capacities {
		r.Zones = [2]int{len(zones[g][0]), len(zones[g][1])}
		f.Capacity = append(f.Capacity, *r)
	}
	sort.Slice(f.Capacity, func(i, j int) bool {
		a, b := f.Capacity[i], f.Capacity[j]
		return a.Model+string(a.Role) < b.Model+string(b.Role)
	})
	for _, r := range f.Capacity {
		pool := fmt.Sprintf("%s of %s", r.Role, r.Model)
		switch {
		case r.Workers[1] == 0 && r.Workers[0] > 0:
			f.warn("no worker would be left for %s", pool)
		case r.Used > r.Blocks[1]:
			f.warn("%s would have %d blocks, %d are in use now", pool, r.Blocks[1], r.Used)
		case r.Used*10 > r.Blocks[1]*8:
			f.warn("%s would be over 80%% full: %d of %d blocks", pool, r.Used, r.Blocks[1])
		case r.Zones[1] < 2 && r.Zones[0] >= 2:
			f.warn("%s would have workers in one zone only", pool)
		}
	}
}

// checkRecords warns when the store of idempotency records is at least 80% full.
func (f *Forecast) checkRecords(st *router.NodeStatus, next *fleetstate.Configuration) {
	if n, limit := st.Records[0], next.Limits.MaxRecords; limit > 0 && n*10 >= limit*8 {
		f.warn("%d of %d idempotency records are in use; when all are, new keys are rejected: raise limits.deeds", n, limit)
	}
}

// checkCore counts the core's remaining voters and warns if they are no majority, or if there are
// fewer than before.
func (f *Forecast) checkCore(st *router.NodeStatus, c Change) {
	f.Voters[0] = len(st.Core.Voters)
	for _, voter := range st.Core.Voters {
		if !c.removes(voter.Zone, voter.Addr) {
			f.Voters[1]++
		}
	}
	switch {
	case f.Voters[1]*2 <= f.Voters[0]:
		f.warn("the core would have no quorum: %d of %d disk machines would be left", f.Voters[1], f.Voters[0])
	case f.Voters[1] < f.Voters[0]:
		f.warn("the core would tolerate no further loss until a spare disk machine joins")
	}
}
