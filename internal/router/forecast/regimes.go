// What a change would leave of the certified workers and nodes of each regime.

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

// expiryHorizon is how far ahead ends of certificates are warned of with any plan.
const expiryHorizon = 7 * 24 * time.Hour

// unavailableSubjects tells which subjects a change, or what stands already, takes away.
func unavailableSubjects(st *router.NodeStatus, p *fleetstate.Configuration, c Change) func(certification.Subject) bool {
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
		w, ok := p.Workers[s.Worker]
		return !ok || zones[w.Zone] || s.Worker == c.Drain || slices.Contains(st.Drained, string(s.Worker))
	}
}

func (f *Forecast) checkRegimes(st *router.NodeStatus, now, next *fleetstate.Configuration, c Change) error {
	before, _ := now.Register()
	after, _ := next.Register()
	if c.Revoke != "" {
		if _, ok := before.Find(c.Revoke); !ok {
			return failure.New(failure.InvalidArgument, "plan", c.Revoke, "there is no such certificate")
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
		then = certification.Now{Low: max(c.FleetTime, then.Low), High: max(c.FleetTime, then.High)}
	}
	late := certification.Now{Low: then.Low + int64(expiryHorizon), High: then.High + int64(expiryHorizon)}
	was, is := unavailableSubjects(st, now, Change{}), unavailableSubjects(st, next, c)
	there := func(f func(certification.Subject) bool) func(certification.Subject) bool {
		return func(s certification.Subject) bool { return !f(s) }
	}
	for _, g := range after.Regimes() {
		short := after.Shortage(g, 1, then, there(is))
		for _, what := range short {
			f.warn("regime %s would have no certified %s: its work would be bounced", g, what)
		}
		for _, what := range after.Shortage(g, 2, then, there(is)) {
			if !slices.Contains(short, what) && !slices.Contains(before.Shortage(g, 2, st.FleetTime, there(was)), what) {
				f.warn("regime %s would have one left of its certified %s", g, what)
			}
		}
		for _, what := range after.Shortage(g, 1, late, there(is)) {
			if !slices.Contains(short, what) {
				f.warn(
					"regime %s would have no certified %s within %d days, as certificates end",
					g,
					what,
					expiryHorizon/(24*time.Hour),
				)
			}
		}
	}
	return nil
}
