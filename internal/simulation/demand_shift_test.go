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

// shiftResult is what came of one swing.
type shiftResult struct {
	longPrompts, longOutputs standin.Summary
	roleChanges              int64
	roles                    map[ids.Role]int
}

func (s shiftResult) String() string {
	r, w := s.longPrompts.Kinds["clarification"], s.longOutputs.Kinds["clarification"]
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
		s.roleChanges,
		s.roles,
	)
}

// runDemandShift sends long prompts that six prefill workers cannot read, then long answers
// that six decode workers cannot make, and counts.
func runDemandShift(t *testing.T, changeRoles bool, seed uint64, duration time.Duration) shiftResult {
	out := shiftResult{roles: map[ids.Role]int{}}
	synctest.Test(t, func(t *testing.T) {
		c := Build(seed, standin.Sites["vatuloa"], func(c *Cluster) {
			c.FixedRoles = !changeRoles
			// Slow workers, so that few calls make a crowd.
			c.TuneWorker = func(o *standin.WorkerOptions) {
				o.PrefillPerToken, o.StepPerRun = 320*time.Microsecond, 4*time.Millisecond
			}
		})
		defer c.Close()
		require.NoError(t, c.Bootstrap())
		longPrompts := c.LoadShapes([]standin.StreamClass{{
			Kind:        "clarification",
			Percent:     100,
			SuffixRange: 400,
			MaxTokens:   2,
			MinSuffix:   1400,
		}}, 14.5, duration, seed)
		longOutputs := c.LoadShapes([]standin.StreamClass{{
			Kind:        "clarification",
			Percent:     100,
			SuffixRange: 40,
			MaxTokens:   64,
			MinSuffix:   10,
		}}, 75, duration, seed+100)
		out.longPrompts, out.longOutputs = standin.Summarize(longPrompts), standin.Summarize(longOutputs)
		for _, p := range c.Of("router") {
			out.roleChanges += p.Node.RoleChanges()
		}
		for _, p := range c.Of("worker") {
			out.roles[p.Worker.Role()]++
		}
		outcomes := append(longPrompts, longOutputs...)
		require.Empty(t, c.Recorder.Check(outcomes))
		for _, o := range outcomes {
			require.Contains(t, []string{"complete", "bounced", standin.TimedOut}, o.End, "no stream breaks: %s", o.Detail)
		}
	})
	return out
}

// TestRoleChanges: on a mix that fixed parts cannot serve, turned ones complete more, and
// neither flap nor lose a part nor break a stream. make compare prints the figures of
// several seeds.
func TestRoleChanges(t *testing.T) {
	skipUnderRace(t)
	seeds, duration := 1, 24*time.Second
	if os.Getenv("KEELSTAIR_COMPARE") != "" {
		seeds, duration = 2, 30*time.Second
	}
	fixed, changed := make([]shiftResult, seeds), make([]shiftResult, seeds)
	t.Run("both", func(t *testing.T) {
		for i := range seeds {
			t.Run("fixed", func(t *testing.T) { t.Parallel(); fixed[i] = runDemandShift(t, false, uint64(i+1), duration) })
			t.Run("turning", func(t *testing.T) { t.Parallel(); changed[i] = runDemandShift(t, true, uint64(i+1), duration) })
		}
	})
	for i := range seeds {
		t.Logf("fixed:   %s", fixed[i])
		t.Logf("turning: %s", changed[i])
		require.Zero(t, fixed[i].roleChanges)
		require.Positive(t, changed[i].roleChanges)
		require.LessOrEqual(t, changed[i].roleChanges, int64(2*duration/(2*time.Second)), "it must not flap")
		require.Positive(t, changed[i].roles[ids.Prefill])
		require.Positive(t, changed[i].roles[ids.Decode])
		fixedCompleted, changedCompleted := fixed[i].longPrompts.Ends["complete"]+
			fixed[i].longOutputs.Ends["complete"], changed[i].longPrompts.Ends["complete"]+changed[i].longOutputs.Ends["complete"]
		require.Greater(t, changedCompleted, fixedCompleted, "turning helps")
	}
}
