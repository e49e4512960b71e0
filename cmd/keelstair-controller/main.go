// Keelstair-controller runs the control plane. On a machine with a disk it stores a register for
// elections and is the primary, the backup or a spare.
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
	SettingsFile      string   `arg:"--settings" help:"a JSON file with these same settings; flags stand over it" json:"-"`
	Addr              string   `arg:"--addr" help:"IP number and port to listen on" json:"addr"`
	Zone              string   `arg:"--zone" help:"the hall or district this machine stands in" json:"zone"`
	Seeds             []string `arg:"--seeds" help:"three addresses of other processes" json:"seeds"`
	DataDir           string   `arg:"--data" help:"the folder for all files" json:"data"`
	HeartbeatMs       int      `arg:"--beat-ms" default:"200" help:"primary to backup and witness" json:"beatMs"`
	ElectionTimeoutMs int      `arg:"--silence-ms" default:"900" help:"after so long the backup takes over" json:"silenceMs"`
	LeaseMs           int      `arg:"--lease-ms" default:"3000" help:"of every node; the nodes must have the same" json:"leaseMs"`
	DiskTimeoutMs     int      `arg:"--stall-ms" default:"1000" help:"a disk step that takes longer makes this machine stand down" json:"stallMs"`
	HandOverTimeoutMs int      `arg:"--grace-ms" default:"4000" help:"a machine that is stopped hands over what it holds within this span" json:"graceMs"`
	ForceNewCluster   bool     `arg:"--found-anew" help:"two of three disk machines are lost for good: go on from this disk with two empty ones; see the operators' page" json:"-"`
	ReplaceAfterMs    int      `arg:"--replace-ms" default:"4000" help:"a register holder silent so long may be replaced by a spare" json:"replaceMs"`
}

func (s *options) File() string { return s.SettingsFile }

func (s *options) Check() error {
	checkDuration := func(field string, ms, minimum, maximum int) error {
		if ms < minimum || ms > maximum {
			return settings.Invalid(field, "%d ms is not between %d and %d ms", ms, minimum, maximum)
		}
		return nil
	}
	if s.DataDir == "" {
		return settings.Invalid("data", "a value is required")
	}
	if s.Zone == "" {
		return settings.Invalid("zone", "a value is required")
	}
	return settings.FirstError(settings.Addr("addr", s.Addr), settings.Seeds("seeds", s.Seeds),
		checkDuration("beatMs", s.HeartbeatMs, 20, 1000),
		checkDuration("silenceMs", s.ElectionTimeoutMs, 4*s.HeartbeatMs, 30000),
		checkDuration("leaseMs", s.LeaseMs, 2*s.ElectionTimeoutMs, 60000),
		checkDuration("stallMs", s.DiskTimeoutMs, 50, 30000),
		checkDuration("graceMs", s.HandOverTimeoutMs, 0, 600000),
		checkDuration("replaceMs", s.ReplaceAfterMs, s.ElectionTimeoutMs, 600000))
}

func main() {
	s := &options{}
	settings.Read(s, "keelstair-controller", "Keelstair-controller runs the control plane of keelstair.", os.Args[1:])
	host, err := host.Real(s.DataDir)
	cli.ExitOnError("keelstair-controller", err)
	ring := cli.NewRing("controller " + s.Addr)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	core, err := coordination.New(coordination.Options{
		Addr:  s.Addr,
		Zone:  ids.Zone(s.Zone),
		Host:  host,
		Seeds: s.Seeds,
		Ring:  ring,
		Machine: func() coordination.StateMachine {
			return fleetstate.NewMachine(fleetstate.MachineOptions{WallClock: host.Clock.Wall})
		},
		HeartbeatInterval: ms(s.HeartbeatMs),
		ElectionTimeout:   ms(s.ElectionTimeoutMs),
		LeaseDuration:     ms(s.LeaseMs),
		DiskTimeout:       ms(s.DiskTimeoutMs),
		ReplaceAfter:      ms(s.ReplaceAfterMs),
		ForceNewCluster:   s.ForceNewCluster,
	})
	cli.ExitOnError("keelstair-controller", err)
	shutdown, stop := cli.SignalContext()
	defer stop()
	ctx := cli.HandOverContext(shutdown, core, ms(s.HandOverTimeoutMs))
	mux := http.NewServeMux()
	core.Mount(mux)
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
	cli.Serve(ctx, host, s.Addr, mux, func(err error) { cli.ExitOnError("keelstair-controller", err) })
	cli.ExitOnError("keelstair-controller", core.Run(ctx))
}
