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

// Verdict of a trial.
type Verdict struct {
	Faults []Fault
	Sum    standin.Summary
	Back   map[string]time.Duration // longest spans without a completion, by kind and by zone of the door
	Lead   time.Duration            // longest span without a primary
	Again  int
	Left   []time.Duration // leaving workers' last new work
	Out    []time.Duration // the same in emptied zones
	Laws   []time.Duration // applies, until in force
	Old    time.Duration   // orders under an older version
}

// Pace is how much load a trial has, and for how long before and after.
type Pace struct {
	Rate  float64
	First time.Duration
	Then  time.Duration
}

// Trial runs a script. It must be called within a synctest bubble.
func Trial(s Script, site standin.Site, seed uint64, pace Pace) Verdict {
	c := Build(seed, site, s.Tune)
	defer c.Close()
	v := Verdict{}
	if err := c.Found(); err != nil {
		v.Faults = append(v.Faults, Fault{NotBack, err.Error()})
		return v
	}
	r := rand.New(rand.NewPCG(seed, 99))
	span := max(pace.First, s.Span)
	done := make(chan error, 1)
	begun := time.Now()
	cx, still := context.WithCancel(c.base)
	c.wg.Go(func() { c.watch(cx, &v.Lead) })
	go func() {
		time.Sleep(2 * time.Second)
		done <- s.Run(c, r)
	}()
	all := c.Load(pace.Rate, span, seed)
	err := <-done
	struck := 2 * time.Second
	// After the script the fleet must serve again, whatever happened.
	rest := time.Since(begun)
	all2 := c.Load(pace.Rate, pace.Then, seed+1000)
	for i := range all2 {
		all2[i].At += rest
	}
	all = append(all, all2...)
	if err != nil {
		v.Faults = append(v.Faults, Fault{NotBack, "script: " + err.Error()})
	}
	v.Sum = standin.Summarize(all)
	still()
	v.Back = c.backs(all, [][2]time.Duration{{struck, span}, {rest + 500*time.Millisecond, rest + pace.Then}})
	bound := s.Bound
	if bound == 0 {
		bound = 12 * time.Second
	}
	v.Faults = append(v.Faults, late(v.Back, bound)...)
	if n := v.Sum.Ends[api.Complete]; s.Calm && n != len(all) {
		v.Faults = append(v.Faults, Fault{
			NotBack, fmt.Sprintf("only %d of %d calls completed on a calm day: %v", n, len(all), v.Sum.Details),
		})
	}
	v.Faults = append(v.Faults, c.Recorder.Check(all)...)
	v.Faults = append(v.Faults, c.laws()...)
	v.Again = len(c.Recorder.again)
	v.Left, v.Out, v.Laws, v.Old = c.Recorder.Late("leave"), c.Recorder.Late("evacuate"), c.Recorder.laws, c.Recorder.FellBack()
	return v
}
