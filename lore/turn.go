// The messages of turns: a worker that changes its part gets no new work meanwhile.

package lore

import (
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/crux"
	"keelstair.example/word"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file turn.go
//msgp:shim word.WorkerId as:string using:string/word.WorkerId
//msgp:shim word.Part as:string using:string/word.Part

// TurnKind is the name of Turn in the log.
const TurnKind = "lore.turn"

// Turn says that a worker is about to play another part, or, with Done, that the turn
// is over, however it went.
type Turn struct {
	Worker word.WorkerId
	To     word.Part
	Done   bool
}

// RosterKey is the duty of asking the platform which workers there are.
const RosterKey word.Key = "roster"

// ServiceKey is the duty of a service's workers: who may order them.
func ServiceKey(name string) word.Key { return word.Key("service/" + name) }

func (c *Turn) apply(s *State) (msgp.Marshaler, error) {
	to, ok := s.turning[c.Worker]
	switch {
	case c.Done && !ok, !c.Done && to == c.To:
		return &Ruling{s.newest()}, crux.Same
	case c.Done:
		delete(s.turning, c.Worker)
	default:
		s.turning[c.Worker] = c.To
	}
	return &Ruling{s.newest()}, nil
}
