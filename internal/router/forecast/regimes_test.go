// Warnings of changes that would leave a regime without enough certified workers or nodes.

package forecast

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/certification"
)

// TestRegimeWarnings checks the warning before a drain, a revocation, an expiry, an evacuation or the
// loss of a machine leaves a regime without a certified worker of a role or a certified node, or
// with only one.
func TestRegimeWarnings(t *testing.T) {
	st, configuration := fixture()
	for i := range st.Members {
		st.Members[i] = coordination.Member{Node: st.Members[i].Node + "-0123", Addr: st.Members[i].Addr, Zone: st.Members[i].Zone}
	}
	key, _, err := certification.NewKey()
	require.NoError(t, err)
	now := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	day := func(n int) string { return now.AddDate(0, 0, n).Format(time.RFC3339) }
	configuration.Regimes = map[string]certification.Regime{"chair": {Kinds: []string{"verdict"}}}
	configuration.Issuers = map[string]certification.Issuer{"k": {Key: certification.EncodePublicKey(key), From: day(-1), Until: day(100)}}
	configuration.Certificates = map[string]certification.Certificate{}
	addCertificate := func(serial string, c certification.Certificate, until int) {
		c.Serial, c.Regime, c.Issuer, c.From, c.Until = serial, "chair", "k", day(-1), day(until)
		c.Sign(key)
		configuration.Certificates[serial] = c
	}
	addCertificate("p1", certification.Certificate{Worker: "p1", Roles: []ids.Role{ids.Prefill}}, 50)
	addCertificate("p2", certification.Certificate{Worker: "p2", Roles: []ids.Role{ids.Prefill}}, 50)
	addCertificate("d2", certification.Certificate{Worker: "d2", Roles: []ids.Role{ids.Decode}}, 50)
	addCertificate("d3", certification.Certificate{Worker: "d3", Roles: []ids.Role{ids.Decode}}, 30)
	addCertificate("n1", certification.Certificate{Node: "n1"}, 50)
	addCertificate("n2", certification.Certificate{Node: "n2"}, 50)
	st.FleetTime = certification.ExactTime(now)
	regimeWarnings := func(c Change) (out []string) {
		f, err := Compute(st, configuration, c)
		require.NoError(t, err)
		for _, w := range f.Warnings {
			if len(w) > 6 && w[:6] == "regime" {
				out = append(out, w)
			}
		}
		return out
	}
	require.Empty(t, regimeWarnings(Change{}))
	require.Empty(t, regimeWarnings(Change{Drain: "p3"}))
	require.Equal(t, []string{"regime chair would have one left of its certified prefill workers"}, regimeWarnings(Change{Drain: "p1"}))
	require.Equal(t, []string{"regime chair would have one left of its certified decode workers"}, regimeWarnings(Change{Revoke: "d3"}))
	require.Equal(t, []string{"regime chair would have one left of its certified router nodes"}, regimeWarnings(Change{LoseAddr: "10.0.0.1:1"}))
	require.Contains(t, regimeWarnings(Change{Evacuate: "b"}), "regime chair would have no certified decode workers: its work would be rejected")
	require.Contains(t, regimeWarnings(Change{LoseZone: "b"}), "regime chair would have one left of its certified router nodes")
	require.Contains(t, regimeWarnings(Change{FleetTime: now.AddDate(0, 0, 60).UnixNano()}), "regime chair would have no certified prefill workers: its work would be rejected")
	require.True(t, slices.Contains(regimeWarnings(Change{FleetTime: now.AddDate(0, 0, 45).UnixNano()}), "regime chair would have no certified prefill workers within 7 days, as certificates end"))
	st.Revoked = []string{"d2"}
	require.Equal(t, []string{"regime chair would have no certified decode workers: its work would be rejected"}, regimeWarnings(Change{Drain: "d3"}))
	_, err = Compute(st, configuration, Change{Revoke: "unknown"})
	require.ErrorContains(t, err, "no such certificate")
}
