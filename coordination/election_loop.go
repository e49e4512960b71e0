// The election loop decides what this core is: it founds, takes over, refits a lost
// backup, replaces a lost voter, or waits.

package coordination

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
)

const (
	electionTick = 60 * time.Millisecond // between two looks, and as much again by chance
	longElection = time.Second           // longer than an election takes that sends no snapshot
	// longer than others wait, since a replica that is about to end leads only if nobody else does
	leavingElectionDelay = 2 * time.Second
)

// encounter is who was met last, and since when nobody else.
type encounter struct {
	replicas []Replica
	since    ids.Tick
}

func (c *Core) electionLoop(ctx context.Context) {
	idle := c.options.Host.Clock.Now()
	met := &encounter{}
	var notBefore ids.Tick // of the next election after one that a rival cut short
	for c.awaitElectionTick(ctx) {
		now := c.options.Host.Clock.Now()
		record, _ := c.accepted()
		known := c.directory.Record()
		if f := c.directory.ForeignCluster(); f != "" && record.ClusterID != "" && c.orphaned(now, record) {
			c.fatal <- failure.New(failure.InvalidArgument, "meet peers", f,
				"this disk belongs to founding %s; the seeds to another", record.ClusterID)
			return
		}
		if record.ClusterID == "" {
			if known.ClusterID == "" {
				if !c.options.JoinOnly {
					c.bootstrap(ctx, met)
					idle = c.options.Host.Clock.Now() // it may have led all the while
				}
			} else if c.isDataReplica(known) {
				c.adoptRecord(known)
			}
			continue
		}
		if known.Epoch > record.Epoch && (c.adoptRecord(known) || !c.isDataReplica(known)) {
			idle = now
			continue
		}
		if c.store.pendingSteps.Load() > 0 || !c.isDataReplica(record) || c.reloadPending() {
			continue
		}
		asked := c.transferEpoch.Load() == uint64(record.Epoch)
		wait := c.electionWait(record, &idle)
		if !asked && (!now.Past(idle, wait) || now.Before(notBefore)) {
			continue
		}
		got, err := c.campaign(ctx, ballot{transfer: asked})
		if err != nil {
			c.options.Ring.Warn().AnErr("cause", err).Msg("election failed")
			notBefore = c.electionBackoff(now)
			continue
		}
		c.lead(ctx, got)
		idle = c.options.Host.Clock.Now()
	}
}

// electionWait gives for how long after the tick idle this core does not stand for election, and
// moves idle on to when a backup last heard the primary.
func (c *Core) electionWait(record Record, idle *ids.Tick) time.Duration {
	wait := time.Duration(0)
	if rank := record.backupRank(c.self.Disk); rank >= 0 {
		wait = c.options.ElectionTimeout + time.Duration(rank)*c.options.ElectionTimeout/3
		c.registerMu.Lock()
		if at, ok := c.lastHeard[record.Primary.Disk]; ok && idle.Before(at) {
			*idle = at
		}
		c.registerMu.Unlock()
	}
	if c.leaving.Load() {
		wait += leavingElectionDelay
	}
	return wait
}

// electionBackoff gives when this core may stand again after an election that began at a tick and
// failed. Where sending the state takes long, two candidates would cut each other's elections short
// for ever; so one that has promised a newer epoch to a rival waits at random for up to twice the
// time that it has spent.
func (c *Core) electionBackoff(began ids.Tick) ids.Tick {
	now := c.options.Host.Clock.Now()
	spent := now.Since(began)
	c.registerMu.Lock()
	defer c.registerMu.Unlock()
	rival := c.register.PromisedTo != c.self.Disk && c.register.Promised > c.register.Accepted.Epoch
	if !rival || spent < longElection {
		return now
	}
	return now.Add(rand.N(2 * spent))
}

// awaitElectionTick waits for the election loop's next look, or until it is woken; it is false once the context
// has ended.
func (c *Core) awaitElectionTick(ctx context.Context) bool {
	t := host.NewTimer(electionTick + rand.N(electionTick))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.wakeElection:
	case <-t.C:
	}
	return true
}

// orphaned: none of the own fleet's voters was heard for a while.
func (c *Core) orphaned(now ids.Tick, record Record) bool {
	c.registerMu.Lock()
	defer c.registerMu.Unlock()
	for _, s := range record.Voters {
		if at, ok := c.lastHeard[s.Disk]; ok && !now.Past(at, 5*time.Second) {
			return false
		}
	}
	all, _ := c.directory.recentReplicas(5 * time.Second)
	for _, s := range all {
		if containsDisk(record.Voters, s.Disk) {
			return false
		}
	}
	return true
}

func (c *Core) isDataReplica(r Record) bool {
	return r.Primary.Disk == c.self.Disk || r.backupRank(c.self.Disk) >= 0
}

// soured data (a failed disk step) is read again from disk before it is used.
func (c *Core) reloadPending() bool {
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	if !c.reloadNeeded {
		return false
	}
	fresh := newReplicatedState(c.options.Machine())
	if err := c.store.load(fresh); err != nil {
		c.options.Ring.Error().AnErr("cause", err).Msg("disk reload failed")
		return true
	}
	c.state, c.reloadNeeded = fresh, false
	return false
}

// bootstrap makes the first record, only when enough empty disk machines have met (three, if
// one may be lost) and all of them accept it. The lowest identity proposes, once it heard
// of no other machine for a while.
func (c *Core) bootstrap(ctx context.Context, met *encounter) {
	all, blank := c.directory.recentReplicas(2 * time.Second)
	n := 2*c.options.FaultTolerance + 1
	if len(all) != len(blank) || len(blank) < n-1 {
		return
	}
	list := append(blank, c.self)
	sort.Slice(list, func(i, op int) bool { return list[i].Disk < list[op].Disk })
	if now := c.options.Host.Clock.Now(); !slices.Equal(met.replicas, list) {
		met.replicas, met.since = list, now
		return
	} else if list = spreadOverZones(list, n); list[0].Disk != c.self.Disk || !now.Past(
		met.since, c.options.ElectionTimeout/2,
	) {
		return
	}
	record := Record{Epoch: 1, ClusterID: "f-" + string(c.self.Disk), Primary: c.self, Voters: list}
	record.setBackups(list[1 : 1+c.options.FaultTolerance])
	c.dataMu.Lock()
	body, chunks := MustMarshal(c.state.snapshot(false)), chunksOf(c.state.machine)
	c.dataMu.Unlock()
	if c.bootstrapRecord(ctx, record, body, chunks) {
		c.lead(ctx, record)
	}
}
