// The composer draws several breakdowns and operators' acts and lets them overlap
// as a seed says, within what is to be borne: one disk machine away for long at a
// time, one zone at a time; any number of processes killed and started again.

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

// action is one thing that happens. Acts of the same turn wait for one another.
type action struct {
	name  string
	group string // disk, zone, links or none
	run   func(c *Cluster, r *rand.Rand, op string) error
}

func randomDuration(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+r.IntN(most-least)) * time.Millisecond
}

// restartAfter takes a box away for a while and starts it again.
func restartAfter(c *Cluster, p *Process, away time.Duration, power bool) error {
	if power {
		c.PowerOff(p)
	} else {
		c.Kill(p)
	}
	time.Sleep(away)
	return c.Start(p)
}

func running(c *Cluster, kind string) []*Process {
	var out []*Process
	for _, p := range c.Of(kind) {
		if p.Up {
			out = append(out, p)
		}
	}
	return out
}

// changeIgnoringConflict applies a change; one that another operator forestalled is no breakdown.
func changeIgnoringConflict(c *Cluster, op, part string) error {
	if err := applyPartial(c, op, part); err != nil && !errors.Is(err, errConflict) {
		return fmt.Errorf("%s: %w", op, err)
	}
	return nil
}

var actions = []action{
	{"leader killed", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
		return restartAfter(c, leader(c), randomDuration(r, 200, 4000), false)
	}},
	{"a controller's power lost", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
		return restartAfter(c, pickOne(r, running(c, "controller")), randomDuration(r, 500, 5000), true)
	}},
	{"leader lost in mid-takeover", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
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
	{"disk wiped right after an acknowledgement", "disk", func(c *Cluster, r *rand.Rand, op string) error {
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
	{"every controller killed at once", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
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
	{"a disk stalls", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
		p := pickOne(r, running(c, "controller"))
		p.Machine.StallDisk(true)
		time.Sleep(randomDuration(r, 500, 5000))
		p.Machine.StallDisk(false)
		return nil
	}},
	{"a controller freezes and wakes", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
		p := pickOne(r, running(c, "controller"))
		p.Machine.Freeze(true)
		time.Sleep(randomDuration(r, 500, 5000))
		p.Machine.Freeze(false)
		return nil
	}},
	{"the core is split", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
		p := leader(c)
		var rest []*Process
		for _, o := range c.Of("controller") {
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
		for _, p := range c.Of("controller") {
			p.Machine.SetDiskDelay(randomDuration(r, 10, 120))
		}
		time.Sleep(randomDuration(r, 2000, 6000))
		for _, p := range c.Of("controller") {
			p.Machine.SetDiskDelay(time.Millisecond)
		}
		return nil
	}},
	{"nodes killed one by one", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for range 1 + r.IntN(3) {
			if err := restartAfter(c, pickOne(r, c.Of("router")), randomDuration(r, 100, 2500), false); err != nil {
				return err
			}
		}
		return nil
	}},
	{"a node freezes and wakes after its keys went elsewhere", "", func(c *Cluster, r *rand.Rand, _ string) error {
		p := pickOne(r, c.Of("router"))
		p.Machine.Freeze(true)
		time.Sleep(randomDuration(r, 3500, 6500))
		p.Machine.Freeze(false)
		return nil
	}},
	{"clocks leap", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for range 3 {
			pickOne(r, append(c.Of("router"), c.Of("controller")...)).Machine.JumpClock(randomDuration(r, 500, 20000))
			time.Sleep(randomDuration(r, 0, 900))
		}
		return nil
	}},
	{"a node cut from its kind", "links", func(c *Cluster, r *rand.Rand, _ string) error {
		p := pickOne(r, c.Of("router"))
		peers := append(addresses(c.Of("controller")...), addresses(c.Of("router")...)...)
		c.World.Partition(addresses(p), peers, true)
		time.Sleep(randomDuration(r, 1000, 6000))
		c.World.Partition(addresses(p), peers, false)
		return nil
	}},
	{"all leases lapse", "links", func(c *Cluster, r *rand.Rand, _ string) error {
		c.PartitionCore(true)
		time.Sleep(randomDuration(r, 3000, 5500))
		c.PartitionCore(false)
		return nil
	}},
	{"workers crash", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for range 1 + r.IntN(2) {
			if err := restartAfter(c, pickOne(r, c.Of("worker")), randomDuration(r, 300, 3000), false); err != nil {
				return err
			}
		}
		return nil
	}},
	{"links slow, then a controller dies with memory in flight", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for _, p := range c.Of("worker") {
			p.Worker.Order(standin.Faults{Speed: 60_000 + r.IntN(300_000)})
		}
		time.Sleep(randomDuration(r, 300, 1200))
		err := restartAfter(c, pickOne(r, c.Of("router")), randomDuration(r, 200, 2500), false)
		for _, p := range c.Of("worker") {
			p.Worker.Order(standin.Faults{})
		}
		return err
	}},
	{"memory lost or spoilt", "", func(c *Cluster, r *rand.Rand, _ string) error {
		p := pickOne(r, c.Of("worker"))
		p.Worker.Order(standin.Faults{Drop: r.IntN(2) == 0, Corrupt: true})
		time.Sleep(randomDuration(r, 500, 3000))
		p.Worker.Order(standin.Faults{})
		return nil
	}},
	{"reports lag", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for _, p := range c.Of("worker") {
			p.Worker.Order(standin.Faults{LagMs: 450})
		}
		time.Sleep(randomDuration(r, 1000, 4000))
		for _, p := range c.Of("worker") {
			p.Worker.Order(standin.Faults{})
		}
		return nil
	}},
	{"operators change much at once", "", func(c *Cluster, r *rand.Rand, op string) error {
		for i := range 4 {
			if err := changeIgnoringConflict(c, fmt.Sprint(op, "-", i), catalogueChange(r, op, i)); err != nil {
				return err
			}
		}
		return nil
	}},
	{"a zone emptied and taken back", "zone", func(c *Cluster, r *rand.Rand, op string) error {
		z := pickOne(r, c.Site.Zones)
		if err := setEvacuated(c, z, op+"-out", true); err != nil {
			return err
		}
		time.Sleep(randomDuration(r, 5500, 7500))
		return setEvacuated(c, z, op+"-back", false)
	}},
	{"a zone loses power", "zone", func(c *Cluster, r *rand.Rand, _ string) error {
		z := pickOne(r, c.Site.Zones)
		var gone []*Process
		for _, p := range append(append(c.Of("controller"), c.Of("router")...), c.Of("worker")...) {
			if p.Zone == z && p.Up {
				gone = append(gone, p)
				c.PowerOff(p)
			}
		}
		time.Sleep(randomDuration(r, 2000, 5000))
		for _, p := range gone {
			if err := c.Start(p); err != nil {
				return err
			}
		}
		return nil
	}},
	{"a worker leaves", "zone", func(c *Cluster, r *rand.Rand, _ string) error {
		id := pickOne(r, c.Site.Names())
		c.Platform.Leave(id)
		c.Recorder.RecordMark("leave", string(id))
		time.Sleep(3 * time.Second)
		return nil
	}},
}

// catalogueChange is a partial configuration that adds to and takes from the catalogue, the
// kinds, the programs and the zones.
func catalogueChange(r *rand.Rand, op string, i int) string {
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
			"hall-a", "hall-p", "hall-c", "alatau", "medeu", "bostandyk", ids.Zone("zone-" + name),
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

// ComposedScript draws two to four acts for a seed and gives them as one script.
func ComposedScript(seed uint64) Script {
	r := rand.New(rand.NewPCG(seed, 2026))
	var names []string
	list := r.Perm(len(actions))[:2+r.IntN(3)]
	for _, i := range list {
		names = append(names, actions[i].name)
	}
	return Script{
		Name:      strings.Join(names, " + "),
		Configure: func(c *Cluster) { c.ApplySlack = 2 * time.Second },
		Run: func(c *Cluster, _ *rand.Rand) error {
			turns := map[string]host.ChannelMutex{}
			for _, a := range actions {
				turns[a.group] = host.NewChannelMutex()
			}
			done := make(chan error, len(list))
			for n, i := range list {
				own := rand.New(rand.NewPCG(seed, uint64(n)))
				go func() {
					time.Sleep(randomDuration(own, 0, 4000))
					if t := actions[i].group; t != "" {
						// A zone that is away takes a disk machine with it.
						for _, turn := range []string{"disk", "zone", "links"} {
							if turn == t || t == "zone" && turn == "disk" {
								turns[turn].Lock()
								defer turns[turn].Unlock()
							}
						}
					}
					done <- actions[i].run(c, own, fmt.Sprintf("op%d", n))
				}()
			}
			var err error
			for range list {
				err = errors.Join(err, <-done)
			}
			return err
		},
	}
}
