// The freshness of an agent's view. A confirmed renewal carries the sequence number that the core's
// log had then; once the view has applied the log up to there, it includes everything that the core
// acknowledged before the renewal was sent.

package coordination

import (
	"sync"

	"keelstair.example/ids"
)

// maxUnfolded is the number of confirmations kept while the view is behind.
const maxUnfolded = 16

// confirmation is one renewal that the core confirmed.
type confirmation struct {
	sentAt ids.Tick
	seq    ids.Seq // last entry of the core's log
}

// confirmations holds the confirmed renewals whose log position the view has not reached.
type confirmations struct {
	mu       sync.Mutex
	unfolded []confirmation // oldest first
	foldedAt ids.Tick       // when the newest renewal that the view has reached was sent
}

func (c *confirmations) add(conf confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unfolded) == maxUnfolded {
		c.unfolded = append(c.unfolded[:0], c.unfolded[1:]...)
	}
	c.unfolded = append(c.unfolded, conf)
}

// fold removes the confirmations up to seq and returns when the newest one removed so far was sent.
func (c *confirmations) fold(seq ids.Seq) ids.Tick {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unfolded) > 0 && c.unfolded[0].seq <= seq {
		c.foldedAt = max(c.foldedAt, c.unfolded[0].sentAt)
		c.unfolded = c.unfolded[1:]
	}
	return c.foldedAt
}

// CurrentAt returns a tick such that the view includes everything the core had acknowledged by then.
// It is 0 until the core has confirmed a renewal and the view has applied the log up to it.
func (a *Agent) CurrentAt() ids.Tick { return a.confirmations.fold(a.Seq()) }
