// Keelstair-platform runs keelstair on the users' platform: "keelstair-platform controller" is a
// control process, "keelstair-platform router" a router node. What it is told stands in the
// platform's settings file; the options are those of the product's own programs.
package main

import (
	"context"
	"fmt"
	"log"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/cli"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/proxy"
	"keelstair.example/internal/routing"
	"keelstair.example/logging"
	"keelstair.example/platform"
	"keelstair.example/rpc"
)

func main() {
	role := ""
	if len(os.Args) == 2 || len(os.Args) == 3 && os.Args[1] == "router" {
		role = os.Args[1]
	}
	run, ok := map[string]func(*platform.Settings, <-chan os.Signal) error{"controller": runController, "router": runRouter}[role]
	if !ok {
		fmt.Fprintln(
			os.Stderr,
			"usage: keelstair-platform controller | keelstair-platform router [POLICY]\nPOLICY is a file of the product's own configuration, in plain JSON; its programs route, by their shares, until the core has a set (keelstairctl apply).\nThe settings file is named by the variable "+platform.SettingsVariable+".",
		)
		os.Exit(2)
	}
	hangUps := catchHangUps()
	s, err := platform.LoadSettings()
	cli.Fail("keelstair-platform "+role, err)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.MemoryBytes * 3 / 4)
	}
	cli.Fail("keelstair-platform "+role, run(s, hangUps))
}

// catchHangUps has every later SIGHUP kept for watch: one that comes while the process still
// starts would end it.
func catchHangUps() <-chan os.Signal {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	return hangUps
}

// watch reads the settings again at a hang-up, for the seeds they name.
func watch(ctx context.Context, hangUps <-chan os.Signal, setSeeds func(seeds []string)) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangUps:
				if s, err := platform.LoadSettings(); err == nil {
					setSeeds(s.Seeds)
				}
			}
		}
	}()
}

// A core process that is asked to end hands over within the first span, and keeps the second
// of the platform's grace time for ending.
const (
	maxHandOver     = 4 * time.Second
	handOverReserve = 2500 * time.Millisecond
)

func runController(s *platform.Settings, hangUps <-chan os.Signal) error {
	if err := s.ValidateCore(); err != nil {
		return err
	}
	host, err := host.Real(s.StateDir)
	if err != nil {
		return err
	}
	ring := cli.Ring("controller " + s.Name)
	log.SetOutput(ring)
	if s.StateDir == "" {
		return runDiskless(s, hangUps, host, ring)
	}
	documents := &platform.DocumentReader{}
	c, err := coordination.New(coordination.Options{
		Addr:           s.ControlAddr,
		Zone:           ids.Zone(s.Zone),
		Host:           host,
		Seeds:          s.Seeds,
		Ring:           ring,
		LeaseDuration:  s.LeaseDuration,
		JoinOnly:       !s.Bootstrap,
		FaultTolerance: s.FaultTolerance,
		Machine: func() coordination.StateMachine {
			return fleetstate.NewMachine(fleetstate.MachineOptions{
				ParseConfiguration: documents.Read,
				Metering:           s.Metering,
			})
		},
	})
	if err != nil {
		return err
	}
	asked, stop := cli.Signals()
	defer stop()
	ctx := cli.HandOver(asked, c, min(maxHandOver, s.GracePeriod-handOverReserve))
	watch(ctx, hangUps, c.Directory().SetSeeds)
	mux := http.NewServeMux()
	c.Mount(mux)
	operate(mux, s, c.Caller(), c.Directory(), ring)
	cli.Serve(ctx, host, s.ControlAddr, mux, func(err error) { cli.Fail("keelstair-platform controller", err) })
	return c.Run(ctx)
}

// operate puts the operators' calls on a mux: the platform's, and the product's own for
// the program set.
func operate(
	mux *http.ServeMux,
	s *platform.Settings,
	call *rpc.Caller,
	directory *coordination.Directory,
	ring *logging.Ring,
) {
	(&platform.Operator{Caller: call, Directory: directory, Zones: s.Zones, Log: ring}).Mount(mux)
	api.RegisterOperatorAPI(mux, &proxy.Operator{Caller: call, Directory: directory, Zones: s.Zones})
}

// runDiskless serves the operator on a machine without a disk: it holds nothing and asks the core.
func runDiskless(s *platform.Settings, hangUps <-chan os.Signal, host host.Host, ring *logging.Ring) error {
	ctx, stop := cli.Signals()
	defer stop()
	call := rpc.NewCaller(host.Net)
	defer call.Close()
	directory := coordination.NewDirectory(host, call, s.Seeds, coordination.Replica{Addr: s.ControlAddr})
	watch(ctx, hangUps, directory.SetSeeds)
	mux := http.NewServeMux()
	directory.Serve(mux)
	operate(mux, s, call, directory, ring)
	cli.Serve(ctx, host, s.ControlAddr, mux, func(err error) { cli.Fail("keelstair-platform controller", err) })
	directory.Run(ctx, func() bool { return false })
	return nil
}

// programs are those of the policy that the command line names.
func programs() ([]routing.Source, error) {
	if len(os.Args) < 3 {
		return nil, nil
	}
	text, err := os.ReadFile(os.Args[2])
	if err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read policy", os.Args[2])
	}
	p, err := fleetstate.ParseJSON(text)
	if err == nil {
		err = p.CheckPrograms()
	}
	return p.ProgramSources(), failure.As(err, failure.InvalidArgument, "read policy", os.Args[2])
}

// serveInternal serves what is not for clients: the node's peers, and the platform's question
// whether it is ready.
func serveInternal(ctx context.Context, s *platform.Settings, h host.Host, n *proxy.Node) {
	fail := func(err error) { cli.Fail("keelstair-platform router", err) }
	peers := http.NewServeMux()
	n.Mount(peers)
	cli.Serve(ctx, h, s.PeerAddr(), peers, fail)
	ready := http.NewServeMux()
	ready.Handle("GET /readiness", platform.Readiness(n))
	cli.Serve(ctx, h, s.ReadinessAddr, ready, fail)
}

// setDuties has a node do the duties at the platform that the settings name.
func setDuties(options *proxy.Options, s *platform.Settings) {
	if s.Metering {
		options.UsageReporter = platform.NewDutyClient(options.Host.Net, s.CloudAPIAddr)
		options.UsageWindow = s.ReportWindow
	}
}

func runRouter(s *platform.Settings, hangUps <-chan os.Signal) error {
	if err := s.ValidateNode(); err != nil {
		return err
	}
	host, err := host.Real("")
	if err != nil {
		return err
	}
	programs, err := programs()
	if err != nil {
		return err
	}
	ring := cli.Ring(s.Name)
	log.SetOutput(ring)
	server := platform.NewClientServer()
	options := proxy.Options{
		Name:               s.Name,
		Addr:               s.PeerAddr(),
		Zone:               ids.Zone(s.Zone),
		Seeds:              s.Seeds,
		Host:               host,
		Ring:               ring,
		Backend:            platform.NewWorkerBackend(host.Net, s.CloudAPIAddr),
		ReadConfiguration:  (&platform.DocumentReader{}).Read,
		Programs:           programs,
		LeaseDuration:      s.LeaseDuration,
		ApplyMax:           s.MaxApplyDelay,
		ListRate:           s.ListsPerSecond,
		RetryRatio:         s.RetryRatio,
		RetryWindow:        s.RetryWindow,
		RetryAllowance:     s.RetryAllowance,
		SlowStartOvershoot: s.SlowStartOvershoot,
		SlowStartAllowance: s.SlowStartAllowance,
		Drain: func(ctx context.Context) error {
			return rpc.Drain(ctx, &server.Server)
		},
		ClientLimitsChanged: server.SetLimits,
	}
	setDuties(&options, s)
	n, err := proxy.New(options)
	if err != nil {
		return err
	}
	ctx, stop := cli.Signals()
	defer stop()
	listen, shut := context.WithCancel(context.Background())
	defer shut()
	watch(listen, hangUps, n.Directory().SetSeeds)
	serveInternal(listen, s, host, n)
	l, err := host.Net.Listen(s.FrontendAddr)
	if err != nil {
		return err
	}
	go server.ServeClients(l, &platform.Frontend{Node: n, Clock: host.Clock})
	n.Run(ctx, 2500*time.Millisecond, s.GracePeriod-1500*time.Millisecond)
	fmt.Println(n.Summary())
	return nil
}
