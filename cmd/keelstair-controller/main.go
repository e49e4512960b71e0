// Keelstair-controller runs a control plane process. It stores its data on disk and is the primary, the backup,
// a witness (a voter without the replicated data) or a spare.
package main

import (
	"net/http"
	"os"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/cli"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/settings"
)

type options struct {
	SettingsFile      string   `arg:"--settings" help:"a JSON file with the same settings; flags take precedence over it" json:"-"`
	Addr              string   `arg:"--addr" help:"IP address and port to listen on" json:"addr"`
	Zone              string   `arg:"--zone" help:"the zone of this machine, such as a hall or district" json:"zone"`
	Seeds             []string `arg:"--seeds" help:"three seed addresses at which to find other processes" json:"seeds"`
	DataDir           string   `arg:"--data" help:"the directory for all files" json:"data"`
	HeartbeatMs       int      `arg:"--beat-ms" default:"200" help:"interval of the heartbeats from the primary to its backups and the other voters, in ms" json:"beatMs"`
	ElectionTimeoutMs int      `arg:"--silence-ms" default:"900" help:"silence of the primary, in ms, after which a backup takes over" json:"silenceMs"`
	LeaseMs           int      `arg:"--lease-ms" default:"3000" help:"lease of every node, in ms; the nodes must have the same setting" json:"leaseMs"`
	DiskTimeoutMs     int      `arg:"--stall-ms" default:"1000" help:"time limit for a disk operation, in ms; a primary whose write takes longer steps down" json:"stallMs"`
	LeaveTimeoutMs    int      `arg:"--grace-ms" default:"4000" help:"time limit for handing over the roles at shutdown, in ms" json:"graceMs"`
	ForceNewCluster   bool     `arg:"--found-anew" help:"two of three machines with a disk are permanently lost: form a new cluster from this disk and two empty machines; see docs/operators.md" json:"-"`
	ReplaceAfterMs    int      `arg:"--replace-ms" default:"4000" help:"silence of a voter, in ms, after which a spare may replace it" json:"replaceMs"`
}

func (o *options) File() string { return o.SettingsFile }

func (o *options) Check() error {
	checkDuration := func(field string, ms, minimum, maximum int) error {
		if ms < minimum || ms > maximum {
			return settings.InvalidField(field, "%d ms is not between %d and %d ms", ms, minimum, maximum)
		}
		return nil
	}
	if o.DataDir == "" {
		return settings.InvalidField("data", "a value is required")
	}
	if o.Zone == "" {
		return settings.InvalidField("zone", "a value is required")
	}
	return settings.FirstError(settings.CheckAddr("addr", o.Addr), settings.CheckSeeds("seeds", o.Seeds),
		checkDuration("beatMs", o.HeartbeatMs, 20, 1000),
		checkDuration("silenceMs", o.ElectionTimeoutMs, 4*o.HeartbeatMs, 30000),
		checkDuration("leaseMs", o.LeaseMs, 2*o.ElectionTimeoutMs, 60000),
		checkDuration("stallMs", o.DiskTimeoutMs, 50, 30000),
		checkDuration("graceMs", o.LeaveTimeoutMs, 0, 600000),
		checkDuration("replaceMs", o.ReplaceAfterMs, o.ElectionTimeoutMs, 600000))
}

func main() {
	o := &options{}
	settings.ParseOrExit(o, "keelstair-controller", "Keelstair-controller runs the control plane of keelstair.", os.Args[1:])
	host, err := host.Real(o.DataDir)
	cli.ExitOnError("keelstair-controller", err)
	ring := cli.NewRing("controller " + o.Addr)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	core, err := coordination.New(coordination.Options{
		Addr:  o.Addr,
		Zone:  ids.Zone(o.Zone),
		Host:  host,
		Seeds: o.Seeds,
		Ring:  ring,
		Machine: func() coordination.StateMachine {
			return fleetstate.NewMachine(fleetstate.MachineOptions{WallClock: host.Clock.Wall})
		},
		HeartbeatInterval: ms(o.HeartbeatMs),
		ElectionTimeout:   ms(o.ElectionTimeoutMs),
		LeaseDuration:     ms(o.LeaseMs),
		DiskTimeout:       ms(o.DiskTimeoutMs),
		ReplaceAfter:      ms(o.ReplaceAfterMs),
		ForceNewCluster:   o.ForceNewCluster,
	})
	cli.ExitOnError("keelstair-controller", err)
	shutdown, stop := cli.SignalContext()
	defer stop()
	ctx := cli.ShutdownContext(shutdown, core, ms(o.LeaveTimeoutMs), &cli.RequestGate{})
	messages := http.NewServeMux()
	core.Mount(messages)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		ok := core.Directory().Record().ClusterID != ""
		code := http.StatusOK
		if !ok {
			code = http.StatusServiceUnavailable
		}
		api.WriteJSON(w, code, map[string]any{"ready": ok, "leads": core.Leads()})
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		api.WriteJSON(w, http.StatusOK, map[string]any{"leads": core.Leads(), "page": core.Directory().Exchange()})
	})
	servers := cli.NewServers(host, func(err error) { cli.ExitOnError("keelstair-controller", err) })
	servers.Serve(ctx, o.Addr, cli.NewLargeBodies(0).LimitMessages(messages, mux), cli.ConnectionLimits(0, 0).Control())
	cli.ExitOnError("keelstair-controller", core.Run(ctx))
	servers.Wait()
}
