// Tests which operation outcomes the state remembers.

package coordination

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

// TestOutcomesEvictedByClass checks that many operations of one class evict only the oldest outcomes of that
// class.
func TestOutcomesEvictedByClass(t *testing.T) {
	r := newReplicatedState(nil)
	r.recordOutcome(Outcome{Op: "op/first", Seq: 1})
	for i := range 3 * maxOutcomes {
		r.recordOutcome(Outcome{Op: ids.OpID(fmt.Sprintf("claim/%d", i)), Seq: ids.Seq(i + 2)})
	}
	require.Contains(t, r.outcomes, ids.OpID("op/first"))
	require.Len(t, r.outcomes, maxOutcomes+1)
	require.NotContains(t, r.outcomes, ids.OpID("claim/0"))
	require.Contains(t, r.outcomes, ids.OpID(fmt.Sprintf("claim/%d", 3*maxOutcomes-1)))
}
