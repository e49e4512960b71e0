// Tests of the decisions to change a worker's role.

package router

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/workerclient"
)

// newRoleBalanceFixture returns a node that sees the given numbers of prefill and decode workers,
// each with the given number of started requests.
func newRoleBalanceFixture(prefills, decodes, prefillStarted, decodeStarted int) (*Node, *fleetstate.Snapshot) {
	n := New(Options{Name: "n", Host: simulated.NewWorld(1).Machine("10.0.0.1").Start().Host()})
	s := &fleetstate.Snapshot{Configuration: &fleetstate.Configuration{
		RoleChangesEnabled: true,
		Workers:            map[ids.WorkerID]fleetstate.Worker{},
		Limits:             fleetstate.Limits{MinRoleDwellMs: 4000},
	}}
	statuses, endpoints := map[ids.WorkerID]WorkerStatus{}, map[ids.WorkerID]workerclient.ListedWorker{}
	for i := range prefills + decodes {
		role, started := ids.Prefill, prefillStarted
		if i >= prefills {
			role, started = ids.Decode, decodeStarted
		}
		id := ids.WorkerID(fmt.Sprintf("%s%d", role[:1], i))
		s.Configuration.Workers[id] = fleetstate.Worker{
			Role:    role,
			Model:   "m",
			Weights: "w",
			Zone:    ids.Zone(fmt.Sprint(i % 3)),
		}
		statuses[id] = WorkerStatus{
			ID:            id,
			Role:          role,
			Ready:         true,
			Free:          90,
			Capacity:      100,
			InFlight:      started,
			Started:       started,
			MaxConcurrent: 16,
		}
		endpoints[id] = workerclient.ListedWorker{ID: id}
	}
	n.workerStatuses.Store(&statuses)
	n.endpoints.Store(&endpoints)
	return n, s
}

func newRolePoolAt(n *Node) *rolePool {
	return &rolePool{lastChangeEndedAt: n.now(), pressure: map[ids.Role]float64{}}
}

// reportRole lets the worker of a role change report its new role.
func reportRole(n *Node, change routing.RoleChange) {
	st := (*n.workerStatuses.Load())[change.Worker]
	st.Role = change.To
	(*n.workerStatuses.Load())[change.Worker] = st
}

// runRoleBalancer has the node decide twice a second for the given time, applies its decisions and
// returns the new roles.
func runRoleBalancer(n *Node, s *fleetstate.Snapshot, duration time.Duration) []ids.Role {
	pool := newRolePoolAt(n)
	var out []ids.Role
	for end := n.now().Add(duration); n.now().Before(end); time.Sleep(roleChangeInterval) {
		if w, ok := n.pickRoleChange(s, "m", pool); ok {
			out = append(out, w.To)
			n.endRoleChange(pool, w)
			reportRole(n, w)
		}
	}
	return out
}

// awaitRoleChange has the node decide twice a second until it changes a role, and returns when that is.
func awaitRoleChange(t *testing.T, n *Node, s *fleetstate.Snapshot, pool *rolePool) (routing.RoleChange, ids.Tick) {
	for range 120 {
		if change, ok := n.pickRoleChange(s, "m", pool); ok {
			return change, n.now()
		}
		time.Sleep(roleChangeInterval)
	}
	require.Fail(t, "no role change in a minute")
	return routing.RoleChange{}, 0
}

// requireNoRoleChange has the node decide twice a second for the given time and requires that it changes no role.
func requireNoRoleChange(t *testing.T, n *Node, s *fleetstate.Snapshot, pool *rolePool, duration time.Duration) {
	for end := n.now().Add(duration); n.now().Before(end); time.Sleep(min(roleChangeInterval, end.Since(n.now()))) {
		_, ok := n.pickRoleChange(s, "m", pool)
		require.False(t, ok)
	}
}

// TestRoleChangeWaitsForTheLastOne guards against roles that change back and forth because a change was decided by
// counts of workers from before the last one.
func TestRoleChangeWaitsForTheLastOne(t *testing.T) {
	const dwell, drainTime, reportDelay = 4 * time.Second, 3 * time.Second, 1800 * time.Millisecond
	for name, reported := range map[string]bool{"the worker reports its role late": true, "the change fails": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, s := newRoleBalanceFixture(4, 6, 14, 0)
				pool := newRolePoolAt(n)
				first, _ := awaitRoleChange(t, n, s, pool)
				time.Sleep(drainTime)
				n.endRoleChange(pool, first)
				ended := n.now()
				wait := dwell
				if reported {
					wait = reportDelay
					requireNoRoleChange(t, n, s, pool, reportDelay)
					reportRole(n, first)
				}
				second, at := awaitRoleChange(t, n, s, pool)
				require.GreaterOrEqual(t, at.Since(ended), wait)
				require.Less(t, at.Since(ended), wait+2*roleChangeInterval)
				require.Equal(t, first.To, second.To)
				require.Equal(t, reported, first.Worker != second.Worker)
			})
		})
	}
}

// TestRoleChangeEffectShowsAfterDrain guards against a change that is decided as soon as the last one ends because
// the time in which its worker drained counted as the time between them.
func TestRoleChangeEffectShowsAfterDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := newRoleBalanceFixture(4, 6, 14, 0)
		pool := newRolePoolAt(n)
		first, _ := awaitRoleChange(t, n, s, pool)
		time.Sleep(3 * time.Second)
		n.endRoleChange(pool, first)
		reportRole(n, first)
		ended := n.now()
		_, at := awaitRoleChange(t, n, s, pool)
		require.GreaterOrEqual(t, at.Since(ended), time.Second, "a quarter of the dwell time")
	})
}

// TestRoleChanges checks that a loaded role gets workers from an idle one, a quarter of the dwell
// time apart, until the idle role can spare none. No worker changes if both roles are loaded or
// neither is. With role changes disabled the workers return to their configured roles.
func TestRoleChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := newRoleBalanceFixture(4, 4, 14, 0)
		got := runRoleBalancer(n, s, 60*time.Second)
		require.Equal(t, []ids.Role{ids.Prefill, ids.Prefill}, got, "decode workers remain in two zones")
		n, s = newRoleBalanceFixture(4, 4, 14, 0)
		require.Len(t, runRoleBalancer(n, s, 2900*time.Millisecond), 1, "half a dwell time before the first change, a quarter between two")
		n, s = newRoleBalanceFixture(4, 4, 14, 0)
		for id, st := range *n.workerStatuses.Load() {
			if st.Role == ids.Decode {
				st.InFlight = 14
				(*n.workerStatuses.Load())[id] = st
			}
		}
		require.NotEmpty(t, runRoleBalancer(n, s, 10*time.Second), "reservations at decode workers are not pressure")
		n, s = newRoleBalanceFixture(1, 1, 14, 0)
		require.Empty(t, runRoleBalancer(n, s, 60*time.Second), "the last worker of a role does not change")
		n, s = newRoleBalanceFixture(4, 4, 14, 14)
		require.Empty(t, runRoleBalancer(n, s, 60*time.Second), "both roles are loaded")
		n, s = newRoleBalanceFixture(4, 4, 4, 0)
		require.Empty(t, runRoleBalancer(n, s, 60*time.Second), "neither role is loaded")
		n, s = newRoleBalanceFixture(4, 4, 0, 14)
		require.Equal(t, ids.Decode, runRoleBalancer(n, s, 30*time.Second)[0])
		s.Configuration.RoleChangesEnabled = false
		for id, st := range *n.workerStatuses.Load() {
			st.InFlight = 0
			(*n.workerStatuses.Load())[id] = st
		}
		for _, to := range runRoleBalancer(n, s, 60*time.Second) {
			require.Equal(t, ids.Prefill, to)
		}
		for id, st := range *n.workerStatuses.Load() {
			require.Equal(t, s.Configuration.Workers[id].Role, st.Role, "each worker is back in its configured role")
		}
	})
}
