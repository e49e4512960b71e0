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
	"keelstair.example/internal/api"
	"keelstair.example/internal/cli"
	"keelstair.example/internal/router"
	"keelstair.example/internal/router/tracing"
	"keelstair.example/internal/settings"
)

type options struct {
	SettingsFile    string   `arg:"--settings" help:"a JSON file with these same settings; flags stand over it" json:"-"`
	Name            string   `arg:"--name" help:"a name for logs" json:"name"`
	Addr            string   `arg:"--addr" help:"IP number and port for neighbours" json:"addr"`
	Frontend        string   `arg:"--door" help:"IP number and port for origins and operators" json:"door"`
	Zone            string   `arg:"--zone" help:"the hall or district this machine stands in" json:"zone"`
	Seeds           []string `arg:"--seeds" help:"three addresses of other processes" json:"seeds"`
	Platform        string   `arg:"--platform" help:"where the platform lists workers" json:"platform"`
	LeaseMs         int      `arg:"--lease-ms" default:"3000" help:"the same as the controllers'" json:"leaseMs"`
	OrphanTimeoutMs int      `arg:"--orphan-ms" default:"2000" help:"after so long a worker drops what nobody came for" json:"orphanMs"`
	StreamTimeoutMs int      `arg:"--pulse-ms" default:"1200" help:"a worker silent for so long in a stream is lost" json:"pulseMs"`
	TraceFile       string   `arg:"--trace" help:"append OpenTelemetry JSON lines to this file" json:"trace"`
	DrainTimeoutMs  int      `arg:"--drain-ms" default:"10000" help:"how long streams may finish after SIGTERM" json:"drainMs"`
}

func (s *options) File() string { return s.SettingsFile }

func (s *options) Check() error {
	switch {
	case s.Zone == "":
		return settings.Invalid("zone", "a value is required")
	case s.LeaseMs < 500 || s.LeaseMs > 60000:
		return settings.Invalid("leaseMs", "%d ms is not between 500 and 60000 ms", s.LeaseMs)
	case s.OrphanTimeoutMs < 100 || s.StreamTimeoutMs < 500:
		return settings.Invalid("orphanMs, pulseMs", "orphanMs must be at least 100 ms and pulseMs at least 500 ms")
	case s.DrainTimeoutMs < 0:
		return settings.Invalid("drainMs", "must not be negative")
	}
	return settings.FirstError(
		settings.Addr("addr", s.Addr),
		settings.Addr("door", s.Frontend),
		settings.Addr("platform", s.Platform),
		settings.Seeds("seeds", s.Seeds),
	)
}

func main() {
	s := &options{}
	settings.Read(s, "keelstair-router", "Keelstair-router runs a router node of keelstair.", os.Args[1:])
	if s.Name == "" {
		s.Name = s.Addr
	}
	host, err := host.Real("")
	cli.ExitOnError("keelstair-router", err)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	opt := router.Options{
		Name:          s.Name,
		Addr:          s.Addr,
		Zone:          ids.Zone(s.Zone),
		Seeds:         s.Seeds,
		Platform:      s.Platform,
		Host:          host,
		Ring:          cli.NewRing(s.Name),
		LeaseDuration: ms(s.LeaseMs),
		OrphanTimeout: ms(s.OrphanTimeoutMs),
		StreamTimeout: ms(s.StreamTimeoutMs),
	}
	if s.TraceFile != "" {
		file, err := os.OpenFile(s.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		cli.ExitOnError("keelstair-router", err)
		opt.Trace = tracing.New(file, s.Name, host.Clock).Record
	}
	node := router.New(opt)
	ctx, stop := cli.SignalContext()
	defer stop()
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	peerMux, frontendMux := http.NewServeMux(), http.NewServeMux()
	node.Mount(peerMux)
	api.RegisterClientAPI(frontendMux, node)
	api.RegisterOperatorAPI(frontendMux, node)
	fail := func(err error) { cli.ExitOnError("keelstair-router", err) }
	cli.Serve(serveCtx, host, s.Addr, peerMux, fail)
	cli.Serve(serveCtx, host, s.Frontend, frontendMux, fail)
	node.Run(ctx, ms(s.DrainTimeoutMs))
}
