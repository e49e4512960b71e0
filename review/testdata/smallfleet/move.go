// A change of the configuration, and the rule that it must not cut requests.

package main

import (
	"fmt"
	"io"
	"time"
)

const (
	applyMax     = 2 * time.Second
	changeMargin = time.Second // after applyMax, in which a cut still counts
	lateShare    = 0.7         // of a request's time; one that has used more may be cut
	rateFactor   = 3           // by which cuts must be more frequent beside the change
)

// change is when a configuration was sent and acknowledged.
type change struct{ sent, acknowledged time.Time }

func (c *change) includes(at time.Time) bool {
	return c != nil && !at.Before(c.sent) && !at.After(c.acknowledged.Add(applyMax+changeMargin))
}

// moveService moves the route to desk to another service, and removes the first one.
func moveService(f *fleet, out io.Writer, began time.Time) *change {
	time.Sleep(warmUp)
	c := &change{sent: time.Now()}
	err := f.put("document-moved.json", 7, 9, 5*time.Second)
	c.acknowledged = time.Now()
	fmt.Fprintf(out, "configuration sent at %.3f s, acknowledged at %.3f s: %v\n",
		c.sent.Sub(began).Seconds(), c.acknowledged.Sub(began).Seconds(), err)
	return c
}

// cuts counts the requests of one machine that ended beside the change or at other times, and those of them that were
// cut though their worker had run them to the end.
type cuts struct{ ended, cut [2]int }

// reportLost writes what was cut and returns whether the rule was broken.
func reportLost(out io.Writer, began time.Time, rows []*arrival, tries []*try, c *change) bool {
	run := map[string]bool{}
	for _, a := range rows {
		run[a.id] = run[a.id] || a.end == "run"
	}
	machines := map[string]*cuts{}
	for _, t := range tries {
		if machines[t.machine] == nil {
			machines[t.machine] = &cuts{}
		}
		beside := 0
		if c.includes(t.ended) {
			beside = 1
		}
		machines[t.machine].ended[beside]++
		inTime := t.ended.Sub(t.at) < time.Duration(lateShare*float64(deadline))
		if run[t.id] && (t.answer == "0" || t.answer == "-1") && inTime {
			machines[t.machine].cut[beside]++
		}
	}
	broken := false
	for name, m := range machines {
		rates := [2]float64{}
		for i := range rates {
			rates[i] = float64(m.cut[i]) / float64(max(1, m.ended[i]))
		}
		lost := m.cut[1] > 0 && rates[1] > rateFactor*rates[0]
		broken = broken || lost
		fmt.Fprintf(out, "%s: cut though run to the end: %d of %d beside the change, %d of %d at other times: broken %v\n",
			name, m.cut[1], m.ended[1], m.cut[0], m.ended[0], lost)
	}
	return broken
}
