// Keelstairctl is the command-line client for operators. It sends its requests to the frontends of router nodes.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"keelstair.example/coordination"
	"keelstair.example/internal/api"
	"keelstair.example/internal/cli"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/settings"
)

type applyCmd struct {
	File    string  `arg:"positional,required" help:"configuration file in CUE or JSON; - for standard input"`
	Partial bool    `arg:"--partial" help:"merge the file into the active configuration"`
	Base    *uint64 `arg:"--base" help:"the version that the configuration is based on; default: the newest"`
	Op      string  `arg:"--op" help:"id of an earlier operation, to retry it or to get its outcome"`
	Dry     bool    `arg:"--dry" help:"only validate the configuration"`
}

type showCmd struct {
	Out string `arg:"positional" help:"the file to write the configuration to; default: print it"`
}

type diffCmd struct {
	File    string `arg:"positional,required"`
	Partial bool   `arg:"--partial"`
}

type nameCmd struct {
	Name string `arg:"positional,required"`
	Op   string `arg:"--op" help:"id of an earlier operation, to retry it or to get its outcome"`
}

type options struct {
	Frontends []string    `arg:"--doors,env:KEELSTAIR_DOORS" help:"frontend addresses of router nodes, tried in turn"`
	Apply     *applyCmd   `arg:"subcommand:apply" help:"apply a complete or partial configuration"`
	Show      *showCmd    `arg:"subcommand:show" help:"show the active configuration"`
	Diff      *diffCmd    `arg:"subcommand:diff" help:"show what a configuration would change"`
	Evacuate  *nameCmd    `arg:"subcommand:evacuate" help:"take a zone out of service"`
	Return    *nameCmd    `arg:"subcommand:return" help:"return an evacuated zone to service"`
	Drain     *nameCmd    `arg:"subcommand:drain" help:"stop assigning new work to a worker"`
	Undrain   *nameCmd    `arg:"subcommand:undrain" help:"assign new work to a drained worker again"`
	Key       *keyCmd     `arg:"subcommand:key" help:"print the partial configuration that adds an issuer, and create its key file if it does not exist"`
	Certify   *certifyCmd `arg:"subcommand:certify" help:"sign certificates and print or apply them"`
	Revoke    *nameCmd    `arg:"subcommand:revoke" help:"permanently revoke a certificate, given its serial"`
	Regimes   *struct{}   `arg:"subcommand:regimes" help:"show the certified workers and nodes of each regime, when their certificates expire, and shortages"`
	Audit     *auditCmd   `arg:"subcommand:audit" help:"verify and export the audit log of governed requests as JSON lines"`
	Status    *struct{}   `arg:"subcommand:status" help:"show the fleet's status as seen by one node"`
}

func (o *options) File() string { return "" }

func (o *options) Check() error {
	if o.Key != nil || o.Certify != nil && !o.Certify.Apply {
		return nil // the command sends no request
	}
	return cli.CheckEndpoints(&o.Frontends)
}

func main() {
	o := &options{}
	settings.ParseOrExit(o, "keelstairctl", "Keelstairctl is the command-line client for operators of keelstair.", os.Args[1:])
	if err := o.run(); err != nil {
		fmt.Fprintf(os.Stderr, "keelstairctl: %v\n", err)
		var exitErr *cli.ExitError
		if errors.As(err, &exitErr) {
			os.Exit(exitErr.Code)
		}
		os.Exit(1)
	}
}

func (o *options) run() error {
	switch {
	case o.Apply != nil:
		return o.apply(o.Apply)
	case o.Show != nil:
		return o.show(o.Show.Out)
	case o.Diff != nil:
		return o.diff(o.Diff)
	case o.Evacuate != nil:
		return o.setOutOfService("zones", o.Evacuate, true)
	case o.Return != nil:
		return o.setOutOfService("zones", o.Return, false)
	case o.Drain != nil:
		return o.setOutOfService("workers", o.Drain, true)
	case o.Undrain != nil:
		return o.setOutOfService("workers", o.Undrain, false)
	case o.Key != nil:
		return o.printIssuer(o.Key)
	case o.Certify != nil:
		return o.certify(o.Certify)
	case o.Revoke != nil:
		return o.revoke(o.Revoke)
	case o.Regimes != nil:
		return o.printRegimes()
	case o.Audit != nil:
		return o.audit(o.Audit)
	case o.Status != nil:
		var v any
		if err := o.request(http.MethodGet, "/v1/status", nil, &v); err != nil {
			return err
		}
		return printJSON(v)
	}
	return settings.InvalidField("command", "a command is required; see keelstairctl --help")
}

func printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	fmt.Println(string(b))
	return err
}

func (o *options) request(method, path string, in, out any) error {
	return cli.Request(o.Frontends, method, path, in, out)
}

// readSource returns the name and the content of a configuration file, or of standard input for "-".
func readSource(file string) (string, string, error) {
	if file == "-" {
		b, err := io.ReadAll(os.Stdin)
		return "stdin", string(b), err
	}
	b, err := os.ReadFile(file)
	return file, string(b), err
}

func (o *options) activePolicy() (*api.ActivePolicy, error) {
	var out api.ActivePolicy
	return &out, o.request(http.MethodGet, "/v1/policy", nil, &out)
}

func (o *options) apply(c *applyCmd) error {
	name, text, err := readSource(c.File)
	if err != nil {
		return err
	}
	return o.applySource(c, name, text)
}

func (o *options) applySource(c *applyCmd, name, text string) error {
	request := api.ApplyRequest{Op: c.Op, Partial: c.Partial, Name: name, Source: text, DryRun: c.Dry}
	if request.Op == "" {
		request.Op = coordination.NewID()
	}
	if c.Base != nil {
		request.BaseVersion = *c.Base
	} else {
		active, err := o.activePolicy()
		if err != nil {
			return err
		}
		request.BaseVersion = active.Newest
	}
	fmt.Printf("operation %s over version %d\n", request.Op, request.BaseVersion)
	var response api.ApplyResponse
	if err := o.request(http.MethodPost, "/v1/policy", request, &response); err != nil {
		return err
	}
	switch {
	case c.Dry:
		fmt.Println("the configuration is valid; nothing was written")
	case response.Active:
		fmt.Printf("version %d is in force\n", response.Version)
	default:
		fmt.Printf("version %d is accepted and durable, but not yet active at all nodes\n", response.Version)
	}
	return nil
}

func (o *options) show(file string) error {
	active, err := o.activePolicy()
	if err != nil {
		return err
	}
	if file == "" {
		return printJSON(active)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, active.Policy, "", "  "); err != nil {
		return err
	}
	fmt.Printf("version %d\n", active.Version)
	return os.WriteFile(file, append(indented.Bytes(), '\n'), 0o644)
}

func (o *options) diff(c *diffCmd) error {
	name, text, err := readSource(c.File)
	if err != nil {
		return err
	}
	active, err := o.activePolicy()
	if err != nil {
		return err
	}
	var response api.ApplyResponse
	request := api.ApplyRequest{
		Op:          coordination.NewID(),
		BaseVersion: active.Newest,
		Partial:     c.Partial,
		Name:        name,
		Source:      text,
		DryRun:      true,
	}
	if err := o.request(http.MethodPost, "/v1/policy", request, &response); err != nil {
		return err
	}
	rows, err := fleetstate.DiffJSON(active.Policy, response.Policy)
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		fmt.Println("no changes")
	}
	for _, r := range rows {
		fmt.Println(r)
	}
	return nil
}

// setOutOfService takes a zone or a worker out of service or, if out is false, returns it to service. The
// resource is "zones" or "workers".
func (o *options) setOutOfService(resource string, c *nameCmd, out bool) error {
	request := api.MarkRequest{Op: c.Op, Out: out}
	if request.Op == "" {
		request.Op = coordination.NewID()
	}
	fmt.Printf("operation %s\n", request.Op)
	var response api.ApplyResponse
	if err := o.request(http.MethodPost, "/v1/"+resource+"/"+c.Name, request, &response); err != nil {
		return err
	}
	fmt.Println("done")
	return nil
}
