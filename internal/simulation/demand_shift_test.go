// A mix that swings, with fixed parts and with workers that turn.

package simulation

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/standin"
)

// swung is what came of one swing.
type swung struct {
	read, write standin.Summary
	turns       int64
	parts       map[ids.Role]int
}

func (s swung) String() string {
	r, w := s.read.Kinds["clarification"], s.write.Kinds["clarification"]
	return fmt.Sprintf(
		"long prompts %d of %d, first piece p50/p99 %.0f/%.0f ms; long answers %d of %d, %.0f/%.0f ms; %d turns, ends with %v",
		r.Complete,
		r.Sent,
		r.FirstP50,
		r.FirstP99,
		w.Complete,
		w.Sent,
		w.FirstP50,
		w.FirstP99,
		s.turns,
		s.parts,
	)
}

// demandShift sends long prompts that six prefill workers cannot read, then long answers
// that six decode workers cannot make, and counts.
func demandShift(t *testing.T, turn bool, seed uint64, span time.Duration) swung {
	out := swung{parts: map[ids.Role]int{}}
	synctest.Test(t, func(t *testing.T) {
		c := Build(seed, standin.Sites["vatuloa"], func(c *Cluster) {
			c.FixedRoles = !turn
			// Slow workers, so that few calls make a crowd.
			c.TuneWorker = func(o *standin.WorkerOptions) {
				o.PrefillPerToken, o.StepPerRun = 320*time.Microsecond, 4*time.Millisecond
			}
		})
		defer c.Close()
		require.NoError(t, c.Bootstrap())
		read := c.LoadShapes([]standin.StreamClass{{
			Kind:        "clarification",
			Percent:     100,
			SuffixRange: 400,
			MaxTokens:   2,
			MinSuffix:   1400,
		}}, 14.5, span, seed)
		write := c.LoadShapes([]standin.StreamClass{{
			Kind:        "clarification",
			Percent:     100,
			SuffixRange: 40,
			MaxTokens:   64,
			MinSuffix:   10,
		}}, 75, span, seed+100)
		out.read, out.write = standin.Summarize(read), standin.Summarize(write)
		for _, b := range c.Of("router") {
			out.turns += b.Node.RoleChanges()
		}
		for _, b := range c.Of("worker") {
			out.parts[b.Worker.Role()]++
		}
		all := append(read, write...)
		require.Empty(t, c.Recorder.Check(all))
		for _, o := range all {
			require.Contains(t, []string{"complete", "bounced", standin.TimedOut}, o.End, "no stream breaks: %s", o.Detail)
		}
	})
	return out
}

// TestTurning: on a mix that fixed parts cannot serve, turned ones complete more, and
// neither flap nor lose a part nor break a stream. make compare prints the figures of
// several seeds.
func TestTurning(t *testing.T) {
	skipUnderRace(t)
	seeds, span := 1, 24*time.Second
	if os.Getenv("KEELSTAIR_COMPARE") != "" {
		seeds, span = 2, 30*time.Second
	}
	fixed, moved := make([]swung, seeds), make([]swung, seeds)
	t.Run("both", func(t *testing.T) {
		for i := range seeds {
			t.Run("fixed", func(t *testing.T) { t.Parallel(); fixed[i] = demandShift(t, false, uint64(i+1), span) })
			t.Run("turning", func(t *testing.T) { t.Parallel(); moved[i] = demandShift(t, true, uint64(i+1), span) })
		}
	})
	for i := range seeds {
		t.Logf("fixed:   %s", fixed[i])
		t.Logf("turning: %s", moved[i])
		require.Zero(t, fixed[i].turns)
		require.Positive(t, moved[i].turns)
		require.LessOrEqual(t, moved[i].turns, int64(2*span/(2*time.Second)), "it must not flap")
		require.Positive(t, moved[i].parts[ids.Prefill])
		require.Positive(t, moved[i].parts[ids.Decode])
		fixedCompleted, changedCompleted := fixed[i].read.Ends["complete"]+
			fixed[i].write.Ends["complete"], moved[i].read.Ends["complete"]+moved[i].write.Ends["complete"]
		require.Greater(t, changedCompleted, fixedCompleted, "turning helps")
	}
}
