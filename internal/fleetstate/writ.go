// The messages of revocations and of the fleet's time.

package fleetstate

import (
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/failure"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file writ.go

// Names of these commands in the log.
const (
	RevokeKind = "lore.revoke"
	SealKind   = "lore.seal"
	ClockKind  = "lore.clock"
)

// Revoke ends a certificate for good. A node holds to it from when it has folded it.
type Revoke struct {
	Serial string
}

// Seal notes that a revocation is in force everywhere: every node has folded it, or
// its lease, and with it its word for governed work, has run out.
type Seal struct {
	Serial string
}

// Clock moves the fleet's time on; it never goes back. At is in nanoseconds since 1970,
// and no answer of the primary goes beyond the newest one.
type Clock struct {
	At int64
}

// Revocation as pictures hold it; Sure once it is in force everywhere.
type Revocation struct {
	Serial string
	Sure   bool
}

func (c *Revoke) apply(s *State) (msgp.Marshaler, error) {
	if _, ok := s.revoked[c.Serial]; ok {
		return &Ruling{s.newest()}, coordination.ErrUnchanged
	}
	s.revoked[c.Serial] = false
	return &Ruling{s.newest()}, nil
}

func (c *Seal) apply(s *State) (msgp.Marshaler, error) {
	if sure, ok := s.revoked[c.Serial]; !ok || sure {
		return nil, failure.New(failure.Stale, "seal", c.Serial, "no revocation of it waits")
	}
	s.revoked[c.Serial] = true
	return nil, nil
}

func (c *Clock) apply(s *State) (msgp.Marshaler, error) {
	if c.At <= s.time {
		return &Ruling{s.newest()}, coordination.ErrUnchanged
	}
	s.time = c.At
	return &Ruling{s.newest()}, nil
}
