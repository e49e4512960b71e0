// Package duty performs acts outside the fleet that one node may do at a time, such as calls to the
// platform. Each act follows a round through the log that was won for it (fleetstate.DutyRound). The
// receiver need not check fences: a holder begins only when acts of earlier holders can no longer
// be on their way, and each act has a deadline on the steady clock of the node that performs it.
package duty

import (
	"context"
	"errors"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	roundTimeout = 900 * time.Millisecond
	// startTimeout is how long after its round was asked for an act may still be begun.
	startTimeout = 1500 * time.Millisecond
	// CallTimeout bounds a call. It ends, with its connection, before the next holder may begin.
	CallTimeout = 2 * time.Second
	doneTimeout = 700 * time.Millisecond
)

// ErrNotHeld says that this node may not act under the key now.
var ErrNotHeld = errors.New("the duty is not held")

// Agent is what a holder needs of coordination.Agent.
type Agent interface {
	Self() coordination.Member
	OwnsKey(key ids.Key) (ids.Fence, bool)
	BeginOperation(key ids.Key) (ids.Fence, func(), bool)
	Submit(ctx context.Context, op ids.OpID, kind string, body []byte) (*coordination.SubmitResponse, error)
}

// Act is an act whose round was won.
type Act struct {
	Owner   ids.NodeID
	Fence   ids.Fence
	Number  uint64
	Content []byte
	// MayStart tells whether the act may be begun at this moment. It is asked right before the
	// first byte of a call is written.
	MayStart func() bool
}

// Call performs an act. A nil error says that the receiver accepted it.
type Call func(ctx context.Context, act *Act) error

// Holder performs the acts of one key's duty while this node owns the key. It is for one
// goroutine at a time.
type Holder struct {
	agent Agent
	clock host.Clock
	key   ids.Key
	wait  time.Duration // from when the key is owned until the first act
	fence ids.Fence
	since ids.Tick
}

// NewHolder makes a holder for a key. Lease is how long the core leases keys for.
func NewHolder(agent Agent, clock host.Clock, key ids.Key, lease time.Duration) *Holder {
	return &Holder{agent: agent, clock: clock, key: key, wait: lease + lease/5}
}

// Owned tells whether this node owns the key, and whether it may act under it by now.
func (h *Holder) Owned() (owned, mayAct bool) {
	fence, ok := h.agent.OwnsKey(h.key)
	if !ok {
		h.fence = 0
		return false, false
	}
	if h.fence != fence {
		h.fence, h.since = fence, h.clock.Now()
	}
	return true, h.clock.Now().Past(h.since, h.wait)
}

// Perform wins the round for an act and makes the call, unless the act is done already. Number 0 is
// the act after the newest. A nil error says that the act is done.
func (h *Holder) Perform(ctx context.Context, subject string, number uint64, content []byte, call Call) error {
	if _, mayAct := h.Owned(); !mayAct {
		return ErrNotHeld
	}
	fence, asked := h.fence, h.clock.Now()
	won, err := h.round(ctx, &fleetstate.DutyRound{
		Subject: subject,
		Number:  number,
		Owner:   h.agent.Self().Node,
		Fence:   fence,
		Content: content,
	}, roundTimeout)
	if err != nil || won.Done {
		return err
	}
	if err := h.call(ctx, fence, asked, won, call); err != nil {
		return err
	}
	_, err = h.round(ctx, &fleetstate.DutyRound{
		Subject: subject,
		Number:  won.Number,
		Owner:   h.agent.Self().Node,
		Fence:   fence,
		Done:    true,
	}, doneTimeout)
	return err
}

// call makes the call while the key is kept from being given back.
func (h *Holder) call(
	ctx context.Context,
	fence ids.Fence,
	asked ids.Tick,
	won *fleetstate.DutyAct,
	call Call,
) error {
	owned, end, ok := h.agent.BeginOperation(h.key)
	if !ok {
		return ErrNotHeld
	}
	defer end()
	mayStart := func() bool {
		now, still := h.agent.OwnsKey(h.key)
		return still && now == fence && !h.clock.Now().Past(asked, startTimeout)
	}
	if owned != fence || !mayStart() {
		return ErrNotHeld
	}
	callContext, stop := context.WithTimeout(ctx, CallTimeout)
	defer stop()
	return call(callContext, &Act{
		Owner:    h.agent.Self().Node,
		Fence:    fence,
		Number:   won.Number,
		Content:  won.Content,
		MayStart: mayStart,
	})
}

func (h *Holder) round(
	ctx context.Context,
	c *fleetstate.DutyRound,
	timeout time.Duration,
) (*fleetstate.DutyAct, error) {
	roundContext, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	op := ids.OpID("duty/" + coordination.NewID())
	r, err := h.agent.Submit(roundContext, op, fleetstate.DutyRoundKind, coordination.MustMarshal(c))
	if err != nil {
		return nil, err
	}
	var reply fleetstate.DutyRoundReply
	if _, err := reply.UnmarshalMsg(r.Body); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read round", c.Subject)
	}
	return &reply.Act, nil
}
