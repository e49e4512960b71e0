// This file combines randomly chosen failures and operators' changes into one script in which they overlap. The
// script stays within the failures that the fleet must tolerate: at most one controller and one zone are
// unavailable for long at a time, while any number of processes may be killed and restarted.

package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/standin"
)

// action is a failure or an operator's change. Actions of the same non-empty group never overlap.
type action struct {
	name  string
	group string // controller, zone, links or empty; actions without a group overlap with any others
	run   func(c *Cluster, r *rand.Rand, op string) error
}

func randomDuration(r *rand.Rand, minMs, maxMs int) time.Duration {
	return time.Duration(minMs+r.IntN(maxMs-minMs)) * time.Millisecond
}

// restartAfter kills a process, or its machine loses power, and starts it again after the downtime.
func restartAfter(c *Cluster, p *Process, downtime time.Duration, power bool) error {
	if power {
		c.PowerOff(p)
	} else {
		c.Kill(p)
	}
	time.Sleep(downtime)
	return c.Start(p)
}

func running(c *Cluster, kind string) []*Process {
	var out []*Process
	for _, p := range c.ProcessesOf(kind) {
		if p.Up {
			out = append(out, p)
		}
	}
	return out
}

// changeIgnoringConflict applies a change. A conflict with a concurrent operator's change isn't an error.
func changeIgnoringConflict(c *Cluster, op, part string) error {
	if err := applyPartial(c, op, part); err != nil && !errors.Is(err, errConflict) {
		return fmt.Errorf("%s: %w", op, err)
	}
	return nil
}

var actions = []action{
	{"leader killed", "controller", func(c *Cluster, r *rand.Rand, _ string) error {
		return restartAfter(c, leader(c), randomDuration(r, 200, 4000), false)
	}},
	{"a controller loses power", "controller", func(c *Cluster, r *rand.Rand, _ string) error {
		return restartAfter(c, pickOne(r, running(c, "controller")), randomDuration(r, 500, 5000), true)
	}},
	{"leader lost during a takeover", "controller", func(c *Cluster, r *rand.Rand, _ string) error {
		p := leader(c)
		c.Kill(p)
		time.Sleep(randomDuration(r, 900, 2200))
		if err := c.Start(p); err != nil {
			return err
		}
		if n := c.Leader(); n != nil {
			return restartAfter(c, n, randomDuration(r, 100, 600), false)
		}
		return nil
	}},
	{"disk wiped right after an acknowledged change", "controller", func(c *Cluster, r *rand.Rand, op string) error {
		if err := changeIgnoringConflict(
			c, op, marshalPartial(map[string]any{"limits": map[string]any{"retryAfterMs": 1000 + r.IntN(900)}}),
		); err != nil {
			return err
		}
		p := leader(c)
		c.PowerOff(p)
		p.Machine.WipeDisk()
		time.Sleep(randomDuration(r, 100, 1500))
		c.add(c.Controller("controller-"+op, fmt.Sprintf("10.1.%d.%d:700", 1+r.IntN(200), 1+r.IntN(200)), p.Zone))
		time.Sleep(9 * time.Second)
		return nil
	}},
	{"every controller killed at once", "controller", func(c *Cluster, r *rand.Rand, _ string) error {
		list := running(c, "controller")
		for _, p := range list {
			c.Kill(p)
		}
		for _, p := range list {
			time.Sleep(randomDuration(r, 10, 300))
			if err := c.Start(p); err != nil {
				return err
			}
		}
		return nil
	}},
	{"a disk stalls", "controller", func(c *Cluster, r *rand.Rand, _ string) error {
		p := pickOne(r, running(c, "controller"))
		p.Machine.StallDisk(true)
		time.Sleep(randomDuration(r, 500, 5000))
		p.Machine.StallDisk(false)
		return nil
	}},
	{"a controller freezes and resumes", "controller", func(c *Cluster, r *rand.Rand, _ string) error {
		p := pickOne(r, running(c, "controller"))
		p.Machine.Freeze(true)
		time.Sleep(randomDuration(r, 500, 5000))
		p.Machine.Freeze(false)
		return nil
	}},
	{"the leader partitioned from the other controllers", "controller", func(c *Cluster, r *rand.Rand, _ string) error {
		p := leader(c)
		var rest []*Process
		for _, o := range c.ProcessesOf("controller") {
			if o != p {
				rest = append(rest, o)
			}
		}
		c.World.Partition(addresses(p), addresses(rest...), true)
		time.Sleep(randomDuration(r, 1000, 5000))
		c.World.Partition(addresses(p), addresses(rest...), false)
		return nil
	}},
	{"slow disks", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for _, p := range c.ProcessesOf("controller") {
			p.Machine.SetDiskDelay(randomDuration(r, 10, 120))
		}
		time.Sleep(randomDuration(r, 2000, 6000))
		for _, p := range c.ProcessesOf("controller") {
			p.Machine.SetDiskDelay(time.Millisecond)
		}
		return nil
	}},
	{"routers killed one by one", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for range 1 + r.IntN(3) {
			if err := restartAfter(c, pickOne(r, c.ProcessesOf("router")), randomDuration(r, 100, 2500), false); err != nil {
				return err
			}
		}
		return nil
	}},
	{"a router freezes and resumes after its keys moved", "", func(c *Cluster, r *rand.Rand, _ string) error {
		p := pickOne(r, c.ProcessesOf("router"))
		p.Machine.Freeze(true)
		time.Sleep(randomDuration(r, 3500, 6500))
		p.Machine.Freeze(false)
		return nil
	}},
	{"clocks jump", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for range 3 {
			pickOne(
				r, append(c.ProcessesOf("router"), c.ProcessesOf("controller")...),
			).Machine.JumpClock(randomDuration(r, 500, 20000))
			time.Sleep(randomDuration(r, 0, 900))
		}
		return nil
	}},
	{"a router partitioned from controllers and routers", "links", func(c *Cluster, r *rand.Rand, _ string) error {
		p := pickOne(r, c.ProcessesOf("router"))
		peers := append(addresses(c.ProcessesOf("controller")...), addresses(c.ProcessesOf("router")...)...)
		c.World.Partition(addresses(p), peers, true)
		time.Sleep(randomDuration(r, 1000, 6000))
		c.World.Partition(addresses(p), peers, false)
		return nil
	}},
	{"all leases expire", "links", func(c *Cluster, r *rand.Rand, _ string) error {
		c.PartitionControllers(true)
		time.Sleep(randomDuration(r, 3000, 5500))
		c.PartitionControllers(false)
		return nil
	}},
	{"workers crash", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for range 1 + r.IntN(2) {
			if err := restartAfter(c, pickOne(r, c.ProcessesOf("worker")), randomDuration(r, 300, 3000), false); err != nil {
				return err
			}
		}
		return nil
	}},
	{"slow links, then a router killed during KV transfers", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for _, p := range c.ProcessesOf("worker") {
			p.Worker.SetFaults(standin.Faults{TransferRate: 60_000 + r.IntN(300_000)})
		}
		time.Sleep(randomDuration(r, 300, 1200))
		err := restartAfter(c, pickOne(r, c.ProcessesOf("router")), randomDuration(r, 200, 2500), false)
		for _, p := range c.ProcessesOf("worker") {
			p.Worker.SetFaults(standin.Faults{})
		}
		return err
	}},
	{"KV cache lost or corrupted", "", func(c *Cluster, r *rand.Rand, _ string) error {
		p := pickOne(r, c.ProcessesOf("worker"))
		p.Worker.SetFaults(standin.Faults{Drop: r.IntN(2) == 0, Corrupt: true})
		time.Sleep(randomDuration(r, 500, 3000))
		p.Worker.SetFaults(standin.Faults{})
		return nil
	}},
	{"worker reports delayed", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for _, p := range c.ProcessesOf("worker") {
			p.Worker.SetFaults(standin.Faults{ReportLagMs: 450})
		}
		time.Sleep(randomDuration(r, 1000, 4000))
		for _, p := range c.ProcessesOf("worker") {
			p.Worker.SetFaults(standin.Faults{})
		}
		return nil
	}},
	{"operators make many changes", "", func(c *Cluster, r *rand.Rand, op string) error {
		for i := range 4 {
			if err := changeIgnoringConflict(c, fmt.Sprint(op, "-", i), fleetChange(r, op, i)); err != nil {
				return err
			}
		}
		return nil
	}},
	{"a zone evacuated and restored", "zone", func(c *Cluster, r *rand.Rand, op string) error {
		z := pickOne(r, c.Site.Zones)
		if err := setEvacuated(c, z, op+"-out", true); err != nil {
			return err
		}
		time.Sleep(randomDuration(r, 5500, 7500))
		return setEvacuated(c, z, op+"-back", false)
	}},
	{"a zone loses power", "zone", func(c *Cluster, r *rand.Rand, _ string) error {
		z := pickOne(r, c.Site.Zones)
		var lost []*Process
		for _, p := range append(
			append(c.ProcessesOf("controller"), c.ProcessesOf("router")...), c.ProcessesOf("worker")...,
		) {
			if p.Zone == z && p.Up {
				lost = append(lost, p)
				c.PowerOff(p)
			}
		}
		time.Sleep(randomDuration(r, 2000, 5000))
		for _, p := range lost {
			if err := c.Start(p); err != nil {
				return err
			}
		}
		return nil
	}},
	{"a worker leaves", "zone", func(c *Cluster, r *rand.Rand, _ string) error {
		id := pickOne(r, c.Site.WorkerIDs())
		c.Platform.MarkLeaving(id)
		c.Recorder.RecordScriptEvent("leave", string(id))
		time.Sleep(3 * time.Second)
		return nil
	}},
}

// fleetChange returns a partial configuration that changes the retry delay and, depending on i, adds or
// removes a worker or a program. A change that adds a worker also sets the zones.
func fleetChange(r *rand.Rand, op string, i int) string {
	name := fmt.Sprintf("%s-%d", op, i)
	part := map[string]any{"limits": map[string]any{"retryAfterMs": 900 + r.IntN(5000)}}
	switch i % 4 {
	case 0:
		part["workers"] = map[string]any{"ghost-" + name: map[string]any{
			"part":    "decode",
			"model":   "ghost",
			"weights": "g1",
			"room":    64,
			"zone":    "hall-a",
		}}
		part["zones"] = []ids.Zone{
			"hall-a", "hall-b", "hall-c", "alatau", "medeu", "bostandyk", ids.Zone("zone-" + name),
		}
	case 1:
		part["programs"] = map[string]any{"idea-" + op: map[string]any{
			"source": "def order(ask, workers):\n    return [w.id for w in workers]\n",
			"shadow": true,
		}}
	case 2:
		part["workers"] = map[string]any{"ghost-" + op + "-0": nil}
	case 3:
		part["programs"] = map[string]any{"idea-" + op: nil}
	}
	return marshalPartial(part)
}

// ComposedScript returns a script that runs two to four actions chosen by the seed. Each one starts after a random
// delay of up to 4 s, but waits for the end of an action that it must not overlap with.
func ComposedScript(seed uint64) Script {
	r := rand.New(rand.NewPCG(seed, 2026))
	var names []string
	chosen := r.Perm(len(actions))[:2+r.IntN(3)]
	for _, i := range chosen {
		names = append(names, actions[i].name)
	}
	return Script{
		Name:      strings.Join(names, " + "),
		Configure: func(c *Cluster) { c.ApplySlack = 2 * time.Second },
		Run: func(c *Cluster, _ *rand.Rand) error {
			locks := map[string]host.ChannelMutex{}
			for _, a := range actions {
				locks[a.group] = host.NewChannelMutex()
			}
			done := make(chan error, len(chosen))
			for n, i := range chosen {
				random := rand.New(rand.NewPCG(seed, uint64(n)))
				go func() {
					time.Sleep(randomDuration(random, 0, 4000))
					if own := actions[i].group; own != "" {
						// An unavailable zone includes a controller, so zone actions don't overlap with controller actions.
						for _, group := range []string{"controller", "zone", "links"} {
							if group == own || own == "zone" && group == "controller" {
								locks[group].Lock()
								defer locks[group].Unlock()
							}
						}
					}
					done <- actions[i].run(c, random, fmt.Sprintf("op%d", n))
				}()
			}
			var err error
			for range chosen {
				err = errors.Join(err, <-done)
			}
			return err
		},
	}
}
