// This file tracks the zones and workers that receive no new work: evacuated zones, drained
// workers, and the slow start of zones after a failback, that is, after an evacuation has ended.

package fleetstate

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

func (c *Evacuate) apply(s *State) (msgp.Marshaler, error) {
	if s.evacuatedZones[c.Zone] == c.Evacuated {
		return s.replyUnchanged(c.Compare)
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

// replyUnchanged replies to a command that changes nothing, since the state is already as requested.
// A command that only its operation id identifies is logged all the same: if its id were not
// remembered, a duplicate that arrives after the opposite command would be executed.
func (s *State) replyUnchanged(compared bool) (msgp.Marshaler, error) {
	if compared {
		return &VersionReply{s.newest()}, coordination.ErrUnchanged
	}
	return &VersionReply{s.newest()}, nil
}

func (c *Drain) apply(s *State) (msgp.Marshaler, error) {
	if s.drainedWorkers[c.Worker] == c.Drained {
		return s.replyUnchanged(false)
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

// SlowStart is how long the service's workers in a zone may be cold after a failback. One second is
// added to the configured slow-start time.
func (v *Service) SlowStart() time.Duration {
	if v.SlowStartMs <= 0 {
		return 0
	}
	return time.Duration(v.SlowStartMs)*time.Millisecond + time.Second
}

// timeSinceFailback returns a lower bound of the time since the failback of a zone.
func (m *Machine) timeSinceFailback(f Failback) time.Duration {
	elapsed := time.Duration(f.ElapsedNs)
	if at, ok := m.failbackFirstSeen[f.Number]; ok {
		elapsed += m.now.Since(at)
	}
	return elapsed
}

// slowStartEndedCommands returns a command for each zone whose slow start after a failback has
// ended. The call to Keys updates maxSlowStart.
func (m *Machine) slowStartEndedCommands(now ids.Tick) []coordination.Command {
	m.now = now
	if len(m.failbacks) == 0 {
		clear(m.failbackFirstSeen)
		return nil
	}
	m.Keys()
	var out []coordination.Command
	for z, f := range m.failbacks {
		if _, ok := m.failbackFirstSeen[f.Number]; !ok {
			m.failbackFirstSeen[f.Number] = now
		}
		if m.timeSinceFailback(f) > m.maxSlowStart {
			out = append(out, coordination.Command{
				Kind: SlowStartEndedKind,
				Body: coordination.MustMarshal(&SlowStartEnded{z, f.Number}),
			})
		}
	}
	return out
}
