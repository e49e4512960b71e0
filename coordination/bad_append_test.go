// Tests append requests whose sender or sequence numbers don't fit the accepted record.

package coordination

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAppendNotFromPrimary checks that entries of a sender that isn't the primary of the accepted record,
// such as the primary of another cluster at an equal epoch, change nothing.
func TestAppendNotFromPrimary(t *testing.T) {
	withPreparedCore(t, func(c *Core, _ Replica) {
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

// TestAppendWithWrongSeq checks that an entry with an unexpected sequence number is refused before it is
// written. Otherwise the log couldn't be read back.
func TestAppendWithWrongSeq(t *testing.T) {
	withPreparedCore(t, func(c *Core, proposer Replica) {
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
