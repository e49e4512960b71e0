// Keelstair-plan predicts how a change would affect workers, nodes, key owners, capacity and traffic shares,
// without applying it.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/cli"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/router"
	"keelstair.example/internal/router/forecast"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/settings"
)

type applyCmd struct {
	File    string  `arg:"positional,required" help:"configuration file in CUE or JSON"`
	Partial bool    `arg:"--partial" help:"merge the file into the active configuration"`
	Base    *uint64 `arg:"--base" help:"the version that the configuration is based on"`
}

type nameCmd struct {
	Name string `arg:"positional,required"`
}

type options struct {
	Frontends   []string  `arg:"--doors,env:KEELSTAIR_DOORS" help:"frontend addresses of router nodes, tried in turn"`
	JSON        bool      `arg:"--json" help:"print JSON"`
	Apply       *applyCmd `arg:"subcommand:apply" help:"predict the effects of applying a configuration"`
	Evacuate    *nameCmd  `arg:"subcommand:evacuate" help:"predict the effects of evacuating a zone"`
	LoseZone    *nameCmd  `arg:"subcommand:lose-zone" help:"predict the effects of losing a zone"`
	LoseMachine *nameCmd  `arg:"subcommand:lose-machine" help:"predict the effects of losing a machine, given its address"`
	Drain       *nameCmd  `arg:"subcommand:drain" help:"predict the effects of draining a worker"`
	Revoke      *nameCmd  `arg:"subcommand:revoke" help:"predict the effects of revoking a certificate, given its serial"`
	Expire      *nameCmd  `arg:"subcommand:expire" help:"predict the effects of certificates that expire up to a time (RFC 3339)"`
}

func (o *options) File() string { return "" }

func (o *options) Check() error {
	if o.Apply == nil && o.Evacuate == nil && o.LoseZone == nil && o.LoseMachine == nil && o.Drain == nil && o.Revoke == nil &&
		o.Expire == nil {
		return settings.InvalidField("command", "a command is required; see keelstair-plan --help")
	}
	return cli.CheckEndpoints(&o.Frontends)
}

func main() {
	o := &options{}
	settings.ParseOrExit(o, "keelstair-plan", "Keelstair-plan predicts the effects of a change.", os.Args[1:])
	cli.ExitOnError("keelstair-plan", o.run())
}

func (o *options) get(path string, into any) error {
	return cli.Request(o.Frontends, http.MethodGet, path, nil, into)
}

func (o *options) run() error {
	var status router.NodeStatus
	var active api.ActivePolicy
	if err := o.get("/v1/status", &status); err != nil {
		return err
	}
	if err := o.get("/v1/policy", &active); err != nil {
		return err
	}
	current := &fleetstate.Configuration{}
	if err := json.Unmarshal(active.Policy, current); err != nil {
		return err
	}
	change, err := o.parseChange(&active)
	if err != nil {
		return err
	}
	f, err := forecast.Compute(&status, current, change)
	if err != nil {
		return err
	}
	if o.JSON {
		b, err := json.MarshalIndent(f, "", "  ")
		fmt.Println(string(b))
		return err
	}
	printForecast(f)
	return nil
}

func (o *options) parseChange(active *api.ActivePolicy) (forecast.Change, error) {
	switch {
	case o.Evacuate != nil:
		return forecast.Change{Evacuate: ids.Zone(o.Evacuate.Name)}, nil
	case o.LoseZone != nil:
		return forecast.Change{LoseZone: ids.Zone(o.LoseZone.Name)}, nil
	case o.LoseMachine != nil:
		return forecast.Change{LoseAddr: o.LoseMachine.Name}, nil
	case o.Drain != nil:
		return forecast.Change{Drain: ids.WorkerID(o.Drain.Name)}, nil
	case o.Revoke != nil:
		return forecast.Change{Revoke: o.Revoke.Name}, nil
	case o.Expire != nil:
		at, err := time.Parse(time.RFC3339, o.Expire.Name)
		if err != nil {
			return forecast.Change{}, settings.InvalidField(
				"time", "%q is not a time in RFC 3339 format, such as 2026-12-31T00:00:00Z", o.Expire.Name,
			)
		}
		return forecast.Change{FleetTime: at.UnixNano()}, nil
	}
	if o.Apply.Base != nil && *o.Apply.Base != active.Newest {
		return forecast.Change{}, fmt.Errorf(
			"the plan is based on version %d, but the newest version is %d", *o.Apply.Base, active.Newest,
		)
	}
	text, err := os.ReadFile(o.Apply.File)
	if err != nil {
		return forecast.Change{}, err
	}
	body, err := fleetstate.CUEToJSON(o.Apply.File, text)
	if err == nil && o.Apply.Partial {
		body, err = fleetstate.Merge(active.Policy, body)
	}
	if err != nil {
		return forecast.Change{}, err
	}
	configuration, err := fleetstate.ParseConfiguration(o.Apply.File, body)
	if err != nil {
		return forecast.Change{}, err
	}
	_, err = configuration.CompilePrograms(&routing.Scores{})
	return forecast.Change{Configuration: configuration}, err
}

func printForecast(f *forecast.Forecast) {
	fmt.Printf("based on version %d\n\nworkers\n", f.Version)
	for _, w := range f.WorkerChanges {
		fmt.Println("  " + w)
	}
	if len(f.WorkerChanges) == 0 {
		fmt.Println("  no worker changes")
	}
	fmt.Printf("\nnodes %d -> %d, disk machines %d -> %d\n", f.Nodes[0], f.Nodes[1], f.Voters[0], f.Voters[1])
	fmt.Printf("\nkeys that change owner: %d\n", len(f.KeyMoves))
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, m := range f.KeyMoves {
		fmt.Fprintf(out, "  %s\t%s\t-> %s\n", m.Key, m.From, m.To)
	}
	fmt.Fprintf(out, "\ncapacity\tworkers\tblocks\tin use\tzones\n")
	for _, r := range f.Capacity {
		fmt.Fprintf(
			out,
			"  %s %s\t%d -> %d\t%d -> %d\t%d\t%d -> %d\n",
			r.Model,
			r.Role,
			r.Workers[0],
			r.Workers[1],
			r.Blocks[0],
			r.Blocks[1],
			r.Used,
			r.Zones[0],
			r.Zones[1],
		)
	}
	fmt.Fprintf(out, "\ntraffic shares\n")
	for n, p := range f.TrafficShares {
		fmt.Fprintf(out, "  %s\t%d -> %d\n", n, p[0], p[1])
	}
	out.Flush()
	fmt.Println()
	for _, w := range f.Warnings {
		fmt.Println("warning: " + w)
	}
	if len(f.Warnings) == 0 {
		fmt.Println("no warnings")
	}
}
