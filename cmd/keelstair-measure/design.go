// What the design of the page would change, reckoned from the slopes that were measured.

package main

const (
	regions  = 3.0
	keepers  = tSpare / regions // machines of a region that are set aside
	peers    = 8.0              // members that an exchange would name
	rowBytes = 400.0            // a changed row with its envelope and the answer to it, both ways; taken, not measured
	partTold = 600.0            // a changed item of the configuration, the same way
)

func (b *Results) designTable() string {
	g := &grid{}
	g.head("change", "lifts", "today, at the target", "then, reckoned")
	near := tNodes / regions
	parts, cpu, mem := b.nodeBytesParts(), b.nodeCPUParts(), b.nodeMemoryParts()
	g.row(
		"a core for each region",
		"the primary's processor time",
		num(b.coreAt(coreCPU))+" % of a core",
		num(b.at("nodes", coreCPU, near))+" % while nothing changes, at "+num(near)+" nodes",
	)
	g.row("", "its sockets", num(b.at("nodes", coreSockets, tNodes)), num(b.at("nodes", coreSockets, near)))
	g.row("", "what it reads", kb(b.coreAt(coreIn)), kb(b.at("nodes", coreIn, near))+" (less with the next line)")
	g.row(
		"a page of whereabouts names eight members, not all",
		"a node's bytes",
		kb(parts[4].y),
		kb(b.at("nodes", nodeWhere, peers)),
	)
	g.row(
		"the configuration goes out as what changed, whole to those who start",
		"a node's bytes",
		kb(parts[3].y),
		kb(partTold*tChanges),
	)
	g.row(
		"the list goes out as rows that changed, of the own region",
		"a node's bytes",
		kb(parts[6].y),
		kb(rowBytes*aListed/regions),
	)
	g.row("its holder is asked twice a second, not four times", "a node's bytes", kb(parts[5].y), kb(parts[5].y/2))
	g.row(
		"duties are dealt among the machines set aside, eight a region",
		"a node's processor time, where it asks for the list",
		num(b.at("nodes", askCPU, tNodes))+" % of a core",
		num(b.at("nodes", askCPU, near)/2)+" % of a core at one of the eight, none at a node",
	)
	g.row(
		"",
		"a node's bytes, where it holds a service",
		kb(b.at("holder", nodeBytes, held)),
		kb(b.at("holder", nodeBytes, tWorkers/regions/keepers))+" at each of the eight, none at a node",
	)
	bytes := parts[0].y + parts[1].y + parts[2].y + parts[5].y/2 + b.at("nodes", nodeWhere, peers) +
		partTold*tChanges + rowBytes*aListed/regions
	g.row("**all of them**", "a node's bytes", kb(total(parts)), kb(bytes)+", "+within(bytes, tBytes)+" 4.10 kB/s")
	g.row(
		"",
		"a node's processor time",
		num(total(cpu))+" %",
		num(cpu[0].y)+" % besides changes, "+within(cpu[0].y, tCPU)+" 1.5 %",
	)
	small := mem[0].y + mem[1].y + mem[2].y/regions
	g.row("", "a node's memory", num(total(mem))+" MB", num(small)+" MB, "+within(small, tMemory)+" 32 MB")
	return g.b.String()
}
