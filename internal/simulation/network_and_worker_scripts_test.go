// Scripts that inject failures of links, clocks and workers, or change the fleet as operators do.

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

func addresses(list ...*Process) []string {
	var out []string
	for _, p := range list {
		out = append(out, p.Machine.IP)
	}
	return out
}

// addressesExcept returns the addresses of the clients' machine, 10.9.0.1, and of all processes except p.
func (c *Cluster) addressesExcept(p *Process) []string {
	out := []string{"10.9.0.1"}
	for _, o := range c.Processes {
		if o != p {
			out = append(out, o.Machine.IP)
		}
	}
	return out
}

// NetworkAndWorkerScripts are scripts with failures of links, clocks or workers, or with operators' changes.
var NetworkAndWorkerScripts = []Script{
	{Name: "leader-partitioned-from-controllers", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		p := leader(c)
		var rest []string
		for _, o := range c.ProcessesOf("controller") {
			if o != p {
				rest = append(rest, o.Machine.IP)
			}
		}
		c.World.Partition(addresses(p), rest, true)
		time.Sleep(6 * time.Second)
		c.World.Partition(addresses(p), rest, false)
		time.Sleep(2 * time.Second)
		return changeRetryAfter(c, "after-split", 2200)
	}},
	{Name: "leader-blocked-in-one-direction", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		p := leader(c)
		rest := c.addressesExcept(p)
		if r.IntN(2) == 0 {
			c.World.Block(addresses(p), rest, true)
		} else {
			c.World.Block(rest, addresses(p), true)
		}
		time.Sleep(6 * time.Second)
		c.World.Partition(addresses(p), rest, false)
		return nil
	}},
	{Name: "router-isolated-from-peers", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		p := pickOne(r, c.ProcessesOf("router"))
		// Workers and clients can still reach the router, but controllers and other routers can't.
		peers := append(addresses(c.ProcessesOf("controller")...), addresses(c.ProcessesOf("router")...)...)
		c.World.Partition(addresses(p), peers, true)
		time.Sleep(7 * time.Second)
		c.World.Partition(addresses(p), peers, false)
		return nil
	}},
	{Name: "all-leases-expire", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		c.PartitionControllers(true)
		time.Sleep(time.Duration(4000+r.IntN(3000)) * time.Millisecond)
		c.PartitionControllers(false)
		return nil
	}},
	{Name: "clocks-jump", Run: func(c *Cluster, r *rand.Rand) error {
		for range 6 {
			randomPause(r)
			pickOne(
				r, append(c.ProcessesOf("router"), c.ProcessesOf("controller")...),
			).Machine.JumpClock(time.Duration(1+r.IntN(20)) * time.Second)
		}
		return nil
	}},
	{Name: "workers-crash", Run: func(c *Cluster, r *rand.Rand) error {
		for range 3 {
			randomPause(r)
			p := pickOne(r, c.ProcessesOf("worker"))
			c.Kill(p)
			time.Sleep(2500 * time.Millisecond)
			if err := c.Start(p); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "worker-unresponsive", Run: func(c *Cluster, r *rand.Rand) error {
		for range 2 {
			randomPause(r)
			p := pickOne(r, c.ProcessesOf("worker"))
			if r.IntN(2) == 0 {
				p.Machine.Freeze(true)
				time.Sleep(4 * time.Second)
				p.Machine.Freeze(false)
			} else {
				p.Worker.SetFaults(standin.Faults{Unresponsive: true})
				time.Sleep(4 * time.Second)
				p.Worker.SetFaults(standin.Faults{})
			}
		}
		return nil
	}},
	{Name: "links-slow-then-worker-lost", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		for _, p := range c.ProcessesOf("worker") {
			if r.IntN(2) == 0 {
				p.Worker.SetFaults(standin.Faults{TransferRate: 100_000 + r.IntN(400_000)})
			}
		}
		time.Sleep(time.Second)
		p := pickOne(r, c.ProcessesOf("worker"))
		c.Kill(p)
		time.Sleep(3 * time.Second)
		for _, o := range c.ProcessesOf("worker") {
			o.Worker.SetFaults(standin.Faults{})
		}
		return c.Start(p)
	}},
	{Name: "kv-cache-lost-or-corrupted", Run: func(c *Cluster, r *rand.Rand) error {
		for _, p := range c.ProcessesOf("worker")[:3] {
			p.Worker.SetFaults(standin.Faults{Drop: r.IntN(2) == 0, Corrupt: true})
		}
		time.Sleep(3 * time.Second)
		for _, p := range c.ProcessesOf("worker")[:3] {
			p.Worker.SetFaults(standin.Faults{})
		}
		return nil
	}},
	{Name: "worker-sends-garbage", Run: func(c *Cluster, r *rand.Rand) error {
		p := pickOne(r, c.ProcessesOf("worker"))
		p.Worker.SetFaults(standin.Faults{Garbage: true})
		time.Sleep(3 * time.Second)
		p.Worker.SetFaults(standin.Faults{})
		return nil
	}},
	{
		Name: "reports-delayed",
		Run: func(c *Cluster, r *rand.Rand) error {
			for _, p := range c.ProcessesOf("worker") {
				p.Worker.SetFaults(standin.Faults{ReportLagMs: 450})
			}
			time.Sleep(5 * time.Second)
			return nil
		},
		Configure: func(c *Cluster) { c.TuneWorker = func(o *standin.WorkerOptions) { o.Capacity = 140 } },
	},
	{
		Name: "workers-leave",
		Run: func(c *Cluster, r *rand.Rand) error {
			for _, id := range []string{"p1", "d1"} {
				randomPause(r)
				c.Platform.MarkLeaving(ids.WorkerID(id))
				c.Recorder.RecordScriptEvent("leave", id)
			}
			time.Sleep(5 * time.Second)
			return nil
		},
		AllMustComplete: true,
	},
	{
		Name: "zone-evacuated-and-restored",
		Run: func(c *Cluster, r *rand.Rand) error {
			randomPause(r)
			z := pickOne(r, c.Site.Zones)
			if err := setEvacuated(c, z, "out", true); err != nil {
				return err
			}
			time.Sleep(7 * time.Second)
			return setEvacuated(c, z, "back", false)
		},
		AllMustComplete: true,
	},
	{
		Name: "operators-race",
		Run: func(c *Cluster, r *rand.Rand) error {
			for n := range 4 {
				var wg sync.WaitGroup
				var mu sync.Mutex
				acknowledged := 0
				state := newestActivePolicy(c)
				for k := range 2 {
					wg.Go(func() {
						part := fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, 3000+10*n+k)
						text, _ := mergedText(state, part)
						got := &api.ApplyResponse{}
						p := c.ProcessesOf("router")[k]
						err := c.PostTo(p, "/v1/policy", &api.ApplyRequest{
							Op:          fmt.Sprintf("race-%d-%d", n, k),
							BaseVersion: state.Version,
							Partial:     true,
							Source:      part,
						}, got)
						if err != nil {
							c.Recorder.RecordRefused(text)
							return
						}
						c.Recorder.RecordAck(ids.Version(got.Version), text)
						mu.Lock()
						acknowledged++
						mu.Unlock()
					})
				}
				wg.Wait()
				if acknowledged != 1 {
					return fmt.Errorf("round %d: %d of two concurrent changes were acknowledged", n, acknowledged)
				}
				c.WaitUntil(3*time.Second, func() bool { return c.ProcessesOf("router")[0].Node.CurrentPolicy().Version > state.Version })
			}
			return nil
		},
		AllMustComplete: true,
	},
	{
		Name: "many-configuration-changes",
		Run: func(c *Cluster, r *rand.Rand) error {
			for n := range 25 {
				if err := changeRetryAfter(c, fmt.Sprintf("storm-%d", n), 4000+n); err != nil {
					return fmt.Errorf("change %d: %w", n, err)
				}
			}
			return nil
		},
		AllMustComplete: true,
	},
	{Name: "configuration-changes-with-a-router-partitioned-from-controllers", Run: func(c *Cluster, r *rand.Rand) error {
		p := ownerOfPrefillAndDecodeWorkers(c)
		controllers := addresses(c.ProcessesOf("controller")...)
		c.World.Partition(addresses(p), controllers, true)
		sendInBackground(c, p)
		for n := range 4 {
			if err := changeRetryAfter(c, fmt.Sprintf("cut-%d", n), 5000+n); err != nil {
				return err
			}
		}
		c.World.Partition(addresses(p), controllers, false)
		return nil
	}},
}
