// When the switcher turns a worker, and when it must not.

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
	"keelstair.example/internal/workerclient"
)

// newRoleBalanceFixture sets up a node that sees so many workers of each part, this busy.
func newRoleBalanceFixture(reads, writes, readBusy, writeBusy int) (*Node, *fleetstate.Snapshot) {
	n := New(Options{Name: "n", Host: simulated.NewWorld(1).Machine("10.0.0.1").Start().Host()})
	s := &fleetstate.Snapshot{Configuration: &fleetstate.Configuration{
		RoleChanges: true,
		Workers:     map[ids.WorkerID]fleetstate.Worker{},
		Limits:      fleetstate.Limits{DwellMs: 4000},
	}}
	stands, endpoints := map[ids.WorkerID]WorkerStatus{}, map[ids.WorkerID]workerclient.ListedWorker{}
	for i := range reads + writes {
		part, busy := ids.Prefill, readBusy
		if i >= reads {
			part, busy = ids.Decode, writeBusy
		}
		id := ids.WorkerID(fmt.Sprintf("%s%d", part[:1], i))
		s.Configuration.Workers[id] = fleetstate.Worker{
			Role:    part,
			Model:   "m",
			Weights: "w",
			Zone:    ids.Zone(fmt.Sprint(i % 3)),
		}
		stands[id] = WorkerStatus{
			ID:            id,
			Role:          part,
			Ready:         true,
			Free:          90,
			Capacity:      100,
			InFlight:      busy,
			Started:       busy,
			MaxConcurrent: 16,
		}
		endpoints[id] = workerclient.ListedWorker{ID: id}
	}
	n.workerStatuses.Store(&stands)
	n.endpoints.Store(&endpoints)
	return n, s
}

// runRoleBalancer asks the switcher twice a second for so long.
func runRoleBalancer(n *Node, s *fleetstate.Snapshot, duration time.Duration) []ids.Role {
	p := &rolePool{lastChange: n.now(), pressure: map[ids.Role]float64{}}
	var out []ids.Role
	for end := n.now().Add(duration); n.now().Before(end); time.Sleep(roleChangeInterval) {
		if w, ok := n.pickRoleChange(s, "m", p); ok {
			out = append(out, w.To)
			st := (*n.workerStatuses.Load())[w.Worker]
			st.Role = w.To
			(*n.workerStatuses.Load())[w.Worker] = st
		}
	}
	return out
}

// TestRoleChanges: a hard pressed part gets workers from an idle one, a quarter of a dwell apart,
// until the other part can spare none; where both are pressed, or neither is,
// nothing turns; with turning off the workers go home.
func TestRoleChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := newRoleBalanceFixture(4, 4, 14, 0)
		got := runRoleBalancer(n, s, 60*time.Second)
		require.Equal(t, []ids.Role{ids.Prefill, ids.Prefill}, got, "two zones keep a decode worker")
		n, s = newRoleBalanceFixture(4, 4, 14, 0)
		require.Len(t, runRoleBalancer(n, s, 2900*time.Millisecond), 1, "half a dwell first, and a quarter between two")
		n, s = newRoleBalanceFixture(4, 4, 14, 0)
		for id, st := range *n.workerStatuses.Load() {
			if st.Role == ids.Decode {
				st.InFlight = 14
				(*n.workerStatuses.Load())[id] = st
			}
		}
		require.NotEmpty(t, runRoleBalancer(n, s, 10*time.Second), "what is only booked at decode is no pressure there")
		n, s = newRoleBalanceFixture(1, 1, 14, 0)
		require.Empty(t, runRoleBalancer(n, s, 60*time.Second), "never the last of a part")
		n, s = newRoleBalanceFixture(4, 4, 14, 14)
		require.Empty(t, runRoleBalancer(n, s, 60*time.Second), "both are pressed")
		n, s = newRoleBalanceFixture(4, 4, 4, 0)
		require.Empty(t, runRoleBalancer(n, s, 60*time.Second), "neither is pressed")
		n, s = newRoleBalanceFixture(4, 4, 0, 14)
		require.Equal(t, ids.Decode, runRoleBalancer(n, s, 30*time.Second)[0])
		s.Configuration.RoleChanges = false
		for id, st := range *n.workerStatuses.Load() {
			st.InFlight = 0
			(*n.workerStatuses.Load())[id] = st
		}
		for _, to := range runRoleBalancer(n, s, 60*time.Second) {
			require.Equal(t, ids.Prefill, to)
		}
		for id, st := range *n.workerStatuses.Load() {
			require.Equal(t, s.Configuration.Workers[id].Role, st.Role, "home again")
		}
	})
}
