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

// testClock is set by hand.
type testClock struct{ now ids.Tick }

func (c *testClock) Now() ids.Tick   { return c.now }
func (c *testClock) Wall() time.Time { return time.Unix(0, int64(c.now)) }

// testAgent grants the key and applies rounds to a state of its own.
type testAgent struct {
	fence      ids.Fence // 0: the key is not owned
	operations int
	state      *fleetstate.Machine
	onRound    func(c *fleetstate.DutyRound)
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
	var c fleetstate.DutyRound
	if _, err := c.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	if a.onRound != nil {
		a.onRound(&c)
	}
	out, err := a.state.Apply(1, kind, body)
	if errors.Is(err, coordination.ErrUnchanged) {
		err = nil
	}
	return &coordination.SubmitResponse{Body: out}, err
}

// held makes a holder that may act by now.
func held() (*testAgent, *testClock, *Holder) {
	agent := &testAgent{fence: 5, state: fleetstate.NewMachine(fleetstate.MachineOptions{})}
	clock := &testClock{now: ids.Tick(time.Hour)}
	holder := NewHolder(agent, clock, testKey, testLease)
	holder.Owned()
	clock.now = clock.now.Add(4 * time.Second)
	return agent, clock, holder
}

// recorder keeps the acts that were called for.
type recorder struct {
	acts []Act
	err  error
}

func (r *recorder) call(_ context.Context, act *Act) error {
	r.acts = append(r.acts, *act)
	return r.err
}

// TestPerform: an act is called for with the content of its round, again until it is accepted, and
// not after that.
func TestPerform(t *testing.T) {
	agent, _, holder := held()
	r := &recorder{err: errors.New("refused")}
	require.Error(t, holder.Perform(t.Context(), "s", 7, []byte("x"), r.call))
	r.err = nil
	require.NoError(t, holder.Perform(t.Context(), "s", 7, []byte("y"), r.call))
	require.NoError(t, holder.Perform(t.Context(), "s", 7, []byte("z"), r.call))
	require.Len(t, r.acts, 2)
	for _, act := range r.acts {
		require.Equal(t, "x", string(act.Content))
		require.EqualValues(t, 7, act.Number)
		require.EqualValues(t, 5, act.Fence)
		require.EqualValues(t, "self", act.Owner)
	}
	require.Zero(t, agent.operations)
}

// TestHolderWaits: a node that got a key acts only when an earlier holder's last act is over a lease
// ago, and waits anew after each loss.
func TestHolderWaits(t *testing.T) {
	agent, clock, _ := held()
	holder := NewHolder(agent, clock, testKey, testLease)
	r := &recorder{}
	require.ErrorIs(t, holder.Perform(t.Context(), "s", 1, nil, r.call), ErrNotHeld)
	clock.now = clock.now.Add(testLease + 500*time.Millisecond)
	require.ErrorIs(t, holder.Perform(t.Context(), "s", 1, nil, r.call), ErrNotHeld)
	clock.now = clock.now.Add(200 * time.Millisecond)
	require.NoError(t, holder.Perform(t.Context(), "s", 1, nil, r.call))
	agent.fence = 6
	require.ErrorIs(t, holder.Perform(t.Context(), "s", 2, nil, r.call), ErrNotHeld)
	agent.fence = 0
	require.ErrorIs(t, holder.Perform(t.Context(), "s", 2, nil, r.call), ErrNotHeld)
	require.Len(t, r.acts, 1)
}

// TestActNotBegunAfterDeadline: after a round that took long, or a pause of the process, no call begins.
func TestActNotBegunAfterDeadline(t *testing.T) {
	agent, clock, holder := held()
	r := &recorder{}
	agent.onRound = func(*fleetstate.DutyRound) { clock.now = clock.now.Add(startTimeout + time.Millisecond) }
	require.ErrorIs(t, holder.Perform(t.Context(), "s", 1, nil, r.call), ErrNotHeld)
	require.Empty(t, r.acts)
	agent.onRound = nil
	require.NoError(t, holder.Perform(t.Context(), "s", 1, nil, func(_ context.Context, act *Act) error {
		require.True(t, act.MayStart())
		clock.now = clock.now.Add(startTimeout + time.Millisecond)
		require.False(t, act.MayStart(), "the process stood still")
		return nil
	}))
}

// TestActNotBegunAfterLoss: no call begins once the key is lost, or was granted anew, and the key is not given
// back during a call.
func TestActNotBegunAfterLoss(t *testing.T) {
	for _, fence := range []ids.Fence{0, 6} {
		agent, _, holder := held()
		r := &recorder{}
		agent.onRound = func(*fleetstate.DutyRound) { agent.fence = fence }
		require.ErrorIs(t, holder.Perform(t.Context(), "s", 1, nil, r.call), ErrNotHeld)
		require.Empty(t, r.acts)
		agent, _, holder = held()
		require.NoError(t, holder.Perform(t.Context(), "s", 1, nil, func(_ context.Context, act *Act) error {
			require.Equal(t, 1, agent.operations)
			agent.fence = fence
			require.False(t, act.MayStart())
			agent.fence = 5
			return nil
		}))
	}
}
