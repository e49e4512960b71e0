// A script injects failures into a fleet under load, or changes the fleet as an operator does. Random numbers
// derived from the trial's seed choose the affected machines and most of the delays. This file has the scripts with
// failures of machines and disks; network_and_worker_scripts_test.go and operator_scripts_test.go have the others.

package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Script injects failures into a fleet or changes it. Run is called while the load is sent, and returns after the
// last failure or change; some failures last until the end of the trial.
type Script struct {
	Name            string
	Run             func(c *Cluster, r *rand.Rand) error
	Configure       func(c *Cluster) // called before the fleet starts, if set
	Bound           time.Duration    // longest permitted outage; 0 means 12 s
	AllMustComplete bool             // every request must complete
	LoadDuration    time.Duration    // minimum duration of the load that is generated while Run executes
}

func pickOne[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

func randomPause(r *rand.Rand) { time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond) }

// follower returns a random running controller that isn't the leader.
func follower(c *Cluster, r *rand.Rand) *Process {
	var rest []*Process
	for _, p := range c.ProcessesOf("controller") {
		if p.Up && !p.Core.Leads() {
			rest = append(rest, p)
		}
	}
	return pickOne(r, rest)
}

// leader waits up to 5 s for a leader and returns it. If there is none, it returns the first controller.
func leader(c *Cluster) *Process {
	c.WaitUntil(5*time.Second, func() bool { return c.Leader() != nil })
	if p := c.Leader(); p != nil {
		return p
	}
	return c.ProcessesOf("controller")[0]
}

// MachineScripts are scripts in which processes or machines are killed, lost, replaced, frozen or slow.
var MachineScripts = []Script{
	{Name: "leader-killed", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		p := leader(c)
		c.Kill(p)
		time.Sleep(5 * time.Second)
		return c.Start(p)
	}},
	{Name: "leader-loses-power", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		p := leader(c)
		c.PowerOff(p)
		time.Sleep(6 * time.Second)
		return c.Start(p)
	}},
	{Name: "follower-loses-power", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		c.PowerOff(follower(c, r))
		return changeRetryAfter(c, "after-loss", 1200)
	}},
	{Name: "power-lost-right-after-ack", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		if err := changeRetryAfter(c, "before-loss", 1300); err != nil {
			return err
		}
		p := leader(c)
		c.PowerOff(p)
		time.Sleep(5 * time.Second)
		return c.Start(p)
	}},
	{Name: "leader-replaced-with-empty-disk", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		if err := changeRetryAfter(c, "before-wipe", 1400); err != nil {
			return err
		}
		p := leader(c)
		c.PowerOff(p)
		p.Machine.WipeDisk()
		time.Sleep(time.Second)
		c.add(c.Controller("controller-new", "10.1.0.9:700", p.Zone))
		time.Sleep(7 * time.Second)
		return changeRetryAfter(c, "after-wipe", 1500)
	}},
	{
		Name:  "rolling-replacement",
		Bound: 12 * time.Second,
		Run: func(c *Cluster, r *rand.Rand) error {
			previous := append([]*Process(nil), c.ProcessesOf("controller")...)
			r.Shuffle(len(previous), func(i, j int) { previous[i], previous[j] = previous[j], previous[i] })
			for i, p := range previous {
				if err := changeRetryAfter(c, fmt.Sprintf("roll-%d", i), 1600+i); err != nil {
					return fmt.Errorf("before round %d: %w", i, err)
				}
				c.PowerOff(p)
				p.Machine.WipeDisk()
				c.add(c.Controller(fmt.Sprintf("controller-r%d", i), fmt.Sprintf("10.1.0.%d:700", 20+i), p.Zone))
				time.Sleep(9 * time.Second)
			}
			if err := changeRetryAfter(c, "roll-last", 1700); err != nil {
				return fmt.Errorf("after the rounds: %w", err)
			}
			return nil
		},
	},
	{Name: "all-controllers-restart", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		if err := changeRetryAfter(c, "before-total", 1800); err != nil {
			return err
		}
		for _, p := range c.ProcessesOf("controller") {
			c.PowerOff(p)
		}
		time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
		for _, p := range c.ProcessesOf("controller") {
			if err := c.Start(p); err != nil {
				return err
			}
			randomPause(r)
		}
		time.Sleep(5 * time.Second)
		return changeRetryAfter(c, "after-total", 1900)
	}},
	{Name: "zone-lost", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		z := pickOne(r, c.Site.Zones)
		for _, p := range c.Processes {
			if p.Zone == z {
				c.PowerOff(p)
			}
		}
		return nil
	}},
	{Name: "routers-killed", Run: func(c *Cluster, r *rand.Rand) error {
		for range 3 {
			randomPause(r)
			p := pickOne(r, c.ProcessesOf("router"))
			c.Kill(p)
			time.Sleep(1500 * time.Millisecond)
			if err := c.Start(p); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "everything-but-workers-killed", Run: func(c *Cluster, r *rand.Rand) error {
		for _, p := range append(c.ProcessesOf("controller"), c.ProcessesOf("router")...) {
			c.Kill(p)
		}
		time.Sleep(200 * time.Millisecond)
		for _, p := range append(c.ProcessesOf("controller"), c.ProcessesOf("router")...) {
			if err := c.Start(p); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "leader-and-router-freeze", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		p, router := leader(c), pickOne(r, c.ProcessesOf("router"))
		p.Machine.Freeze(true)
		router.Machine.Freeze(true)
		time.Sleep(time.Duration(2000+r.IntN(5000)) * time.Millisecond)
		p.Machine.Freeze(false)
		router.Machine.Freeze(false)
		return nil
	}},
	{Name: "disk-stalls", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		p := pickOne(r, c.ProcessesOf("controller"))
		p.Machine.StallDisk(true)
		time.Sleep(6 * time.Second)
		p.Machine.StallDisk(false)
		time.Sleep(3 * time.Second)
		return changeRetryAfter(c, "after-stall", 2000)
	}},
	{Name: "slow-disks", Run: func(c *Cluster, r *rand.Rand) error {
		for _, p := range c.ProcessesOf("controller") {
			p.Machine.SetDiskDelay(time.Duration(20+r.IntN(120)) * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		return changeRetryAfter(c, "slow-disk", 2100)
	}},
	{Name: "leader-router-and-worker-lost", Run: func(c *Cluster, r *rand.Rand) error {
		time.Sleep(9 * time.Second)
		c.PowerOff(leader(c))
		c.Kill(pickOne(r, c.ProcessesOf("router")))
		c.Kill(pickOne(r, c.ProcessesOf("worker")))
		return nil
	}},
}
