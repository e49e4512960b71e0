// The messages of role changes: a worker that changes its part gets no new work meanwhile.

package fleetstate

import (
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

// WorkerListKey is the duty of asking the platform which workers there are.
const WorkerListKey ids.Key = "roster"

// ServiceKey is the duty of a service's workers: who may order them.
func ServiceKey(name string) ids.Key { return ids.Key("service/" + name) }

func (c *RoleChange) apply(s *State) (msgp.Marshaler, error) {
	to, ok := s.roleChanges[c.Worker]
	switch {
	case c.Done && !ok, !c.Done && to == c.To:
		return &VersionReply{s.newest()}, coordination.ErrUnchanged
	case c.Done:
		delete(s.roleChanges, c.Worker)
	default:
		s.roleChanges[c.Worker] = c.To
	}
	return &VersionReply{s.newest()}, nil
}
