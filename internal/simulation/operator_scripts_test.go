// Scripts of operator and platform actions: zones are evacuated, workers leave, the configuration changes, and
// processes are restarted one by one. Most scripts combine the actions with failures.

package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
)

// ownerOf returns the running router that owns the ownership key of a worker, or the first router if none does.
func ownerOf(c *Cluster, id ids.WorkerID) *Process {
	for _, p := range c.ProcessesOf("router") {
		if p.Up && slices.Contains(ownedKeys(p), fleetstate.WorkerKey(id)) {
			return p
		}
	}
	return c.ProcessesOf("router")[0]
}

// ownerOfPrefillAndDecodeWorkers returns a router that owns workers of both roles and so could serve a request
// without its peers. If there is none, it returns the fourth router.
func ownerOfPrefillAndDecodeWorkers(c *Cluster) *Process {
	for _, p := range c.ProcessesOf("router") {
		namePrefixes := map[byte]bool{}
		for _, k := range ownedKeys(p) {
			if id, ok := strings.CutPrefix(string(k), "worker/"); ok {
				namePrefixes[id[0]] = true
			}
		}
		if namePrefixes['p'] && namePrefixes['d'] {
			return p
		}
	}
	return c.ProcessesOf("router")[3]
}

// sendInBackground sends 60 requests to one router, one every 50 ms for three seconds.
func sendInBackground(c *Cluster, p *Process) {
	for i := range 60 {
		go func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			c.stream(p, api.StreamRequest{
				Kind:      c.Site.Classes[1].Kind,
				Prompt:    fmt.Sprint("is it still so ", i),
				MaxTokens: 2,
			})
		}()
	}
}

// evacuateFor evacuates a zone, waits for the duration and ends the evacuation.
func evacuateFor(c *Cluster, zone ids.Zone, op string, duration time.Duration) error {
	if err := setEvacuated(c, zone, op+"-out", true); err != nil {
		return err
	}
	time.Sleep(duration)
	return setEvacuated(c, zone, op+"-back", false)
}

// restartGracefully restarts a router as the platform does: it requests a shutdown, kills the process after
// 3.5 s, starts it again and waits up to 8 s until it is ready.
func restartGracefully(c *Cluster, p *Process) error {
	p.Shutdown()
	time.Sleep(3500 * time.Millisecond)
	c.Kill(p)
	if err := c.Start(p); err != nil {
		return err
	}
	if !c.WaitUntil(8*time.Second, func() bool { ok, _ := p.Node.Ready(); return ok }) {
		return fmt.Errorf("%s did not become ready again", p.Name)
	}
	return nil
}

// growConfiguration makes the configuration large by eight partial changes. Between them, it sends random
// routers invalid changes and changes based on an outdated version, which must not be accepted.
func growConfiguration(c *Cluster, r *rand.Rand) error {
	for round := range 8 {
		kinds, workers := map[string]any{}, map[string]any{}
		for i := range 120 {
			kinds[fmt.Sprintf("kind-%d-%d", round, i)] = map[string]any{"model": c.Site.Model, "maxTokens": 8}
		}
		for i := range 15 {
			workers[fmt.Sprintf("ghost-%d-%d", round, i)] = map[string]any{
				"part":    "decode",
				"model":   "ghost",
				"weights": "g",
				"room":    9,
				"zone":    c.Site.Zones[i%3],
			}
		}
		if round > 3 {
			kinds[fmt.Sprintf("kind-%d-7", round-3)], workers[fmt.Sprintf("ghost-%d-7", round-3)] = nil, nil
		}
		state := newestActivePolicy(c)
		p := pickOne(r, c.ProcessesOf("router"))
		invalid := &api.ApplyRequest{
			Op:          fmt.Sprint("bad-", round),
			BaseVersion: state.Version,
			Partial:     true,
			Source:      `{"workers":{"p1":{"room":0}}}`,
		}
		if err := c.PostTo(p, "/v1/policy", invalid, nil); err == nil {
			return fmt.Errorf("round %d: an invalid partial configuration was accepted", round)
		}
		if err := applyPartial(c, fmt.Sprint("grow-", round), marshalPartial(map[string]any{
			"kinds":   kinds,
			"workers": workers,
		})); err != nil {
			return err
		}
		stale := &api.ApplyRequest{
			Op:          fmt.Sprint("late-", round),
			BaseVersion: state.Version,
			Partial:     true,
			Source:      `{"limits":{"queue":3}}`,
		}
		if err := c.PostTo(pickOne(r, c.ProcessesOf("router")), "/v1/policy", stale, nil); err == nil {
			return fmt.Errorf("round %d: a partial configuration based on an old version was accepted", round)
		}
	}
	return nil
}

// OperatorScripts evacuate zones, remove workers, change the configuration and restart all processes of a type
// one by one.
var OperatorScripts = []Script{
	{Name: "evacuation-while-leader-restarts", Run: func(c *Cluster, r *rand.Rand) error {
		p := leader(c)
		done := make(chan error, 1)
		go func() {
			time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
			done <- evacuateFor(c, pickOne(r, c.Site.Zones), "die", 7*time.Second)
		}()
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
		c.Kill(p)
		time.Sleep(4 * time.Second)
		return errors.Join(c.Start(p), <-done)
	}},
	{Name: "evacuations-by-two-operators", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		zoneOrder := r.Perm(len(c.Site.Zones))
		var wg sync.WaitGroup
		errs := make([]error, 3)
		// Two operators evacuate one zone each, and one of them also evacuates the zone of the other.
		for i, z := range []int{zoneOrder[0], zoneOrder[1], zoneOrder[1]} {
			wg.Go(func() { errs[i] = evacuateFor(c, c.Site.Zones[z], fmt.Sprint("two-", i), 7*time.Second) })
		}
		wg.Wait()
		return errors.Join(errs...)
	}},
	{Name: "evacuation-with-owner-partitioned", Run: func(c *Cluster, r *rand.Rand) error {
		randomPause(r)
		// The partitioned router is also the first one to which operator requests are sent.
		w, p := pickOne(r, c.ProcessesOf("worker")), c.ProcessesOf("router")[0]
		for _, o := range c.ProcessesOf("worker") {
			if ownerOf(c, ids.WorkerID(o.Name)) == p {
				w = o
			}
		}
		peers := append(addresses(c.ProcessesOf("controller")...), addresses(c.ProcessesOf("router")...)...)
		c.World.Partition(addresses(p), peers, true)
		err := evacuateFor(c, w.Zone, "cut", 7*time.Second)
		c.World.Partition(addresses(p), peers, false)
		return err
	}},
	{Name: "worker-leaves-while-owner-partitioned-from-platform", Run: func(c *Cluster, r *rand.Rand) error {
		w := pickOne(r, c.ProcessesOf("worker"))
		p := ownerOf(c, ids.WorkerID(w.Name))
		// 10.8.0.1 is the address of the platform.
		c.World.Partition(addresses(p), []string{"10.8.0.1"}, true)
		time.Sleep(time.Second)
		c.Platform.MarkLeaving(ids.WorkerID(w.Name))
		c.Recorder.RecordScriptEvent("leave", w.Name)
		// The platform directs no clients to this router now, but clients that know its address still use it.
		for i := range 40 {
			c.stream(p, api.StreamRequest{
				Kind:      c.Site.Classes[1].Kind,
				Prompt:    fmt.Sprint("who still comes here ", i),
				MaxTokens: 4,
			})
			time.Sleep(100 * time.Millisecond)
		}
		c.World.Partition(addresses(p), []string{"10.8.0.1"}, false)
		return nil
	}},
	{Name: "worker-leaves-while-leader-and-owner-restart", Run: func(c *Cluster, r *rand.Rand) error {
		w := pickOne(r, c.ProcessesOf("worker"))
		p, l := ownerOf(c, ids.WorkerID(w.Name)), leader(c)
		c.Platform.MarkLeaving(ids.WorkerID(w.Name))
		c.Recorder.RecordScriptEvent("leave", w.Name)
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
		c.Kill(l)
		c.Kill(p)
		time.Sleep(5 * time.Second)
		return errors.Join(c.Start(l), c.Start(p))
	}},
	{Name: "configuration-changes-while-router-partitioned-from-peers", Run: func(c *Cluster, r *rand.Rand) error {
		// Clients and workers still reach the router, but it receives no configuration changes.
		p := ownerOfPrefillAndDecodeWorkers(c)
		peers := append(addresses(c.ProcessesOf("controller")...), addresses(c.ProcessesOf("router")...)...)
		for n := range 3 {
			c.World.Partition(addresses(p), peers, true)
			sendInBackground(c, p)
			randomPause(r)
			for k := range 3 {
				if err := changeRetryAfter(c, fmt.Sprintf("alone-%d-%d", n, k), 6000+10*n+k); err != nil {
					return err
				}
			}
			time.Sleep(time.Second)
			c.World.Partition(addresses(p), peers, false)
			time.Sleep(time.Second)
		}
		return nil
	}},
	{Name: "configuration-grows", Run: growConfiguration, AllMustComplete: true},
	{
		Name:            "routers-restarted-one-by-one",
		LoadDuration:    38 * time.Second,
		AllMustComplete: true,
		Run: func(c *Cluster, _ *rand.Rand) error {
			for _, p := range c.ProcessesOf("router") {
				if err := restartGracefully(c, p); err != nil {
					return err
				}
			}
			return nil
		},
	},
	{
		Name:            "workers-and-controllers-restarted-one-by-one",
		LoadDuration:    45 * time.Second,
		AllMustComplete: true,
		Run: func(c *Cluster, r *rand.Rand) error {
			for _, p := range c.ProcessesOf("controller") {
				if err := restartAfter(c, p, 2*time.Second, false); err != nil {
					return err
				}
				time.Sleep(2 * time.Second)
			}
			for _, p := range c.ProcessesOf("worker") {
				id := ids.WorkerID(p.Name)
				c.Platform.MarkLeaving(id)
				c.Recorder.RecordScriptEvent("leave", p.Name)
				if !c.WaitUntil(6*time.Second, func() bool { return p.Worker.UsedBlocks() == 0 }) {
					return fmt.Errorf("%s did not drain", p.Name)
				}
				time.Sleep(time.Second)
				c.Kill(p)
				c.Recorder.RecordScriptEvent("return", p.Name)
				c.Platform.RemoveWorker(id)
				time.Sleep(500 * time.Millisecond)
				if err := c.Start(p); err != nil {
					return err
				}
			}
			return nil
		},
	},
}
