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

// act is one thing that happens. Acts of the same turn wait for one another.
type act struct {
	name string
	turn string // disk, zone, links or none
	run  func(c *Cluster, r *rand.Rand, op string) error
}

func span(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+r.IntN(most-least)) * time.Millisecond
}

// cycle takes a box away for a while and starts it again.
func cycle(c *Cluster, b *Process, away time.Duration, power bool) error {
	if power {
		c.PowerOff(b)
	} else {
		c.Kill(b)
	}
	time.Sleep(away)
	return c.Start(b)
}

func running(c *Cluster, kind string) []*Process {
	var out []*Process
	for _, b := range c.Of(kind) {
		if b.Up {
			out = append(out, b)
		}
	}
	return out
}

// freely applies a change; one that another operator forestalled is no breakdown.
func freely(c *Cluster, op, part string) error {
	if err := alter(c, op, part); err != nil && !errors.Is(err, errLost) {
		return fmt.Errorf("%s: %w", op, err)
	}
	return nil
}

var acts = []act{
	{"leader killed", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
		return cycle(c, leader(c), span(r, 200, 4000), false)
	}},
	{"a controller's power lost", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
		return cycle(c, hit(r, running(c, "controller")), span(r, 500, 5000), true)
	}},
	{"leader lost in mid-takeover", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
		b := leader(c)
		c.Kill(b)
		time.Sleep(span(r, 900, 2200))
		if err := c.Start(b); err != nil {
			return err
		}
		if n := c.Leader(); n != nil {
			return cycle(c, n, span(r, 100, 600), false)
		}
		return nil
	}},
	{"disk wiped right after an acknowledgement", "disk", func(c *Cluster, r *rand.Rand, op string) error {
		if err := freely(
			c, op, partOf(map[string]any{"limits": map[string]any{"retryAfterMs": 1000 + r.IntN(900)}}),
		); err != nil {
			return err
		}
		b := leader(c)
		c.PowerOff(b)
		b.Machine.WipeDisk()
		time.Sleep(span(r, 100, 1500))
		c.add(c.Controller("controller-"+op, fmt.Sprintf("10.1.%d.%d:700", 1+r.IntN(200), 1+r.IntN(200)), b.Zone))
		time.Sleep(9 * time.Second)
		return nil
	}},
	{"every controller killed at once", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
		list := running(c, "controller")
		for _, b := range list {
			c.Kill(b)
		}
		for _, b := range list {
			time.Sleep(span(r, 10, 300))
			if err := c.Start(b); err != nil {
				return err
			}
		}
		return nil
	}},
	{"a disk stalls", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
		b := hit(r, running(c, "controller"))
		b.Machine.StallDisk(true)
		time.Sleep(span(r, 500, 5000))
		b.Machine.StallDisk(false)
		return nil
	}},
	{"a controller freezes and wakes", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
		b := hit(r, running(c, "controller"))
		b.Machine.Freeze(true)
		time.Sleep(span(r, 500, 5000))
		b.Machine.Freeze(false)
		return nil
	}},
	{"the core is split", "disk", func(c *Cluster, r *rand.Rand, _ string) error {
		b := leader(c)
		var rest []*Process
		for _, o := range c.Of("controller") {
			if o != b {
				rest = append(rest, o)
			}
		}
		c.World.Partition(ips(b), ips(rest...), true)
		time.Sleep(span(r, 1000, 5000))
		c.World.Partition(ips(b), ips(rest...), false)
		return nil
	}},
	{"slow disks", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for _, b := range c.Of("controller") {
			b.Machine.SetDiskDelay(span(r, 10, 120))
		}
		time.Sleep(span(r, 2000, 6000))
		for _, b := range c.Of("controller") {
			b.Machine.SetDiskDelay(time.Millisecond)
		}
		return nil
	}},
	{"nodes killed one by one", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for range 1 + r.IntN(3) {
			if err := cycle(c, hit(r, c.Of("router")), span(r, 100, 2500), false); err != nil {
				return err
			}
		}
		return nil
	}},
	{"a node freezes and wakes after its keys went elsewhere", "", func(c *Cluster, r *rand.Rand, _ string) error {
		b := hit(r, c.Of("router"))
		b.Machine.Freeze(true)
		time.Sleep(span(r, 3500, 6500))
		b.Machine.Freeze(false)
		return nil
	}},
	{"clocks leap", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for range 3 {
			hit(r, append(c.Of("router"), c.Of("controller")...)).Machine.JumpClock(span(r, 500, 20000))
			time.Sleep(span(r, 0, 900))
		}
		return nil
	}},
	{"a node cut from its kind", "links", func(c *Cluster, r *rand.Rand, _ string) error {
		b := hit(r, c.Of("router"))
		peers := append(ips(c.Of("controller")...), ips(c.Of("router")...)...)
		c.World.Partition(ips(b), peers, true)
		time.Sleep(span(r, 1000, 6000))
		c.World.Partition(ips(b), peers, false)
		return nil
	}},
	{"all leases lapse", "links", func(c *Cluster, r *rand.Rand, _ string) error {
		c.Apart(true)
		time.Sleep(span(r, 3000, 5500))
		c.Apart(false)
		return nil
	}},
	{"workers crash", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for range 1 + r.IntN(2) {
			if err := cycle(c, hit(r, c.Of("worker")), span(r, 300, 3000), false); err != nil {
				return err
			}
		}
		return nil
	}},
	{"links slow, then a controller dies with memory in flight", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for _, b := range c.Of("worker") {
			b.Worker.SetFaults(standin.Faults{TransferRate: 60_000 + r.IntN(300_000)})
		}
		time.Sleep(span(r, 300, 1200))
		err := cycle(c, hit(r, c.Of("router")), span(r, 200, 2500), false)
		for _, b := range c.Of("worker") {
			b.Worker.SetFaults(standin.Faults{})
		}
		return err
	}},
	{"memory lost or spoilt", "", func(c *Cluster, r *rand.Rand, _ string) error {
		b := hit(r, c.Of("worker"))
		b.Worker.SetFaults(standin.Faults{Drop: r.IntN(2) == 0, Corrupt: true})
		time.Sleep(span(r, 500, 3000))
		b.Worker.SetFaults(standin.Faults{})
		return nil
	}},
	{"reports lag", "", func(c *Cluster, r *rand.Rand, _ string) error {
		for _, b := range c.Of("worker") {
			b.Worker.SetFaults(standin.Faults{ReportLagMs: 450})
		}
		time.Sleep(span(r, 1000, 4000))
		for _, b := range c.Of("worker") {
			b.Worker.SetFaults(standin.Faults{})
		}
		return nil
	}},
	{"operators change much at once", "", func(c *Cluster, r *rand.Rand, op string) error {
		for i := range 4 {
			if err := freely(c, fmt.Sprint(op, "-", i), growth(r, op, i)); err != nil {
				return err
			}
		}
		return nil
	}},
	{"a zone emptied and taken back", "zone", func(c *Cluster, r *rand.Rand, op string) error {
		z := hit(r, c.Site.Zones)
		if err := empty(c, z, op+"-out", true); err != nil {
			return err
		}
		time.Sleep(span(r, 5500, 7500))
		return empty(c, z, op+"-back", false)
	}},
	{"a zone loses power", "zone", func(c *Cluster, r *rand.Rand, _ string) error {
		z := hit(r, c.Site.Zones)
		var gone []*Process
		for _, b := range append(append(c.Of("controller"), c.Of("router")...), c.Of("worker")...) {
			if b.Zone == z && b.Up {
				gone = append(gone, b)
				c.PowerOff(b)
			}
		}
		time.Sleep(span(r, 2000, 5000))
		for _, b := range gone {
			if err := c.Start(b); err != nil {
				return err
			}
		}
		return nil
	}},
	{"a worker leaves", "zone", func(c *Cluster, r *rand.Rand, _ string) error {
		id := hit(r, c.Site.WorkerIDs())
		c.Platform.MarkLeaving(id)
		c.Recorder.Mark("leave", string(id))
		time.Sleep(3 * time.Second)
		return nil
	}},
}

// growth is a partial configuration that adds to and takes from the catalogue, the
// kinds, the programs and the zones.
func growth(r *rand.Rand, op string, i int) string {
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
	return partOf(part)
}

// Together draws two to four acts for a seed and gives them as one script.
func Together(seed uint64) Script {
	r := rand.New(rand.NewPCG(seed, 2026))
	var names []string
	list := r.Perm(len(acts))[:2+r.IntN(3)]
	for _, i := range list {
		names = append(names, acts[i].name)
	}
	return Script{
		Name: strings.Join(names, " + "),
		Tune: func(c *Cluster) { c.Slack = 2 * time.Second },
		Run: func(c *Cluster, _ *rand.Rand) error {
			turns := map[string]host.ChannelMutex{}
			for _, a := range acts {
				turns[a.turn] = host.NewChannelMutex()
			}
			done := make(chan error, len(list))
			for n, i := range list {
				own := rand.New(rand.NewPCG(seed, uint64(n)))
				go func() {
					time.Sleep(span(own, 0, 4000))
					if t := acts[i].turn; t != "" {
						// A zone that is away takes a disk machine with it.
						for _, turn := range []string{"disk", "zone", "links"} {
							if turn == t || t == "zone" && turn == "disk" {
								turns[turn].Lock()
								defer turns[turn].Unlock()
							}
						}
					}
					done <- acts[i].run(c, own, fmt.Sprintf("op%d", n))
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
