// What follows a lost attempt. Nothing is recomputed before the earlier attempt
// is confirmed cancelled or its time is surely over, and a claimed task whose
// run may have begun is never run again.

package handoff

import (
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/workerclient"
)

// Canceler is what clean needs of Transport; resolving a dead node's claims uses it
// too.
type Canceler interface {
	Cancel(ctx context.Context, w ids.WorkerID, id workerclient.ID) (*workerclient.OrderResponse, error)
}

// cleanUp ends the attempt at both workers. It tells the task's final error if
// there is nothing more to try; a nil one means that the answer is whole.
func (f *handoffTask) cleanUp(cause error, gone bool) (error, bool) {
	// The origin's context may be over; the attempt must be ended all the same.
	ctx, stop := context.WithTimeout(context.Background(), f.OrphanTimeout+2*time.Second)
	defer stop()
	if f.prefillWorker != "" {
		f.cancelAttempt(ctx, f.prefillWorker)
	}
	if f.decodeWorker == "" {
		return nil, true
	}
	a, err := f.cancelAttempt(ctx, f.decodeWorker)
	switch {
	case err != nil && f.task.Claimed && f.resumeOrdered:
		return failure.As(cause, failure.OutcomeUnknown, "hand-over", f.attemptID.Request), false
	case err != nil && !gone:
		// The worker cannot be asked. Once the orphan's time is over it has
		// dropped the import, or stopped the run that nobody reads.
		if !failure.Is(err, failure.DataLost) {
			host.Sleep(ctx, f.OrphanTimeout+300*time.Millisecond)
		}
		return nil, true
	case err != nil:
		return nil, true
	case a.Done && !gone:
		if err := f.deliverMissing(a.Output, a.Texts); err != nil {
			return f.finalError(err), false
		}
		return nil, false
	case f.task.Claimed && f.resumeOrdered && a.Fate != workerclient.FateNever:
		return failure.As(cause, failure.OutcomeUnknown, "hand-over", f.attemptID.Request), false
	}
	return nil, true
}

// cancelAttempt cancels at one worker, trying a few times. A worker that has begun a new
// life has lost the attempt; what came of it is not known.
func (f *handoffTask) cancelAttempt(ctx context.Context, w ids.WorkerID) (*workerclient.OrderResponse, error) {
	var err error
	for n := range 3 {
		if n > 0 && !host.Sleep(ctx, 150*time.Millisecond) {
			break
		}
		cx, end := context.WithTimeout(ctx, 900*time.Millisecond)
		var a *workerclient.OrderResponse
		a, err = f.Transport.Cancel(cx, w, f.attemptID)
		end()
		if err == nil && w == f.decodeWorker && f.incarnation != "" && a.Incarnation != f.incarnation {
			return nil, failure.New(failure.DataLost, "cancel", string(w), "the worker began a new life")
		}
		if err == nil {
			return a, nil
		}
		if failure.Is(err, failure.DataLost) {
			break
		}
	}
	return nil, err
}
