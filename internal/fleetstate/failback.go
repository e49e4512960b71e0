// Zones that were taken back of late. Their workers may have turned cold, so whoever starts
// or comes back must hear of it, and for how long that has been so.

package fleetstate

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file failback.go
//msgp:shim ids.Zone as:string using:string/ids.Zone

// WarmedKind is the name of Warmed in the log.
const WarmedKind = "lore.warmed"

// Failback is a zone that was taken back, the how-manieth of all times that was, and for how
// long it surely has been so, in ns. That is counted on the clock of whoever leads, anew
// after a takeover, and so is never too long.
type Failback struct {
	Zone ids.Zone
	No   uint64
	Ago  int64
}

// Warmed says that the workers of a zone that was taken back are warm by now.
type Warmed struct {
	Zone ids.Zone
	No   uint64
}

func (c *Warmed) apply(s *State) (msgp.Marshaler, error) {
	if s.failbacks[c.Zone].No != c.No {
		return nil, coordination.ErrUnchanged
	}
	delete(s.failbacks, c.Zone)
	return nil, nil
}

// WarmSpan is how long a zone that was taken back may hold cold workers, for a service.
func (v *Service) WarmSpan() time.Duration {
	if v.WarmMs <= 0 {
		return 0
	}
	return time.Duration(v.WarmMs)*time.Millisecond + time.Second
}

// ago is for how long a zone surely has been back.
func (m *Machine) ago(f Failback) time.Duration {
	out := time.Duration(f.Ago)
	if at, ok := m.back[f.No]; ok {
		out += m.now.Since(at)
	}
	return out
}

// warmed names the zones whose workers are warm by now.
func (m *Machine) warmed(now ids.Tick) []coordination.Command {
	m.now = now
	if len(m.failbacks) == 0 {
		clear(m.back)
		return nil
	}
	m.Keys()
	var out []coordination.Command
	for z, f := range m.failbacks {
		if _, ok := m.back[f.No]; !ok {
			m.back[f.No] = now
		}
		if m.ago(f) > m.warm {
			out = append(out, coordination.Command{Kind: WarmedKind, Body: coordination.MustMarshal(&Warmed{z, f.No})})
		}
	}
	return out
}
