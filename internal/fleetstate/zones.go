// Zones and workers that get no new work: evacuations, drains, and the slow start of zones
// that were taken back.

package fleetstate

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

func (c *Evacuate) apply(s *State) (msgp.Marshaler, error) {
	if s.evacuatedZones[c.Zone] == c.Evacuated {
		return s.unchanged(c.Compare)
	}
	if err := s.checkZoneRevision(c); err != nil {
		return nil, err
	}
	s.zoneRevisions[c.Zone]++
	if s.evacuatedZones[c.Zone] = c.Evacuated; c.Evacuated {
		delete(s.failbacks, c.Zone)
	} else {
		delete(s.evacuatedZones, c.Zone)
		s.failbackCount++
		s.failbacks[c.Zone] = Failback{Zone: c.Zone, Number: s.failbackCount}
	}
	return &VersionReply{s.newest()}, nil
}

// unchanged answers an order that finds all as it asks. One that is known by its id alone is
// written all the same: were its id not remembered, a copy of it that arrives after the
// opposite order would be done.
func (s *State) unchanged(compared bool) (msgp.Marshaler, error) {
	if compared {
		return &VersionReply{s.newest()}, coordination.ErrUnchanged
	}
	return &VersionReply{s.newest()}, nil
}

func (c *Drain) apply(s *State) (msgp.Marshaler, error) {
	if s.drainedWorkers[c.Worker] == c.Drained {
		return s.unchanged(false)
	}
	if s.drainedWorkers[c.Worker] = c.Drained; !c.Drained {
		delete(s.drainedWorkers, c.Worker)
	}
	return &VersionReply{s.newest()}, nil
}

func (c *SlowStartEnded) apply(s *State) (msgp.Marshaler, error) {
	if s.failbacks[c.Zone].Number != c.Number {
		return nil, coordination.ErrUnchanged
	}
	delete(s.failbacks, c.Zone)
	return nil, nil
}

// SlowStart is how long a zone that was taken back may hold cold workers, for a service.
func (v *Service) SlowStart() time.Duration {
	if v.SlowStartMs <= 0 {
		return 0
	}
	return time.Duration(v.SlowStartMs)*time.Millisecond + time.Second
}

// sinceFailback is for how long a zone surely has been back.
func (m *Machine) sinceFailback(f Failback) time.Duration {
	out := time.Duration(f.ElapsedNs)
	if at, ok := m.failbackSince[f.Number]; ok {
		out += m.now.Since(at)
	}
	return out
}

// endedSlowStarts names the zones whose workers are warm by now.
func (m *Machine) endedSlowStarts(now ids.Tick) []coordination.Command {
	m.now = now
	if len(m.failbacks) == 0 {
		clear(m.failbackSince)
		return nil
	}
	m.Keys()
	var out []coordination.Command
	for z, f := range m.failbacks {
		if _, ok := m.failbackSince[f.Number]; !ok {
			m.failbackSince[f.Number] = now
		}
		if m.sinceFailback(f) > m.maxSlowStart {
			out = append(out, coordination.Command{
				Kind: SlowStartEndedKind,
				Body: coordination.MustMarshal(&SlowStartEnded{z, f.Number}),
			})
		}
	}
	return out
}
