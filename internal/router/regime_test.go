// Tests of role changes of workers that certification regimes need.

package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
)

// TestRoleChangeKeepsRegimeCovered checks that a worker does not change its role while it is the
// last one in that role that is authorized for a regime. A second authorized worker allows the change,
// and a revocation of the second one's certificate forbids it again.
func TestRoleChangeKeepsRegimeCovered(t *testing.T) {
	key, _, err := certification.NewKey()
	require.NoError(t, err)
	now := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	from, until := now.AddDate(0, 0, -1).Format(time.RFC3339), now.AddDate(0, 0, 1).Format(time.RFC3339)
	certs := map[string]certification.Certificate{}
	addCertificate := func(serial string, w ids.WorkerID) {
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
	snapshotWith := func(revoked map[string]bool) *fleetstate.Snapshot {
		r, err := certification.Compile(map[string]certification.Regime{"chair": {Kinds: []string{"verdict"}}},
			map[string]certification.Issuer{"k": {Key: certification.EncodePublicKey(key), From: from, Until: until}}, certs)
		require.NoError(t, err)
		return &fleetstate.Snapshot{Register: r.WithRevoked(revoked)}
	}
	workers := []WorkerStatus{{ID: "p1", Role: ids.Prefill}, {ID: "p2", Role: ids.Prefill}, {ID: "p3", Role: ids.Prefill}}
	addCertificate("1", "p1")
	at := certification.ExactTime(now)
	require.False(t, regimesStayCovered(snapshotWith(nil), workers, workers[0], at))
	require.True(t, regimesStayCovered(snapshotWith(nil), workers, workers[1], at), "the worker is authorized for no regime")
	require.True(t, regimesStayCovered(&fleetstate.Snapshot{}, workers, workers[0], at), "no regime is configured")
	addCertificate("2", "p2")
	require.True(t, regimesStayCovered(snapshotWith(nil), workers, workers[0], at))
	require.False(t, regimesStayCovered(snapshotWith(map[string]bool{"2": false}), workers, workers[0], at))
	require.False(t, regimesStayCovered(snapshotWith(nil), []WorkerStatus{workers[0], workers[2]}, workers[0], at), "the other authorized worker is not in the role")
}
