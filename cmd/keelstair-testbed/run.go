// A run: a fleet is put under load, one fault is injected after a third of the load time, and the results are
// reported.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"keelstair.example/host"
	"keelstair.example/internal/standin"
)

func runOnce(ctx context.Context, c *runCmd) error {
	f, err := startFleet(ctx, &c.upCmd, 0)
	defer f.stop()
	if err != nil {
		return err
	}
	clientHost, err := host.Real("")
	if err != nil {
		return err
	}
	faultCtx, stop := context.WithCancel(ctx)
	defer stop()
	duration := time.Duration(c.LoadSeconds) * time.Second
	go func() {
		if host.Sleep(faultCtx, duration/3) {
			f.injectFault(faultCtx, c.Fault)
		}
	}()
	started := time.Now()
	outcomes := f.runLoad(ctx, clientHost, c.Seed, c.Rate, duration)
	b, err := json.MarshalIndent(standin.Summarize(outcomes), "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	logf(
		"load took %.1f s; longest periods without a completed request since the fault: %s",
		time.Since(started).Seconds(),
		strings.Join(f.longestOutages(outcomes, duration/3, duration), ", "),
	)
	runs, duplicates := f.countRuns()
	logf("worker counters: %d runs started, %d requests finished more than once", runs, duplicates)
	f.reportUncertified()
	return nil
}

// runLoad sends the site's requests to its nodes for the given duration, and returns their outcomes.
func (f *fleet) runLoad(
	ctx context.Context,
	clientHost host.Host,
	seed uint64,
	rate float64,
	duration time.Duration,
) []standin.Outcome {
	pollCtx, stop := context.WithCancel(ctx)
	defer stop()
	return standin.RunLoad(ctx, standin.LoadOptions{
		Host:     clientHost,
		Nodes:    standin.PollNodes(pollCtx, clientHost, f.platform, f.site.Zones),
		Zones:    f.site.Zones,
		Classes:  f.site.Classes,
		Rate:     rate,
		Duration: duration,
		Seed:     seed,
		Model:    f.site.Model,
		Weights:  []string{standin.SiteWeights},
		Retries:  8,
	})
}

// longestOutages returns the longest periods without a completed request between from and to: for each
// kind of request, and for the frontends of each zone that still has a running node.
func (f *fleet) longestOutages(outcomes []standin.Outcome, from, to time.Duration) []string {
	var out []string
	record := func(name string, include func(standin.Outcome) bool) {
		out = append(out, fmt.Sprintf("%s %.2f s", name, standin.LongestOutage(outcomes, from, to, include).Seconds()))
	}
	for _, class := range f.site.Classes {
		record(class.Kind, func(o standin.Outcome) bool { return o.Kind == class.Kind })
	}
	for _, z := range f.site.Zones {
		frontends := map[string]bool{}
		for _, p := range f.processes("router") {
			if p.Zone == z && p.running() {
				frontends[p.Frontend] = true
			}
		}
		if len(frontends) > 0 {
			record("frontends of "+string(z), func(o standin.Outcome) bool { return frontends[o.Node] })
		}
	}
	return out
}

// requestCounts returns how often each request was started and finished, by request id, summed over all workers.
// Workers that do not respond are left out.
func (f *fleet) requestCounts() map[string]standin.RequestCounts {
	totals := map[string]standin.RequestCounts{}
	for _, p := range f.processes("worker-") {
		var counts map[string]standin.RequestCounts
		r, err := httpClient.Get("http://" + p.Addr + "/tally")
		if decodeResponse(r, err, &counts) != nil {
			continue
		}
		for id, t := range counts {
			sum := totals[id]
			sum.Runs += t.Runs
			sum.Finished += t.Finished
			totals[id] = sum
		}
	}
	return totals
}

// countRuns returns the number of runs that started, and the number of requests that finished more than
// once.
func (f *fleet) countRuns() (runs, duplicates int) {
	for _, t := range f.requestCounts() {
		runs += t.Runs
		if t.Finished > 1 {
			duplicates++
		}
	}
	return runs, duplicates
}

// primaryController returns the controller that reports itself as the primary, or the first controller if none
// does.
func (f *fleet) primaryController() *process {
	for _, p := range f.processes("controller") {
		var status struct{ Leads bool }
		r, err := httpClient.Get("http://" + p.Addr + "/v1/status")
		if decodeResponse(r, err, &status) == nil && status.Leads {
			return p
		}
	}
	return f.processes("controller")[0]
}
