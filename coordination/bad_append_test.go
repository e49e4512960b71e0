// Entries whose sender or numbers don't fit the record that this member accepted.

package coordination

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStrangerAppend: entries of a member that isn't the primary of the accepted record,
// such as that of another fleet at an equal epoch, change nothing.
func TestStrangerAppend(t *testing.T) {
	withMember(t, func(c *Core, _ Replica) {
		c.register.Accepted.Epoch = 2
		request := &AppendRequest{
			Epoch:   2,
			From:    Replica{Disk: "stranger", Addr: "10.0.0.3:1"},
			Prev:    2,
			Entries: []Entry{{Seq: 3, Kind: "put", Body: []byte("three")}},
		}
		r, err := c.handleAppend(context.Background(), request)
		require.True(t, err != nil || !r.OK)
		requireUnchanged(t, c)
	})
}

// TestWrongNumber: an entry with another number than the one due is refused before it is
// written, or the disk couldn't be read back.
func TestWrongNumber(t *testing.T) {
	withMember(t, func(c *Core, proposer Replica) {
		c.register.Accepted.Epoch = 2
		request := &AppendRequest{
			Epoch:   2,
			From:    proposer,
			Prev:    2,
			Entries: []Entry{{Seq: 7, Kind: "put", Body: []byte("three")}},
		}
		r, err := c.handleAppend(context.Background(), request)
		require.True(t, err != nil || !r.OK)
		requireUnchanged(t, c)
		require.NoError(t, c.store.load(newReplicatedState(&listStateMachine{})))
	})
}
