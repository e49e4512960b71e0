// Sizes of one point, what it would take of the machine, and the sweeps.

package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"keelstair.example/failure"
	"keelstair.example/internal/settings"
)

// Size is what a point is measured at.
type Size struct {
	Sort    string  `json:"sort"` // relay or router: whose nodes they are
	Nodes   int     `json:"nodes"`
	Workers int     `json:"workers"` // that the platform lists
	Routes  int     `json:"routes"`
	Duties  int     `json:"duties"` // workers within the configuration, each a key
	Rate    float64 `json:"rate"`   // changes of configuration a second
	Churn   float64 `json:"churn"`  // changes of the list of workers a second
	Lost    int     `json:"lost"`   // nodes killed together, and replaced
	Picks   int     `json:"picks"`  // requests picked for at one node
	Turns   bool    `json:"turns"`  // holders of a service's duty ask its workers
	Leader  bool    `json:"leader"` // the primary is killed
	Tools   bool    `json:"tools"`  // the operators' and planner's programs are run
}

// Spot is a point that is to be measured.
type Spot struct {
	Sweep string
	X     float64
	Size  Size
}

const (
	mostProcs = 100 // processes that a run may have
	perHold   = 32  // hollow nodes in one process, at most
	holds     = 4   // processes that hold nodes, at least, where there are so many nodes
	cores     = 3
)

// machine is what this one has.
type machine struct {
	Cores  int   `json:"cores"`
	Memory int64 `json:"memory"` // bytes
}

func thisMachine() (machine, error) {
	m := machine{Cores: procs()}
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return m, err
	}
	defer f.Close()
	for rows := bufio.NewScanner(f); rows.Scan(); {
		var kb int64
		if _, err := fmt.Sscanf(rows.Text(), "MemTotal: %d kB", &kb); err == nil {
			m.Memory = kb << 10
			return m, nil
		}
	}
	return m, failure.New(failure.InvalidArgument, "read memory", "/proc/meminfo", "it does not tell")
}

// processes tells how many a size takes, with an empty one to compare with.
func (s *Size) processes() int { return cores + 1 + len(s.split()) }

// split gives the nodes of each process that holds some. The first holds one, as the
// product's process does; nodes to be lost stand in processes of their own.
func (s *Size) split() []int {
	var out []int
	share := func(n int) {
		for left, parts := n, max(min(holds, n), (n+perHold-1)/perHold); left > 0; parts-- {
			k := (left + parts - 1) / parts
			out, left = append(out, k), left-k
		}
	}
	out = append(out, 1)
	share(s.Nodes - s.Lost - 1)
	if s.Lost > 0 {
		share(s.Lost)
	}
	return out
}

// memory is a generous guess, in bytes, made from the slopes that were measured first.
func (s *Size) memory() int64 {
	node := int64(4<<20) + int64(s.Nodes+s.Duties)*2<<10 + int64(s.Workers)*1500 + int64(s.Routes)*8<<10
	return int64(s.processes())*(40<<20) + int64(s.Nodes+cores)*node
}

func (s *Size) check(m machine) error {
	switch {
	case s.Nodes < 1 || s.Workers < 0 || s.Routes < 1 || s.Duties < 0 || s.Rate < 0 || s.Lost < 0 || s.Lost >= s.Nodes:
		return settings.Invalid("size", "%+v cannot be", *s)
	case s.processes() > mostProcs:
		return settings.Invalid("nodes", "%d nodes take %d processes, over %d", s.Nodes, s.processes(), mostProcs)
	case s.memory() > m.Memory/2:
		return settings.Invalid(
			"size",
			"%d nodes, %d workers and %d routes may take %d MB; half of this machine's memory is %d MB",
			s.Nodes,
			s.Workers,
			s.Routes,
			s.memory()>>20,
			m.Memory>>21,
		)
	}
	return nil
}

// usual is where all sizes stand but the one that a sweep turns.
var usual = Size{Sort: "relay", Nodes: 16, Workers: 60, Routes: 50}

// spots lists the points of all sweeps, with further ones by sweep.
func spots(more map[string][]float64) []Spot {
	var out []Spot
	add := func(sweep string, set func(*Size, float64), xs ...float64) {
		for _, x := range append(xs, more[sweep]...) {
			s := usual
			set(&s, x)
			out = append(out, Spot{sweep, x, s})
		}
	}
	add("nodes", func(s *Size, x float64) { s.Nodes = int(x) }, 8, 16, 32, 64, 128, 256)
	add("workers", func(s *Size, x float64) { s.Workers, s.Churn = int(x), 0.5 }, 12, 60, 140, 500, 2000, 12000)
	add("reach", func(s *Size, x float64) { s.Nodes, s.Routes, s.Rate = int(x), 200, 1 }, 8, 32, 64, 128, 256)
	add("routes", func(s *Size, x float64) { s.Routes, s.Rate = int(x), 1 }, 10, 100, 500, 2000)
	add("changes", func(s *Size, x float64) { s.Rate = x }, 0, 0.5, 2, 5)
	add("duties", func(s *Size, x float64) { s.Duties = int(x) }, 12, 140, 500, 2000)
	add("losses", func(s *Size, x float64) { s.Nodes, s.Lost = 64, int(x) }, 2, 8, 16, 32)
	add("takeover", func(s *Size, x float64) { s.Nodes, s.Leader = int(x), true }, 8, 32, 64, 128)
	add("beats", func(s *Size, x float64) { s.Sort, s.Nodes, s.Workers = "router", int(x), 12 }, 4, 8, 16, 32)
	add("holder", func(s *Size, x float64) { s.Nodes, s.Workers, s.Turns = 1, int(x), true }, 12, 60, 140, 500, 1000)
	add("tools", func(s *Size, x float64) {
		s.Sort, s.Nodes, s.Workers, s.Duties, s.Tools = "router", 2, 12, int(x), true
	}, 12, 140, 500, 2000)
	add("picks", func(s *Size, x float64) { s.Nodes, s.Workers, s.Picks = 1, int(x), 2000 }, 12, 140, 500, 2000, 12000)
	return out
}

// choose picks the sweeps that are asked for; further points are named as sweep=size.
func choose(only []string, most int, at ...string) ([]Spot, error) {
	var names []string
	var out []Spot
	more := map[string][]float64{}
	for _, a := range at {
		name, text, _ := strings.Cut(a, "=")
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || !(x >= 0 && x <= 1e9) {
			return nil, settings.Invalid("at", "%q is not a sweep and a size, such as nodes=400", a)
		}
		more[name] = append(more[name], x)
	}
	for _, p := range spots(more) {
		if !slices.Contains(names, p.Sweep) {
			names = append(names, p.Sweep)
		}
		if (len(only) == 0 || slices.Contains(only, p.Sweep)) && (most == 0 || p.Size.Nodes <= most) {
			out = append(out, p)
		}
	}
	for n := range more {
		only = append(only, n)
	}
	for _, n := range only {
		if !slices.Contains(names, n) {
			return nil, settings.Invalid("only", "there is no sweep %q; there are %s", n, strings.Join(names, ", "))
		}
	}
	if len(out) == 0 {
		return nil, settings.Invalid("only", "no point is left")
	}
	return out, nil
}
