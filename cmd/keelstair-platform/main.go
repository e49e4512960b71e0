// Keelstair-platform runs keelstair on the users' platform: "keelstair-platform controller" runs a
// control plane process, "keelstair-platform router" a router node. It reads its configuration from
// the platform's settings file and maps it to the options that keelstair's own programs use.
package main

import (
	"context"
	"fmt"
	"log"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/cli"
	"keelstair.example/internal/connguard"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/proxy"
	"keelstair.example/internal/requestbody"
	"keelstair.example/internal/routing"
	"keelstair.example/logging"
	"keelstair.example/platform"
	"keelstair.example/rpc"
)

// usage is printed if the arguments name no role.
const usage = `usage: keelstair-platform controller | keelstair-platform router [POLICY]
POLICY is a configuration file of keelstair in JSON. Its programs route requests, according to their shares, until the core has a program set (keelstairctl apply).
The environment variable ` + platform.SettingsVariable + ` names the settings file.`

func main() {
	role, run := parseRole(os.Args[1:])
	if run == nil {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(2)
	}
	hangups := notifySIGHUP()
	s, err := platform.LoadSettings()
	cli.ExitOnError("keelstair-platform "+role, err)
	cli.LimitMemory(s.MemoryBytes)
	cli.ExitOnError("keelstair-platform "+role, run(s, hangups))
}

// parseRole returns the role that the arguments name and the function that runs it, or nil if they name none.
func parseRole(args []string) (string, func(*platform.Settings, <-chan os.Signal) error) {
	switch {
	case len(args) == 1 && args[0] == "controller":
		return args[0], runController
	case (len(args) == 1 || len(args) == 2) && args[0] == "router":
		return args[0], runRouter
	}
	return "", nil
}

// notifySIGHUP returns a channel that receives SIGHUP for reloadSeedsOnSIGHUP. It must be called
// early, because a SIGHUP without a handler would terminate the process during startup.
func notifySIGHUP() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reloadSeedsOnSIGHUP reloads the settings on each SIGHUP and passes their seed addresses to setSeeds. If
// the settings cannot be loaded, the seeds stay as they are.
func reloadSeedsOnSIGHUP(ctx context.Context, hangups <-chan os.Signal, setSeeds func(seeds []string)) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				if s, err := platform.LoadSettings(); err == nil {
					setSeeds(s.Seeds)
				}
			}
		}
	}()
}

const (
	// maxLeaveDuration limits how long a core process takes to hand over its roles at shutdown.
	maxLeaveDuration = 4 * time.Second
	// shutdownReserve is the part of the platform's grace period that is kept for the rest of the
	// shutdown.
	shutdownReserve = 2500 * time.Millisecond
)

func runController(s *platform.Settings, hangups <-chan os.Signal) error {
	if err := s.ValidateCore(); err != nil {
		return err
	}
	host, err := host.Real(s.StateDir)
	if err != nil {
		return err
	}
	ring := cli.NewRing("controller " + s.Name)
	log.SetOutput(ring)
	shutdown, stop := cli.SignalContext()
	defer stop()
	if s.StateDir == "" {
		serveDiskless(shutdown, s, hangups, host, ring)
		return nil
	}
	return serveCore(shutdown, s, hangups, host, ring)
}

// connectionLimits returns the limits that the connections of a process share.
func connectionLimits(s *platform.Settings) connguard.Process {
	return cli.ConnectionLimits(s.MemoryBytes, s.FileLimit)
}

// exitOnControllerError ends a control plane process that failed.
func exitOnControllerError(err error) { cli.ExitOnError("keelstair-platform controller", err) }

// serveCore runs a control plane process with a disk. When shutdown ends, it hands over its roles, answers the
// operators' requests in progress and returns.
func serveCore(
	shutdown context.Context,
	s *platform.Settings,
	hangups <-chan os.Signal,
	host host.Host,
	ring *logging.Ring,
) error {
	documentReader := &platform.DocumentReader{}
	core, err := coordination.New(coordination.Options{
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
				ParseConfiguration: documentReader.Read,
				Metering:           s.Metering,
			})
		},
	})
	if err != nil {
		return err
	}
	gate := &cli.RequestGate{}
	ctx := cli.ShutdownContext(shutdown, core, min(maxLeaveDuration, s.GracePeriod-shutdownReserve), gate)
	reloadSeedsOnSIGHUP(ctx, hangups, core.Directory().SetSeeds)
	messages := http.NewServeMux()
	core.Mount(messages)
	handler := controlHandler(s, messages, gate, core.Caller(), core.Directory(), ring)
	servers := cli.NewServers(host, exitOnControllerError)
	servers.Serve(ctx, s.ControlAddr, handler, connectionLimits(s).Control())
	err = core.Run(ctx)
	servers.Wait()
	return err
}

const (
	documentWait    = 500 * time.Millisecond // for memory; operators turn to another node after a second
	documentTimeout = 30 * time.Second       // for the reading of a document, over a slow link
)

// controlHandler returns the handler of a control plane process: messages from other processes, and operators' requests
// through the gate. Large bodies of both share a part of the memory.
func controlHandler(
	s *platform.Settings,
	messages *http.ServeMux,
	gate *cli.RequestGate,
	caller *rpc.Caller,
	directory *coordination.Directory,
	ring *logging.Ring,
) http.Handler {
	largeBodies := cli.NewLargeBodies(s.MemoryBytes)
	operators := gate.Handler(operatorAPIs(s, largeBodies, caller, directory, ring))
	return largeBodies.LimitMessages(messages, operators)
}

// operatorAPIs returns the handler for operators: the platform's API, and keelstair's own API.
func operatorAPIs(
	s *platform.Settings,
	largeBodies *cli.LargeBodies,
	caller *rpc.Caller,
	directory *coordination.Directory,
	ring *logging.Ring,
) http.Handler {
	mux := http.NewServeMux()
	operator := &platform.Operator{Caller: caller, Directory: directory, Zones: s.Zones, Log: ring}
	operator.Mount(mux)
	api.RegisterOperatorAPI(mux, &proxy.Operator{Caller: caller, Directory: directory, Zones: s.Zones})
	return &requestbody.Handler{
		Next:     mux,
		Memory:   largeBodies.Memory,
		MaxBytes: largeBodies.MaxBytes(platform.MaxDocumentBytes),
		Wait:     documentWait,
		Timeout:  documentTimeout,
		Reject:   operator.RejectUnread,
	}
}

// serveDiskless serves the operator APIs on a machine without a disk. It stores nothing and forwards
// operations to the core. When shutdown ends, it answers the requests in progress and returns.
func serveDiskless(
	shutdown context.Context,
	s *platform.Settings,
	hangups <-chan os.Signal,
	host host.Host,
	ring *logging.Ring,
) {
	gate := &cli.RequestGate{}
	ctx := cli.ShutdownContext(shutdown, nil, 0, gate)
	caller := rpc.NewCaller(host.Net)
	defer caller.Close()
	directory := coordination.NewDirectory(host, caller, s.Seeds, coordination.Replica{Addr: s.ControlAddr})
	reloadSeedsOnSIGHUP(ctx, hangups, directory.SetSeeds)
	messages := http.NewServeMux()
	directory.Serve(messages)
	handler := controlHandler(s, messages, gate, caller, directory, ring)
	servers := cli.NewServers(host, exitOnControllerError)
	servers.Serve(ctx, s.ControlAddr, handler, connectionLimits(s).Control())
	directory.Run(ctx, func() bool { return false })
	servers.Wait()
}

// loadPrograms returns the routing programs of the policy file on the command line, or none if the command line
// names no file.
func loadPrograms() ([]routing.Source, error) {
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

// serveInternal starts the internal servers of a router node: one for its peers, and one for the platform's
// readiness check.
func serveInternal(ctx context.Context, servers *cli.Servers, s *platform.Settings, node *proxy.Node) {
	peers := http.NewServeMux()
	node.Mount(peers)
	handler := cli.NewLargeBodies(s.MemoryBytes).LimitMessages(peers, http.NotFoundHandler())
	servers.Serve(ctx, s.PeerAddr(), handler, connectionLimits(s).Peers())
	ready := http.NewServeMux()
	ready.Handle("GET /readiness", platform.Readiness(node))
	servers.Serve(ctx, s.ReadinessAddr, ready, connectionLimits(s).Probes())
}

// configureMetering makes a node report usage to the platform if the settings enable metering.
func configureMetering(options *proxy.Options, s *platform.Settings) {
	if s.Metering {
		options.UsageReporter = platform.NewDutyClient(options.Host.Net, s.CloudAPIAddr)
		options.UsageWindow = s.ReportWindow
	}
}

// routerOptions returns the options of a router node that follow from its settings and from its server for clients.
func routerOptions(s *platform.Settings, host host.Host, ring *logging.Ring, server *platform.ClientServer) proxy.Options {
	return proxy.Options{
		Name:                s.Name,
		Addr:                s.PeerAddr(),
		Zone:                ids.Zone(s.Zone),
		Seeds:               s.Seeds,
		Host:                host,
		Ring:                ring,
		Backend:             platform.NewWorkerBackend(host.Net, s.CloudAPIAddr),
		ParseConfiguration:  (&platform.DocumentReader{}).Read,
		LeaseDuration:       s.LeaseDuration,
		ApplyMax:            s.MaxApplyDelay,
		ListRate:            s.ListsPerSecond,
		RetryRatio:          s.RetryRatio,
		RetryWindow:         s.RetryWindow,
		RetryAllowance:      s.RetryAllowance,
		SlowStartOvershoot:  s.SlowStartOvershoot,
		SlowStartAllowance:  s.SlowStartAllowance,
		Drain:               server.Drain,
		ClientLimitsChanged: server.SetLimits,
		ConnectionsClosed:   server.ConnectionsClosed,
		MemoryLimit:         s.MemoryBytes,
	}
}

func runRouter(s *platform.Settings, hangups <-chan os.Signal) error {
	if err := s.ValidateNode(); err != nil {
		return err
	}
	host, err := host.Real("")
	if err != nil {
		return err
	}
	programs, err := loadPrograms()
	if err != nil {
		return err
	}
	ring := cli.NewRing(s.Name)
	log.SetOutput(ring)
	server := platform.NewClientServer(connectionLimits(s).Clients())
	options := routerOptions(s, host, ring, server)
	options.Programs = programs
	configureMetering(&options, s)
	node, err := proxy.New(options)
	if err != nil {
		return err
	}
	ctx, stop := cli.SignalContext()
	defer stop()
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	reloadSeedsOnSIGHUP(serveCtx, hangups, node.Directory().SetSeeds)
	servers := cli.NewServers(host, func(err error) { cli.ExitOnError("keelstair-platform router", err) })
	serveInternal(serveCtx, servers, s, node)
	listener, err := host.Net.Listen(s.FrontendAddr)
	if err != nil {
		return err
	}
	go server.ServeClients(listener, &platform.Frontend{Node: node, Clock: host.Clock})
	node.Run(ctx, proxy.NewShutdownPeriods(s.GracePeriod))
	stopServing()
	servers.Wait()
	fmt.Println(node.Summary())
	return nil
}
