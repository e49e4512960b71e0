// Verge is a router node: the origins' door, the hand-over controller and the
// keyed duties. It needs no disk.
package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"keelstair.example/api"
	"keelstair.example/cmd/boot"
	"keelstair.example/creed"
	"keelstair.example/ids"
	"keelstair.example/router"
	"keelstair.example/router/span"
	"keelstair.example/seam"
)

type settings struct {
	Settings string   `arg:"--settings" help:"a JSON file with these same settings; flags stand over it" json:"-"`
	Name     string   `arg:"--name" help:"a name for logs" json:"name"`
	Addr     string   `arg:"--addr" help:"IP number and port for neighbours" json:"addr"`
	Door     string   `arg:"--door" help:"IP number and port for origins and operators" json:"door"`
	Zone     string   `arg:"--zone" help:"the hall or district this machine stands in" json:"zone"`
	Seeds    []string `arg:"--seeds" help:"three addresses of other processes" json:"seeds"`
	Platform string   `arg:"--platform" help:"where the platform lists workers" json:"platform"`
	LeaseMs  int      `arg:"--lease-ms" default:"3000" help:"the same as the tenets'" json:"leaseMs"`
	OrphanMs int      `arg:"--orphan-ms" default:"2000" help:"after so long a worker drops what nobody came for" json:"orphanMs"`
	PulseMs  int      `arg:"--pulse-ms" default:"1200" help:"a worker silent for so long in a stream is lost" json:"pulseMs"`
	Trace    string   `arg:"--trace" help:"append OpenTelemetry JSON lines to this file" json:"trace"`
	DrainMs  int      `arg:"--drain-ms" default:"10000" help:"how long streams may finish after SIGTERM" json:"drainMs"`
}

func (s *settings) File() string { return s.Settings }

func (s *settings) Check() error {
	switch {
	case s.Zone == "":
		return creed.Fault("zone", "it is missing")
	case s.LeaseMs < 500 || s.LeaseMs > 60000:
		return creed.Fault("leaseMs", "%d ms is not from 500 to 60000", s.LeaseMs)
	case s.OrphanMs < 100 || s.PulseMs < 500:
		return creed.Fault("orphanMs, pulseMs", "too short to be of use")
	case s.DrainMs < 0:
		return creed.Fault("drainMs", "it is below 0")
	}
	return creed.First(creed.Addr("addr", s.Addr), creed.Addr("door", s.Door), creed.Addr("platform", s.Platform), creed.Seeds("seeds", s.Seeds))
}

func main() {
	s := &settings{}
	creed.Read(s, "verge", "Verge is keelstair's router node.", os.Args[1:])
	if s.Name == "" {
		s.Name = s.Addr
	}
	host, err := seam.Real("")
	boot.Fail("verge", err)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	opt := router.Options{Name: s.Name, Addr: s.Addr, Zone: ids.Zone(s.Zone), Seeds: s.Seeds, Platform: s.Platform,
		Host: host, Ring: boot.Ring(s.Name), Lease: ms(s.LeaseMs), Orphan: ms(s.OrphanMs), Pulse: ms(s.PulseMs)}
	if s.Trace != "" {
		file, err := os.OpenFile(s.Trace, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		boot.Fail("verge", err)
		opt.Trace = span.New(file, s.Name, host.Clock).Tell
	}
	node := router.New(opt)
	ctx, stop := boot.Signals()
	defer stop()
	listen, shut := context.WithCancel(context.Background())
	defer shut()
	inner, outer := http.NewServeMux(), http.NewServeMux()
	node.Mount(inner)
	api.Mount(outer, node)
	api.MountOperator(outer, node)
	fail := func(err error) { boot.Fail("verge", err) }
	boot.Serve(listen, host, s.Addr, inner, fail)
	boot.Serve(listen, host, s.Door, outer, fail)
	node.Run(ctx, ms(s.DrainMs))
}
