// Scripts of links, clocks, workers and operators.

package simulation

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/standin"
)

func ips(list ...*Process) []string {
	var out []string
	for _, b := range list {
		out = append(out, b.Machine.IP)
	}
	return out
}

func (c *Cluster) others(b *Process) []string {
	out := []string{"10.9.0.1"}
	for _, o := range c.Processes {
		if o != b {
			out = append(out, o.Machine.IP)
		}
	}
	return out
}

// Others are the scripts of links, clocks, workers and operators.
var Others = []Script{
	{Name: "core-split", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		b := leader(c)
		var rest []string
		for _, o := range c.Of("controller") {
			if o != b {
				rest = append(rest, o.Machine.IP)
			}
		}
		c.World.Partition(ips(b), rest, true)
		time.Sleep(6 * time.Second)
		c.World.Partition(ips(b), rest, false)
		time.Sleep(2 * time.Second)
		return change(c, "after-split", 2200)
	}},
	{Name: "leader-cut-one-way", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		b := leader(c)
		rest := c.others(b)
		if r.IntN(2) == 0 {
			c.World.Block(ips(b), rest, true)
		} else {
			c.World.Block(rest, ips(b), true)
		}
		time.Sleep(6 * time.Second)
		c.World.Partition(ips(b), rest, false)
		return nil
	}},
	{Name: "lone-router-cut", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		b := hit(r, c.Of("router"))
		// Its workers and callers still reach it: only its own kind does not.
		peers := append(ips(c.Of("controller")...), ips(c.Of("router")...)...)
		c.World.Partition(ips(b), peers, true)
		time.Sleep(7 * time.Second)
		c.World.Partition(ips(b), peers, false)
		return nil
	}},
	{Name: "all-leases-lapse", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		c.Apart(true)
		time.Sleep(time.Duration(4000+r.IntN(3000)) * time.Millisecond)
		c.Apart(false)
		return nil
	}},
	{Name: "clocks-leap", Run: func(c *Cluster, r *rand.Rand) error {
		for range 6 {
			pause(r)
			hit(
				r, append(c.Of("router"), c.Of("controller")...),
			).Machine.JumpClock(time.Duration(1+r.IntN(20)) * time.Second)
		}
		return nil
	}},
	{Name: "workers-crash", Run: func(c *Cluster, r *rand.Rand) error {
		for range 3 {
			pause(r)
			b := hit(r, c.Of("worker"))
			c.Kill(b)
			time.Sleep(2500 * time.Millisecond)
			if err := c.Start(b); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "worker-goes-dark", Run: func(c *Cluster, r *rand.Rand) error {
		for range 2 {
			pause(r)
			b := hit(r, c.Of("worker"))
			if r.IntN(2) == 0 {
				b.Machine.Freeze(true)
				time.Sleep(4 * time.Second)
				b.Machine.Freeze(false)
			} else {
				b.Worker.SetFaults(standin.Faults{Unresponsive: true})
				time.Sleep(4 * time.Second)
				b.Worker.SetFaults(standin.Faults{})
			}
		}
		return nil
	}},
	{Name: "links-slow-then-worker-lost", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		for _, b := range c.Of("worker") {
			if r.IntN(2) == 0 {
				b.Worker.SetFaults(standin.Faults{TransferRate: 100_000 + r.IntN(400_000)})
			}
		}
		time.Sleep(time.Second)
		b := hit(r, c.Of("worker"))
		c.Kill(b)
		time.Sleep(3 * time.Second)
		for _, o := range c.Of("worker") {
			o.Worker.SetFaults(standin.Faults{})
		}
		return c.Start(b)
	}},
	{Name: "memory-lost-or-spoilt", Run: func(c *Cluster, r *rand.Rand) error {
		for _, b := range c.Of("worker")[:3] {
			b.Worker.SetFaults(standin.Faults{Drop: r.IntN(2) == 0, Corrupt: true})
		}
		time.Sleep(3 * time.Second)
		for _, b := range c.Of("worker")[:3] {
			b.Worker.SetFaults(standin.Faults{})
		}
		return nil
	}},
	{Name: "worker-speaks-garbage", Run: func(c *Cluster, r *rand.Rand) error {
		b := hit(r, c.Of("worker"))
		b.Worker.SetFaults(standin.Faults{Garbage: true})
		time.Sleep(3 * time.Second)
		b.Worker.SetFaults(standin.Faults{})
		return nil
	}},
	{
		Name: "reports-lag",
		Run: func(c *Cluster, r *rand.Rand) error {
			for _, b := range c.Of("worker") {
				b.Worker.SetFaults(standin.Faults{ReportLagMs: 450})
			}
			time.Sleep(5 * time.Second)
			return nil
		},
		Tune: func(c *Cluster) { c.Tune = func(o *standin.WorkerOptions) { o.Capacity = 140 } },
	},
	{
		Name: "workers-leave",
		Run: func(c *Cluster, r *rand.Rand) error {
			for _, id := range []string{"p1", "d1"} {
				pause(r)
				c.Platform.MarkLeaving(ids.WorkerID(id))
				c.Recorder.Mark("leave", id)
			}
			time.Sleep(5 * time.Second)
			return nil
		},
		Calm: true,
	},
	{
		Name: "zone-evacuated-and-back",
		Run: func(c *Cluster, r *rand.Rand) error {
			pause(r)
			z := hit(r, c.Site.Zones)
			if err := empty(c, z, "out", true); err != nil {
				return err
			}
			time.Sleep(7 * time.Second)
			return empty(c, z, "back", false)
		},
		Calm: true,
	},
	{
		Name: "operators-race",
		Run: func(c *Cluster, r *rand.Rand) error {
			for n := range 4 {
				var wg sync.WaitGroup
				var mu sync.Mutex
				won := 0
				sh := shown(c)
				for k := range 2 {
					wg.Go(func() {
						part := fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, 3000+10*n+k)
						text, _ := expected(sh, part)
						got := &api.ApplyResponse{}
						b := c.Of("router")[k]
						err := c.At(b, "/v1/policy", &api.ApplyRequest{
							Op:      fmt.Sprintf("race-%d-%d", n, k),
							Base:    sh.Version,
							Partial: true,
							Source:  part,
						}, got)
						if err != nil {
							c.Recorder.Refuse(text)
							return
						}
						c.Recorder.Ack(ids.Version(got.Version), text)
						mu.Lock()
						won++
						mu.Unlock()
					})
				}
				wg.Wait()
				if won != 1 {
					return fmt.Errorf("round %d: %d of two racing operators won", n, won)
				}
				c.Until(3*time.Second, func() bool { return c.Of("router")[0].Node.Show().Version > sh.Version })
			}
			return nil
		},
		Calm: true,
	},
	{
		Name: "configuration-storm",
		Run: func(c *Cluster, r *rand.Rand) error {
			for n := range 25 {
				if err := change(c, fmt.Sprintf("storm-%d", n), 4000+n); err != nil {
					return fmt.Errorf("storm %d: %w", n, err)
				}
			}
			return nil
		},
		Calm: true,
	},
	{Name: "storm-with-a-node-cut-from-the-core", Run: func(c *Cluster, r *rand.Rand) error {
		b := able(c)
		core := ips(c.Of("controller")...)
		c.World.Partition(ips(b), core, true)
		insist(c, b)
		for n := range 4 {
			if err := change(c, fmt.Sprintf("cut-%d", n), 5000+n); err != nil {
				return err
			}
		}
		c.World.Partition(ips(b), core, false)
		return nil
	}},
}
