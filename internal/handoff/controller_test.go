// Tests of the controller with a fake transport: the failures of a handoff, and what the
// client then receives.

package handoff

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/workerclient"
)

var testAnswer = []int32{11, 12, 13, 14, 15}

// fakeTransport simulates two prefill workers, p1 and p2, and two decode workers, d1 and d2, whose
// answers a test sets.
type fakeTransport struct {
	fullWorkers   map[ids.WorkerID]bool // refuse imports
	alterIdentity func(m *workerclient.Identity)
	onResume      func(n int) error
	onStream      func(n, from int, put func(workerclient.TokenEvent) error) error
	onCancel      func(n int) (*workerclient.OrderResponse, error)
	retryBudget   int // recomputes that are granted
	resumes       int
	cancels       int
	prefills      int
	imports       []ids.WorkerID
	reserved      map[string]int // open reservations by worker and request
	onClaim       func(w ids.WorkerID, incarnation ids.Incarnation) error
	stalePicks    int // this many picks are reported as made under a stale version
	picks         int
	regime        string
	emptyPicks    int  // this many picks find no eligible worker, once a run was resumed
	pickAvoided   bool // Pick returns the avoided workers if there are no others
}

func dataLostError() error    { return failure.New(failure.DataLost, "test", "w", "lost") }
func notExecutedError() error { return failure.New(failure.NotExecuted, "test", "w", "bounced") }

func (s *fakeTransport) Pick(q *routing.PickRequest, _ workerclient.Model, avoided map[ids.WorkerID]bool) []PickedWorker {
	s.picks++
	if s.emptyPicks > 0 && s.resumes > 0 {
		s.emptyPicks--
		return nil
	}
	var out []PickedWorker
	for _, id := range []ids.WorkerID{"1", "2"} {
		w := ids.WorkerID(q.Role[:1]) + id
		if !avoided[w] {
			out = append(out, PickedWorker{ID: w, Model: workerclient.Model{Name: "m", Weights: "w1"}, TokensPerBlock: 16})
		}
	}
	if len(out) == 0 && s.pickAvoided {
		return s.Pick(q, workerclient.Model{}, nil)
	}
	return out
}

func (s *fakeTransport) Reserve(_ context.Context, w ids.WorkerID, id workerclient.ID, _ int) error {
	s.reserved[string(w)+id.Request]++
	return nil
}

func (s *fakeTransport) Prefill(
	_ context.Context,
	_ ids.WorkerID,
	m workerclient.Identity,
) (*workerclient.OrderResponse, error) {
	s.prefills++
	m.Computed = len(m.Prompt)
	if len(m.Output) == 0 {
		m.Output = testAnswer[:1]
	}
	return &workerclient.OrderResponse{Identity: &m}, nil
}

func (s *fakeTransport) Export(_ context.Context, _ ids.WorkerID, id workerclient.ID) (*workerclient.OrderResponse, error) {
	m := testIdentity()
	m.ID, m.Output, m.Computed = id, testAnswer[:1], len(m.Prompt)
	m.Model.Weights = "w1"
	if s.alterIdentity != nil {
		s.alterIdentity(&m)
	}
	return &workerclient.OrderResponse{Identity: &m}, nil
}

func (s *fakeTransport) Import(
	_ context.Context,
	w ids.WorkerID,
	_ workerclient.Identity,
	_ ids.WorkerID,
) (*workerclient.OrderResponse, error) {
	s.imports = append(s.imports, w)
	if len(s.imports) > 100 {
		panic("more than 100 imports: the same workers are tried without end")
	}
	if s.fullWorkers[w] {
		return nil, notExecutedError()
	}
	return &workerclient.OrderResponse{Incarnation: "one"}, nil
}

func (s *fakeTransport) Resume(context.Context, ids.WorkerID, workerclient.ID) (*workerclient.OrderResponse, error) {
	s.resumes++
	if s.onResume != nil {
		if err := s.onResume(s.resumes); err != nil {
			return nil, err
		}
	}
	return &workerclient.OrderResponse{}, nil
}

func (s *fakeTransport) Cancel(_ context.Context, w ids.WorkerID, _ workerclient.ID) (*workerclient.OrderResponse, error) {
	if w[0] == 'p' {
		return &workerclient.OrderResponse{Fate: workerclient.FateNotStarted}, nil
	}
	s.cancels++
	if s.onCancel != nil {
		return s.onCancel(s.cancels)
	}
	return &workerclient.OrderResponse{Fate: workerclient.FateNotStarted, Incarnation: "one"}, nil
}

func (s *fakeTransport) Release(w ids.WorkerID, id workerclient.ID, _ bool) {
	s.reserved[string(w)+id.Request] = 0
}
func (s *fakeTransport) ReportFault(ids.WorkerID) {}
func (s *fakeTransport) PickMayBeOutdated() bool  { s.stalePicks--; return s.stalePicks >= 0 }

func (s *fakeTransport) Stream(
	_ context.Context,
	_ ids.WorkerID,
	_ workerclient.ID,
	from int,
	put func(workerclient.TokenEvent) error,
) error {
	if s.onStream != nil {
		return s.onStream(s.resumes, from, put)
	}
	return sendTokens(put, from, len(testAnswer), true)
}

func (s *fakeTransport) SpendRetry(context.Context, time.Duration) bool {
	s.retryBudget--
	return s.retryBudget >= 0
}

func sendTokens(put func(workerclient.TokenEvent) error, from, to int, complete bool) error {
	for i := from; i < to; i++ {
		if err := put(workerclient.TokenEvent{Index: i, Token: testAnswer[i]}); err != nil {
			return err
		}
	}
	if complete {
		return put(workerclient.TokenEvent{Index: to, End: "stop", Count: to})
	}
	return dataLostError()
}

func testIdentity() workerclient.Identity {
	return workerclient.Identity{
		ID:     workerclient.ID{Request: "r"},
		Prompt: []int32{1, 2, 3},
		Params: workerclient.Params{MaxTokens: 5},
		Model:  workerclient.Model{Name: "m"},
	}
}

func runTask(t *testing.T, s *fakeTransport, claimed bool) (got []int32, took time.Duration, err error) {
	s.reserved = map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		c := &Controller{
			Transport:     s,
			Clock:         simulated.NewWorld(1).Machine("10.0.0.1").Start().Host().Clock,
			OrphanTimeout: 2 * time.Second,
		}
		start := time.Now()
		err = c.Run(context.Background(), &Task{
			Identity:     testIdentity(),
			AtMostOnce:   claimed,
			Regime:       s.regime,
			Claim:        s.onClaim,
			MaxAttempts:  3,
			RetryTimeout: 10 * time.Second,
		}, func(i int, tok int32, _ string) error {
			require.Equal(t, len(got), i)
			got = append(got, tok)
			return nil
		})
		took = time.Since(start)
	})
	for k, n := range s.reserved {
		require.Zero(t, n, "a reservation was not released: %s", k)
	}
	return got, took, err
}

// TestHandoffWithoutFaults checks that in a handoff without faults, decoding is resumed exactly once
// and the complete response is delivered.
func TestHandoffWithoutFaults(t *testing.T) {
	s := &fakeTransport{}
	got, _, err := runTask(t, s, true)
	require.NoError(t, err)
	require.Equal(t, testAnswer, got)
	require.Equal(t, 1, s.resumes)
}

// TestRefusedImport checks that a refused import is tried at the next worker before any token is
// put. If no worker has enough memory, the request fails at once as not executed.
func TestRefusedImport(t *testing.T) {
	s := &fakeTransport{fullWorkers: map[ids.WorkerID]bool{"d1": true}}
	got, _, err := runTask(t, s, false)
	require.NoError(t, err)
	require.Equal(t, testAnswer, got)
	require.Equal(t, []ids.WorkerID{"d1", "d2"}, s.imports)
	s = &fakeTransport{fullWorkers: map[ids.WorkerID]bool{"d1": true, "d2": true}}
	got, took, err := runTask(t, s, false)
	require.True(t, failure.Is(err, failure.NotExecuted), "%v", err)
	require.Empty(t, got)
	require.Less(t, took, time.Second, "the failure is reported at once")
}

// TestAllDecodeWorkersFull checks that each decode worker is tried once per attempt, and that the
// task fails as not executed, if all refuse the import and the node picks avoided workers as a
// last resort. Otherwise the same workers would be tried without end.
func TestAllDecodeWorkersFull(t *testing.T) {
	s := &fakeTransport{fullWorkers: map[ids.WorkerID]bool{"d1": true, "d2": true}, pickAvoided: true, retryBudget: 5}
	got, _, err := runTask(t, s, false)
	require.True(t, failure.Is(err, failure.NotExecuted), "%v", err)
	require.Empty(t, got)
	require.LessOrEqual(t, len(s.imports), 2*3)
}

// TestInvalidTokenEvents checks that the client never takes a stream with a gap, a repeated token
// or an early end for a complete answer. With retry budget the rest is recomputed.
func TestInvalidTokenEvents(t *testing.T) {
	for name, invalid := range map[string]func(put func(workerclient.TokenEvent) error) error{
		"gap": func(put func(workerclient.TokenEvent) error) error {
			return put(workerclient.TokenEvent{Index: 3, Token: 14})
		},
		"repeat": func(put func(workerclient.TokenEvent) error) error {
			return put(workerclient.TokenEvent{Index: 0, Token: 11})
		},
		"early end": func(put func(workerclient.TokenEvent) error) error {
			return put(workerclient.TokenEvent{Index: 1, End: "stop", Count: 5})
		},
		"cut": func(put func(workerclient.TokenEvent) error) error { return sendTokens(put, 1, 3, false) },
	} {
		for budget := range 2 {
			s := &fakeTransport{retryBudget: budget, onStream: func(n, from int, put func(workerclient.TokenEvent) error) error {
				if n == 1 {
					return invalid(put)
				}
				return sendTokens(put, from, len(testAnswer), true)
			}}
			s.alterIdentity = func(m *workerclient.Identity) {
				if m.ID.Attempt > 1 {
					m.Output = testAnswer[:max(1, map[string]int{"cut": 3}[name])]
				}
			}
			got, _, err := runTask(t, s, false)
			if budget == 0 {
				require.True(t, failure.Is(err, failure.DataLost), "%s: %v", name, err)
				require.Equal(t, 1, s.prefills, "%s: recomputed without retry budget", name)
				continue
			}
			require.NoError(t, err, name)
			require.Equal(t, testAnswer, got, name)
		}
	}
}

// TestExportedIdentityMismatch checks that nothing is resumed if the exported identity differs from
// the one that was sent to the prefill worker.
func TestExportedIdentityMismatch(t *testing.T) {
	for name, alter := range map[string]func(m *workerclient.Identity){
		"other prompt":            func(m *workerclient.Identity) { m.Prompt = []int32{1, 2, 4} },
		"other request":           func(m *workerclient.Identity) { m.ID.Request = "x" },
		"other attempt":           func(m *workerclient.Identity) { m.ID.Attempt++ },
		"other seed":              func(m *workerclient.Identity) { m.Params.Seed++ },
		"other weights":           func(m *workerclient.Identity) { m.Model.Weights = "w2" },
		"prompt computed in part": func(m *workerclient.Identity) { m.Computed = 1 },
	} {
		s := &fakeTransport{alterIdentity: alter}
		got, _, err := runTask(t, s, false)
		require.Error(t, err, name)
		require.Empty(t, got, name)
		require.Zero(t, s.resumes, name)
	}
}

// TestClaimedTaskRunsOnce checks that a claimed task whose run may have begun is never run again:
// not if its worker cannot be reached, restarted, or stopped the run midway. A run that certainly
// never began is tried again.
func TestClaimedTaskRunsOnce(t *testing.T) {
	truncated := func(n, from int, put func(workerclient.TokenEvent) error) error {
		if n == 1 {
			return dataLostError()
		}
		return sendTokens(put, from, len(testAnswer), true)
	}
	for name, onCancel := range map[string]func(int) (*workerclient.OrderResponse, error){
		"cannot be reached": func(int) (*workerclient.OrderResponse, error) { return nil, notExecutedError() },
		"memory lost":       func(int) (*workerclient.OrderResponse, error) { return nil, dataLostError() },
		"new incarnation": func(int) (*workerclient.OrderResponse, error) {
			return &workerclient.OrderResponse{Fate: workerclient.FateNotStarted, Incarnation: "two"}, nil
		},
		"stopped midway": func(int) (*workerclient.OrderResponse, error) {
			return &workerclient.OrderResponse{Fate: workerclient.FateStopped, Incarnation: "one"}, nil
		},
	} {
		s := &fakeTransport{retryBudget: 5, onStream: truncated, onCancel: onCancel}
		_, _, err := runTask(t, s, true)
		require.True(t, failure.Is(err, failure.OutcomeUnknown), "%s: %v", name, err)
		require.Equal(t, 1, s.resumes, name)
	}
	s := &fakeTransport{retryBudget: 5, onResume: func(n int) error {
		if n == 1 {
			return dataLostError()
		}
		return nil
	}}
	got, _, err := runTask(t, s, true)
	require.NoError(t, err)
	require.Equal(t, testAnswer, got)
	s = &fakeTransport{onStream: truncated, onCancel: func(int) (*workerclient.OrderResponse, error) {
		return &workerclient.OrderResponse{
			Fate:        workerclient.FateFinished,
			Done:        true,
			Output:      testAnswer,
			Incarnation: "one",
		}, nil
	}}
	got, _, err = runTask(t, s, true)
	require.NoError(t, err, "the run had finished; its output is delivered")
	require.Equal(t, testAnswer, got)
	require.Equal(t, 1, s.resumes)
}

// TestClaimRecordsDecodeWorker checks that Claim is called with the place where the task may run
// before anything is sent, and again before a resume elsewhere: at the next worker after a refused
// import, or in another incarnation than was known. If that call fails, nothing is resumed.
func TestClaimRecordsDecodeWorker(t *testing.T) {
	var claims []string
	s := &fakeTransport{retryBudget: 5, fullWorkers: map[ids.WorkerID]bool{"d1": true}}
	s.onClaim = func(w ids.WorkerID, incarnation ids.Incarnation) error {
		require.Zero(t, s.resumes)
		claims = append(claims, string(w)+"/"+string(incarnation))
		return nil
	}
	_, _, err := runTask(t, s, true)
	require.NoError(t, err)
	require.Equal(t, []string{"d1/", "d2/one"}, claims)
	s = &fakeTransport{retryBudget: 5}
	calls := 0
	s.onClaim = func(ids.WorkerID, ids.Incarnation) error {
		if calls++; calls > 1 {
			return dataLostError()
		}
		return nil
	}
	_, _, err = runTask(t, s, true)
	require.True(t, failure.Is(err, failure.NotExecuted), "%v", err)
	require.Zero(t, s.resumes)
}

// TestStaleVersionAfterClaim checks that workers are picked again, and the key is not claimed
// again, if a newer version arrives while the key is being claimed. Nothing is sent before.
func TestStaleVersionAfterClaim(t *testing.T) {
	claims := 0
	s := &fakeTransport{stalePicks: 2, onClaim: func(ids.WorkerID, ids.Incarnation) error { claims++; return nil }}
	got, _, err := runTask(t, s, true)
	require.NoError(t, err)
	require.Equal(t, testAnswer, got)
	require.Equal(t, 1, s.prefills, "one prefill")
	require.Equal(t, 6, s.picks, "picked again twice, for both roles")
	require.Equal(t, 2, claims, "once, and once before the resume, when the incarnation is known")
}

// TestRecomputeWaitsForOrphanTimeout checks that nothing is recomputed before the orphan timeout if
// the earlier attempt cannot be cancelled.
func TestRecomputeWaitsForOrphanTimeout(t *testing.T) {
	var secondStream time.Time
	firstStream := time.Now()
	s := &fakeTransport{retryBudget: 5, onCancel: func(int) (*workerclient.OrderResponse, error) { return nil, notExecutedError() }}
	s.onStream = func(n, from int, put func(workerclient.TokenEvent) error) error {
		if n == 1 {
			firstStream = time.Now()
			return dataLostError()
		}
		secondStream = time.Now()
		return sendTokens(put, from, len(testAnswer), true)
	}
	_, _, err := runTask(t, s, false)
	require.NoError(t, err)
	require.Greater(t, secondStream.Sub(firstStream), 2*time.Second)
}

// TestRegimeStreamWaitsForWorker checks that a stream under a regime that has begun waits, for a
// limited time, until a worker is eligible to continue it. A stream without a regime fails after
// its attempts.
func TestRegimeStreamWaitsForWorker(t *testing.T) {
	breakFirst := func(n, from int, put func(workerclient.TokenEvent) error) error {
		if n == 1 {
			return sendTokens(put, from, 3, false)
		}
		return sendTokens(put, from, len(testAnswer), true)
	}
	alter := func(m *workerclient.Identity) {
		if m.ID.Attempt > 1 {
			m.Output = testAnswer[:3]
		}
	}
	got, took, err := runTask(t, &fakeTransport{onStream: breakFirst, alterIdentity: alter, retryBudget: 5, regime: "chair", emptyPicks: 20}, false)
	require.NoError(t, err)
	require.Equal(t, testAnswer, got)
	require.Greater(t, took, time.Second)
	got, _, err = runTask(t, &fakeTransport{onStream: breakFirst, alterIdentity: alter, retryBudget: 5, emptyPicks: 20}, false)
	require.True(t, failure.Is(err, failure.DataLost), "%v", err)
	require.Len(t, got, 3)
	_, took, err = runTask(t, &fakeTransport{onStream: breakFirst, alterIdentity: alter, retryBudget: 5, regime: "chair", emptyPicks: 1 << 20}, false)
	require.True(t, failure.Is(err, failure.DataLost), "%v", err)
	require.Less(t, took, 10*time.Second)
}
