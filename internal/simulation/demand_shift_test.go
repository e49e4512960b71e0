// Compares fixed with changing worker roles on a load whose mix of prefill and decode work shifts.

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

// shiftResult has the measurements of one run of runDemandShift.
type shiftResult struct {
	longPrompts, longOutputs standin.Summary
	roleChanges              int64
	roles                    map[ids.Role]int
}

func (s shiftResult) String() string {
	prompts, outputs := s.longPrompts.Kinds["clarification"], s.longOutputs.Kinds["clarification"]
	return fmt.Sprintf(
		"long prompts %d of %d, first token p50/p99 %.0f/%.0f ms; long outputs %d of %d, %.0f/%.0f ms; %d role changes, final roles %v",
		prompts.Complete,
		prompts.Sent,
		prompts.FirstTokenP50,
		prompts.FirstTokenP99,
		outputs.Complete,
		outputs.Sent,
		outputs.FirstTokenP50,
		outputs.FirstTokenP99,
		s.roleChanges,
		s.roles,
	)
}

// runDemandShift sends requests with long prompts that exceed the capacity of six prefill workers, then
// requests with long outputs that exceed the capacity of six decode workers.
func runDemandShift(t *testing.T, changeRoles bool, seed uint64, duration time.Duration) shiftResult {
	out := shiftResult{roles: map[ids.Role]int{}}
	synctest.Test(t, func(t *testing.T) {
		c := Build(seed, standin.Sites["vatuloa"], func(c *Cluster) {
			c.FixedRoles = !changeRoles
			// The workers are slow, so that few requests overload them.
			c.TuneWorker = func(o *standin.WorkerOptions) {
				o.PrefillPerToken, o.StepPerRun = 320*time.Microsecond, 4*time.Millisecond
			}
		})
		defer c.Close()
		require.NoError(t, c.Bootstrap())
		longPrompts := c.LoadClasses([]standin.StreamClass{{
			Kind:              "clarification",
			Percent:           100,
			SuffixTokensRange: 400,
			MaxTokens:         2,
			MinSuffixTokens:   1400,
		}}, 14.5, duration, seed)
		longOutputs := c.LoadClasses([]standin.StreamClass{{
			Kind:              "clarification",
			Percent:           100,
			SuffixTokensRange: 40,
			MaxTokens:         64,
			MinSuffixTokens:   10,
		}}, 75, duration, seed+100)
		out.longPrompts, out.longOutputs = standin.Summarize(longPrompts), standin.Summarize(longOutputs)
		for _, p := range c.ProcessesOf("router") {
			out.roleChanges += p.Node.RoleChanges()
		}
		for _, p := range c.ProcessesOf("worker") {
			out.roles[p.Worker.Role()]++
		}
		outcomes := append(longPrompts, longOutputs...)
		require.Empty(t, c.Recorder.Check(outcomes))
		for _, o := range outcomes {
			require.Contains(t, []string{"complete", "bounced", standin.TimedOut}, o.End, "a stream should complete, be refused or time out: %s", o.Detail)
		}
	})
	return out
}

// TestRoleChanges checks that, on a load that exceeds the capacity of fixed roles, changing roles lets more requests
// complete. Roles may change at most once in two seconds on average, each role must have a worker at the end, and
// each stream must complete, be refused or time out. If KEELSTAIR_COMPARE is set, it runs two longer seeds.
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
			t.Run("changing", func(t *testing.T) { t.Parallel(); changed[i] = runDemandShift(t, true, uint64(i+1), duration) })
		}
	})
	for i := range seeds {
		t.Logf("fixed:    %s", fixed[i])
		t.Logf("changing: %s", changed[i])
		require.Zero(t, fixed[i].roleChanges)
		require.Positive(t, changed[i].roleChanges)
		require.LessOrEqual(t, changed[i].roleChanges, int64(2*duration/(2*time.Second)), "roles should not change too often")
		require.Positive(t, changed[i].roles[ids.Prefill])
		require.Positive(t, changed[i].roles[ids.Decode])
		fixedCompleted, changedCompleted := fixed[i].longPrompts.Ends["complete"]+
			fixed[i].longOutputs.Ends["complete"], changed[i].longPrompts.Ends["complete"]+changed[i].longOutputs.Ends["complete"]
		require.Greater(t, changedCompleted, fixedCompleted, "changing roles should let more requests complete")
	}
}
