// Effects of a change on the certified workers and nodes of each regime.

package forecast

import (
	"maps"
	"slices"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/router"
)

// expiryHorizon is how far ahead every forecast warns of expiring certificates.
const expiryHorizon = 7 * 24 * time.Hour

// unavailableSubjects returns a function that reports whether a subject of a certificate would be
// unavailable, because of the change or of the evacuations and drains already in force.
func unavailableSubjects(
	st *router.NodeStatus,
	configuration *fleetstate.Configuration,
	c Change,
) func(certification.Subject) bool {
	zones, nodes := map[ids.Zone]bool{}, map[string]bool{}
	for _, z := range st.Evacuated {
		zones[ids.Zone(z)] = true
	}
	zones[c.Evacuate], zones[c.LoseZone] = true, true
	for _, m := range st.Members {
		if !zones[m.Zone] && (c.LoseAddr == "" || m.Addr != c.LoseAddr) {
			nodes[fleetstate.NodeName(m.Node)] = true
		}
	}
	return func(s certification.Subject) bool {
		if s.Node != "" {
			return !nodes[s.Node]
		}
		w, ok := configuration.Workers[s.Worker]
		return !ok || zones[w.Zone] || s.Worker == c.Drain || slices.Contains(st.Drained, string(s.Worker))
	}
}

// checkRegimes warns of regimes that would have none or only one of the certified workers or nodes
// that they need, now or when certificates expire. It warns of the last one only if the change
// causes it.
func (f *Forecast) checkRegimes(st *router.NodeStatus, now, next *fleetstate.Configuration, c Change) error {
	before, _ := now.CompileRegister()
	after, _ := next.CompileRegister()
	if c.Revoke != "" {
		if _, ok := before.Find(c.Revoke); !ok {
			return failure.New(failure.InvalidArgument, "plan", c.Revoke, "no such certificate exists")
		}
	}
	revoked := map[string]bool{}
	for _, serial := range st.Revoked {
		revoked[serial] = true
	}
	before = before.WithRevoked(maps.Clone(revoked))
	revoked[c.Revoke] = true
	after = after.WithRevoked(revoked)
	then := st.FleetTime
	if c.FleetTime > 0 {
		then = certification.TimeBounds{Low: max(c.FleetTime, then.Low), High: max(c.FleetTime, then.High)}
	}
	late := certification.TimeBounds{Low: then.Low + int64(expiryHorizon), High: then.High + int64(expiryHorizon)}
	excludedBefore, excludedAfter := unavailableSubjects(st, now, Change{}), unavailableSubjects(st, next, c)
	available := func(excluded func(certification.Subject) bool) func(certification.Subject) bool {
		return func(s certification.Subject) bool { return !excluded(s) }
	}
	for _, regime := range after.RegimeNames() {
		short := after.Shortages(regime, 1, then, available(excludedAfter))
		for _, what := range short {
			f.warn("regime %s would have no certified %s: its work would be rejected", regime, what)
		}
		for _, what := range after.Shortages(regime, 2, then, available(excludedAfter)) {
			if !slices.Contains(short, what) &&
				!slices.Contains(before.Shortages(regime, 2, st.FleetTime, available(excludedBefore)), what) {
				f.warn("regime %s would have one left of its certified %s", regime, what)
			}
		}
		for _, what := range after.Shortages(regime, 1, late, available(excludedAfter)) {
			if !slices.Contains(short, what) {
				f.warn(
					"regime %s would have no certified %s within %d days, as certificates end",
					regime,
					what,
					expiryHorizon/(24*time.Hour),
				)
			}
		}
	}
	return nil
}
