// Tests that a leader is elected while the replicated state is large and the links are slow.

package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	largeEntries   = 200
	largeEntrySize = 15_000
)

// TestLargeSnapshot checks that, with a state whose snapshot takes longer than two seconds to send over a link
// of 10 Mbit/s, a new leader is elected after the previous one stops, and accepts changes.
func TestLargeSnapshot(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t)
		defer h.close()
		h.change()
		random := rand.New(rand.NewPCG(1, 1))
		drain := func(i int) {
			name := make([]byte, largeEntrySize)
			for j := range name {
				name[j] = byte('a' + random.IntN(26))
			}
			h.retryUntilDone(func(ctx context.Context) error {
				body := coordination.MustMarshal(&fleetstate.Drain{Worker: ids.WorkerID(name), Drained: true})
				_, err := h.operator.Submit(ctx, ids.OpID(fmt.Sprint("drain/", i)), fleetstate.DrainKind, body)
				return err
			})
		}
		for i := range largeEntries {
			drain(i)
		}
		first := h.leader()
		h.stop(first)
		began := time.Now()
		require.Eventually(t, func() bool { return h.leader() != "" }, 30*time.Second, 100*time.Millisecond)
		t.Logf("a new leader after %s", time.Since(began))
		h.start(first)
		drain(largeEntries)
	})
}
