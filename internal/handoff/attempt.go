// This file takes one attempt of a task through its steps: it reserves memory at both workers, prefills, transfers the KV
// cache to the decode worker, and relays the stream.

package handoff

import (
	"context"
	"slices"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/workerclient"
)

// attempt is one attempt to serve a task.
type attempt struct {
	*handoffTask
	identity workerclient.Identity // as it is sent to the workers
	request  *routing.PickRequest
	avoided  map[ids.WorkerID]bool
	prefill  PickedWorker
	decode   PickedWorker
	decoders []ids.WorkerID // all decode workers at which memory was reserved
	ended    bool           // the decode worker itself reported the end of the run
}

// runAttempt goes through all steps once.
func (f *handoffTask) runAttempt(ctx context.Context, avoided map[ids.WorkerID]bool) error {
	a := f.newAttempt(avoided)
	defer a.release()
	if err := a.reserveWorkers(ctx); err != nil {
		return err
	}
	if err := a.claim(); err != nil {
		return err
	}
	// The claim may have taken long enough for the version to change.
	if a.Transport.PickMayBeOutdated() {
		return failure.New(failure.Stale, "pick", a.identity.ID.Request, "a newer version may be in force")
	}
	exported, err := a.runPrefill(ctx)
	if err != nil {
		return err
	}
	if err := a.importAtDecode(ctx, exported.Identity); err != nil {
		return err
	}
	if err := a.claimTarget(); err != nil {
		return err
	}
	if err := a.resume(ctx); err != nil {
		return err
	}
	// The client gets the first token only now that the KV cache is complete and its digest
	// verified, so that a lost transfer is a retryable failure and not a broken stream.
	if err := a.deliverMissing(exported.Identity.Output, exported.Texts); err != nil {
		return err
	}
	err = a.Transport.Stream(ctx, a.decode.ID, a.attemptID, len(a.sent), a.deliver)
	a.ended = err == nil
	return err
}

// newAttempt returns an attempt that continues after the tokens that the client has received.
func (f *handoffTask) newAttempt(avoided map[ids.WorkerID]bool) *attempt {
	m := f.task.Identity
	m.ID, m.Output = f.attemptID, slices.Clone(f.sent)
	request := &routing.PickRequest{
		Request:      m.ID.Request,
		Kind:         f.task.Kind,
		Model:        m.Model.Name,
		Adapters:     m.Model.Adapters,
		Zone:         f.task.Zone,
		PromptTokens: len(m.Prompt),
		MaxTokens:    m.Params.MaxTokens,
	}
	return &attempt{handoffTask: f, identity: m, request: request, avoided: avoided}
}

// release frees the reservations of the attempt.
func (a *attempt) release() {
	for _, w := range slices.Backward(a.decoders) {
		a.Transport.Release(w, a.attemptID, a.ended)
	}
	if a.prefill.ID != "" {
		a.Transport.Release(a.prefill.ID, a.attemptID, false)
	}
}

// reserveWorkers reserves memory for the whole answer at a decode worker, and for the prompt at a prefill worker.
func (a *attempt) reserveWorkers(ctx context.Context) error {
	if err := a.reserveDecode(ctx); err != nil {
		return err
	}
	a.identity.Model.Weights = a.decode.Model.Weights
	a.task.Identity.Model.Weights = a.decode.Model.Weights
	var err error
	a.prefill, err = a.reserve(ctx, ids.Prefill, len(a.identity.Prompt)+len(a.identity.Output)+1)
	return err
}

// reserveDecode reserves memory for the whole answer at a decode worker.
func (a *attempt) reserveDecode(ctx context.Context) error {
	decode, err := a.reserve(ctx, ids.Decode, len(a.identity.Prompt)+a.identity.Params.MaxTokens)
	if err != nil {
		return err
	}
	a.decode = decode
	a.decoders = append(a.decoders, decode.ID)
	return nil
}

// reserve reserves memory for a number of tokens on the first worker that has enough, in the order
// of the routing program.
func (a *attempt) reserve(ctx context.Context, role ids.Role, tokens int) (PickedWorker, error) {
	a.request.Role, a.request.NeededTokens = role, tokens
	workers := a.Transport.Pick(a.request, a.identity.Model, a.avoided)
	err := failure.New(failure.NotExecuted, "pick "+string(role), "", "no worker is eligible")
	for _, w := range workers {
		if err = a.Transport.Reserve(ctx, w.ID, a.attemptID, ids.Blocks(tokens, w.TokensPerBlock)); err == nil {
			return w, nil
		}
		if failure.Is(err, failure.Stale) {
			return PickedWorker{}, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return PickedWorker{}, failure.As(err, failure.NotExecuted, "reserve "+string(role), "")
}

// claim calls Claim in the first attempt of the task that has reserved memory at both workers.
func (a *attempt) claim() error {
	if a.claimCalled || a.task.Claim == nil {
		return nil
	}
	a.claimCalled, a.claimedTarget = true, decodeTarget{a.decode.ID, a.decode.Incarnation}
	if err := a.task.Claim(a.decode.ID, a.decode.Incarnation); err != nil {
		return failure.As(err, failure.InvalidArgument, "claim", a.identity.ID.Request) // Run does not retry this kind
	}
	return nil
}

// runPrefill has the prefill worker compute the KV cache and export it. The response has the identity that continues
// the request's.
func (a *attempt) runPrefill(ctx context.Context) (*workerclient.OrderResponse, error) {
	w := a.prefill.ID
	a.prefillWorker = w
	a.trace(Granted, w, nil)
	if _, err := a.Transport.Prefill(ctx, w, a.identity); err != nil {
		return nil, err
	}
	a.trace(Prefilled, w, nil)
	response, err := a.Transport.Export(ctx, w, a.attemptID)
	if err != nil {
		return nil, err
	}
	a.trace(Exported, w, nil)
	if response.Identity == nil || !identityMatches(&a.identity, response.Identity) {
		return nil, failure.New(failure.DataLost, "export", string(w), "the exported identity does not match the request")
	}
	a.Transport.Release(w, a.attemptID, true)
	return response, nil
}

// importAtDecode has the decode worker fetch the KV cache. If it refuses, before any token was decoded, the next worker is
// tried.
func (a *attempt) importAtDecode(ctx context.Context, exported *workerclient.Identity) error {
	refused := map[ids.WorkerID]bool{}
	for {
		w := a.decode.ID
		a.decodeWorker = w
		response, err := a.Transport.Import(ctx, w, *exported, a.prefill.ID)
		if err == nil {
			a.incarnation = response.Incarnation
			a.trace(Imported, w, nil)
			return nil
		}
		if !failure.Is(err, failure.NotExecuted) {
			return err
		}
		a.decodeWorker = ""
		a.avoided[w], refused[w] = true, true
		a.Transport.Release(w, a.attemptID, true)
		if err := a.reserveDecode(ctx); err != nil {
			return err
		}
		// Pick may return avoided workers again, but none is tried twice in an attempt.
		if refused[a.decode.ID] {
			return err
		}
	}
}

// claimTarget calls Claim again if the decode worker, or its incarnation, is another one than at the last call.
func (a *attempt) claimTarget() error {
	target := decodeTarget{a.decode.ID, a.incarnation}
	if a.task.Claim == nil || a.claimedTarget == target {
		return nil
	}
	if err := a.task.Claim(target.worker, target.incarnation); err != nil {
		return failure.As(err, failure.NotExecuted, "claim again", a.identity.ID.Request)
	}
	a.claimedTarget = target
	return nil
}

// resume has the decode worker generate tokens once it has the whole KV cache.
func (a *attempt) resume(ctx context.Context) error {
	a.resumeOrdered = true
	if _, err := a.Transport.Resume(ctx, a.decode.ID, a.attemptID); err != nil {
		return err
	}
	a.trace(Resumed, a.decode.ID, nil)
	if a.task.Regime != "" {
		// The exported KV cache is no longer needed and must not outlive the source's certificate.
		go a.Transport.Cancel(context.WithoutCancel(ctx), a.prefill.ID, a.attemptID)
	}
	return nil
}

// identityMatches reports whether the exported identity, out, continues the one sent, in.
func identityMatches(in, out *workerclient.Identity) bool {
	return out.ID == in.ID && in.Model.Serves(out.Model) && out.Params == in.Params &&
		out.Computed >= len(in.Prompt) && slices.Equal(out.Prompt, in.Prompt) &&
		len(out.Output) >= len(in.Output) && slices.Equal(out.Output[:len(in.Output)], in.Output)
}
