// A run: a fleet under load, one breakdown in the middle, and a report.

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

func run(ctx context.Context, c *runCmd) error {
	f, err := start(ctx, &c.upCmd, 0)
	defer f.stop()
	if err != nil {
		return err
	}
	machine, err := host.Real("")
	if err != nil {
		return err
	}
	cx, stop := context.WithCancel(ctx)
	defer stop()
	duration := time.Duration(c.Load) * time.Second
	go func() {
		if host.Sleep(cx, duration/3) {
			f.injectFault(cx, c.Break)
		}
	}()
	begun := time.Now()
	all := f.load(ctx, machine, c.Seed, c.Rate, duration)
	b, err := json.MarshalIndent(standin.Summarize(all), "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	logf(
		"load took %.1f s; longest spans without a completed call from the breakdown on: %s",
		time.Since(begun).Seconds(),
		strings.Join(f.gaps(all, duration/3, duration), ", "),
	)
	runs, doubles := f.tallies()
	logf("workers' own books: %d runs began, %d requests with two records", runs, doubles)
	f.hold()
	return nil
}

// load has callers of the site ask its nodes for so long, and gives what became of each call.
func (f *fleet) load(
	ctx context.Context,
	machine host.Host,
	seed uint64,
	rate float64,
	duration time.Duration,
) []standin.Outcome {
	asking, stop := context.WithCancel(ctx)
	defer stop()
	return standin.RunLoad(ctx, standin.LoadOptions{
		Host:     machine,
		Nodes:    standin.PollNodes(asking, machine, f.platform, f.site.Zones),
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

// gaps are the longest spans without a completion from the breakdown on: of each
// kind, and of the doors of each zone that still has a node.
func (f *fleet) gaps(all []standin.Outcome, from, to time.Duration) []string {
	var out []string
	record := func(name string, counts func(standin.Outcome) bool) {
		out = append(out, fmt.Sprintf("%s %.2f s", name, standin.LongestOutage(all, from, to, counts).Seconds()))
	}
	for _, sh := range f.site.Classes {
		record(sh.Kind, func(o standin.Outcome) bool { return o.Kind == sh.Kind })
	}
	for _, z := range f.site.Zones {
		doors := map[string]bool{}
		for _, p := range f.of("router") {
			if p.Zone == z && p.up() {
				doors[p.Door] = true
			}
		}
		if len(doors) > 0 {
			record("doors of "+string(z), func(o standin.Outcome) bool { return doors[o.Node] })
		}
	}
	return out
}

// books sums what the workers that still run have counted, by request.
func (f *fleet) books() map[string]standin.RequestCounts {
	sums := map[string]standin.RequestCounts{}
	for _, p := range f.of("worker-") {
		var book map[string]standin.RequestCounts
		r, err := web.Get("http://" + p.Addr + "/tally")
		if read(r, err, &book) != nil {
			continue
		}
		for id, t := range book {
			sum := sums[id]
			sum.Runs += t.Runs
			sum.Finished += t.Finished
			sums[id] = sum
		}
	}
	return sums
}

// tallies counts the runs that began and the requests with two records.
func (f *fleet) tallies() (runs, doubles int) {
	for _, t := range f.books() {
		runs += t.Runs
		if t.Finished > 1 {
			doubles++
		}
	}
	return runs, doubles
}

func (f *fleet) leadingController() *proc {
	for _, p := range f.of("controller") {
		var st struct{ Leads bool }
		r, err := web.Get("http://" + p.Addr + "/v1/status")
		if read(r, err, &st) == nil && st.Leads {
			return p
		}
	}
	return f.of("controller")[0]
}
