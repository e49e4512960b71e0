// The controller against a scripted fleet: every way a hand-over can go wrong, and
// what the origin then gets.

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

var answer = []int32{11, 12, 13, 14, 15}

// script is a fake fleet of two prefill and two decode workers that does what
// a test says.
type script struct {
	full    map[ids.WorkerID]bool // bounces imports
	spoil   func(m *workerclient.Identity)
	resume  func(n int) error
	stream  func(n, from int, put func(workerclient.TokenEvent) error) error
	fate    func(n int) (*workerclient.OrderResponse, error)
	coins   int
	resumes int
	cancels int
	tries   int
	imports []ids.WorkerID
	loose   map[string]int
	claim   func(w ids.WorkerID, incarnation ids.Incarnation) error
	stale   int // so often what was picked is outdated
	picks   int
	regime  string
	none    int  // so often nobody is cleared, once a run was resumed
	last    bool // where all are shunned they are picked all the same
}

func lost() error    { return failure.New(failure.DataLost, "test", "w", "lost") }
func bounced() error { return failure.New(failure.NotExecuted, "test", "w", "bounced") }

func (s *script) Pick(q *routing.PickRequest, _ workerclient.Model, excluded map[ids.WorkerID]bool) []Picked {
	s.picks++
	if s.none > 0 && s.resumes > 0 {
		s.none--
		return nil
	}
	var out []Picked
	for _, id := range []ids.WorkerID{"1", "2"} {
		w := ids.WorkerID(q.Role[:1]) + id
		if !excluded[w] {
			out = append(out, Picked{ID: w, Model: workerclient.Model{Name: "m", Weights: "w1"}, Block: 16})
		}
	}
	if len(out) == 0 && s.last {
		return s.Pick(q, workerclient.Model{}, nil)
	}
	return out
}

func (s *script) Reserve(_ context.Context, w ids.WorkerID, id workerclient.ID, _ int) error {
	s.loose[string(w)+id.Request]++
	return nil
}

func (s *script) Prefill(
	_ context.Context,
	_ ids.WorkerID,
	m workerclient.Identity,
) (*workerclient.OrderResponse, error) {
	s.tries++
	m.Computed = len(m.Prompt)
	if len(m.Output) == 0 {
		m.Output = answer[:1]
	}
	return &workerclient.OrderResponse{Identity: &m}, nil
}

func (s *script) Export(_ context.Context, _ ids.WorkerID, id workerclient.ID) (*workerclient.OrderResponse, error) {
	m := ident()
	m.ID, m.Output, m.Computed = id, answer[:1], len(m.Prompt)
	m.Model.Weights = "w1"
	if s.spoil != nil {
		s.spoil(&m)
	}
	return &workerclient.OrderResponse{Identity: &m}, nil
}

func (s *script) Import(
	_ context.Context,
	w ids.WorkerID,
	_ workerclient.Identity,
	_ ids.WorkerID,
) (*workerclient.OrderResponse, error) {
	s.imports = append(s.imports, w)
	if len(s.imports) > 100 {
		panic("it asks the same workers for ever")
	}
	if s.full[w] {
		return nil, bounced()
	}
	return &workerclient.OrderResponse{Incarnation: "one"}, nil
}

func (s *script) Resume(context.Context, ids.WorkerID, workerclient.ID) (*workerclient.OrderResponse, error) {
	s.resumes++
	if s.resume != nil {
		if err := s.resume(s.resumes); err != nil {
			return nil, err
		}
	}
	return &workerclient.OrderResponse{}, nil
}

func (s *script) Cancel(_ context.Context, w ids.WorkerID, _ workerclient.ID) (*workerclient.OrderResponse, error) {
	if w[0] == 'p' {
		return &workerclient.OrderResponse{Fate: workerclient.FateNever}, nil
	}
	s.cancels++
	if s.fate != nil {
		return s.fate(s.cancels)
	}
	return &workerclient.OrderResponse{Fate: workerclient.FateNever, Incarnation: "one"}, nil
}

func (s *script) Done(w ids.WorkerID, id workerclient.ID, _ bool) { s.loose[string(w)+id.Request] = 0 }
func (s *script) ReportFault(ids.WorkerID)                        {}
func (s *script) PickedUnderStaleVersion() bool                   { s.stale--; return s.stale >= 0 }

func (s *script) Stream(
	_ context.Context,
	_ ids.WorkerID,
	_ workerclient.ID,
	from int,
	put func(workerclient.TokenEvent) error,
) error {
	if s.stream != nil {
		return s.stream(s.resumes, from, put)
	}
	return send(put, from, len(answer), true)
}

func (s *script) SpendRetry(context.Context, time.Duration) bool { s.coins--; return s.coins >= 0 }

func send(put func(workerclient.TokenEvent) error, from, to int, end bool) error {
	for i := from; i < to; i++ {
		if err := put(workerclient.TokenEvent{Index: i, Token: answer[i]}); err != nil {
			return err
		}
	}
	if end {
		return put(workerclient.TokenEvent{Index: to, End: "stop", Count: to})
	}
	return lost()
}

func ident() workerclient.Identity {
	return workerclient.Identity{
		ID:     workerclient.ID{Request: "r"},
		Prompt: []int32{1, 2, 3},
		Params: workerclient.Params{MaxTokens: 5},
		Model:  workerclient.Model{Name: "m"},
	}
}

func play(t *testing.T, s *script, claimed bool) (got []int32, took time.Duration, err error) {
	s.loose = map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		c := &Controller{
			Transport:     s,
			Clock:         simulated.NewWorld(1).Machine("10.0.0.1").Start().Host().Clock,
			OrphanTimeout: 2 * time.Second,
			StreamTimeout: time.Second,
		}
		begun := time.Now()
		err = c.Run(context.Background(), &Task{
			Identity:    ident(),
			Claimed:     claimed,
			Regime:      s.regime,
			Claim:       s.claim,
			MaxAttempts: 3,
			GiveUp:      10 * time.Second,
		}, func(i int, tok int32, _ string) error {
			require.Equal(t, len(got), i)
			got = append(got, tok)
			return nil
		})
		took = time.Since(begun)
	})
	for k, n := range s.loose {
		require.Zero(t, n, "room is given back: %s", k)
	}
	return got, took, err
}

// TestPlainMove: one prefill, one import, one resume, the whole answer.
func TestPlainMove(t *testing.T) {
	s := &script{}
	got, _, err := play(t, s, true)
	require.NoError(t, err)
	require.Equal(t, answer, got)
	require.Equal(t, 1, s.resumes)
}

// TestBouncedImport: a refusal goes to the next worker before any piece; where
// nobody has room the call is bounced at once, and nothing was put.
func TestBouncedImport(t *testing.T) {
	s := &script{full: map[ids.WorkerID]bool{"d1": true}}
	got, _, err := play(t, s, false)
	require.NoError(t, err)
	require.Equal(t, answer, got)
	require.Equal(t, []ids.WorkerID{"d1", "d2"}, s.imports)
	s = &script{full: map[ids.WorkerID]bool{"d1": true, "d2": true}}
	got, took, err := play(t, s, false)
	require.True(t, failure.Is(err, failure.NotExecuted), "%v", err)
	require.Empty(t, got)
	require.Less(t, took, time.Second, "given up means answered at once")
}

// TestAllFull: where every decode worker refuses the import, and the node picks shunned ones
// as a last resort, each is asked once in an attempt and the task ends bounced.
func TestAllFull(t *testing.T) {
	s := &script{full: map[ids.WorkerID]bool{"d1": true, "d2": true}, last: true, coins: 5}
	got, _, err := play(t, s, false)
	require.True(t, failure.Is(err, failure.NotExecuted), "%v", err)
	require.Empty(t, got)
	require.LessOrEqual(t, len(s.imports), 2*3)
}

// TestBadPieces: a gap, a repeat, and an end that comes too early never reach
// the caller as a whole answer; with a coin the rest is recomputed.
func TestBadPieces(t *testing.T) {
	for name, bad := range map[string]func(put func(workerclient.TokenEvent) error) error{
		"gap": func(put func(workerclient.TokenEvent) error) error {
			return put(workerclient.TokenEvent{Index: 3, Token: 14})
		},
		"repeat": func(put func(workerclient.TokenEvent) error) error {
			return put(workerclient.TokenEvent{Index: 0, Token: 11})
		},
		"early end": func(put func(workerclient.TokenEvent) error) error {
			return put(workerclient.TokenEvent{Index: 1, End: "stop", Count: 5})
		},
		"cut": func(put func(workerclient.TokenEvent) error) error { return send(put, 1, 3, false) },
	} {
		for coins := range 2 {
			s := &script{coins: coins, stream: func(n, from int, put func(workerclient.TokenEvent) error) error {
				if n == 1 {
					return bad(put)
				}
				return send(put, from, len(answer), true)
			}}
			s.spoil = func(m *workerclient.Identity) {
				if m.ID.Attempt > 1 {
					m.Output = answer[:max(1, map[string]int{"cut": 3}[name])]
				}
			}
			got, _, err := play(t, s, false)
			if coins == 0 {
				require.True(t, failure.Is(err, failure.DataLost), "%s: %v", name, err)
				require.Equal(t, 1, s.tries, "%s: no coin, no recompute", name)
				continue
			}
			require.NoError(t, err, name)
			require.Equal(t, answer, got, name)
		}
	}
}

// TestForeignIdentity: what comes back from export must be what went in.
func TestForeignIdentity(t *testing.T) {
	for name, spoil := range map[string]func(m *workerclient.Identity){
		"other prompt":  func(m *workerclient.Identity) { m.Prompt = []int32{1, 2, 4} },
		"other request": func(m *workerclient.Identity) { m.ID.Request = "x" },
		"other attempt": func(m *workerclient.Identity) { m.ID.Attempt++ },
		"other seed":    func(m *workerclient.Identity) { m.Params.Seed++ },
		"other weights": func(m *workerclient.Identity) { m.Model.Weights = "w2" },
		"too little":    func(m *workerclient.Identity) { m.Computed = 1 },
	} {
		s := &script{spoil: spoil}
		got, _, err := play(t, s, false)
		require.Error(t, err, name)
		require.Empty(t, got, name)
		require.Zero(t, s.resumes, name)
	}
}

// TestClaimedOnce: a claimed run that may have begun is never begun again: not
// when its worker cannot be asked, nor when it began a new life, nor when it was
// stopped midway. One that surely never began is tried again.
func TestClaimedOnce(t *testing.T) {
	truncated := func(n, from int, put func(workerclient.TokenEvent) error) error {
		if n == 1 {
			return lost()
		}
		return send(put, from, len(answer), true)
	}
	for name, fate := range map[string]func(int) (*workerclient.OrderResponse, error){
		"cannot be asked": func(int) (*workerclient.OrderResponse, error) { return nil, bounced() },
		"nobody listens":  func(int) (*workerclient.OrderResponse, error) { return nil, lost() },
		"new life": func(int) (*workerclient.OrderResponse, error) {
			return &workerclient.OrderResponse{Fate: workerclient.FateNever, Incarnation: "two"}, nil
		},
		"stopped midway": func(int) (*workerclient.OrderResponse, error) {
			return &workerclient.OrderResponse{Fate: workerclient.FateStopped, Incarnation: "one"}, nil
		},
	} {
		s := &script{coins: 5, stream: truncated, fate: fate}
		_, _, err := play(t, s, true)
		require.True(t, failure.Is(err, failure.OutcomeUnknown), "%s: %v", name, err)
		require.Equal(t, 1, s.resumes, name)
	}
	s := &script{coins: 5, resume: func(n int) error {
		if n == 1 {
			return lost()
		}
		return nil
	}}
	got, _, err := play(t, s, true)
	require.NoError(t, err)
	require.Equal(t, answer, got)
	s = &script{stream: truncated, fate: func(int) (*workerclient.OrderResponse, error) {
		return &workerclient.OrderResponse{
			Fate:        workerclient.FateFinished,
			Done:        true,
			Output:      answer,
			Incarnation: "one",
		}, nil
	}}
	got, _, err = play(t, s, true)
	require.NoError(t, err, "it had finished: its own output is handed on")
	require.Equal(t, answer, got)
	require.Equal(t, 1, s.resumes)
}

// TestClaimedWhere: a claim is told where it may run before anything is sent, and
// anew before a resume elsewhere: at the next worker when one bounced the import, or
// in another life than was known. What cannot be told is not resumed.
func TestClaimedWhere(t *testing.T) {
	var received []string
	s := &script{coins: 5, full: map[ids.WorkerID]bool{"d1": true}}
	s.claim = func(w ids.WorkerID, incarnation ids.Incarnation) error {
		require.Zero(t, s.resumes)
		received = append(received, string(w)+"/"+string(incarnation))
		return nil
	}
	_, _, err := play(t, s, true)
	require.NoError(t, err)
	require.Equal(t, []string{"d1/", "d2/one"}, received)
	s = &script{coins: 5}
	n := 0
	s.claim = func(ids.WorkerID, ids.Incarnation) error {
		if n++; n > 1 {
			return lost()
		}
		return nil
	}
	_, _, err = play(t, s, true)
	require.True(t, failure.Is(err, failure.NotExecuted), "%v", err)
	require.Zero(t, s.resumes)
}

// TestStaleAfterClaim: when a newer version came while the key was claimed, workers
// are picked anew and the key is not claimed again; nothing was sent before.
func TestStaleAfterClaim(t *testing.T) {
	claims := 0
	s := &script{stale: 2, claim: func(ids.WorkerID, ids.Incarnation) error { claims++; return nil }}
	got, _, err := play(t, s, true)
	require.NoError(t, err)
	require.Equal(t, answer, got)
	require.Equal(t, 1, s.tries, "one prefill")
	require.Equal(t, 6, s.picks, "twice anew, for both parts")
	require.Equal(t, 2, claims, "once, and once before the resume in the life that is known then")
}

// TestOrphanWait: while the earlier attempt cannot be cancelled, nothing is
// recomputed before its time is surely over.
func TestOrphanWait(t *testing.T) {
	var again time.Time
	begun := time.Now()
	s := &script{coins: 5, fate: func(int) (*workerclient.OrderResponse, error) { return nil, bounced() }}
	s.stream = func(n, from int, put func(workerclient.TokenEvent) error) error {
		if n == 1 {
			begun = time.Now()
			return lost()
		}
		again = time.Now()
		return send(put, from, len(answer), true)
	}
	_, _, err := play(t, s, false)
	require.NoError(t, err)
	require.Greater(t, again.Sub(begun), 2*time.Second)
}

// TestRegimeWaits: a governed stream that has begun and finds nobody cleared waits for
// one that is, within its patience; another one is given up after its tries.
func TestRegimeWaits(t *testing.T) {
	complete := func(n, from int, put func(workerclient.TokenEvent) error) error {
		if n == 1 {
			return send(put, from, 3, false)
		}
		return send(put, from, len(answer), true)
	}
	spoil := func(m *workerclient.Identity) {
		if m.ID.Attempt > 1 {
			m.Output = answer[:3]
		}
	}
	got, took, err := play(t, &script{stream: complete, spoil: spoil, coins: 5, regime: "chair", none: 20}, false)
	require.NoError(t, err)
	require.Equal(t, answer, got)
	require.Greater(t, took, time.Second)
	got, _, err = play(t, &script{stream: complete, spoil: spoil, coins: 5, none: 20}, false)
	require.True(t, failure.Is(err, failure.DataLost), "%v", err)
	require.Len(t, got, 3)
	_, took, err = play(t, &script{stream: complete, spoil: spoil, coins: 5, regime: "chair", none: 1 << 20}, false)
	require.True(t, failure.Is(err, failure.DataLost), "%v", err)
	require.Less(t, took, 10*time.Second)
}
