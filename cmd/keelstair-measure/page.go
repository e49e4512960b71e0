// The page's tables, made from the figures that were kept, each between its two marks.

package main

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"keelstair.example/failure"
)

// render rewrites the tables of a page.
func render(from, page string) error {
	results, err := load(from)
	if err != nil {
		return err
	}
	if len(results.Points) == 0 {
		return failure.New(failure.InvalidArgument, "make page", from, "it holds no point; run first")
	}
	body, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	out, err := fill(string(body), results.tables())
	if err != nil {
		return err
	}
	if err := os.WriteFile(page, []byte(out), 0o644); err != nil {
		return err
	}
	return os.WriteFile(strings.TrimSuffix(page, ".md")+"-points.md", []byte(aside+results.pointTables()), 0o644)
}

const aside = `# Capacity: the points

Made by "keelstair-measure", all of it; what the words mean and what follows stands on the page beside
it. A sweep turns the size in its head; *off* is what a fit leaves, of the span of y.
`

func (b *Results) tables() map[string]string {
	return map[string]string{
		"run":       b.runTable(),
		"node":      b.nodeTable(),
		"roles":     b.roleTable(),
		"crossings": b.crossTable(),
		"lines":     b.lineTable(),
		"design":    b.designTable(),
		"failures":  b.harmTable(),
	}
}

// fill puts each table between its marks; all must be there.
func fill(text string, tables map[string]string) (string, error) {
	for name, table := range tables {
		from, to := "<!-- measure:"+name+" -->", "<!-- /measure:"+name+" -->"
		i, j := strings.Index(text, from), strings.Index(text, to)
		if i < 0 || j < i {
			return "", failure.New(
				failure.InvalidArgument,
				"make page",
				name,
				"the marks %s and %s are not there in this order",
				from,
				to,
			)
		}
		text = text[:i+len(from)] + "\n" + table + text[j:]
	}
	return text, nil
}

type grid struct{ b strings.Builder }

func (g *grid) row(cells ...string) { fmt.Fprintf(&g.b, "| %s |\n", strings.Join(cells, " | ")) }

func (g *grid) head(cells ...string) {
	g.row(cells...)
	fmt.Fprintf(&g.b, "%s|\n", strings.Repeat("|---", len(cells)))
}

// quantity is one figure of a point.
type quantity struct {
	name string
	of   func(*Point) float64
}

// alone is a figure of the node with a process for itself, unless it asks for the list.
func (pt *Point) alone(y float64) float64 {
	if pt.Size.Nodes > 1 && pt.Alone.Flows["workers"].Asked > 0.3 && pt.Size.Sort == "relay" {
		return math.NaN()
	}
	return y
}

func flow(r *Role, names ...string) float64 {
	x := 0.0
	for _, n := range names {
		x += r.Flows[n].In + r.Flows[n].Out
	}
	return x
}

var (
	nodeCPU  = quantity{"node: processor, % of a core", func(p *Point) float64 { return p.Plain.CPU }}
	aloneCPU = quantity{"node alone in a process: processor, % of a core", func(p *Point) float64 {
		return p.alone(p.Alone.CPU)
	}}
	nodeHeap = quantity{"node alone: heap and stacks, MB", func(p *Point) float64 { return p.alone(p.Alone.Memory) }}
	nodeRss  = quantity{"node alone in a process: resident, MB", func(p *Point) float64 {
		return p.alone(p.Alone.Rss)
	}}
	nodeBytes = quantity{"node: bytes/s, both ways", func(p *Point) float64 { return p.Plain.In + p.Plain.Out }}
	nodeNews  = quantity{"node: bytes/s of news", func(p *Point) float64 { return flow(&p.Plain, "crux/news") }}
	nodeLease = quantity{"node: bytes/s of leases", func(p *Point) float64 { return flow(&p.Plain, "crux/renew") }}
	nodeWhere = quantity{"node: bytes/s of whereabouts", func(p *Point) float64 {
		return flow(&p.Plain, "crux/where")
	}}
	nodeList = quantity{"node: bytes/s of the list, from the platform or a peer", func(p *Point) float64 {
		return flow(&p.Plain, "relay/list", "workers")
	}}
	nodeBeat  = quantity{"node: bytes/s of beats", func(p *Point) float64 { return flow(&p.Plain, "verge/beat") }}
	nodeBeats = quantity{"node: beats sent a second", func(p *Point) float64 {
		return p.Plain.Flows["verge/beat"].Asked
	}}
	nodeAsked   = quantity{"node: requests sent a second", func(p *Point) float64 { return p.Plain.Asked }}
	nodeServed  = quantity{"node: requests answered a second", func(p *Point) float64 { return p.Plain.Served }}
	nodeSockets = quantity{"node: sockets", func(p *Point) float64 { return p.Plain.Sockets }}
	nodeFiles   = quantity{"node alone: files that are no sockets", func(p *Point) float64 {
		return p.Alone.Files - p.Alone.Sockets
	}}
	askList = quantity{"asker of the list: bytes/s from the platform", func(p *Point) float64 {
		return p.Lister.Flows["workers"].In
	}}
	askCPU     = quantity{"asker of the list: processor, % of a core", func(p *Point) float64 { return p.Lister.CPU }}
	askSockets = quantity{"asker of the list: sockets", func(p *Point) float64 { return p.Lister.Sockets }}
	askCalls   = quantity{"asker of the list: askings a second, all nodes together", func(p *Point) float64 {
		return p.Node.Flows["workers"].Asked * float64(p.Size.Nodes)
	}}
	giveList = quantity{"asker of the list: requests of nodes a second", func(p *Point) float64 {
		return p.Lister.Flows["relay/list"].Served
	}}
	giveBytes = quantity{"asker of the list: bytes/s sent on", func(p *Point) float64 {
		return p.Lister.Flows["relay/list"].Out
	}}
	coreCPU     = quantity{"primary: processor, % of a core", func(p *Point) float64 { return p.Cores[0].CPU }}
	coreRss     = quantity{"primary: resident, MB", func(p *Point) float64 { return p.Cores[0].Rss }}
	coreIn      = quantity{"primary: bytes/s read", func(p *Point) float64 { return p.Cores[0].In }}
	coreOut     = quantity{"primary: bytes/s written", func(p *Point) float64 { return p.Cores[0].Out }}
	coreServed  = quantity{"primary: requests of nodes a second", func(p *Point) float64 { return p.Cores[0].Served }}
	coreSockets = quantity{"primary: sockets", func(p *Point) float64 { return p.Cores[0].Sockets }}
	coreFiles   = quantity{"primary: files that are no sockets", func(p *Point) float64 {
		return p.Cores[0].Files - p.Cores[0].Sockets
	}}
	sideCPU   = quantity{"backup: processor, % of a core", func(p *Point) float64 { return p.Cores[1].CPU }}
	sideRss   = quantity{"backup: resident, MB", func(p *Point) float64 { return p.Cores[1].Rss }}
	sideBytes = quantity{"backup: bytes/s, both ways", func(p *Point) float64 {
		return p.Cores[1].In + p.Cores[1].Out
	}}
	thirdCPU  = quantity{"third core: processor, % of a core", func(p *Point) float64 { return p.Cores[2].CPU }}
	reachMean = quantity{"in force at the last node, mean, ms", func(p *Point) float64 {
		return p.Last.some(p.Last.Mean)
	}}
	reachWorst = quantity{"in force at the last node, worst, ms", func(p *Point) float64 {
		return p.Last.some(p.Last.Worst)
	}}
	ackMean    = quantity{"taken by the core, mean, ms", func(p *Point) float64 { return p.Ack.some(p.Ack.Mean) }}
	textBytes  = quantity{"bytes of the configuration", func(p *Point) float64 { return float64(p.Text) }}
	known      = quantity{"known, s", func(p *Point) float64 { return p.Known }}
	mended     = quantity{"mended, s", func(p *Point) float64 { return p.Mended }}
	pickMicros = quantity{"one request's picking and carrying, us", func(p *Point) float64 {
		if p.Picked == nil {
			return math.NaN()
		}
		return p.Picked.Micros
	}}
)

func tool(name, part string, of func(Tool) float64) quantity {
	return quantity{name + ": " + part, func(p *Point) float64 {
		for _, t := range p.Tools {
			if t.Name == name {
				return of(t)
			}
		}
		return math.NaN()
	}}
}

// fit of a quantity over a sweep.
func (b *Results) fit(sweep string, q quantity) Fit {
	var xs, ys []float64
	for _, p := range b.sweep(sweep) {
		if y := q.of(&p); !math.IsNaN(y) {
			xs, ys = append(xs, p.X), append(ys, y)
		}
	}
	return fit(xs, ys)
}

// shown are the quantities that each sweep's table and fits have.
var shown = []struct {
	sweep, what string
	row         []quantity
}{
	{
		"nodes",
		"nodes, nothing changes",
		[]quantity{
			aloneCPU, nodeCPU, nodeHeap, nodeRss, nodeBytes, nodeWhere, nodeList, nodeSockets, askCalls,
			askCPU, giveList, askSockets, coreCPU, coreRss, coreIn, coreOut, coreServed, coreSockets, sideCPU,
			sideBytes,
		},
	},
	{
		"reach",
		"nodes, one change a second of 200 routes",
		[]quantity{ackMean, reachMean, reachWorst, nodeCPU, nodeNews, coreCPU, coreIn, coreOut},
	},
	{
		"routes",
		"routes, one change a second",
		[]quantity{
			textBytes, ackMean, reachMean, reachWorst, nodeCPU, nodeHeap, nodeRss, nodeNews, coreCPU, coreRss,
			coreOut, sideCPU,
		},
	},
	{
		"changes",
		"changes a second of 50 routes",
		[]quantity{ackMean, reachMean, reachWorst, nodeCPU, nodeNews, nodeLease, coreCPU, coreOut},
	},
	{
		"workers",
		"workers listed, one of them changing every two seconds",
		[]quantity{nodeCPU, nodeHeap, nodeRss, nodeList, askList, giveBytes, askCPU, coreCPU},
	},
	{
		"duties",
		"workers named in the configuration, each a key",
		[]quantity{nodeCPU, nodeHeap, nodeBytes, coreCPU, coreRss, sideCPU},
	},
	{"holder", "workers under one node's duties", []quantity{nodeCPU, nodeRss, nodeBytes, nodeAsked, nodeSockets}},
	{
		"beats",
		"routers, 150 ms between beats", []quantity{nodeCPU, nodeHeap, nodeBeat, nodeBeats, nodeSockets, coreCPU},
	},
	{"losses", "nodes of 64 killed together and replaced", []quantity{known, mended}},
	{"takeover", "nodes, the primary killed", []quantity{known, mended}},
	{"picks", "workers listed, requests at one node", []quantity{pickMicros}},
	{"tools", "workers named in the configuration", []quantity{
		tool("keelstairctl apply", "ms", func(t Tool) float64 { return t.Ms }),
		tool("keelstairctl apply", "ms of processor", func(t Tool) float64 { return t.CPUMs }),
		tool("keelstairctl apply", "bytes", func(t Tool) float64 { return t.In + t.Out }),
		tool("keelstair-plan drain", "ms", func(t Tool) float64 { return t.Ms }),
		tool("keelstair-plan drain", "ms of processor", func(t Tool) float64 { return t.CPUMs }),
		tool("keelstair-plan drain", "bytes", func(t Tool) float64 { return t.In + t.Out })}},
}

func (b *Results) runTable() string {
	g := &grid{}
	var commits []string
	first, last, most := b.Points[0].When, b.Points[0].When, 0.0
	lo := math.Inf(1)
	for _, p := range b.Points {
		if !slices.Contains(commits, p.Commit) {
			commits = append(commits, p.Commit)
		}
		if p.When.Before(first) {
			first = p.When
		}
		if p.When.After(last) {
			last = p.When
		}
		most, lo = max(most, p.Load), min(lo, p.Load)
	}
	g.head("command", "commit (+: the work tree differed)", "points", "from, to (UTC)", "machine", "its load meanwhile")
	g.row(
		"`"+b.Command+"`",
		strings.Join(commits, ", "),
		fmt.Sprint(len(b.Points)),
		first.Format("2006-01-02 15:04")+", "+last.Format("15:04"),
		fmt.Sprintf("%d cores, %d GB", b.Machine.Cores, b.Machine.Memory>>30),
		fmt.Sprintf("%.1f to %.1f", lo, most),
	)
	return g.b.String()
}

func (b *Results) pointTables() string {
	var out strings.Builder
	for _, s := range shown {
		pts := b.sweep(s.sweep)
		fmt.Fprintf(&out, "\n**%s**: %s\n\n", s.sweep, s.what)
		if len(pts) == 0 {
			out.WriteString("Not run.\n")
			continue
		}
		g := &grid{}
		head := []string{""}
		for _, p := range pts {
			head = append(head, fmt.Sprint(p.X))
		}
		g.head(append(head, "shape", "fit", "off the line, the parabola")...)
		for _, q := range s.row {
			row := []string{q.name}
			for _, p := range pts {
				if y := q.of(&p); math.IsNaN(y) {
					row = append(row, "-")
				} else {
					row = append(row, num(y))
				}
			}
			f := b.fit(s.sweep, q)
			off := "-"
			if len(f.Xs) > 3 {
				off = fmt.Sprintf("%.0f %%, %.0f %%", 100*f.LineOff, 100*f.CurveOff)
			}
			g.row(append(row, f.Shape, f.String(), off)...)
		}
		out.WriteString(g.b.String())
	}
	return out.String()
}
