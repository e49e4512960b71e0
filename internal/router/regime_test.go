// Turning under regimes, without a fleet.

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
)

// TestRoleChangeKeepsRegimeCovered: a worker that is the last of its part cleared for a regime does not turn;
// a second one frees it, and a revocation of the second binds it again.
func TestRoleChangeKeepsRegimeCovered(t *testing.T) {
	key, _, err := certification.NewKey()
	require.NoError(t, err)
	now := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	from, until := now.AddDate(0, 0, -1).Format(time.RFC3339), now.AddDate(0, 0, 1).Format(time.RFC3339)
	certs := map[string]certification.Certificate{}
	put := func(serial string, w ids.WorkerID) {
		c := certification.Certificate{
			Serial: serial,
			Worker: w,
			Regime: "chair",
			Roles:  []ids.Role{ids.Prefill},
			From:   from,
			Until:  until,
			Issuer: "k",
		}
		c.Sign(key)
		certs[serial] = c
	}
	sight := func(revoked map[string]bool) *fleetstate.Snapshot {
		r, err := certification.Compile(map[string]certification.Regime{"chair": {Kinds: []string{"verdict"}}},
			map[string]certification.Issuer{"k": {Key: certification.Public(key), From: from, Until: until}}, certs)
		require.NoError(t, err)
		return &fleetstate.Snapshot{Register: r.WithRevoked(revoked)}
	}
	list := []WorkerStatus{{ID: "p1", Role: ids.Prefill}, {ID: "p2", Role: ids.Prefill}, {ID: "p3", Role: ids.Prefill}}
	put("1", "p1")
	at := certification.At(now)
	require.False(t, regimesStayCovered(sight(nil), list, list[0], at))
	require.True(t, regimesStayCovered(sight(nil), list, list[1], at), "it serves no regime")
	require.True(t, regimesStayCovered(&fleetstate.Snapshot{}, list, list[0], at), "there is no regime")
	put("2", "p2")
	require.True(t, regimesStayCovered(sight(nil), list, list[0], at))
	require.False(t, regimesStayCovered(sight(map[string]bool{"2": false}), list, list[0], at))
	require.False(t, regimesStayCovered(sight(nil), []WorkerStatus{list[0], list[2]}, list[0], at), "the other one is not there")
}
