// Keelstair-testbed is a test tool that starts a complete fleet of real processes on loopback and
// injects faults into it. It is the only program of keelstair that may start other processes.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"keelstair.example/internal/cli"
	"keelstair.example/internal/settings"
	"keelstair.example/internal/standin"
)

type upCmd struct {
	Site    string `arg:"--site" default:"vatuloa" help:"the simulated site: vatuloa or almaty"`
	Dir     string `arg:"--dir" default:"testbed-data" help:"directory for data, logs and keelstair-testbed.json; its contents are deleted first"`
	BinDir  string `arg:"--bin" default:"bin" help:"directory with the programs"`
	Regimes bool   `arg:"--regimes" help:"set up a regime for the kinds of request that require an idempotency key; all nodes and workers are certified except the last node and the last worker of each role"`
	Seconds int    `arg:"--seconds" default:"0" help:"seconds after which the fleet is stopped; 0 to wait for a signal"`
}

type runCmd struct {
	upCmd
	Rate        float64 `arg:"--rate" default:"40" help:"requests per second"`
	LoadSeconds int     `arg:"--load" default:"30" help:"duration of the load in seconds"`
	Seed        uint64  `arg:"--seed" default:"1"`
	Fault       string  `arg:"--break" default:"none" help:"the fault to inject: none, controller, wipe, ack, core, roll, router, stop, worker, freeze, hall, all, race, evacuate or revoke"`
}

type options struct {
	Up   *upCmd   `arg:"subcommand:up" help:"start a fleet, apply its configuration, and keep it running"`
	Run  *runCmd  `arg:"subcommand:run" help:"start a fleet, put it under load, inject a fault, and report the results"`
	Soak *soakCmd `arg:"subcommand:soak" help:"start a fleet, put it under load, repeatedly signal and restart its processes, and check the results"`

	Streams      *streamsCmd      `arg:"subcommand:streams" help:"like soak, with the programs of the users' platform and workers that answer in every framing"`
	StreamWorker *streamWorkerCmd `arg:"subcommand:stream-worker" help:"serve as one worker of streams"`
}

func (o *options) File() string { return "" }

func (o *options) Check() error {
	site := ""
	switch {
	case o.Up != nil:
		site = o.Up.Site
	case o.Run != nil:
		site = o.Run.Site
		o.Run.Regimes = o.Run.Regimes || o.Run.Fault == "revoke"
	case o.Soak != nil:
		site = o.Soak.Site
	case o.Streams != nil:
		return o.Streams.check()
	case o.StreamWorker != nil:
		return settings.CheckAddr("addr", o.StreamWorker.Addr)
	default:
		return settings.InvalidField("command", "one of up, run, soak, streams is required")
	}
	if _, ok := standin.Sites[site]; !ok {
		return settings.InvalidField("site", "site %q does not exist", site)
	}
	return nil
}

func main() {
	o := &options{}
	settings.ParseOrExit(
		o,
		"keelstair-testbed",
		"Keelstair-testbed starts a fleet on this machine and injects faults into it.",
		os.Args[1:],
	)
	ctx, stop := cli.SignalContext()
	defer stop()
	switch {
	case o.Run != nil:
		cli.ExitOnError("keelstair-testbed", runOnce(ctx, o.Run))
		return
	case o.Soak != nil:
		cli.ExitOnError("keelstair-testbed", runSoak(ctx, o.Soak))
		return
	case o.Streams != nil:
		cli.ExitOnError("keelstair-testbed", runStreams(ctx, o.Streams))
		return
	case o.StreamWorker != nil:
		cli.ExitOnError("keelstair-testbed", runStreamWorker(ctx, o.StreamWorker))
		return
	}
	f, err := startFleet(ctx, o.Up, 0)
	defer f.stop()
	cli.ExitOnError("keelstair-testbed", err)
	f.describe(os.Stdout)
	if o.Up.Seconds > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(o.Up.Seconds) * time.Second):
		}
		return
	}
	<-ctx.Done()
}

// freeAddrs returns n free loopback addresses.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

func writeJSON(dir, name string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), append(b, '\n'), 0o644)
}

func logf(format string, args ...any) {
	fmt.Printf("%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}
