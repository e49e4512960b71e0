// This file records which workers are changing between the prefill and the decode role. A worker gets
// no new work during the change.

package fleetstate

import (
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

// WorkerListKey is the key of the duty of listing the platform's workers.
const WorkerListKey ids.Key = "roster"

// ServiceKey is the key of the duty of controlling a service's workers.
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
