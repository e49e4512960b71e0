package duty

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	testKey   ids.Key = "metering"
	testLease         = 3 * time.Second
)

// testClock is a clock that tests set.
type testClock struct{ now ids.Tick }

func (c *testClock) Now() ids.Tick   { return c.now }
func (c *testClock) Wall() time.Time { return time.Unix(0, int64(c.now)) }

// testAgent owns the key unless its fence is 0, and applies the submitted commands to its own state machine.
type testAgent struct {
	fence      ids.Fence // 0 if the key is not owned
	operations int
	state      *fleetstate.Machine
	onSubmit   func(command *fleetstate.DutyRound)
}

func (a *testAgent) Self() coordination.Member { return coordination.Member{Node: "self"} }

func (a *testAgent) OwnsKey(ids.Key) (ids.Fence, bool) { return a.fence, a.fence != 0 }

func (a *testAgent) BeginOperation(ids.Key) (ids.Fence, func(), bool) {
	if a.fence == 0 {
		return 0, nil, false
	}
	a.operations++
	return a.fence, func() { a.operations-- }, true
}

func (a *testAgent) Submit(
	_ context.Context, _ ids.OpID, kind string, body []byte,
) (*coordination.SubmitResponse, error) {
	var command fleetstate.DutyRound
	if _, err := command.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	if a.onSubmit != nil {
		a.onSubmit(&command)
	}
	out, err := a.state.Apply(1, kind, body)
	if errors.Is(err, coordination.ErrUnchanged) {
		err = nil
	}
	return &coordination.SubmitResponse{Body: out}, err
}

// newReadyRunner returns a runner that may already perform actions.
func newReadyRunner() (*testAgent, *testClock, *Runner) {
	agent := &testAgent{fence: 5, state: fleetstate.NewMachine(fleetstate.MachineOptions{})}
	clock := &testClock{now: ids.Tick(time.Hour)}
	runner := NewRunner(agent, clock, testKey, testLease)
	runner.CheckOwnership()
	clock.now = clock.now.Add(4 * time.Second)
	return agent, clock, runner
}

// recorder has a Call that records each action and returns err.
type recorder struct {
	actions []Action
	err     error
}

func (r *recorder) call(_ context.Context, action *Action) error {
	r.actions = append(r.actions, *action)
	return r.err
}

// TestPerform checks that each attempt at an action has the content of the action's first claim, that a failed
// action can be performed again, and that no call is made for an action that is done.
func TestPerform(t *testing.T) {
	agent, _, runner := newReadyRunner()
	r := &recorder{err: errors.New("refused")}
	require.Error(t, runner.Perform(t.Context(), "s", 7, []byte("x"), r.call))
	r.err = nil
	require.NoError(t, runner.Perform(t.Context(), "s", 7, []byte("y"), r.call))
	require.NoError(t, runner.Perform(t.Context(), "s", 7, []byte("z"), r.call))
	require.Len(t, r.actions, 2)
	for _, action := range r.actions {
		require.Equal(t, "x", string(action.Content))
		require.EqualValues(t, 7, action.Number)
		require.EqualValues(t, 5, action.Fence)
		require.EqualValues(t, "self", action.Owner)
	}
	require.Zero(t, agent.operations)
}

// TestRunnerWaitsAfterGrant checks that a node performs actions only when it has owned the key for longer than a
// lease, so that the last action of an earlier owner has ended, and waits again when the key is granted again.
func TestRunnerWaitsAfterGrant(t *testing.T) {
	agent, clock, _ := newReadyRunner()
	runner := NewRunner(agent, clock, testKey, testLease)
	r := &recorder{}
	require.ErrorIs(t, runner.Perform(t.Context(), "s", 1, nil, r.call), ErrMayNotAct)
	clock.now = clock.now.Add(testLease + 500*time.Millisecond)
	require.ErrorIs(t, runner.Perform(t.Context(), "s", 1, nil, r.call), ErrMayNotAct)
	clock.now = clock.now.Add(200 * time.Millisecond)
	require.NoError(t, runner.Perform(t.Context(), "s", 1, nil, r.call))
	agent.fence = 6
	require.ErrorIs(t, runner.Perform(t.Context(), "s", 2, nil, r.call), ErrMayNotAct)
	agent.fence = 0
	require.ErrorIs(t, runner.Perform(t.Context(), "s", 2, nil, r.call), ErrMayNotAct)
	require.Len(t, r.actions, 1)
}

// TestActionNotStartedAfterDeadline checks that no call starts if claiming the action took too long, and that
// MayStart returns false after a pause of the process.
func TestActionNotStartedAfterDeadline(t *testing.T) {
	agent, clock, runner := newReadyRunner()
	r := &recorder{}
	agent.onSubmit = func(*fleetstate.DutyRound) { clock.now = clock.now.Add(startTimeout + time.Millisecond) }
	require.ErrorIs(t, runner.Perform(t.Context(), "s", 1, nil, r.call), ErrMayNotAct)
	require.Empty(t, r.actions)
	agent.onSubmit = nil
	require.NoError(t, runner.Perform(t.Context(), "s", 1, nil, func(_ context.Context, action *Action) error {
		require.True(t, action.MayStart())
		clock.now = clock.now.Add(startTimeout + time.Millisecond)
		require.False(t, action.MayStart(), "the process was paused")
		return nil
	}))
}

// TestActionNotStartedAfterKeyLost checks that no call starts once the key is lost or was granted again under
// another fencing token, and that an operation on the key is open during a call, so that the key is not released.
func TestActionNotStartedAfterKeyLost(t *testing.T) {
	for _, fence := range []ids.Fence{0, 6} {
		agent, _, runner := newReadyRunner()
		r := &recorder{}
		agent.onSubmit = func(*fleetstate.DutyRound) { agent.fence = fence }
		require.ErrorIs(t, runner.Perform(t.Context(), "s", 1, nil, r.call), ErrMayNotAct)
		require.Empty(t, r.actions)
		agent, _, runner = newReadyRunner()
		require.NoError(t, runner.Perform(t.Context(), "s", 1, nil, func(_ context.Context, action *Action) error {
			require.Equal(t, 1, agent.operations)
			agent.fence = fence
			require.False(t, action.MayStart())
			agent.fence = 5
			return nil
		}))
	}
}
