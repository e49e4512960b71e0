// Keelstair-standin runs a stand-in for tests: a model worker, the platform, or clients that generate load.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/cli"
	"keelstair.example/internal/connguard"
	"keelstair.example/internal/settings"
	"keelstair.example/internal/standin"
	"keelstair.example/internal/workerclient"
)

type workerCmd struct {
	ID        string   `arg:"--id,required" help:"the worker's id"`
	Addr      string   `arg:"--addr,required" help:"IP address and port to listen on"`
	Role      string   `arg:"--part" default:"prefill" help:"the worker's role: prefill or decode"`
	Model     string   `arg:"--model,required"`
	Weights   string   `arg:"--weights" default:"w1"`
	Adapters  []string `arg:"--adapter,separate"`
	Capacity  int      `arg:"--room" default:"2048" help:"capacity of the KV cache in blocks"`
	BlockSize int      `arg:"--block" default:"16" help:"tokens per block"`
}

type platformCmd struct {
	Addr string `arg:"--addr,required" help:"IP address and port to listen on"`
}

type loadCmd struct {
	Site      string  `arg:"--site" default:"vatuloa" help:"the simulated site: vatuloa or almaty"`
	Frontends string  `arg:"--doors" help:"comma-separated frontend addresses of router nodes; default: the ready nodes that the platform lists"`
	Platform  string  `arg:"--platform" help:"the platform's IP address and port"`
	Rate      float64 `arg:"--rate" default:"30" help:"requests per second"`
	Seconds   int     `arg:"--seconds" default:"10"`
	Seed      uint64  `arg:"--seed" default:"1"`
	Retries   int     `arg:"--retries" default:"6" help:"maximum number of retries of a request"`
	Weights   string  `arg:"--weights" default:"w1" help:"comma-separated weight versions whose outputs are accepted"`
}

type options struct {
	Worker   *workerCmd   `arg:"subcommand:worker" help:"a stand-in model worker"`
	Platform *platformCmd `arg:"subcommand:platform" help:"a stand-in platform"`
	Load     *loadCmd     `arg:"subcommand:load" help:"stand-in clients that generate an open-loop load"`
}

func (o *options) File() string { return "" }

func (o *options) Check() error {
	switch {
	case o.Worker != nil:
		if o.Worker.Role != string(ids.Prefill) && o.Worker.Role != string(ids.Decode) {
			return settings.InvalidField("part", "%q is neither prefill nor decode", o.Worker.Role)
		}
		return settings.CheckAddr("addr", o.Worker.Addr)
	case o.Platform != nil:
		return settings.CheckAddr("addr", o.Platform.Addr)
	case o.Load != nil:
		if _, ok := standin.Sites[o.Load.Site]; !ok {
			return settings.InvalidField("site", "site %q does not exist", o.Load.Site)
		}
		if o.Load.Rate <= 0 || o.Load.Seconds <= 0 {
			return settings.InvalidField("rate, seconds", "both must be above 0")
		}
		return nil
	}
	return settings.InvalidField("command", "one of worker, platform, load is required")
}

func main() {
	o := &options{}
	settings.ParseOrExit(
		o,
		"standin",
		"Keelstair-standin runs stand-ins for the workers, the platform and the clients of keelstair.",
		os.Args[1:],
	)
	host, err := host.Real("")
	cli.ExitOnError("standin", err)
	ctx, stop := cli.SignalContext()
	defer stop()
	servers := cli.NewServers(host, func(err error) { cli.ExitOnError("standin", err) })
	defer servers.Wait()
	switch {
	case o.Worker != nil:
		c := o.Worker
		w := standin.NewWorker(standin.WorkerOptions{
			ID:        ids.WorkerID(c.ID),
			Addr:      c.Addr,
			Role:      ids.Role(c.Role),
			Capacity:  c.Capacity,
			BlockSize: c.BlockSize,
			Model:     workerclient.Model{Name: c.Model, Weights: c.Weights, Adapters: c.Adapters},
			Host:      host,
		})
		mux := http.NewServeMux()
		mux.Handle("/", w.Handler())
		servers.Serve(ctx, c.Addr, mux, connguard.Capacity{})
		w.Run(ctx)
	case o.Platform != nil:
		p := standin.NewPlatform(host)
		mux := http.NewServeMux()
		mux.Handle("/", p.Handler())
		servers.Serve(ctx, o.Platform.Addr, mux, connguard.Capacity{})
		p.Run(ctx)
	case o.Load != nil:
		runLoad(ctx, host, o.Load)
	}
}

func runLoad(ctx context.Context, host host.Host, c *loadCmd) {
	site := standin.Sites[c.Site]
	frontends := func(ids.Zone) []string { return strings.Split(c.Frontends, ",") }
	if c.Frontends == "" {
		frontends = standin.PollNodes(ctx, host, c.Platform, site.Zones)
	}
	outcomes := standin.RunLoad(ctx, standin.LoadOptions{
		Host:     host,
		Nodes:    frontends,
		Zones:    site.Zones,
		Classes:  site.Classes,
		Rate:     c.Rate,
		Duration: time.Duration(c.Seconds) * time.Second,
		Seed:     c.Seed,
		Model:    site.Model,
		Weights:  strings.Split(c.Weights, ","),
		Retries:  c.Retries,
	})
	b, _ := json.MarshalIndent(standin.Summarize(outcomes), "", "  ")
	fmt.Println(string(b))
}
