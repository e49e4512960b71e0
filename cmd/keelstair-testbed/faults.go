// Faults and operator actions that a run can apply to its fleet of real processes.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/internal/api"
	"keelstair.example/internal/cli"
	"keelstair.example/internal/standin"
)

// applyPartial merges a partial configuration into the active one, as keelstairctl does, and logs how
// long the request took.
func (f *fleet) applyPartial(ctx context.Context, name, source string) error {
	var active api.ActivePolicy
	if err := cli.Request(f.frontends(), http.MethodGet, "/v1/policy", nil, &active); err != nil {
		return err
	}
	started := time.Now()
	var response api.ApplyResponse
	request := api.ApplyRequest{Op: coordination.NewID(), BaseVersion: active.Newest, Partial: true, Name: name, Source: source}
	if err := cli.Request(f.frontends(), http.MethodPost, "/v1/policy", request, &response); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	logf(
		"%s: version %d, active %v after %.2f s",
		name,
		response.Version,
		response.Active,
		time.Since(started).Seconds(),
	)
	return nil
}

// reportRetryAfter logs whether every node has the acknowledged value of limits.retryAfterMs.
func (f *fleet) reportRetryAfter(field string, want int) {
	if err := f.checkRetryAfter(field, want); err != nil {
		logf("LOST: %v", err)
		return
	}
	logf("every node has %s = %d", field, want)
}

// checkRetryAfter returns an error that names the first node without the acknowledged value of
// limits.retryAfterMs.
func (f *fleet) checkRetryAfter(field string, want int) error {
	for _, p := range f.processes("router") {
		var active api.ActivePolicy
		var configuration struct{ Limits struct{ RetryAfterMs int } }
		err := cli.Request([]string{p.Frontend}, http.MethodGet, "/v1/policy", nil, &active)
		if err == nil {
			err = json.Unmarshal(active.Policy, &configuration)
		}
		if err != nil || configuration.Limits.RetryAfterMs != want {
			return fmt.Errorf(
				"node %s: %s is %d, but %d was acknowledged (%v)",
				p.Name,
				field,
				configuration.Limits.RetryAfterMs,
				want,
				err,
			)
		}
	}
	return nil
}

// raceOperators has two operators change the configuration concurrently, in 6 rounds, and logs how many
// changes of each round succeed. Of two changes with the same base version, exactly one is expected to
// succeed. This is not checked.
func (f *fleet) raceOperators(ctx context.Context) {
	for round := range 6 {
		var wg sync.WaitGroup
		var mu sync.Mutex
		successes := 0
		for operator := range 2 {
			wg.Go(func() {
				err := f.applyPartial(
					ctx,
					fmt.Sprintf("race %d, operator %d", round, operator),
					fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, 2000+10*round+operator),
				)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					successes++
				}
			})
		}
		wg.Wait()
		logf("round %d: %d changes succeeded", round, successes)
		if !host.Sleep(ctx, 500*time.Millisecond) {
			return
		}
	}
}

// evacuateZone evacuates a zone, measures for how long its workers continue to start prefills and runs, and
// undoes the evacuation.
func (f *fleet) evacuateZone(ctx context.Context) {
	zone := f.site.Zones[1]
	path := "/v1/zones/" + string(zone)
	evacuated := time.Now()
	if err := cli.Request(f.frontends(), http.MethodPost, path, api.MarkRequest{
		Op:  coordination.NewID(),
		Out: true,
	}, nil); err != nil {
		logf("%v", err)
	}
	countStarts := func() (n int) {
		for _, p := range f.processes("worker-") {
			var counts map[string]standin.RequestCounts
			r, err := httpClient.Get("http://" + p.Addr + "/tally")
			if p.Zone == zone && decodeResponse(r, err, &counts) == nil {
				for _, t := range counts {
					n += t.Prefills + t.Runs
				}
			}
		}
		return n
	}
	last, at := countStarts(), time.Since(evacuated)
	for time.Since(evacuated) < 6*time.Second && host.Sleep(ctx, 100*time.Millisecond) {
		if n := countStarts(); n > last {
			last, at = n, time.Since(evacuated)
		}
	}
	logf("the zone's workers last started a prefill or a run %.2f s after the evacuation was requested", at.Seconds())
	if err := cli.Request(f.frontends(), http.MethodPost, path, api.MarkRequest{
		Op: coordination.NewID(),
	}, nil); err != nil {
		logf("%v", err)
	}
}

// replaceControllers replaces each controller in turn with one that has no data and a new address. After each
// replacement it logs whether the configuration that was acknowledged before it is still active at all nodes.
func (f *fleet) replaceControllers(ctx context.Context) {
	for i, previous := range f.processes("controller") {
		want := 1300 + i
		if err := f.applyPartial(
			ctx, fmt.Sprint("roll ", i), fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, want),
		); err != nil {
			logf("%v", err)
		}
		previous.kill()
		os.RemoveAll(previous.DataDir)
		addrs, err := freeAddrs(1)
		if err != nil {
			logf("%v", err)
			return
		}
		p := f.newController(fmt.Sprintf("controller-new-%d", i), addrs[0], previous.Zone)
		if err := f.startProcess(p); err != nil {
			logf("%v", err)
			return
		}
		f.mu.Lock()
		f.procs = append(f.procs, p)
		f.mu.Unlock()
		if !host.Sleep(ctx, 8*time.Second) {
			return
		}
		f.reportRetryAfter("limits.retryAfterMs", want)
	}
}
