// What a point may break: nodes that are lost together, the primary; and the operators'
// programs, run as they are.

package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"keelstair.example/failure"
)

// lose kills the nodes that are to be lost, and starts as many anew.
func (f *fleet) lose(ctx context.Context, pt *Point) error {
	var stay []*proc
	var lost []int
	from := time.Now()
	for _, p := range f.holders {
		if p.lost {
			p.end()
			lost = append(lost, p.nodes)
		} else {
			stay = append(stay, p)
		}
	}
	f.holders = stay
	if err := f.settled(ctx, 30*time.Second, f.size.Nodes-f.size.Lost); err != nil {
		return err
	}
	pt.Known = time.Since(from).Seconds()
	from = time.Now()
	for _, n := range lost {
		if err := f.hold(ctx, n, true); err != nil {
			return err
		}
	}
	if err := f.settled(ctx, 30*time.Second, f.size.Nodes); err != nil {
		return err
	}
	pt.Mended = time.Since(from).Seconds()
	return nil
}

// behead kills the primary, and looks when a change is taken again and in force everywhere.
func (f *fleet) behead(ctx context.Context, pt *Point, primary *proc) error {
	primary.end()
	from := time.Now()
	if _, err := f.apply(ctx); err != nil {
		return err
	}
	pt.Known = time.Since(from).Seconds()
	if err := f.settled(ctx, 30*time.Second, f.size.Nodes); err != nil {
		return err
	}
	pt.Mended = time.Since(from).Seconds()
	return nil
}

// Tool is what one run of an operators' program cost.
type Tool struct {
	Name  string  `json:"name"`
	Ms    float64 `json:"ms"`
	CPUMs float64 `json:"cpuMs"`
	In    float64 `json:"in"`  // bytes that the door answered
	Out   float64 `json:"out"` // bytes that the door was sent
}

// tools runs the operators' programs against a door, each three times; the second counts.
func (f *fleet) tools(ctx context.Context, pt *Point) error {
	s, err := f.stand(f.holders[0], "")
	if err != nil {
		return err
	}
	door := s.Doors[0]
	part := filepath.Join(f.dir, "part.json")
	for _, row := range []string{
		"keelstairctl show",
		"keelstairctl apply --partial " + part, "keelstairctl status", "keelstair-plan drain w-00001",
		"keelstair-plan evacuate " + string(halls[0]),
	} {
		words := strings.Fields(row)
		for k := range 3 {
			if err := os.WriteFile(
				part, fmt.Appendf(nil, `{"limits":{"retryAfterMs":%d}}`, 1000+len(pt.Tools)*3+k), 0o644,
			); err != nil {
				return err
			}
			before, err := f.stand(f.holders[0], "")
			if err != nil {
				return err
			}
			cmd := exec.CommandContext(ctx, filepath.Join(f.bin, words[0]), words[1:]...)
			cmd.Env = append(os.Environ(), "KEELSTAIR_DOORS="+door)
			var said bytes.Buffer
			cmd.Stderr = &said
			from := time.Now()
			if err := cmd.Run(); err != nil {
				return failure.New(
					failure.InvalidArgument, "run program", row, "%v: %s", err, strings.TrimSpace(said.String()),
				)
			}
			t := Tool{
				Name:  words[0] + " " + words[1],
				Ms:    float64(time.Since(from).Microseconds()) / 1000,
				CPUMs: float64((cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Microseconds()) / 1000,
			}
			after, err := f.stand(f.holders[0], "")
			if err != nil {
				return err
			}
			for name, g := range after.Flows {
				if strings.HasPrefix(name, "v1/") {
					g.add(before.Flows[name], -1)
					t.In, t.Out = t.In+float64(g.Out), t.Out+float64(g.In)
				}
			}
			if k == 1 {
				pt.Tools = append(pt.Tools, t)
			}
		}
	}
	return nil
}
