// Service back: the longest spans without a completed call, for each kind and for
// the doors of each surviving zone, since what all calls show together can hide one
// kind that stands still; and the longest span without a primary.

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

// backs gives the spans by kind and by zone of the door. Zones that were emptied, or
// have no node any more, are not asked for service.
func (c *Cluster) backs(all []standin.Outcome, spans [][2]time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	note := func(name string, counts func(standin.Outcome) bool) {
		for _, s := range spans {
			out[name] = max(out[name], standin.LongestOutage(all, s[0], s[1], counts))
		}
	}
	for _, sh := range c.Site.Classes {
		note(sh.Kind, func(o standin.Outcome) bool { return o.Kind == sh.Kind })
	}
	zones := map[string]ids.Zone{}
	serves := map[ids.Zone]bool{}
	for _, b := range c.Of("router") {
		zones[b.FrontendAddr] = b.Zone
		serves[b.Zone] = serves[b.Zone] || b.Up
	}
	for _, m := range c.Recorder.marks {
		if m.What == "evacuate" {
			for _, b := range c.Processes {
				if b.Name == m.Name {
					serves[b.Zone] = false
				}
			}
		}
	}
	for z, ok := range serves {
		if ok {
			note("door of "+string(z), func(o standin.Outcome) bool { return zones[o.Node] == z })
		}
	}
	return out
}

// watch measures the longest span without a primary, by the cores' own word, and
// notes what the nodes have in force, until the context ends.
func (c *Cluster) watch(ctx context.Context, most *time.Duration) {
	last := time.Now()
	for host.Sleep(ctx, 20*time.Millisecond) {
		now := time.Now()
		led := false
		c.cores.Range(func(k, _ any) bool {
			if k.(*coordination.Core).Leads() {
				led = true
			}
			return true
		})
		if led {
			last = now
		}
		*most = max(*most, now.Sub(last))
		c.nodes.Range(func(k, name any) bool {
			if s := k.(*router.Node).View().Current(); s.Version > 0 {
				c.Recorder.RecordActive(name.(string), s.Version, s.Text)
			}
			return true
		})
	}
}

func late(backs map[string]time.Duration, bound time.Duration) []Violation {
	f := &violationList{}
	for name, d := range backs {
		if d > bound {
			f.add(ServiceNotRestored, "%s: %.2f s without a completed call", name, d.Seconds())
		}
	}
	return f.found
}

func worst(backs map[string]time.Duration) string {
	var top string
	for name, d := range backs {
		if top == "" || d > backs[top] {
			top = name
		}
	}
	return fmt.Sprintf("%s %.2fs", top, backs[top].Seconds())
}
