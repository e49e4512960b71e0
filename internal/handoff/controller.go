// The controller takes one request through the steps of a handoff: granted, prefilled, exported,
// imported, resumed, ended, or dropped at any of them. Memory for the whole answer is reserved
// before anything runs. Resume waits for the complete KV cache and is the point of no return,
// after which the decode worker may generate. No token is sent to the client before it.

package handoff

import (
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/workerclient"
)

// Transport picks workers and sends them the orders of the controller. Every order goes through
// the one node that currently has the exclusive right to send orders to the worker.
type Transport interface {
	// Pick returns the avoided workers only if no others are eligible.
	Pick(q *routing.PickRequest, on workerclient.Model, avoided map[ids.WorkerID]bool) []PickedWorker
	Reserve(ctx context.Context, w ids.WorkerID, id workerclient.ID, blocks int) error
	Prefill(ctx context.Context, w ids.WorkerID, m workerclient.Identity) (*workerclient.OrderResponse, error)
	Export(ctx context.Context, w ids.WorkerID, id workerclient.ID) (*workerclient.OrderResponse, error)
	Import(ctx context.Context, w ids.WorkerID, m workerclient.Identity, source ids.WorkerID) (*workerclient.OrderResponse, error)
	Resume(ctx context.Context, w ids.WorkerID, id workerclient.ID) (*workerclient.OrderResponse, error)
	Cancel(ctx context.Context, w ids.WorkerID, id workerclient.ID) (*workerclient.OrderResponse, error)
	// Release frees the reservation of an attempt. The parameter confirmed says that the worker
	// itself reported that it holds no more memory for the attempt.
	Release(w ids.WorkerID, id workerclient.ID, confirmed bool)
	Stream(ctx context.Context, w ids.WorkerID, id workerclient.ID, from int, put func(workerclient.TokenEvent) error) error
	// SpendRetry reports whether the retry budget granted a recompute within the wait.
	SpendRetry(ctx context.Context, wait time.Duration) bool
	ReportFault(w ids.WorkerID)
	// PickMayBeOutdated reports whether the last pick was made under a configuration version that
	// may no longer be in force.
	PickMayBeOutdated() bool
}

// PickedWorker is an eligible worker, with its model and memory block size.
type PickedWorker struct {
	ID             ids.WorkerID
	Model          workerclient.Model
	TokensPerBlock int
	Incarnation    ids.Incarnation
}

// Step is the progress of a handoff.
type Step string

const (
	Granted   Step = "granted"   // workers have been picked, and a prefill is ordered next
	Prefilled Step = "prefilled" // the prefill worker has computed the KV cache
	Exported  Step = "exported"  // the prefill worker holds the KV cache ready for transfer
	Imported  Step = "imported"  // the decode worker has allocated memory for the KV cache and begun to fetch it
	Resumed   Step = "resumed"   // the decode worker has the whole KV cache and generates
	Ended     Step = "ended"     // the token stream is complete
	Dropped   Step = "dropped"   // the attempt was abandoned
)

// Event records that a handoff reached a step.
type Event struct {
	ID     workerclient.ID `json:"Id"`
	Step   Step            `json:"Stage"`
	Worker ids.WorkerID
	At     ids.Tick
	Reason string `json:"Why"`
	Regime string // the certification regime of the task, if any
}

// Task is one request to be served.
type Task struct {
	Identity     workerclient.Identity
	Kind         string
	Zone         ids.Zone
	AtMostOnce   bool // no new attempt is made if a decode worker may have run the task
	Regime       string
	MaxAttempts  int
	RetryTimeout time.Duration // how long new attempts are made before the first token
	// Claim is called with the decode worker and its incarnation once memory is reserved at both
	// workers and before anything is sent to either; an error then ends the task with nothing run.
	// It is called again before a resume at another worker or incarnation, so that every place
	// where the task may run is recorded.
	Claim func(w ids.WorkerID, incarnation ids.Incarnation) error
}

// Controller runs tasks on a prefill and a decode worker each.
type Controller struct {
	Transport     Transport
	Clock         host.Clock
	OrphanTimeout time.Duration // after this long, a worker has certainly ended an attempt that has no controller
	Trace         func(Event)
}

// PutToken sends a token to the client. An error ends the task.
type PutToken func(index int, token int32, text string) error

// decodeTarget is an incarnation of a decode worker.
type decodeTarget struct {
	worker      ids.WorkerID
	incarnation ids.Incarnation
}

// handoffTask is a task that is being served, with the state of its current attempt.
type handoffTask struct {
	*Controller
	task          *Task
	attemptID     workerclient.ID
	sent          []int32 // tokens that the client has received
	put           PutToken
	prefillWorker ids.WorkerID
	decodeWorker  ids.WorkerID
	incarnation   ids.Incarnation
	resumeOrdered bool
	claimCalled   bool
	claimedTarget decodeTarget // the arguments of the last call of Claim
}

func (f *handoffTask) trace(s Step, w ids.WorkerID, reason error) {
	if f.Trace == nil {
		return
	}
	e := Event{ID: f.attemptID, Step: s, Worker: w, At: f.Clock.Now(), Regime: f.task.Regime}
	if reason != nil {
		e.Reason = reason.Error()
	}
	f.Trace(e)
}

// Run serves a task to its end. It returns nil if the answer is complete and every token was put.
// Of the kinds of errors, NotExecuted means that nothing was put and nothing runs; DataLost, that
// some tokens were put and the rest will not follow; OutcomeUnknown, that a task with AtMostOnce
// may have run; InvalidArgument, that the task or its claim was refused and a retry is no use.
func (c *Controller) Run(ctx context.Context, t *Task, put PutToken) error {
	f := &handoffTask{Controller: c, task: t, put: put}
	start := c.Clock.Now()
	avoided := map[ids.WorkerID]bool{}
	attempts, waitingSince := 0, ids.Tick(0)
	for n := 1; ; n++ {
		f.attemptID = workerclient.ID{Request: t.Identity.ID.Request, Attempt: n}
		f.prefillWorker, f.decodeWorker, f.incarnation, f.resumeOrdered = "", "", "", false
		err := f.runAttempt(ctx, avoided)
		// If the workers were picked under a version that is no longer in force, they are picked
		// again once this node has the newer one.
		for failure.Is(err, failure.Stale) && f.prefillWorker == "" && !c.Clock.Now().Past(start, t.RetryTimeout) &&
			host.Sleep(ctx, 30*time.Millisecond) {
			err = f.runAttempt(ctx, avoided)
		}
		if err == nil {
			f.trace(Ended, f.decodeWorker, nil)
			return nil
		}
		f.trace(Dropped, f.decodeWorker, err)
		clientGone := ctx.Err() != nil
		if finalErr, retry := f.cleanUp(err, clientGone); !retry {
			return finalErr
		}
		timedOut := len(f.sent) == 0 && c.Clock.Now().Past(start, t.RetryTimeout)
		// Few workers are certified to take over a stream under a regime. While the stream waits
		// for one, at most for retryWait, its attempts are not counted.
		switch attempts++; {
		case t.Regime == "" || f.prefillWorker != "" || f.decodeWorker != "" || len(f.sent) == 0:
			waitingSince = 0
		case waitingSince == 0:
			waitingSince, attempts = c.Clock.Now(), attempts-1
		case !c.Clock.Now().Past(waitingSince, f.retryWait()):
			attempts--
		}
		switch {
		case clientGone:
			return f.finalError(failure.As(ctx.Err(), failure.DataLost, "client disconnected", ""))
		case failure.Is(err, failure.InvalidArgument):
			return err
		case attempts >= t.MaxAttempts || timedOut:
			return f.finalError(err)
		case f.prefillWorker == "" && f.decodeWorker == "" && len(f.sent) == 0 && n == 1:
			return f.finalError(err)
		case f.prefillWorker != "" && !c.Transport.SpendRetry(ctx, f.retryWait()):
			return f.finalError(failure.As(err, failure.KindOf(err), "retry budget is spent", ""))
		case f.prefillWorker == "":
			host.Sleep(ctx, 100*time.Millisecond)
		}
		for _, w := range []ids.WorkerID{f.prefillWorker, f.decodeWorker} {
			if w != "" {
				c.Transport.ReportFault(w)
				avoided[w] = failure.Is(err, failure.DataLost) || failure.Is(err, failure.OutcomeUnknown)
			}
		}
	}
}

// retryWait returns how long a task waits for the retry budget or, under a regime, for an eligible
// worker. Once a stream has begun, a pause is better than an abort, so the task waits long enough for
// the retry budget's key to move to another node. Before the first token, failing fast is better.
func (f *handoffTask) retryWait() time.Duration {
	if len(f.sent) > 0 {
		return 6 * time.Second
	}
	return 300 * time.Millisecond
}

// finalError gives err the kind DataLost if the client has received tokens, else NotExecuted.
func (f *handoffTask) finalError(err error) error {
	kind := failure.NotExecuted
	if len(f.sent) > 0 {
		kind = failure.DataLost
	}
	return failure.As(err, kind, "hand-over", f.attemptID.Request)
}

// deliverMissing puts all tokens that the client has not received yet.
func (f *handoffTask) deliverMissing(tokens []int32, texts []string) error {
	for i := len(f.sent); i < len(tokens); i++ {
		event := workerclient.TokenEvent{Index: i, Token: tokens[i]}
		if i < len(texts) {
			event.Text = texts[i]
		}
		if err := f.deliver(event); err != nil {
			return err
		}
	}
	return nil
}

// deliver puts the token of an event. An index or end count that does not fit is an error.
func (f *handoffTask) deliver(event workerclient.TokenEvent) error {
	if event.Index != len(f.sent) {
		return failure.New(
			failure.DataLost, "stream", string(f.decodeWorker), "token %d came where %d was expected", event.Index, len(f.sent),
		)
	}
	if event.End != "" {
		if event.Count != len(f.sent) {
			return failure.New(
				failure.DataLost, "stream", string(f.decodeWorker), "the stream ended after %d of %d tokens", len(f.sent), event.Count,
			)
		}
		return nil
	}
	if err := f.put(event.Index, event.Token, event.Text); err != nil {
		return failure.As(err, failure.DataLost, "write to client", "")
	}
	f.sent = append(f.sent, event.Token)
	return nil
}
