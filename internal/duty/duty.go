// Package duty performs actions outside the fleet that only one node may perform at a time, such as calls to
// the platform. Before each action, the node wins a round for it in the replicated log
// (fleetstate.DutyRound). The receiver does not need to check fencing tokens: a new owner starts only when
// no action of an earlier owner can still be in flight, and each action has a deadline on the steady clock
// of the node that performs it.
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
	// startTimeout is how long after the request for its round an action may still start.
	startTimeout = 1500 * time.Millisecond
	// CallTimeout bounds a call. The call and its connection end before the next owner may start one.
	CallTimeout = 2 * time.Second
	doneTimeout = 700 * time.Millisecond
)

// ErrNotHeld means that this node may not perform actions under the key.
var ErrNotHeld = errors.New("this node may not perform actions under the key")

// Agent is the subset of coordination.Agent that a Runner needs.
type Agent interface {
	Self() coordination.Member
	OwnsKey(key ids.Key) (ids.Fence, bool)
	BeginOperation(key ids.Key) (ids.Fence, func(), bool)
	Submit(ctx context.Context, op ids.OpID, kind string, body []byte) (*coordination.SubmitResponse, error)
}

// Action is an action whose round this node won.
type Action struct {
	Owner   ids.NodeID
	Fence   ids.Fence
	Number  uint64
	Content []byte
	// MayStart reports whether the action may start now. It must be checked immediately before the first
	// byte of a call is written.
	MayStart func() bool
}

// Call performs an action. A nil error means that the receiver accepted it.
type Call func(ctx context.Context, action *Action) error

// Runner performs the actions of one key's duty while this node owns the key. Only one goroutine at a time
// may use it.
type Runner struct {
	agent        Agent
	clock        host.Clock
	key          ids.Key
	initialDelay time.Duration // from when this node gets the key until its first action
	fence        ids.Fence
	ownedSince   ids.Tick
}

// NewRunner returns a runner for a key. Lease is how long the coordination service leases keys for.
func NewRunner(agent Agent, clock host.Clock, key ids.Key, lease time.Duration) *Runner {
	return &Runner{agent: agent, clock: clock, key: key, initialDelay: lease + lease/5}
}

// Ownership reports whether this node owns the key, and whether it has owned it long enough to perform
// actions.
func (r *Runner) Ownership() (owned, mayAct bool) {
	fence, ok := r.agent.OwnsKey(r.key)
	if !ok {
		r.fence = 0
		return false, false
	}
	if r.fence != fence {
		r.fence, r.ownedSince = fence, r.clock.Now()
	}
	return true, r.clock.Now().Past(r.ownedSince, r.initialDelay)
}

// Perform wins the round for an action and makes the call, unless the action is already done. Number 0 is
// the action after the newest. A nil error means that the action is done.
func (r *Runner) Perform(ctx context.Context, subject string, number uint64, content []byte, call Call) error {
	if _, mayAct := r.Ownership(); !mayAct {
		return ErrNotHeld
	}
	fence, requestedAt := r.fence, r.clock.Now()
	granted, err := r.round(ctx, &fleetstate.DutyRound{
		Subject: subject,
		Number:  number,
		Owner:   r.agent.Self().Node,
		Fence:   fence,
		Content: content,
	}, roundTimeout)
	if err != nil || granted.Done {
		return err
	}
	if err := r.call(ctx, fence, requestedAt, granted, call); err != nil {
		return err
	}
	_, err = r.round(ctx, &fleetstate.DutyRound{
		Subject: subject,
		Number:  granted.Number,
		Owner:   r.agent.Self().Node,
		Fence:   fence,
		Done:    true,
	}, doneTimeout)
	return err
}

// call makes the call. The key cannot be given back until the call has ended.
func (r *Runner) call(
	ctx context.Context,
	fence ids.Fence,
	requestedAt ids.Tick,
	granted *fleetstate.DutyAction,
	call Call,
) error {
	operationFence, end, ok := r.agent.BeginOperation(r.key)
	if !ok {
		return ErrNotHeld
	}
	defer end()
	mayStart := func() bool {
		currentFence, owned := r.agent.OwnsKey(r.key)
		return owned && currentFence == fence && !r.clock.Now().Past(requestedAt, startTimeout)
	}
	if operationFence != fence || !mayStart() {
		return ErrNotHeld
	}
	callContext, stop := context.WithTimeout(ctx, CallTimeout)
	defer stop()
	return call(callContext, &Action{
		Owner:    r.agent.Self().Node,
		Fence:    fence,
		Number:   granted.Number,
		Content:  granted.Content,
		MayStart: mayStart,
	})
}

// round requests a round in the replicated log and returns the resulting state of the action.
func (r *Runner) round(
	ctx context.Context,
	command *fleetstate.DutyRound,
	timeout time.Duration,
) (*fleetstate.DutyAction, error) {
	roundContext, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	op := ids.OpID("duty/" + coordination.NewID())
	response, err := r.agent.Submit(roundContext, op, fleetstate.DutyRoundKind, coordination.MustMarshal(command))
	if err != nil {
		return nil, err
	}
	var reply fleetstate.DutyRoundReply
	if _, err := reply.UnmarshalMsg(response.Body); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read round", command.Subject)
	}
	return &reply.Action, nil
}
