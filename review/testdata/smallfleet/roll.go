// A router that gets SIGTERM, and the rule that it must not cut requests.

package main

import (
	"fmt"
	"io"
	"syscall"
	"time"
)

const (
	rollAfter   = warmUp + 5*time.Second
	gracePeriod = 8 * time.Second
	graceMargin = time.Second // after gracePeriod, in which a cut still counts
)

// rollRouter stops the first router in order and starts it again. It returns when SIGTERM was sent and when the process
// had ended.
func rollRouter(f *fleet, out io.Writer, began time.Time) *change {
	time.Sleep(rollAfter)
	m := f.machines[0]
	c := &change{sent: time.Now()}
	m.router.Process.Signal(syscall.SIGTERM)
	late := time.AfterFunc(gracePeriod, func() { m.router.Process.Kill() })
	m.router.Wait()
	late.Stop()
	c.acknowledged = time.Now()
	fmt.Fprintf(out, "%s: SIGTERM to its router at %.3f s, which ended at %.3f s\n",
		m.name, c.sent.Sub(began).Seconds(), c.acknowledged.Sub(began).Seconds())
	cmd, err := f.spawn(m, "router", false)
	if err != nil {
		fmt.Fprintln(out, "the router did not start:", err)
		return c
	}
	m.router = cmd
	return c
}

// reportRolled writes what was cut and returns whether the rule was broken.
func reportRolled(out io.Writer, rows []*arrival, tries []*try, c *change) bool {
	run := map[string]bool{}
	for _, a := range rows {
		run[a.id] = run[a.id] || a.end == "run"
	}
	cut := map[string]int{}
	beside := 0
	for _, t := range tries {
		if !run[t.id] || t.answer != "0" && t.answer != "-1" || t.ended.Sub(t.at) > deadline-100*time.Millisecond {
			continue
		}
		cut[t.machine]++
		if t.machine == rolledMachine && !t.ended.Before(c.sent) && t.ended.Before(c.sent.Add(gracePeriod+graceMargin)) {
			beside++
		}
	}
	fmt.Fprintf(out, "cut though run to the end: %v in all; %d at %s from SIGTERM on: broken %v\n",
		cut, beside, rolledMachine, beside > 0)
	return beside > 0
}

// rolledMachine is the machine whose router is stopped.
const rolledMachine = "edge-medeu-1"
