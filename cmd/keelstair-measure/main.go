// Keelstair-measure is the scale run: it starts real cores and many hollow nodes on loopback, turns
// one size at a time, and writes what each role costs. A hollow node is the product's own
// node without traffic: membership, lease, feed, heartbeats, list of workers. The tables of the
// capacity page are made from its figures.
package main

import (
	"os"
	"runtime"

	"keelstair.example/internal/cli"
	"keelstair.example/internal/settings"
)

type runCmd struct {
	Only    []string `arg:"--only,separate" help:"sweeps to run; all, if none is named"`
	At      []string `arg:"--at,separate" help:"a further point, such as nodes=400"`
	Most    int      `arg:"--most" default:"0" help:"leave out points with more nodes than this; 0 for none"`
	Bin     string   `arg:"--bin" default:"bin" help:"folder with the programs"`
	Dir     string   `arg:"--dir" help:"folder for data and logs; a new one that is removed afterwards, if none is named"`
	Seconds int      `arg:"--seconds" default:"8" help:"of measuring at each point"`
	JSON    string   `arg:"--json" default:"docs/capacity.json" help:"where the figures go; points of sweeps that are not run stay"`
	Page    string   `arg:"--page" help:"rewrite the tables of this page"`
}

type pageCmd struct {
	JSON string `arg:"--json" default:"docs/capacity.json"`
	Page string `arg:"--page" default:"docs/CAPACITY.md"`
}

type options struct {
	Run  *runCmd  `arg:"subcommand:run" help:"measure"`
	Page *pageCmd `arg:"subcommand:page" help:"rewrite the tables of the page from figures that were kept"`
	Hold *holdCmd `arg:"subcommand:hold" help:"hold hollow nodes; keelstair-measure starts this itself"`
}

func (s *options) File() string { return "" }

func (s *options) Check() error {
	switch {
	case s.Run != nil:
		if s.Run.Seconds < 1 || s.Run.Seconds > 120 {
			return settings.Invalid("seconds", "%d is not from 1 to 120", s.Run.Seconds)
		}
		machine, err := thisMachine()
		if err != nil {
			return err
		}
		points, err := choose(s.Run.Only, s.Run.Most, s.Run.At...)
		if err != nil {
			return err
		}
		for _, p := range points {
			if err := p.Size.check(machine); err != nil {
				return err
			}
		}
	case s.Hold != nil:
		if s.Hold.Nodes < 0 || s.Hold.Nodes > 1000 {
			return settings.Invalid("nodes", "%d is not from 0 to 1000", s.Hold.Nodes)
		}
	case s.Page == nil:
		return settings.Invalid("command", "one of run, page is needed")
	}
	return nil
}

func main() {
	// Processes are told to end when the thread that started them does, so that nothing
	// is left if this program is killed outright.
	runtime.LockOSThread()
	s := &options{}
	settings.Read(
		s,
		"keelstair-measure",
		"Keelstair-measure measures what each role costs at several sizes of fleet.",
		os.Args[1:],
	)
	ctx, stop := cli.Signals()
	defer stop()
	var err error
	switch {
	case s.Hold != nil:
		err = hold(ctx, s.Hold)
	case s.Run != nil:
		err = run(ctx, s.Run)
	default:
		err = render(s.Page.JSON, s.Page.Page)
	}
	if err != nil {
		stop()
		cli.Fail("keelstair-measure", err)
	}
}
