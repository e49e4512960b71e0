// How fresh an agent's view is. A renewal that the core confirms bears the number that its log had
// then; once the view has folded the log up to there, it has all that the core acknowledged before
// the renewal was sent.

package coordination

import (
	"sync"

	"keelstair.example/ids"
)

// maxUnfolded is how many confirmations are kept for a view that is behind.
const maxUnfolded = 16

// confirmation is one renewal that the core confirmed.
type confirmation struct {
	sentAt ids.Tick
	seq    ids.Seq // of the log at the core
}

// confirmations are the renewals that the view has yet to fold, oldest first.
type confirmations struct {
	mu       sync.Mutex
	unfolded []confirmation
	foldedAt ids.Tick // when the newest one that is folded was sent
}

func (c *confirmations) add(one confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unfolded) == maxUnfolded {
		c.unfolded = append(c.unfolded[:0], c.unfolded[1:]...)
	}
	c.unfolded = append(c.unfolded, one)
}

// fold drops the confirmations up to seq, and gives when the newest of them was sent.
func (c *confirmations) fold(seq ids.Seq) ids.Tick {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unfolded) > 0 && c.unfolded[0].seq <= seq {
		c.foldedAt = max(c.foldedAt, c.unfolded[0].sentAt)
		c.unfolded = c.unfolded[1:]
	}
	return c.foldedAt
}

// CurrentAt is a moment by which the view has all that the core had acknowledged. It is 0 until
// the core has confirmed this node and the view has the log up to there.
func (a *Agent) CurrentAt() ids.Tick { return a.confirmations.fold(a.Seq()) }
