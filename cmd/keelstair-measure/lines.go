// The sizes at which a bound is crossed, the target's lines, and losses, by the slopes.

package main

import (
	"fmt"
	"math"
)

// far is how many times over what was run a crossing is still told.
const far = 20.0

func size(x float64, unit string) string {
	switch {
	case math.IsNaN(x):
		return "not run"
	case x == 0:
		return "not up to 20 times what was run"
	}
	return num(x) + " " + unit
}

// share divides a bound by what one more costs.
func per(bound, slope float64) float64 {
	if slope <= 0 {
		return 0
	}
	return bound / slope
}

func (b *Results) crossTable() string {
	g := &grid{}
	g.head("who hears of what", "bound", "crossed at, all else being free", "target")
	cross := func(sweep string, q quantity, bound float64, unit string) string {
		f := b.fit(sweep, q)
		switch {
		case len(f.Xs) < 3:
			return "not run"
		case f.At(f.Xs[0]) >= bound:
			return fmt.Sprintf("already at %v %s, the fewest run", f.Xs[0], unit)
		}
		return size(f.Crosses(bound, far*f.Xs[len(f.Xs)-1]), unit)
	}
	g.row("every process hears of every node, in whereabouts", "4 kB/s of a node", cross("nodes", nodeWhere, tBytes, "nodes"), "650 nodes")
	news := b.slope("routes", nodeNews) * tChanges
	g.row("every node gets every configuration whole", "4 kB/s of a node", size(per(tBytes, news), "routes")+" at 12,000 changes a day", num(aRoutes)+" routes, assumed")
	g.row("the same", "1.5 % of a core of a node", size(per(tCPU, b.slope("routes", nodeCPU)*tChanges), "routes")+" at 12,000 changes a day", num(aRoutes)+" routes, assumed")
	list := b.slope("workers", nodeList) / churnRate
	g.row("every node gets the list whole when one worker changes", "4 kB/s of a node", size(per(tBytes, list*aListed), "workers")+fmt.Sprintf(" at %s changes a second", num(aListed)), "12,000 workers")
	g.row("the same", "4 kB/s of a node", size(per(tBytes, list*tWorkers)*3600, "changes of the list an hour")+" of 12,000 workers", num(aListed*3600)+" an hour, assumed")
	g.row("one holder asks all workers of a service", "4 kB/s of a node", cross("holder", nodeBytes, tBytes, "workers of a service"), num(held)+" workers for each of 17 models")
	g.row("the same", "1.5 % of a core of a node", cross("holder", nodeCPU, tCPU, "workers of a service"), num(held)+" workers")
	g.row("the primary hears every lease and every asking for news", "one core", cross("nodes", coreCPU, 100, "nodes, while nothing changes"), "650 nodes")
	g.row("the primary deals every key", "one core", cross("duties", coreCPU, 100, fmt.Sprintf("keys over %d nodes", usual.Nodes)), "17 services and 4 more; 12,000 if workers are named")
	g.row("a change waits for all nodes", "6 s", cross("reach", reachWorst, tForce, "nodes"), "650 nodes")
	g.row("the same", "6 s", cross("routes", reachWorst, tForce, "routes"), num(aRoutes)+" routes, assumed")
	g.row("every router beats to every other", "4 kB/s of a node", cross("beats", nodeBeat, tBytes, "routers"), "650 nodes")
	g.row("the same", "1.5 % of a core of a node", cross("beats", nodeCPU, tCPU, "routers"), "650 nodes")
	g.row("a configuration names workers, kinds and programs", "3000 entries (`lore.maxEntries`)", "3000", "12,000 workers, where they are named")
	g.row("each pick looks at every worker listed", "one core of a node", cross("picks", pickMicros, 1e6/(tRequests/tNodes), "workers")+" at "+num(tRequests/tNodes)+" requests a second", "12,000 workers")
	return g.b.String()
}

func verdict(y, bound float64) string {
	switch {
	case math.IsNaN(y):
		return "not run"
	case y <= bound:
		return "by the slopes, yes"
	}
	return "**no**"
}

// cores1 judges a process that may use several cores, but for its one loop.
func cores1(percent float64) string {
	if percent > 100 {
		return "only over several cores; not run"
	}
	return verdict(percent, 100)
}

func (b *Results) lineTable() string {
	g := &grid{}
	g.head("the target's line", "carried by", "at the target, by the slopes", "stands today")
	bytes, cpu, mem := total(b.nodeBytesParts()), total(b.nodeCPUParts()), total(b.nodeMemoryParts())
	core := b.coreAt(coreCPU)
	pick := b.at("picks", pickMicros, tWorkers)
	force := b.at("reach", reachWorst, tNodes)
	routes := b.at("routes", reachWorst, aRoutes)
	g.row("650 nodes", "leases and news at one primary (`coordination.Agent`, `leader`)", fmt.Sprintf("primary at %s %% of a core, %s sockets", num(core), num(b.at("nodes", coreSockets, tNodes))), cores1(core))
	g.row("12,000 workers, 24,000 accelerators", "the list: one asker, the nodes hear of changes (`relay/roster.go`)", kb(b.nodeBytesParts()[6].y)+" at each node for changes alone", verdict(b.nodeBytesParts()[6].y, tBytes))
	g.row("24,000 requests a second", "`proxy.Node.Carry`; each pick looks at every worker", fmt.Sprintf("%s requests a second and node, %s us each: %s %% of a core", num(tRequests/tNodes), num(pick), num(tRequests/tNodes*pick/1e4)), "for picks: "+verdict(tRequests/tNodes*pick/1e4, 100)+"; not run with traffic")
	g.row("4.9 million tokens out a second", "`relay.trip.events`", fmt.Sprintf("%s events a second and node, if each is a token", num(tTokens/tNodes)), "not run")
	g.row("first token within 0.74 s, 64 ms between tokens, for 95 in 100", "`relay/pick.go`, `relay/pass.go`", "the picking is "+num(pick/1000)+" ms of it", "not run at size; needs workers")
	g.row("32 % read prompts, moving by half in a day", "turning by the holder of a service's duty (`relay/turn.go`)", fmt.Sprintf("one turn a service in 1.2 s at most: %s a day for 17; %s are needed", num(tModels*86400/1.2), num(aTurned*86400)), "in number, yes; the holder's asking: "+verdict(b.at("holder", nodeBytes, held), tBytes))
	g.row("5,700 GB of prompt memory a second", "workers among themselves; a node passes on a name only", fmt.Sprintf("%s GB/s for each worker that reads or emits, mean", num(5700/tWorkers)), "not of the control plane; not run")
	g.row("330 tenants and 17 models", "routes and services of the configuration (`fleetstate.Table`)", num(b.at("routes", textBytes, aRoutes)/1000)+" kB for 1000 routes", verdict(routes, tForce))
	g.row("3 regions with 7 zones", "one core over all; leases and news cross regions", "loopback has no distance", "**no**: a region that is apart has no core")
	g.row("12,000 changes a day", "staged, then active, whole texts (`fleetstate.Stage`)", fmt.Sprintf("%s at each node, %s if it did not pack", kb(b.nodeBytesParts()[3].y), kb(b.at("routes", textBytes, aRoutes)*tChanges)), verdict(b.nodeBytesParts()[3].y, tBytes))
	g.row("in force everywhere within 6 s", "the same; silent nodes are waited for 0.3 s", fmt.Sprintf("worst %s ms for 650 nodes with 200 routes, %s ms for 1000 routes at 16 nodes", num(force), num(routes)), verdict(max(force, routes), tForce))
	g.row("control: 1.5 % of a core a node", "all of the above", num(cpu)+" %", verdict(cpu, tCPU))
	g.row("control: 32 MB a node", "", num(mem)+" MB", verdict(mem, tMemory))
	g.row("control: 4 kB a second a node", "", kb(bytes), verdict(bytes, tBytes))
	g.row("24 machines set aside for control", "three carry it (`coordination.Record`); others wait as spares", "3 of 24; a primary uses one machine however many there are", "yes, and 21 are of no use to it")
	g.row("77 machines fail a day", "leases; spares for disks", fmt.Sprintf("known after %s s", num(b.at("losses", known, 1))), "yes")
	g.row("2,300 restarted or replaced a day", "list, leases", fmt.Sprintf("one in %s s; %s changes of the list a second, assumed", num(1/tReplaced), num(aListed)), "in time, yes; in bytes: "+verdict(b.nodeBytesParts()[6].y, tBytes))
	g.row("a rack or switch a week", "the same", fmt.Sprintf("32 of 64 nodes at once: known after %s s, whole %s s after their start", num(b.at("losses", known, 32)), num(b.at("losses", mended, 32))), "to 32 nodes, yes")
	g.row("a zone once or twice a year", "the same; a takeover if it had the primary", fmt.Sprintf("%s nodes of 650; takeover %s s at 128 nodes", num(tNodes/7), num(b.at("takeover", known, 128))), "not run at this size")
	g.row("regions lose each other for an hour", "the side with two of three core machines goes on", "the others keep their view; no change, claim or deal there", "**no** for changes in the other regions")
	return g.b.String()
}

func (b *Results) harmTable() string {
	g := &grid{}
	g.head("what is lost", "measured at", "known, s", "whole again, s", "shape over the sweep")
	for _, p := range b.sweep("losses") {
		k, m := b.fit("losses", known), b.fit("losses", mended)
		g.row(fmt.Sprintf("%v nodes at once", p.X), fmt.Sprintf("%d nodes", p.Size.Nodes), num(p.Known), num(p.Mended), k.Shape+", "+m.Shape)
	}
	for _, p := range b.sweep("takeover") {
		k, m := b.fit("takeover", known), b.fit("takeover", mended)
		g.row("the primary", fmt.Sprintf("%d nodes", p.Size.Nodes), num(p.Known), num(p.Mended), k.Shape+", "+m.Shape)
	}
	return g.b.String()
}
