// This file measures outages: the longest time without a completed request, for each kind of request and for the routers of
// each surviving zone, and the longest time without a primary. Kinds are measured separately because an outage of
// one kind is not visible in the total of all requests.

package simulation

import (
	"context"
	"fmt"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/router"
	"keelstair.example/internal/standin"
)

// outages returns the longest outage within the given periods for each kind of request and for the routers of
// each zone. Zones that were evacuated or have no running router left are excluded.
func (c *Cluster) outages(outcomes []standin.Outcome, periods [][2]time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	measure := func(name string, include func(standin.Outcome) bool) {
		for _, period := range periods {
			out[name] = max(out[name], standin.LongestOutage(outcomes, period[0], period[1], include))
		}
	}
	for _, class := range c.Site.Classes {
		measure(class.Kind, func(o standin.Outcome) bool { return o.Kind == class.Kind })
	}
	zoneOf := map[string]ids.Zone{}
	serving := map[ids.Zone]bool{}
	for _, p := range c.ProcessesOf("router") {
		zoneOf[p.FrontendAddr] = p.Zone
		serving[p.Zone] = serving[p.Zone] || p.Up
	}
	for _, m := range c.Recorder.scriptEvents {
		if m.Kind == "evacuate" {
			for _, p := range c.Processes {
				if p.Name == m.Subject {
					serving[p.Zone] = false
				}
			}
		}
	}
	for zone, ok := range serving {
		if ok {
			measure("frontends of zone "+string(zone), func(o standin.Outcome) bool { return zoneOf[o.Node] == zone })
		}
	}
	return out
}

// monitor measures, every 20 ms until the context ends, the longest time in which no controller reports that it
// is the primary, and records the configurations that the routers have in force.
func (c *Cluster) monitor(ctx context.Context, longest *time.Duration) {
	lastPrimaryTime := time.Now()
	for host.Sleep(ctx, 20*time.Millisecond) {
		now := time.Now()
		hasPrimary := false
		c.cores.Range(func(k, _ any) bool {
			if k.(*coordination.Core).Leads() {
				hasPrimary = true
			}
			return true
		})
		if hasPrimary {
			lastPrimaryTime = now
		}
		*longest = max(*longest, now.Sub(lastPrimaryTime))
		c.nodes.Range(func(k, name any) bool {
			if s := k.(*router.Node).View().Current(); s.Version > 0 {
				c.Recorder.RecordActive(name.(string), s.Version, s.Text)
			}
			return true
		})
	}
}

// outageViolations returns a violation for each outage that is longer than the bound.
func outageViolations(outages map[string]time.Duration, bound time.Duration) []Violation {
	violations := &violationList{}
	for name, d := range outages {
		if d > bound {
			violations.add(ServiceNotRestored, "%s: %.2f s without a completed request", name, d.Seconds())
		}
	}
	return violations.found
}

// longestOutage describes the longest of the outages.
func longestOutage(outages map[string]time.Duration) string {
	var longest string
	for name, d := range outages {
		if longest == "" || d > outages[longest] {
			longest = name
		}
	}
	return fmt.Sprintf("%s %.2fs", longest, outages[longest].Seconds())
}
