// One point: a fleet of its size, left to settle, and looked at before and after a span.

package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
)

// Spread sums up times, in ms.
type Spread struct {
	Count int     `json:"count"`
	Mean  float64 `json:"mean"`
	P99   float64 `json:"p99"`
	Worst float64 `json:"worst"`
}

// some is a figure of the spread, or none where nothing was counted.
func (s *Spread) some(y float64) float64 {
	if s.Count == 0 {
		return math.NaN()
	}
	return y
}

func spread(ms []float64) Spread {
	if len(ms) == 0 {
		return Spread{}
	}
	sort.Float64s(ms)
	out := Spread{Count: len(ms), P99: ms[min(len(ms)-1, len(ms)*99/100)], Worst: ms[len(ms)-1]}
	for _, x := range ms {
		out.Mean += x / float64(len(ms))
	}
	return out
}

// Point is what was measured at a size.
type Point struct {
	Sweep   string    `json:"sweep"`
	X       float64   `json:"x"`
	Size    Size      `json:"size"`
	Text    int       `json:"text"`   // bytes of the configuration
	List    int       `json:"list"`   // workers
	Node    Role      `json:"node"`   // one of several in a process
	Plain   Role      `json:"plain"`  // the same without the process of the one that asks for the list
	Alone   Role      `json:"alone"`  // one that has a process for itself
	Lister  Role      `json:"lister"` // the one that asks for the list: its process less a plain node for each other
	Empty   Role      `json:"empty"`  // a process without a node; its processor time is taken off the others
	Cores   [3]Role   `json:"cores"`  // primary, backup, the third
	Ack     Spread    `json:"ack"`    // until the core had a change
	Force   Spread    `json:"force"`  // until it was in force at a node
	Last    Spread    `json:"last"`   // until it was in force at the last node
	Missed  int       `json:"missed"`
	Start   float64   `json:"start"`  // s until all nodes were in
	Known   float64   `json:"known"`  // s until all survivors knew of lost nodes
	Mended  float64   `json:"mended"` // s from the start of their replacements until all is whole
	Picked  *Picked   `json:"picked,omitempty"`
	Tools   []Tool    `json:"tools,omitempty"`
	Seconds float64   `json:"seconds"`
	When    time.Time `json:"when"`
	Commit  string    `json:"commit"`
	Load    float64   `json:"load"` // of the machine in the minute before
}

type glance struct {
	at     time.Time
	use    map[*proc]Use
	stands map[*proc]*Stand
}

func (f *fleet) glance(query string) (*glance, error) {
	g := &glance{at: time.Now(), use: map[*proc]Use{}, stands: map[*proc]*Stand{}}
	for _, p := range append(append(f.empties(), f.controllers...), f.holders...) {
		var err error
		if g.use[p], err = look(p.cmd.Process.Pid); err != nil {
			return nil, err
		}
	}
	for _, p := range f.holders {
		s, err := f.stand(p, query)
		if err != nil {
			return nil, err
		}
		g.stands[p] = s
	}
	return g, nil
}

// byCore orders the controllers: primary, backup, the third.
func (f *fleet) byCore(ctx context.Context) []*proc {
	f.book.Query(ctx, 3)
	rec := f.book.Record()
	out := append([]*proc(nil), f.controllers...)
	rank := func(p *proc) int {
		switch p.addr {
		case rec.Primary.Addr:
			return 0
		case rec.Backup.Addr:
			return 1
		}
		return 2
	}
	sort.SliceStable(out, func(i, j int) bool { return rank(out[i]) < rank(out[j]) })
	return out
}

// usage works out what a process used between two glances, and the seconds between them.
func usage(a, b *glance, p *proc) (Role, float64) {
	const mb = 1 << 20
	u, v := a.use[p], b.use[p]
	s := v.At.Sub(u.At).Seconds()
	return Role{
		CPU:     100 * (v.CPU - u.CPU).Seconds() / s,
		Rss:     float64(v.Rss) / mb,
		Memory:  float64(v.Rss) / mb,
		Files:   float64(v.Files),
		Sockets: float64(v.Sockets),
		Flows:   map[string]PerSpan{},
	}, s
}

// between works out the roles from two glances.
func (pt *Point) between(a, b *glance, controllers, holders []*proc, empty *proc) {
	cores := map[string]*Role{}
	for i, p := range controllers {
		r, s := usage(a, b, p)
		r.In, r.Out = float64(b.use[p].Read-a.use[p].Read)/s, float64(b.use[p].Written-a.use[p].Written)/s
		pt.Cores[i] = r
		cores[p.addr] = &pt.Cores[i]
	}
	pt.Empty, _ = usage(a, b, empty)
	var rows []*Role
	top := 0
	for i, p := range holders {
		r := pt.holder(a, b, p, cores)
		if rows = append(rows, r); r.Flows["workers"].Asked > rows[top].Flows["workers"].Asked {
			top = i
		}
	}
	pt.nodes(rows, holders, top)
}

// holder works out the role of a process that holds nodes, without what an empty one takes,
// and adds what it sent to machines of the core to their roles.
func (pt *Point) holder(a, b *glance, p *proc, cores map[string]*Role) *Role {
	const mb = 1 << 20
	r, s := usage(a, b, p)
	r.CPU -= pt.Empty.CPU
	r.Memory = float64(b.stands[p].Heap+b.stands[p].Stack) / mb
	for name, f := range b.stands[p].Flows {
		f.add(a.stands[p].Flows[name], -1)
		if f == (Flow{}) {
			continue
		}
		q := PerSpan{float64(f.Asked) / s, float64(f.Served) / s, float64(f.In) / s, float64(f.Out) / s}
		name, peer, _ := strings.Cut(name, "@")
		r.flow(name, q)
		if c, ok := cores[peer]; ok {
			c.Flows[name] = c.Flows[name].plus(PerSpan{0, q.Asked, q.Out, q.In})
			c.Served += q.Asked
		}
	}
	return &r
}

// nodes works out the role of one node from those of the holders; top is the holder whose
// node asks the platform for its list.
func (pt *Point) nodes(rows []*Role, holders []*proc, top int) {
	all, n := Role{Flows: map[string]PerSpan{}}, 0.0
	for i, p := range holders {
		all.add(rows[i])
		n += float64(p.nodes)
	}
	all.scale(1 / n)
	pt.Node, pt.Plain = all, all
	if len(rows) > 1 {
		pt.Plain = Role{Flows: map[string]PerSpan{}}
		for i, r := range rows {
			if i != top {
				pt.Plain.add(r)
			}
		}
		pt.Plain.scale(1 / (n - float64(holders[top].nodes)))
	}
	pt.Lister = Role{Flows: map[string]PerSpan{}}
	pt.Lister.add(&pt.Plain)
	pt.Lister.scale(1 - float64(holders[top].nodes))
	pt.Lister.add(rows[top])
	for i, p := range holders {
		if p.nodes == 1 && (i != top || pt.Alone.Rss == 0) {
			pt.Alone = *rows[i]
		}
	}
}

// change applies at the rate, open loop by the clock, and notes when each was asked.
func (f *fleet) change(ctx context.Context, pt *Point, duration time.Duration) map[ids.Version]time.Time {
	asked := map[ids.Version]time.Time{}
	var acks []float64
	begun := time.Now()
	for i := 0; ; i++ {
		due := begun.Add(time.Duration(float64(i) / f.size.Rate * float64(time.Second)))
		if due.Sub(begun) >= duration || !host.Sleep(ctx, time.Until(due)) {
			break
		}
		// A change that is late counts from when it was due.
		took, err := f.apply(ctx)
		if err != nil {
			pt.Missed++
			continue
		}
		asked[f.version] = due
		acks = append(acks, float64(took.Microseconds())/1000)
	}
	pt.Ack = spread(acks)
	host.Sleep(ctx, time.Until(begun.Add(duration)))
	return asked
}

func (f *fleet) forces(pt *Point, asked map[ids.Version]time.Time, seen []Force) {
	var each, last []float64
	worst, count := map[ids.Version]float64{}, map[ids.Version]int{}
	for _, s := range seen {
		if from, ok := asked[s.Version]; ok {
			ms := float64(time.Unix(0, s.At).Sub(from).Microseconds()) / 1000
			each = append(each, ms)
			worst[s.Version] = max(worst[s.Version], ms)
			count[s.Version]++
		}
	}
	for v := range asked {
		if count[v] == f.size.Nodes {
			last = append(last, worst[v])
		} else {
			pt.Missed++
		}
	}
	pt.Force, pt.Last = spread(each), spread(last)
}

func measure(ctx context.Context, c *runCmd, dir string, spot Spot) (*Point, error) {
	at := filepath.Join(dir, fmt.Sprintf("%s-%v", spot.Sweep, spot.X))
	if err := os.MkdirAll(at, 0o755); err != nil {
		return nil, err
	}
	pt := &Point{
		Sweep: spot.Sweep,
		X:     spot.X,
		Size:  spot.Size,
		List:  spot.Size.Workers,
		When:  time.Now().UTC().Round(time.Second),
		Load:  loadNow(),
	}
	begun := time.Now()
	f, err := raiseFleet(ctx, c, at, spot.Size)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	pt.Start = time.Since(begun).Seconds()
	pt.Text = textSize(&spot.Size)
	// A lease and its deal go by before anything is counted.
	if !host.Sleep(ctx, 4*time.Second) {
		return nil, ctx.Err()
	}
	controllers := f.byCore(ctx)
	if _, err := f.glance("?whole"); err != nil {
		return nil, err
	}
	// Leave the collection out that the first look caused.
	a, err := f.glance("")
	if err != nil {
		return nil, err
	}
	duration := time.Duration(c.Seconds) * time.Second
	var asked map[ids.Version]time.Time
	if spot.Size.Rate > 0 {
		asked = f.change(ctx, pt, duration)
	} else {
		host.Sleep(ctx, duration)
	}
	b, err := f.glance("")
	if err != nil {
		return nil, err
	}
	var seen []Force
	note := func(g *glance) {
		for _, s := range g.stands {
			seen = append(seen, s.Forces...)
		}
	}
	note(b)
	host.Sleep(ctx, time.Second)
	whole, err := f.glance("?whole")
	if err != nil {
		return nil, err
	}
	note(whole)
	for p, s := range whole.stands {
		b.stands[p].Heap, b.stands[p].Stack = s.Heap, s.Stack
	}
	pt.Seconds = b.at.Sub(a.at).Seconds()
	pt.between(a, b, controllers, f.holders, f.empty)
	if asked != nil {
		f.forces(pt, asked, seen)
	}
	if spot.Size.Lost > 0 {
		if err := f.lose(ctx, pt); err != nil {
			return nil, err
		}
	}
	if spot.Size.Leader {
		if err := f.behead(ctx, pt, controllers[0]); err != nil {
			return nil, err
		}
	}
	if spot.Size.Tools {
		if err := f.tools(ctx, pt); err != nil {
			return nil, err
		}
	}
	if spot.Size.Picks > 0 {
		pt.Picked = &Picked{}
		if err := f.get(f.holders[0].addr, fmt.Sprintf("/picks?count=%d", spot.Size.Picks), pt.Picked); err != nil {
			return nil, err
		}
	}
	return pt, ctx.Err()
}
