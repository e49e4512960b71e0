// A run over the points that were asked for. What was measured is kept after each, so
// that an interrupted run loses one point at most.

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"

	"keelstair.example/failure"
)

// Results is the file of figures.
type Results struct {
	Command string  `json:"command"`
	Machine machine `json:"machine"`
	Points  []Point `json:"points"`
}

func load(path string) (*Results, error) {
	b := &Results{}
	body, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return b, nil
	}
	if err != nil {
		return nil, err
	}
	return b, json.Unmarshal(body, b)
}

// digits are figures with more of them than were measured.
var digits = regexp.MustCompile(`(-?[0-9]+\.[0-9]{3})[0-9]+`)

func (b *Results) save(path string) error {
	body, err := json.MarshalIndent(b, "", " ")
	if err != nil {
		return err
	}
	body = digits.ReplaceAll(body, []byte("$1"))
	return os.WriteFile(path, append(body, '\n'), 0o644)
}

// put keeps a point in place of an earlier one at its size.
func (b *Results) put(p Point) {
	for i := range b.Points {
		if b.Points[i].Sweep == p.Sweep && b.Points[i].X == p.X {
			b.Points[i] = p
			return
		}
	}
	b.Points = append(b.Points, p)
}

func (b *Results) sweep(name string) []Point {
	var out []Point
	for _, p := range b.Points {
		if p.Sweep == name {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(p, q Point) int { return cmp.Compare(p.X, q.X) })
	return out
}

// commit names the source; + says that the work tree differs from it.
func commit() string {
	out, err := exec.Command("git", "describe", "--always", "--abbrev=10", "--exclude=*", "--dirty=+").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

func loadNow() (x float64) {
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		fmt.Sscan(string(b), &x)
	}
	return x
}

func textSize(s *Size) int {
	b, err := s.body(1)
	if err != nil {
		return 0
	}
	return len(b)
}

func run(ctx context.Context, c *runCmd) error {
	points, err := choose(c.Only, c.Most, c.At...)
	if err != nil {
		return err
	}
	dir := c.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "keelstair-measure-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	results, err := load(c.JSON)
	if err != nil {
		return err
	}
	if results.Machine, err = thisMachine(); err != nil {
		return err
	}
	results.Command = "make build && bin/keelstair-measure run --page docs/CAPACITY.md"
	source := commit()
	var failed error
	fmt.Printf("%d points; %d cores, %d MB\n", len(points), results.Machine.Cores, results.Machine.Memory>>20)
	fmt.Println(columns)
	for _, s := range points {
		p, err := measure(ctx, c, dir, s)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			err = failure.Wrap(err, "measure "+s.Sweep, fmt.Sprint(s.X))
			fmt.Println(err)
			failed = failure.Join(failed, err)
			continue
		}
		p.Commit = source
		results.put(*p)
		if err := results.save(c.JSON); err != nil {
			return err
		}
		fmt.Println(p.row())
	}
	if c.Page != "" {
		failed = failure.Join(failed, render(c.JSON, c.Page))
	}
	return failed
}

const columns = "sweep       x | a node: cpu %  MB  kB/s in  kB/s out  asked/s  served/s  sockets | primary: cpu %  MB  kB/s in  kB/s out  sockets | in force at last, ms: mean p99 worst | load"

func (pt *Point) row() string {
	n, l := pt.Node, pt.Cores[0]
	row := fmt.Sprintf(
		"%-8s %4v | %.2f %.2f %.1f %.1f %.1f %.1f %.1f | %.1f %.1f %.1f %.1f %.0f | %.0f %.0f %.0f | %.1f",
		pt.Sweep,
		pt.X,
		n.CPU,
		n.Memory,
		n.In/1000,
		n.Out/1000,
		n.Asked,
		n.Served,
		n.Sockets,
		l.CPU,
		l.Rss,
		l.In/1000,
		l.Out/1000,
		l.Sockets,
		pt.Last.Mean,
		pt.Last.P99,
		pt.Last.Worst,
		pt.Load,
	)
	if pt.Known > 0 {
		row += fmt.Sprintf(" | known after %.2f s, replaced in %.2f s", pt.Known, pt.Mended)
	}
	if pt.Picked != nil {
		row += fmt.Sprintf(
			" | %.1f us and %.1f kB a request, %d of %d done %s",
			pt.Picked.Micros,
			pt.Picked.Bytes/1000,
			pt.Picked.Done,
			pt.Picked.Count,
			pt.Picked.Why,
		)
	}
	return row
}
