// A trial runs one script against one site's fleet with one seed and checks the results.

package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"keelstair.example/internal/api"
	"keelstair.example/internal/standin"
)

// TrialResult has the violations and the measurements of a trial.
type TrialResult struct {
	Violations      []Violation
	Summary         standin.Summary
	Outages         map[string]time.Duration // longest times without a completion, by kind and by frontend zone
	WithoutPrimary  time.Duration            // longest time without a primary
	Recomputes      int
	AfterLeave      []time.Duration // for each worker that was marked as leaving, time until its last new work
	AfterEvacuation []time.Duration // the same for each evacuated worker, from the first request
	ApplyTimes      []time.Duration // from the first request to the acknowledgement of each apply
	StaleOrders     time.Duration   // see Recorder.LongestStaleOrder
}

// LoadPlan sets the load of a trial: its rate, and its durations during and after the script.
type LoadPlan struct {
	Rate         float64
	DuringScript time.Duration
	AfterScript  time.Duration
}

// RunTrial runs a script and checks its results. It must be called within a synctest bubble.
func RunTrial(s Script, site standin.Site, seed uint64, plan LoadPlan) TrialResult {
	c := Build(seed, site, s.Configure)
	defer c.Close()
	result := TrialResult{}
	if err := c.Bootstrap(); err != nil {
		result.Violations = append(result.Violations, Violation{ServiceNotRestored, err.Error()})
		return result
	}
	r := rand.New(rand.NewPCG(seed, 99))
	span := max(plan.DuringScript, s.LoadDuration)
	done := make(chan error, 1)
	start := time.Now()
	ctx, stopWatching := context.WithCancel(c.ctx)
	c.wg.Go(func() { c.monitor(ctx, &result.WithoutPrimary) })
	go func() {
		time.Sleep(2 * time.Second)
		done <- s.Run(c, r)
	}()
	outcomes := c.Load(plan.Rate, span, seed)
	err := <-done
	firstFault := 2 * time.Second
	// Once the script has ended, the fleet must serve requests again.
	elapsed := time.Since(start)
	after := c.Load(plan.Rate, plan.AfterScript, seed+1000)
	for i := range after {
		after[i].At += elapsed
	}
	outcomes = append(outcomes, after...)
	if err != nil {
		result.Violations = append(result.Violations, Violation{ServiceNotRestored, "script: " + err.Error()})
	}
	result.Summary = standin.Summarize(outcomes)
	stopWatching()
	result.Outages = c.outages(
		outcomes,
		[][2]time.Duration{{firstFault, span}, {elapsed + 500*time.Millisecond, elapsed + plan.AfterScript}},
	)
	bound := s.Bound
	if bound == 0 {
		bound = 12 * time.Second
	}
	result.Violations = append(result.Violations, outageViolations(result.Outages, bound)...)
	if n := result.Summary.Ends[api.EndComplete]; s.AllMustComplete && n != len(outcomes) {
		result.Violations = append(result.Violations, Violation{
			ServiceNotRestored, fmt.Sprintf(
				"only %d of %d requests completed in a script without failures: %v",
				n,
				len(outcomes),
				result.Summary.Details,
			),
		})
	}
	result.Violations = append(result.Violations, c.Recorder.Check(outcomes)...)
	result.Violations = append(result.Violations, c.checkConfigurations()...)
	result.Recomputes = len(c.Recorder.recomputes)
	result.AfterLeave, result.AfterEvacuation, result.ApplyTimes, result.StaleOrders = c.Recorder.LastWorkAfter("leave"),
		c.Recorder.LastWorkAfter("evacuate"), c.Recorder.applyTimes, c.Recorder.LongestStaleOrder()
	return result
}
