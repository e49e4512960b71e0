// The freshness of an agent's view. A confirmed renewal carries the sequence number that the core's
// log had then; once the view has applied the log up to there, it includes everything that the core
// acknowledged before the renewal was sent.

package coordination

import (
	"sync"

	"keelstair.example/ids"
)

// maxPendingConfirmations is the number of confirmations kept while the view has not applied the log
// up to them.
const maxPendingConfirmations = 16

// confirmation describes a lease renewal that the core has confirmed: when it was sent, and the log position in
// the response.
type confirmation struct {
	sentAt ids.Tick
	seq    ids.Seq // last entry of the core's log
}

// confirmations holds the confirmed renewals whose log position the view has not reached.
type confirmations struct {
	mu            sync.Mutex
	pending       []confirmation // oldest first
	appliedSentAt ids.Tick       // when the newest lease renewal whose log position the view has reached was sent
}

func (c *confirmations) add(conf confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == maxPendingConfirmations {
		c.pending = append(c.pending[:0], c.pending[1:]...)
	}
	c.pending = append(c.pending, conf)
}

// advance removes the confirmations up to seq and returns when the newest one removed so far was sent.
func (c *confirmations) advance(seq ids.Seq) ids.Tick {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && c.pending[0].seq <= seq {
		c.appliedSentAt = max(c.appliedSentAt, c.pending[0].sentAt)
		c.pending = c.pending[1:]
	}
	return c.appliedSentAt
}

// CurrentAt returns a tick such that the view includes everything the core had acknowledged by then.
// It is 0 until the core has confirmed a renewal and the view has applied the log up to it.
func (a *Agent) CurrentAt() ids.Tick { return a.confirmations.advance(a.Seq()) }
