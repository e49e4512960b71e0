// The target's size, and what each role spends there by the slopes.

package main

import (
	"fmt"
	"math"
)

// The target, as users told it.
const (
	tNodes    = 650.0
	tWorkers  = 12_000.0
	tModels   = 17.0
	tRequests = 24_000.0
	tTokens   = 4.9e6
	tChanges  = 12_000.0 / 86_400
	tReplaced = 2_300.0 / 86_400
	tShare    = 0.32
	tForce    = 6000.0 // ms
	tCPU      = 1.5    // % of a core, a node for control
	tMemory   = 32.0   // MB
	tBytes    = 4096.0 // a second
	tSpare    = 24.0   // machines set aside for control
)

// What the target does not tell, taken for the reckoning.
const (
	aRoutes   = 1000.0 // three for each of 330 tenants
	aTold     = 4.0    // changes of the list for a worker that is replaced: leaving, gone, cold, warm
	aTurned   = tWorkers * tShare / 2 * 2 / 86_400
	aListed   = tReplaced*aTold + aTurned // changes of the list a second
	churnRate = 0.5                       // of the sweep over workers
	reachSize = 200.0                     // routes of the sweep over nodes with changes
)

// at carries a figure on to a size.
func (b *Results) at(sweep string, q quantity, x float64) float64 {
	f := b.fit(sweep, q)
	return f.At(x)
}

func (b *Results) slope(sweep string, q quantity) float64 {
	f := b.fit(sweep, q)
	if len(f.Xs) < 3 {
		return math.NaN()
	}
	return f.Slope()
}

type spent struct {
	name, grows, from string
	y                 float64
}

// nodeBytesParts are the bytes a second of a node's control at the target.
func (b *Results) nodeBytesParts() []spent {
	idle := b.at("changes", nodeNews, 0)
	return []spent{
		{"lease, twice a second", "-", "nodes", b.at("nodes", nodeLease, tNodes)},
		{"a lease more for each change", "changes", "changes", b.slope("changes", nodeLease) * tChanges},
		{"asking for news", "-", "changes", idle},
		{"news of changes, whole each time", "changes × routes", "routes", max(0, b.at("routes", nodeNews, aRoutes)-idle) * tChanges},
		{"whereabouts, with all members", "nodes", "nodes", b.at("nodes", nodeWhere, tNodes)},
		{"the list, while nothing changes", "-", "nodes", b.at("nodes", nodeList, tNodes)},
		{"the list, whole at each change", "workers × changes of the list", "workers", b.slope("workers", nodeList) / churnRate * tWorkers * aListed},
	}
}

// nodeCPUParts are % of a core.
func (b *Results) nodeCPUParts() []spent {
	return []spent{
		{"leases, news, whereabouts, list, while nothing changes", "nodes", "nodes", b.at("nodes", aloneCPU, tNodes)},
		{"changes of 200 routes", "changes × nodes", "reach", max(0, b.at("reach", nodeCPU, tNodes)-b.at("nodes", nodeCPU, tNodes)) * tChanges},
		{"for more routes than 200", "changes × routes", "routes", b.slope("routes", nodeCPU) * (aRoutes - reachSize) * tChanges},
		{"the list at each change", "workers × changes of the list", "workers", b.slope("workers", nodeCPU) / churnRate * tWorkers * aListed},
	}
}

// nodeMemoryParts are MB resident of a process with one node.
func (b *Results) nodeMemoryParts() []spent {
	return []spent{
		{"the process, with what it knows of nodes", "nodes", "nodes", b.at("nodes", nodeRss, tNodes)},
		{"routes", "routes", "routes", b.slope("routes", nodeRss) * aRoutes},
		{"the list", "workers", "workers", b.slope("workers", nodeRss) * tWorkers},
	}
}

func total(parts []spent) (y float64) {
	for _, p := range parts {
		y += p.y
	}
	return y
}

// coreAt carries a figure of the primary to the target: what the nodes cost while nothing
// changes, what a change costs all of them, and what more routes cost them.
func (b *Results) coreAt(q quantity) float64 {
	idle := b.at("nodes", q, tNodes)
	return idle + max(0, b.at("reach", q, tNodes)-idle)*tChanges + b.slope("routes", q)*(aRoutes-reachSize)*tNodes/float64(usual.Nodes)*tChanges
}

func within(y, bound float64) string {
	switch {
	case math.IsNaN(y):
		return "not run"
	case y <= bound:
		return "within"
	}
	return "**over**"
}

func (b *Results) nodeTable() string {
	g := &grid{}
	g.head("part", "grows with", "sweep", "at the target", "of the bound")
	add := func(what, unit string, parts []spent, bound float64) {
		for _, p := range parts {
			g.row(p.name, p.grows, p.from, num(p.y)+" "+unit, num(100*p.y/bound)+" %")
		}
		y := total(parts)
		g.row("**"+what+"**", "", "", "**"+num(y)+" "+unit+"**", fmt.Sprintf("%s, %s %s", within(y, bound), num(bound), unit))
	}
	add("bytes", "B/s", b.nodeBytesParts(), tBytes)
	add("processor", "% of a core", b.nodeCPUParts(), tCPU)
	add("memory", "MB", b.nodeMemoryParts(), tMemory)
	return g.b.String()
}

// held is how many workers a holder of a service's duty has at the target.
const held = tWorkers / tModels

func kb(v float64) string { return num(v/1000) + " kB/s" }

func (b *Results) roleTable() string {
	g := &grid{}
	g.head("role", "state held", "messages/s in, out", "bytes/s in, out", "processor, % of a core", "resident, MB", "sockets (other files)")
	at := func(sweep string, q quantity, x float64) string { return num(b.at(sweep, q, x)) }
	parts := b.nodeBytesParts()
	g.row("node", "configuration, members, grants, the list of all workers", at("nodes", nodeServed, tNodes)+", "+at("nodes", nodeAsked, tNodes),
		kb(total(parts))+" both ways", num(total(b.nodeCPUParts())), num(total(b.nodeMemoryParts())), at("nodes", nodeSockets, tNodes)+" ("+at("nodes", nodeFiles, tNodes)+")")
	g.row("core, primary", "the log, configuration, members, grants, deeds", at("nodes", coreServed, tNodes)+" of nodes, as many answers",
		kb(b.coreAt(coreIn))+", "+kb(b.coreAt(coreOut)), num(b.coreAt(coreCPU)), num(b.at("nodes", coreRss, tNodes)+b.slope("routes", coreRss)*aRoutes),
		at("nodes", coreSockets, tNodes)+" ("+at("nodes", coreFiles, tNodes)+")")
	g.row("core, backup", "the same", "entries of each commit; not counted", kb(b.at("nodes", sideBytes, tNodes))+" both ways while nothing changes", num(b.coreAt(sideCPU)), at("nodes", sideRss, tNodes), "as the primary towards nodes, fewer")
	g.row("core, third", "a register", "5 signs of life; not counted", "-", at("nodes", thirdCPU, tNodes), "-", "-")
	sent := b.slope("workers", giveBytes) / churnRate * tWorkers * aListed * tNodes / float64(usual.Nodes)
	g.row("holder of the list's duty, which asks for the list", "the list", at("nodes", giveList, tNodes)+" of nodes, as many answers; "+at("workers", askCalls, tWorkers)+" to the platform",
		kb(b.at("workers", askList, tWorkers))+" in, "+kb(sent)+" sent on for changes alone",
		num(b.at("nodes", askCPU, tNodes)+max(0, b.at("workers", askCPU, tWorkers)-b.at("workers", askCPU, float64(usual.Workers))))+" (at 16 nodes for the list's size)", "as a node", at("nodes", askSockets, tNodes))
	g.row("holder of a service's duty", fmt.Sprintf("reports of its workers, %.0f at the target", held), "0, "+at("holder", nodeAsked, held),
		kb(b.at("holder", nodeBytes, held))+" both ways", at("holder", nodeCPU, held), at("holder", nodeRss, held), at("holder", nodeSockets, held))
	g.row("planner (`keelstair-plan drain`)", "nothing; 2000 workers named, the most that was run", "2 askings", at("tools", tool("keelstair-plan drain", "bytes", func(t Tool) float64 { return t.In + t.Out }), 2000)+" B in all",
		at("tools", tool("keelstair-plan drain", "cpu", func(t Tool) float64 { return t.CPUMs }), 2000)+" ms in all", "not measured", "1")
	g.row("operators' command (`keelstairctl apply`)", "the same", "2 askings", at("tools", tool("keelstairctl apply", "bytes", func(t Tool) float64 { return t.In + t.Out }), 2000)+" B in all",
		at("tools", tool("keelstairctl apply", "cpu", func(t Tool) float64 { return t.CPUMs }), 2000)+" ms in all", "not measured", "1")
	return g.b.String()
}
