// Scripts are the brief's failures, each a function over a fleet under load. A
// seed picks whom a script strikes. This file holds those of machines, disks
// and the core; others_test.go those of links, clocks, workers and operators.

package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Script breaks a fleet. It runs beside the load and may take its time; it
// returns when the last breakdown has been caused or healed.
type Script struct {
	Name  string
	Run   func(c *Cluster, r *rand.Rand) error
	Tune  func(c *Cluster)
	Bound time.Duration // service must be back within it; 12 s unless set
	Calm  bool          // nothing may break or be lost to callers
	Span  time.Duration // of the load beside it, if it needs another than the trial's
}

func hit[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

func pause(r *rand.Rand) { time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond) }

// follower is a controller that does not lead.
func follower(c *Cluster, r *rand.Rand) *Process {
	var rest []*Process
	for _, b := range c.Of("controller") {
		if b.Up && !b.Core.Leads() {
			rest = append(rest, b)
		}
	}
	return hit(r, rest)
}

func leader(c *Cluster) *Process {
	c.Until(5*time.Second, func() bool { return c.Leader() != nil })
	if b := c.Leader(); b != nil {
		return b
	}
	return c.Of("controller")[0]
}

// Machines are the scripts of killed, lost and replaced machines.
var Machines = []Script{
	{Name: "leader-killed", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		b := leader(c)
		c.Kill(b)
		time.Sleep(5 * time.Second)
		return c.Start(b)
	}},
	{Name: "leader-loses-power", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		b := leader(c)
		c.PowerOff(b)
		time.Sleep(6 * time.Second)
		return c.Start(b)
	}},
	{Name: "follower-loses-power", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		c.PowerOff(follower(c, r))
		return change(c, "after-loss", 1200)
	}},
	{Name: "power-lost-right-after-ack", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		if err := change(c, "before-loss", 1300); err != nil {
			return err
		}
		b := leader(c)
		c.PowerOff(b)
		time.Sleep(5 * time.Second)
		return c.Start(b)
	}},
	{Name: "leader-replaced-by-empty", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		if err := change(c, "before-wipe", 1400); err != nil {
			return err
		}
		b := leader(c)
		c.PowerOff(b)
		b.Machine.WipeDisk()
		time.Sleep(time.Second)
		c.add(c.Controller("controller-new", "10.1.0.9:700", b.Zone))
		time.Sleep(7 * time.Second)
		return change(c, "after-wipe", 1500)
	}},
	{
		Name:  "rolling-replacement",
		Bound: 12 * time.Second,
		Run: func(c *Cluster, r *rand.Rand) error {
			previous := append([]*Process(nil), c.Of("controller")...)
			r.Shuffle(len(previous), func(i, j int) { previous[i], previous[j] = previous[j], previous[i] })
			for i, b := range previous {
				if err := change(c, fmt.Sprintf("roll-%d", i), 1600+i); err != nil {
					return fmt.Errorf("before round %d: %w", i, err)
				}
				c.PowerOff(b)
				b.Machine.WipeDisk()
				c.add(c.Controller(fmt.Sprintf("controller-r%d", i), fmt.Sprintf("10.1.0.%d:700", 20+i), b.Zone))
				time.Sleep(9 * time.Second)
			}
			if err := change(c, "roll-last", 1700); err != nil {
				return fmt.Errorf("after the rounds: %w", err)
			}
			return nil
		},
	},
	{Name: "core-restarts-whole", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		if err := change(c, "before-total", 1800); err != nil {
			return err
		}
		for _, b := range c.Of("controller") {
			c.PowerOff(b)
		}
		time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
		for _, b := range c.Of("controller") {
			if err := c.Start(b); err != nil {
				return err
			}
			pause(r)
		}
		time.Sleep(5 * time.Second)
		return change(c, "after-total", 1900)
	}},
	{Name: "zone-lost", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		z := hit(r, c.Site.Zones)
		for _, b := range c.Processes {
			if b.Zone == z {
				c.PowerOff(b)
			}
		}
		return nil
	}},
	{Name: "routers-killed", Run: func(c *Cluster, r *rand.Rand) error {
		for range 3 {
			pause(r)
			b := hit(r, c.Of("router"))
			c.Kill(b)
			time.Sleep(1500 * time.Millisecond)
			if err := c.Start(b); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "everything-but-workers-killed", Run: func(c *Cluster, r *rand.Rand) error {
		for _, b := range append(c.Of("controller"), c.Of("router")...) {
			c.Kill(b)
		}
		time.Sleep(200 * time.Millisecond)
		for _, b := range append(c.Of("controller"), c.Of("router")...) {
			if err := c.Start(b); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "leader-and-router-freeze", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		b, v := leader(c), hit(r, c.Of("router"))
		b.Machine.Freeze(true)
		v.Machine.Freeze(true)
		time.Sleep(time.Duration(2000+r.IntN(5000)) * time.Millisecond)
		b.Machine.Freeze(false)
		v.Machine.Freeze(false)
		return nil
	}},
	{Name: "disk-stalls", Run: func(c *Cluster, r *rand.Rand) error {
		pause(r)
		b := hit(r, c.Of("controller"))
		b.Machine.StallDisk(true)
		time.Sleep(6 * time.Second)
		b.Machine.StallDisk(false)
		time.Sleep(3 * time.Second)
		return change(c, "after-stall", 2000)
	}},
	{Name: "slow-disks", Run: func(c *Cluster, r *rand.Rand) error {
		for _, b := range c.Of("controller") {
			b.Machine.SetDiskDelay(time.Duration(20+r.IntN(120)) * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		return change(c, "slow-disk", 2100)
	}},
	{Name: "closing-fault", Run: func(c *Cluster, r *rand.Rand) error {
		time.Sleep(9 * time.Second)
		c.PowerOff(leader(c))
		c.Kill(hit(r, c.Of("router")))
		c.Kill(hit(r, c.Of("worker")))
		return nil
	}},
}
