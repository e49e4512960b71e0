// The messages of turns: a worker that changes its part gets no new work meanwhile.

package fleetstate

import (
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file turn.go
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID
//msgp:shim ids.Part as:string using:string/ids.Part

// TurnKind is the name of Turn in the log.
const TurnKind = "lore.turn"

// Turn says that a worker is about to play another part, or, with Done, that the turn
// is over, however it went.
type Turn struct {
	Worker ids.WorkerID
	To     ids.Role
	Done   bool
}

// RosterKey is the duty of asking the platform which workers there are.
const RosterKey ids.Key = "roster"

// ServiceKey is the duty of a service's workers: who may order them.
func ServiceKey(name string) ids.Key { return ids.Key("service/" + name) }

func (c *Turn) apply(s *State) (msgp.Marshaler, error) {
	to, ok := s.turning[c.Worker]
	switch {
	case c.Done && !ok, !c.Done && to == c.To:
		return &Ruling{s.newest()}, coordination.ErrUnchanged
	case c.Done:
		delete(s.turning, c.Worker)
	default:
		s.turning[c.Worker] = c.To
	}
	return &Ruling{s.newest()}, nil
}
