// Package duty performs actions outside the fleet that only one node may perform at a time, such as calls to
// the platform. That node is the owner of a key that the coordination service leases. Before each action, the
// owner claims it by a command in the replicated log (fleetstate.DutyRound). The receiver does not need to
// check fencing tokens: a new owner starts only when no action of an earlier owner can still be in flight, and
// each action has a deadline on the monotonic clock of the node that performs it. An action may be performed
// more than once: if recording that it is done fails, the next call of Perform for it performs it again.
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
	claimTimeout = 900 * time.Millisecond // time limit for claiming an action in the replicated log
	// startTimeout is the time, counted from the request for its claim, within which an action must start.
	startTimeout = 1500 * time.Millisecond
	// CallTimeout limits the duration of a call and of its connection, which a Call must close when its context
	// ends. It must be shorter than the time that a new owner waits before its first call; NewRunner does not
	// check this.
	CallTimeout = 2 * time.Second
	doneTimeout = 700 * time.Millisecond // time limit for recording in the replicated log that an action is done
)

// ErrMayNotAct is returned if this node does not own the key, has not owned it for long enough, or can no longer
// start the action in time.
var ErrMayNotAct = errors.New("this node may not perform actions under the key")

// Agent is the subset of coordination.Agent that a Runner needs.
type Agent interface {
	Self() coordination.Member
	OwnsKey(key ids.Key) (ids.Fence, bool)
	BeginOperation(key ids.Key) (ids.Fence, func(), bool)
	Submit(ctx context.Context, op ids.OpID, kind string, body []byte) (*coordination.SubmitResponse, error)
}

// Action is an operation on an external system. This node has claimed it in the replicated log, and a Call performs
// it.
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

// Runner performs the actions under one key while this node owns the key. Only one goroutine at a time may use
// it.
type Runner struct {
	agent        Agent
	clock        host.Clock
	key          ids.Key
	initialDelay time.Duration // minimum time between getting the key and the first action
	fence        ids.Fence
	ownedSince   ids.Tick
}

// NewRunner returns a runner for a key. The parameter lease is the duration of the coordination service's leases
// on keys.
func NewRunner(agent Agent, clock host.Clock, key ids.Key, lease time.Duration) *Runner {
	return &Runner{agent: agent, clock: clock, key: key, initialDelay: lease + lease/5}
}

// CheckOwnership reports whether this node owns the key, and whether it has owned it long enough to perform
// actions. The time counts from the first call that sees the key's current fencing token.
func (r *Runner) CheckOwnership() (owned, mayAct bool) {
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

// Perform claims an action and makes the call, unless the action is already done. A subject is a numbered
// sequence of actions; number 0 requests the number after that of the subject's newest action. A nil error means
// that the action is done.
func (r *Runner) Perform(ctx context.Context, subject string, number uint64, content []byte, call Call) error {
	if _, mayAct := r.CheckOwnership(); !mayAct {
		return ErrMayNotAct
	}
	fence, requestedAt := r.fence, r.clock.Now()
	action, err := r.submit(ctx, &fleetstate.DutyRound{
		Subject: subject,
		Number:  number,
		Owner:   r.agent.Self().Node,
		Fence:   fence,
		Content: content,
	}, claimTimeout)
	if err != nil || action.Done {
		return err
	}
	if err := r.performAction(ctx, fence, requestedAt, action, call); err != nil {
		return err
	}
	_, err = r.submit(ctx, &fleetstate.DutyRound{
		Subject: subject,
		Number:  action.Number,
		Owner:   r.agent.Self().Node,
		Fence:   fence,
		Done:    true,
	}, doneTimeout)
	return err
}

// performAction makes the call for a claimed action, unless the node may no longer start it. The key cannot be
// released until the call has ended.
func (r *Runner) performAction(
	ctx context.Context,
	fence ids.Fence,
	requestedAt ids.Tick,
	action *fleetstate.DutyAction,
	call Call,
) error {
	operationFence, end, ok := r.agent.BeginOperation(r.key)
	if !ok {
		return ErrMayNotAct
	}
	defer end()
	mayStart := func() bool {
		currentFence, owned := r.agent.OwnsKey(r.key)
		return owned && currentFence == fence && !r.clock.Now().Past(requestedAt, startTimeout)
	}
	if operationFence != fence || !mayStart() {
		return ErrMayNotAct
	}
	callContext, stop := context.WithTimeout(ctx, CallTimeout)
	defer stop()
	return call(callContext, &Action{
		Owner:    r.agent.Self().Node,
		Fence:    fence,
		Number:   action.Number,
		Content:  action.Content,
		MayStart: mayStart,
	})
}

// submit submits a command to the replicated log and returns the resulting state of the action.
func (r *Runner) submit(
	ctx context.Context,
	command *fleetstate.DutyRound,
	timeout time.Duration,
) (*fleetstate.DutyAction, error) {
	submitContext, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	op := ids.OpID("duty/" + coordination.NewID())
	response, err := r.agent.Submit(submitContext, op, fleetstate.DutyRoundKind, coordination.MustMarshal(command))
	if err != nil {
		return nil, err
	}
	var reply fleetstate.DutyRoundReply
	if _, err := reply.UnmarshalMsg(response.Body); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read round", command.Subject)
	}
	return &reply.Action, nil
}
