// Keelstair-router runs a router node. It serves clients and operators on its frontend, controls the
// handoff from prefill to decode workers, and owns a share of the coordination keys. It needs no disk.
package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/cli"
	"keelstair.example/internal/router"
	"keelstair.example/internal/router/tracing"
	"keelstair.example/internal/settings"
)

// maxMemoryMB is the largest memory of a process that can be stated, in MiB.
const maxMemoryMB = 1 << 30

type options struct {
	SettingsFile    string   `arg:"--settings" help:"a JSON file with the same settings; flags take precedence over it" json:"-"`
	Name            string   `arg:"--name" help:"name of this node in logs and certificates; default: the value of --addr" json:"name"`
	Addr            string   `arg:"--addr" help:"IP address and port for other nodes" json:"addr"`
	Frontend        string   `arg:"--door" help:"IP address and port of the frontend, for clients and operators" json:"door"`
	Zone            string   `arg:"--zone" help:"the zone of this machine, such as a hall or district" json:"zone"`
	Seeds           []string `arg:"--seeds" help:"three seed addresses at which to find other processes" json:"seeds"`
	Platform        string   `arg:"--platform" help:"IP address and port of the platform, which lists the workers" json:"platform"`
	LeaseMs         int      `arg:"--lease-ms" default:"3000" help:"lease of this node, in ms; must be the same as the controllers' setting" json:"leaseMs"`
	OrphanTimeoutMs int      `arg:"--orphan-ms" default:"2000" help:"time in ms after which a worker ends an attempt that no router controls; the same as the workers' setting" json:"orphanMs"`
	StreamTimeoutMs int      `arg:"--pulse-ms" default:"1200" help:"silence of a worker within a stream, in ms, after which the worker is considered lost" json:"pulseMs"`
	TraceFile       string   `arg:"--trace" help:"append OpenTelemetry traces to this file, as JSON lines" json:"trace"`
	DrainTimeoutMs  int      `arg:"--drain-ms" default:"10000" help:"time limit for running streams after SIGTERM, in ms" json:"drainMs"`
	MemoryMB        int      `arg:"--memory-mb" help:"memory of this process in MiB, a quarter of which is for the bodies of requests; 0: no limit, and 256 MiB for bodies" json:"memoryMb"`
}

func (o *options) File() string { return o.SettingsFile }

func (o *options) Check() error {
	switch {
	case o.Zone == "":
		return settings.InvalidField("zone", "a value is required")
	case o.LeaseMs < 500 || o.LeaseMs > 60000:
		return settings.InvalidField("leaseMs", "%d ms is not between 500 and 60000 ms", o.LeaseMs)
	case o.OrphanTimeoutMs < 100 || o.StreamTimeoutMs < 500:
		return settings.InvalidField("orphanMs, pulseMs", "orphanMs must be at least 100 ms and pulseMs at least 500 ms")
	case o.DrainTimeoutMs < 0:
		return settings.InvalidField("drainMs", "must not be negative")
	case o.MemoryMB < 0 || o.MemoryMB > maxMemoryMB:
		return settings.InvalidField("memoryMb", "%d MiB is not between 0 and %d MiB", o.MemoryMB, maxMemoryMB)
	}
	return settings.FirstError(
		settings.CheckAddr("addr", o.Addr),
		settings.CheckAddr("door", o.Frontend),
		settings.CheckAddr("platform", o.Platform),
		settings.CheckSeeds("seeds", o.Seeds),
	)
}

func main() {
	o := &options{}
	settings.ParseOrExit(o, "keelstair-router", "Keelstair-router runs a router node of keelstair.", os.Args[1:])
	if o.Name == "" {
		o.Name = o.Addr
	}
	host, err := host.Real("")
	cli.ExitOnError("keelstair-router", err)
	memoryLimit := int64(o.MemoryMB) << 20
	cli.LimitMemory(memoryLimit)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	routerOptions := router.Options{
		Name:          o.Name,
		Addr:          o.Addr,
		Zone:          ids.Zone(o.Zone),
		Seeds:         o.Seeds,
		Platform:      o.Platform,
		Host:          host,
		Ring:          cli.NewRing(o.Name),
		LeaseDuration: ms(o.LeaseMs),
		OrphanTimeout: ms(o.OrphanTimeoutMs),
		StreamTimeout: ms(o.StreamTimeoutMs),
		MemoryLimit:   memoryLimit,
	}
	if o.TraceFile != "" {
		file, err := os.OpenFile(o.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		cli.ExitOnError("keelstair-router", err)
		routerOptions.Trace = tracing.New(file, o.Name, host.Clock).Record
	}
	node := router.New(routerOptions)
	ctx, stop := cli.SignalContext()
	defer stop()
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	peerMux := http.NewServeMux()
	node.Mount(peerMux)
	servers := cli.NewServers(host, func(err error) { cli.ExitOnError("keelstair-router", err) })
	limits := cli.ConnectionLimits(memoryLimit, 0)
	servers.Serve(serveCtx, o.Addr, cli.NewLargeBodies(memoryLimit).LimitMessages(peerMux, http.NotFoundHandler()), limits.Peers())
	servers.Serve(serveCtx, o.Frontend, node.FrontendHandler(), limits.Clients())
	node.Run(ctx, ms(o.DrainTimeoutMs))
	stopServing()
	servers.Wait()
}
