// The controller moves one request: granted, prefilled, exported, imported,
// resumed, ended, or dropped on the way. Room to finish the whole answer is
// booked before anything runs, and resume, with every byte of the memory in, is
// the point of no return, before which no piece goes out.

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

// Transport give the controller its reach: every order goes through the worker's
// one duty holder.
type Transport interface {
	Pick(q *routing.PickRequest, on workerclient.Model, excluded map[ids.WorkerID]bool) []PickedWorker
	Reserve(ctx context.Context, w ids.WorkerID, id workerclient.ID, blocks int) error
	Prefill(ctx context.Context, w ids.WorkerID, m workerclient.Identity) (*workerclient.OrderResponse, error)
	Export(ctx context.Context, w ids.WorkerID, id workerclient.ID) (*workerclient.OrderResponse, error)
	Import(ctx context.Context, w ids.WorkerID, m workerclient.Identity, source ids.WorkerID) (*workerclient.OrderResponse, error)
	Resume(ctx context.Context, w ids.WorkerID, id workerclient.ID) (*workerclient.OrderResponse, error)
	Cancel(ctx context.Context, w ids.WorkerID, id workerclient.ID) (*workerclient.OrderResponse, error)
	Release(w ids.WorkerID, id workerclient.ID, sure bool)
	Stream(ctx context.Context, w ids.WorkerID, id workerclient.ID, from int, put func(workerclient.TokenEvent) error) error
	// SpendRetry asks for one recompute, waiting a while for it if need be.
	SpendRetry(ctx context.Context, wait time.Duration) bool
	ReportFault(w ids.WorkerID)
	// PickedUnderStaleVersion tells that what was picked last was picked under a version which may be
	// no longer in force.
	PickedUnderStaleVersion() bool
}

// PickedWorker is a cleared worker with what it runs on.
type PickedWorker struct {
	ID             ids.WorkerID
	Model          workerclient.Model
	TokensPerBlock int
	Incarnation    ids.Incarnation
}

// Step is how far a hand-over has come.
type Step string

const (
	Granted   Step = "granted"   // a prefill worker is chosen
	Prefilled Step = "prefilled" // that has computed the KV
	Exported  Step = "exported"  // and keeps it ready to be fetched
	Imported  Step = "imported"  // the decode worker has reserved room for it
	Resumed   Step = "resumed"   // the decode worker has all of it, and runs
	Ended     Step = "ended"     // the stream came to its end
	Dropped   Step = "dropped"   // the attempt was given up
)

// Event is one step of one hand-over.
type Event struct {
	ID     workerclient.ID `json:"Id"`
	Step   Step            `json:"Stage"`
	Worker ids.WorkerID
	At     ids.Tick
	Reason string `json:"Why"`
	Regime string // that the task is bound to, if any
}

// Task is one request.
type Task struct {
	Identity     workerclient.Identity
	Kind         string
	Zone         ids.Zone
	Claimed      bool
	Regime       string
	MaxAttempts  int
	RetryTimeout time.Duration
	// Claim is called when room is booked at both workers and nothing has been sent
	// to either, with the decode worker and its life; its error then ends the task
	// with nothing run. It is called again before a resume at another worker or life
	// than it was last told, so that it is known where a run may have begun.
	Claim func(w ids.WorkerID, incarnation ids.Incarnation) error
}

// Controller runs tasks.
type Controller struct {
	Transport     Transport
	Clock         host.Clock
	OrphanTimeout time.Duration // after so long an attempt without a controller is surely over
	StreamTimeout time.Duration // a worker silent for so long within a stream is lost
	Trace         func(Event)
}

// PutToken hands a piece to the origin. An error ends the task.
type PutToken func(index int, tok int32, text string) error

type decodeTarget struct {
	worker      ids.WorkerID
	incarnation ids.Incarnation
}

// handoffTask is a task on its way.
type handoffTask struct {
	*Controller
	task          *Task
	attemptID     workerclient.ID
	sent          []int32
	put           PutToken
	prefillWorker ids.WorkerID
	decodeWorker  ids.WorkerID
	incarnation   ids.Incarnation
	resumeOrdered bool         // resume was ordered
	claimCalled   bool         // Claim was called
	claimedTarget decodeTarget // what it was told last
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

// Run carries a task to its end. Nil means that every piece was put and the
// answer is whole. Bounced: nothing was put, and nothing runs. Lost: some pieces
// were put and the rest will not come. Unknown: a claimed task may have run.
func (c *Controller) Run(ctx context.Context, t *Task, put PutToken) error {
	f := &handoffTask{Controller: c, task: t, put: put}
	start := c.Clock.Now()
	excluded := map[ids.WorkerID]bool{}
	attempts, since := 0, ids.Tick(0)
	for n := 1; ; n++ {
		f.attemptID = workerclient.ID{Request: t.Identity.ID.Request, Attempt: n}
		f.prefillWorker, f.decodeWorker, f.incarnation, f.resumeOrdered = "", "", "", false
		err := f.attempt(ctx, excluded)
		// Picked under a version that is no longer in force: picked anew, once the
		// newer one is here.
		for failure.Is(err, failure.Stale) && f.prefillWorker == "" && !c.Clock.Now().Past(start, t.RetryTimeout) &&
			host.Sleep(ctx, 30*time.Millisecond) {
			err = f.attempt(ctx, excluded)
		}
		if err == nil {
			f.trace(Ended, f.decodeWorker, nil)
			return nil
		}
		f.trace(Dropped, f.decodeWorker, err)
		gone := ctx.Err() != nil
		if done, again := f.cleanUp(err, gone); !again {
			return done
		}
		late := len(f.sent) == 0 && c.Clock.Now().Past(start, t.RetryTimeout)
		// Few workers may take over a governed stream: it waits for one of them.
		switch attempts++; {
		case t.Regime == "" || f.prefillWorker != "" || f.decodeWorker != "" || len(f.sent) == 0:
			since = 0
		case since == 0:
			since, attempts = c.Clock.Now(), attempts-1
		case !c.Clock.Now().Past(since, f.retryBudgetWait()):
			attempts--
		}
		switch {
		case gone:
			return f.finalError(failure.As(ctx.Err(), failure.DataLost, "origin went away", ""))
		case failure.Is(err, failure.InvalidArgument):
			return err
		case attempts >= t.MaxAttempts || late:
			return f.finalError(err)
		case f.prefillWorker == "" && f.decodeWorker == "" && len(f.sent) == 0 && n == 1:
			return f.finalError(err)
		case f.prefillWorker != "" && !c.Transport.SpendRetry(ctx, f.retryBudgetWait()):
			return f.finalError(failure.As(err, failure.KindOf(err), "retry budget is spent", ""))
		case f.prefillWorker == "":
			host.Sleep(ctx, 100*time.Millisecond)
		}
		for _, w := range []ids.WorkerID{f.prefillWorker, f.decodeWorker} {
			if w != "" {
				c.Transport.ReportFault(w)
				excluded[w] = failure.Is(err, failure.DataLost) || failure.Is(err, failure.OutcomeUnknown)
			}
		}
	}
}

// retryBudgetWait: a stream that has begun is better paused than broken, so it waits for
// the budget, even for one that is between two hands. Before the first piece the
// origin is better told at once.
func (f *handoffTask) retryBudgetWait() time.Duration {
	if len(f.sent) > 0 {
		return 6 * time.Second
	}
	return 300 * time.Millisecond
}

// finalError names a failed task by what its origin has seen of it.
func (f *handoffTask) finalError(err error) error {
	kind := failure.NotExecuted
	if len(f.sent) > 0 {
		kind = failure.DataLost
	}
	return failure.As(err, kind, "hand-over", f.attemptID.Request)
}

// attempt goes once through all the stages.
func (f *handoffTask) attempt(ctx context.Context, excluded map[ids.WorkerID]bool) error {
	t, h := f.task, f.Transport
	m := t.Identity
	m.ID, m.Output = f.attemptID, append([]int32(nil), f.sent...)
	ask := &routing.PickRequest{
		Request:      m.ID.Request,
		Kind:         t.Kind,
		Model:        m.Model.Name,
		Adapters:     m.Model.Adapters,
		Zone:         t.Zone,
		PromptTokens: len(m.Prompt),
		MaxTokens:    m.Params.MaxTokens,
		Role:         ids.Decode,
	}
	complete := len(m.Prompt) + m.Params.MaxTokens
	to, err := f.reserve(ctx, ask, m.Model, complete, excluded)
	if err != nil {
		return err
	}
	m.Model.Weights = to.Model.Weights
	t.Identity.Model.Weights = to.Model.Weights
	ended := false // the worker's own word that the run came to its end
	defer func(w ids.WorkerID) { h.Release(w, f.attemptID, ended) }(to.ID)
	ask.Role = ids.Prefill
	from, err := f.reserve(ctx, ask, m.Model, len(m.Prompt)+len(m.Output)+1, excluded)
	if err != nil {
		return err
	}
	defer h.Release(from.ID, f.attemptID, false)
	if !f.claimCalled && t.Claim != nil {
		f.claimCalled, f.claimedTarget = true, decodeTarget{to.ID, to.Incarnation}
		if err := t.Claim(to.ID, to.Incarnation); err != nil {
			return failure.As(err, failure.InvalidArgument, "claim", m.ID.Request)
		}
	}
	// A claim may take long.
	if h.PickedUnderStaleVersion() {
		return failure.New(failure.Stale, "pick", m.ID.Request, "a newer version may be in force")
	}
	f.prefillWorker = from.ID
	f.trace(Granted, from.ID, nil)
	if _, err = h.Prefill(ctx, from.ID, m); err != nil {
		return err
	}
	f.trace(Prefilled, from.ID, nil)
	a, err := h.Export(ctx, from.ID, f.attemptID)
	if err != nil {
		return err
	}
	f.trace(Exported, from.ID, nil)
	got, texts := a.Identity, a.Texts
	if got == nil || !f.identityMatches(&m, got) {
		return failure.New(failure.DataLost, "export", string(from.ID), "what came back is not what went in")
	}
	h.Release(from.ID, f.attemptID, true)
	full := map[ids.WorkerID]bool{}
	for {
		f.decodeWorker = to.ID
		if a, err = h.Import(ctx, to.ID, *got, from.ID); err == nil {
			break
		}
		if !failure.Is(err, failure.NotExecuted) {
			return err
		}
		// Refused before any token of the decode side: the next one is tried.
		f.decodeWorker = ""
		excluded[to.ID], full[to.ID] = true, true
		h.Release(to.ID, f.attemptID, true)
		ask.Role = ids.Decode
		reason := err
		if to, err = f.reserve(ctx, ask, m.Model, complete, excluded); err != nil {
			return err
		}
		defer func(w ids.WorkerID) { h.Release(w, f.attemptID, ended) }(to.ID)
		// Where all are shunned they are picked all the same, but none twice in an attempt.
		if full[to.ID] {
			return reason
		}
	}
	f.incarnation = a.Incarnation
	f.trace(Imported, to.ID, nil)
	if now := (decodeTarget{to.ID, a.Incarnation}); t.Claim != nil && f.claimedTarget != now {
		if err := t.Claim(to.ID, a.Incarnation); err != nil {
			return failure.As(err, failure.NotExecuted, "claim anew", m.ID.Request)
		}
		f.claimedTarget = now
	}
	f.resumeOrdered = true
	if _, err = h.Resume(ctx, to.ID, f.attemptID); err != nil {
		return err
	}
	f.trace(Resumed, to.ID, nil)
	if t.Regime != "" {
		// What lies staged is of no more use, and may not outlive the source's certificate.
		go h.Cancel(context.WithoutCancel(ctx), from.ID, f.attemptID)
	}
	// Only now, with every byte in and the digest right, does the origin get
	// the first piece: a lost transfer is a bounce, not a broken stream.
	if err := f.deliverMissing(got.Output, texts); err != nil {
		return err
	}
	err = h.Stream(ctx, to.ID, f.attemptID, len(f.sent), f.deliver)
	ended = err == nil
	return err
}

// identityMatches checks that the identity which travels on is the one that was sent in.
func (f *handoffTask) identityMatches(in, out *workerclient.Identity) bool {
	if out.ID != in.ID || len(out.Prompt) != len(in.Prompt) || len(out.Output) < len(in.Output) ||
		!in.Model.Offers(out.Model) || out.Params != in.Params || out.Computed < len(in.Prompt) {
		return false
	}
	for i := range in.Prompt {
		if in.Prompt[i] != out.Prompt[i] {
			return false
		}
	}
	for i := range in.Output {
		if in.Output[i] != out.Output[i] {
			return false
		}
	}
	return true
}

// reserve reserves room on the first worker that has it, in the program's order.
func (f *handoffTask) reserve(
	ctx context.Context,
	ask *routing.PickRequest,
	on workerclient.Model,
	toks int,
	excluded map[ids.WorkerID]bool,
) (PickedWorker, error) {
	ask.NeededTokens = toks
	list := f.Transport.Pick(ask, on, excluded)
	err := failure.New(failure.NotExecuted, "pick "+string(ask.Role), "", "no worker is cleared")
	for _, c := range list {
		if err = f.Transport.Reserve(ctx, c.ID, f.attemptID, ids.Blocks(toks, c.TokensPerBlock)); err == nil {
			return c, nil
		}
		if failure.Is(err, failure.Stale) {
			return PickedWorker{}, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return PickedWorker{}, failure.As(err, failure.NotExecuted, "book "+string(ask.Role), "")
}

// deliverMissing puts all tokens that the origin has not had yet.
func (f *handoffTask) deliverMissing(out []int32, texts []string) error {
	for i := len(f.sent); i < len(out); i++ {
		p := workerclient.TokenEvent{Index: i, Token: out[i]}
		if i < len(texts) {
			p.Text = texts[i]
		}
		if err := f.deliver(p); err != nil {
			return err
		}
	}
	return nil
}

// deliver passes on index = last+1 only.
func (f *handoffTask) deliver(p workerclient.TokenEvent) error {
	if p.Index != len(f.sent) {
		return failure.New(
			failure.DataLost, "stream", string(f.decodeWorker), "piece %d came where %d was due", p.Index, len(f.sent),
		)
	}
	if p.End != "" {
		if p.Count != len(f.sent) {
			return failure.New(
				failure.DataLost, "stream", string(f.decodeWorker), "an end after %d of %d pieces", len(f.sent), p.Count,
			)
		}
		return nil
	}
	if err := f.put(p.Index, p.Token, p.Text); err != nil {
		return failure.As(err, failure.DataLost, "write to origin", "")
	}
	f.sent = append(f.sent, p.Token)
	return nil
}
