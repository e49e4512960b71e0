// This file applies the commands that revoke certificates and that advance the fleet's time.

package fleetstate

import (
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/failure"
)

func (c *Revoke) apply(s *State) (msgp.Marshaler, error) {
	if _, ok := s.revocations[c.Serial]; ok {
		return &VersionReply{s.newest()}, coordination.ErrUnchanged
	}
	s.revocations[c.Serial] = false
	return &VersionReply{s.newest()}, nil
}

func (c *ConfirmRevocation) apply(s *State) (msgp.Marshaler, error) {
	if confirmed, ok := s.revocations[c.Serial]; !ok || confirmed {
		return nil, failure.New(failure.Stale, "seal", c.Serial, "the certificate has no unconfirmed revocation")
	}
	s.revocations[c.Serial] = true
	return nil, nil
}

func (c *AdvanceClock) apply(s *State) (msgp.Marshaler, error) {
	if c.Bound <= s.timeBound {
		return &VersionReply{s.newest()}, coordination.ErrUnchanged
	}
	s.timeBound = c.Bound
	return &VersionReply{s.newest()}, nil
}
