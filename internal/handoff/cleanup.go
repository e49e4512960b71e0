// This file cleans up after a failed attempt. Nothing is recomputed before the earlier attempt is
// confirmed cancelled or has certainly timed out, and a task with AtMostOnce whose run may have
// begun is never run again.

package handoff

import (
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/workerclient"
)

// cleanUp ends the attempt at both workers and reports whether the task may be retried. If
// not, it returns the final error of the task, or nil if the answer is complete.
func (f *handoffTask) cleanUp(cause error, clientGone bool) (error, bool) {
	// The client's context may have ended; the attempt must be ended nevertheless.
	ctx, stop := context.WithTimeout(context.Background(), f.OrphanTimeout+2*time.Second)
	defer stop()
	if f.prefillWorker != "" {
		f.cancelAttempt(ctx, f.prefillWorker)
	}
	if f.decodeWorker == "" {
		return nil, true
	}
	response, err := f.cancelAttempt(ctx, f.decodeWorker)
	switch {
	case err != nil && f.task.AtMostOnce && f.resumeOrdered:
		return failure.As(cause, failure.OutcomeUnknown, "hand-over", f.attemptID.Request), false
	case err != nil && !clientGone:
		// The worker cannot be reached. Once the orphan timeout has passed, it has dropped
		// the import or stopped the run whose stream has no reader.
		if !failure.Is(err, failure.DataLost) {
			host.Sleep(ctx, f.OrphanTimeout+300*time.Millisecond)
		}
		return nil, true
	case err != nil:
		return nil, true
	case response.Done && !clientGone:
		if err := f.deliverMissing(response.Output, response.Texts); err != nil {
			return f.finalError(err), false
		}
		return nil, false
	case f.task.AtMostOnce && f.resumeOrdered && response.Fate != workerclient.FateNotStarted:
		return failure.As(cause, failure.OutcomeUnknown, "hand-over", f.attemptID.Request), false
	}
	return nil, true
}

// cancelAttempt cancels the attempt at one worker, with up to three tries. A worker with a new
// incarnation has lost the attempt, and the outcome is not known.
func (f *handoffTask) cancelAttempt(ctx context.Context, w ids.WorkerID) (*workerclient.OrderResponse, error) {
	var err error
	for n := range 3 {
		if n > 0 && !host.Sleep(ctx, 150*time.Millisecond) {
			break
		}
		callContext, stop := context.WithTimeout(ctx, 900*time.Millisecond)
		var response *workerclient.OrderResponse
		response, err = f.Transport.Cancel(callContext, w, f.attemptID)
		stop()
		if err == nil && w == f.decodeWorker && f.incarnation != "" && response.Incarnation != f.incarnation {
			return nil, failure.New(failure.DataLost, "cancel", string(w), "the worker has a new incarnation")
		}
		if err == nil {
			return response, nil
		}
		if failure.Is(err, failure.DataLost) {
			break
		}
	}
	return nil, err
}
