// A trial is one script against one site under one seed, with its verdict.

package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"keelstair.example/internal/api"
	"keelstair.example/internal/standin"
)

// TrialResult of a trial.
type TrialResult struct {
	Violations      []Violation
	Summary         standin.Summary
	Outages         map[string]time.Duration // longest spans without a completion, by kind and by zone of the door
	WithoutPrimary  time.Duration            // longest span without a primary
	Recomputes      int
	AfterLeave      []time.Duration // leaving workers' last new work
	AfterEvacuation []time.Duration // the same in emptied zones
	ApplyTimes      []time.Duration // applies, until in force
	StaleOrders     time.Duration   // orders under an older version
}

// LoadPlan is how much load a trial has, and for how long before and after.
type LoadPlan struct {
	Rate         float64
	DuringScript time.Duration
	AfterScript  time.Duration
}

// RunTrial runs a script. It must be called within a synctest bubble.
func RunTrial(s Script, site standin.Site, seed uint64, pace LoadPlan) TrialResult {
	c := Build(seed, site, s.Configure)
	defer c.Close()
	v := TrialResult{}
	if err := c.Bootstrap(); err != nil {
		v.Violations = append(v.Violations, Violation{ServiceNotRestored, err.Error()})
		return v
	}
	r := rand.New(rand.NewPCG(seed, 99))
	span := max(pace.DuringScript, s.LoadDuration)
	done := make(chan error, 1)
	start := time.Now()
	ctx, stopWatching := context.WithCancel(c.ctx)
	c.wg.Go(func() { c.watch(ctx, &v.WithoutPrimary) })
	go func() {
		time.Sleep(2 * time.Second)
		done <- s.Run(c, r)
	}()
	all := c.Load(pace.Rate, span, seed)
	err := <-done
	firstFault := 2 * time.Second
	// After the script the fleet must serve again, whatever happened.
	elapsed := time.Since(start)
	after := c.Load(pace.Rate, pace.AfterScript, seed+1000)
	for i := range after {
		after[i].At += elapsed
	}
	all = append(all, after...)
	if err != nil {
		v.Violations = append(v.Violations, Violation{ServiceNotRestored, "script: " + err.Error()})
	}
	v.Summary = standin.Sum(all)
	stopWatching()
	v.Outages = c.backs(all, [][2]time.Duration{{firstFault, span}, {elapsed + 500*time.Millisecond, elapsed + pace.AfterScript}})
	bound := s.Bound
	if bound == 0 {
		bound = 12 * time.Second
	}
	v.Violations = append(v.Violations, late(v.Outages, bound)...)
	if n := v.Summary.Ends[api.Complete]; s.NoFailures && n != len(all) {
		v.Violations = append(v.Violations, Violation{
			ServiceNotRestored, fmt.Sprintf("only %d of %d calls completed on a calm day: %v", n, len(all), v.Summary.Details),
		})
	}
	v.Violations = append(v.Violations, c.Recorder.Check(all)...)
	v.Violations = append(v.Violations, c.checkConfigurations()...)
	v.Recomputes = len(c.Recorder.recomputes)
	v.AfterLeave, v.AfterEvacuation, v.ApplyTimes, v.StaleOrders = c.Recorder.LastWorkAfter("leave"), c.Recorder.LastWorkAfter("evacuate"), c.Recorder.applyTimes, c.Recorder.LongestStaleOrder()
	return v
}
