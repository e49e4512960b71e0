// The election loop decides whether this core bootstraps a cluster, adopts a newer record, stands for
// election, or waits.

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
	electionTick = 60 * time.Millisecond // delay between two iterations; a random delay of up to the same length is added
	longElection = time.Second           // more than an election takes that sends no snapshot
	// leavingElectionDelay is added to the wait of a replica that is shutting down, so that it leads only if no other does
	leavingElectionDelay = 2 * time.Second
)

// bootstrapPeers holds the set of replicas that bootstrap last found, and the tick since which that set has not
// changed.
type bootstrapPeers struct {
	replicas []Replica
	since    ids.Tick
}

func (c *Core) electionLoop(ctx context.Context) {
	idle := c.options.Host.Clock.Now()
	peers := &bootstrapPeers{}
	var notBefore ids.Tick // earliest start of the next election after one that a rival interrupted
	for c.awaitElectionTick(ctx) {
		now := c.options.Host.Clock.Now()
		record, _ := c.acceptedRecord()
		known := c.directory.Record()
		if f := c.directory.ForeignCluster(); f != "" && record.ClusterID != "" && c.outOfContactWithVoters(now, record) {
			c.fatal <- failure.New(failure.InvalidArgument, "meet peers", f,
				"this disk belongs to founding %s; the seeds belong to another", record.ClusterID)
			return
		}
		if record.ClusterID == "" {
			if known.ClusterID == "" {
				if !c.options.JoinOnly {
					c.bootstrap(ctx, peers)
					idle = c.options.Host.Clock.Now() // bootstrap may have returned only after a term as primary
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
		transferRequested := c.transferEpoch.Load() == uint64(record.Epoch)
		wait := c.electionWait(record, &idle)
		if !transferRequested && (!now.Past(idle, wait) || now.Before(notBefore)) {
			continue
		}
		elected, err := c.runBallot(ctx, ballotOptions{transfer: transferRequested})
		if err != nil {
			c.options.Ring.Warn().AnErr("cause", err).Msg("election failed")
			notBefore = c.electionBackoff(now)
			continue
		}
		c.lead(ctx, elected)
		idle = c.options.Host.Clock.Now()
	}
}

// electionWait returns how long after the tick idle this core waits before it stands for election. On a
// backup it first advances idle to when this core last heard from the primary.
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

// electionBackoff returns when this core may stand again after an election that began at the given
// tick and failed. If sending the state takes long, two candidates could interrupt each other's
// elections forever, so a candidate that has promised a newer epoch to a rival waits for a random
// time of up to twice the duration of its own election.
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

// awaitElectionTick waits until the election loop's next iteration is due or the loop is woken. It
// returns false once the context has ended.
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

// outOfContactWithVoters reports whether this core has heard from no voter of its cluster for 5 s.
func (c *Core) outOfContactWithVoters(now ids.Tick, record Record) bool {
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

// reloadPending reloads the state from disk if a failed disk operation requires it. It reports
// whether the state is still unusable because the reload failed.
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

// bootstrap creates a cluster's first record once enough replicas with empty disks have met (three,
// for a fault tolerance of 1) and all of them accept it. The replica with the lowest disk id
// proposes it, after the set of replicas has not changed for half an election timeout.
func (c *Core) bootstrap(ctx context.Context, peers *bootstrapPeers) {
	all, empty := c.directory.recentReplicas(2 * time.Second)
	n := 2*c.options.FaultTolerance + 1
	if len(all) != len(empty) || len(empty) < n-1 {
		return
	}
	list := append(empty, c.self)
	sort.Slice(list, func(i, j int) bool { return list[i].Disk < list[j].Disk })

	if now := c.options.Host.Clock.Now(); !slices.Equal(peers.replicas, list) {
		peers.replicas, peers.since = list, now
		return
	} else if list = spreadOverZones(list, n); list[0].Disk != c.self.Disk || !now.Past(
		peers.since, c.options.ElectionTimeout/2,
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
