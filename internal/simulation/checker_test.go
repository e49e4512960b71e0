// The checkers themselves: each catches a planted violation of its line.

package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/router"
	"keelstair.example/internal/standin"
	"keelstair.example/internal/workerclient"
)

type fake map[string]standin.RequestCounts

func (f fake) RequestCounts() map[string]standin.RequestCounts { return f }

// TestCheckersCatch plants one violation of each line and sees it caught, under
// its own name and no other.
func TestCheckersCatch(t *testing.T) {
	event := func(b *Recorder, what, worker string, fence ids.Fence, v ids.Version, at time.Duration) {
		b.rows = append(b.rows, Seen{
			standin.Event{
				What:    what,
				Worker:  ids.WorkerID(worker),
				ID:      workerclient.ID{Request: "r"},
				Fence:   fence,
				Version: v,
			},
			at,
		})
	}
	for line, plant := range map[string]func(b *Recorder) []standin.Outcome{
		Twice: func(b *Recorder) []standin.Outcome {
			b.Life(fake{"k-1": {Runs: 1, Finished: 1}})
			b.Life(fake{"k-1": {Runs: 1}})
			return nil
		},
		NotRun: func(b *Recorder) []standin.Outcome {
			b.Life(fake{router.RequestIDForKey("verdict/c1"): {Runs: 1, Finished: 1}})
			return []standin.Outcome{{Kind: "verdict", Key: "c1+", End: "complete"}}
		},
		Torn: func(*Recorder) []standin.Outcome {
			return []standin.Outcome{{Kind: "rider", End: "wrong", Detail: "piece 4 where 3 was due"}}
		},
		Differs: func(*Recorder) []standin.Outcome {
			return []standin.Outcome{{Kind: "rider", End: "wrong", Detail: "tokens [1]"}}
		},
		Starved: func(b *Recorder) []standin.Outcome { b.Life(fake{"x": {OutOfBlocks: 1}}); return nil },
		LateLeave: func(b *Recorder) []standin.Outcome {
			b.marks = append(b.marks, Mark{"leave", "p1", time.Second})
			event(b, "prefill", "p1", 1, 1, 3900*time.Millisecond)
			event(b, "prefill", "p1", 1, 1, 4100*time.Millisecond)
			return nil
		},
		LateZone: func(b *Recorder) []standin.Outcome {
			b.marks = append(b.marks, Mark{"evacuate", "d1", time.Second}, Mark{"return", "d1", 8 * time.Second})
			event(b, "import", "d1", 1, 1, 9*time.Second)
			event(b, "import", "d1", 1, 1, 7*time.Second)
			return nil
		},
		SlowLaw: func(b *Recorder) []standin.Outcome {
			event(b, "import", "d1", 1, 5, time.Second)
			event(b, "import", "d1", 1, 4, 1200*time.Millisecond)
			event(b, "import", "d1", 1, 4, 1300*time.Millisecond)
			return nil
		},
		Conflict: func(b *Recorder) []standin.Outcome {
			event(b, "import", "d1", 7, 1, time.Second)
			event(b, "import", "d1", 6, 1, 2*time.Second)
			return nil
		},
		Overspent: func(b *Recorder) []standin.Outcome {
			for i := range 20 {
				b.again = append(b.again, time.Duration(i)*50*time.Millisecond)
			}
			return nil
		},
	} {
		t.Run(line, func(t *testing.T) {
			b := NewRecorder()
			got := b.Check(plant(b))
			require.Len(t, got, 1, "%v", got)
			require.Equal(t, line, got[0].Line)
		})
	}
	b := NewRecorder()
	event(b, "import", "d1", 1, 5, time.Second)
	b.picks = []Pick{{"n1", 4, 1200 * time.Millisecond}, {"n2", 4, 1300 * time.Millisecond}}
	require.Equal(t, SlowLaw, b.Check(nil)[0].Line)
	b.picks = b.picks[:1]
	require.Empty(t, b.Check(nil))
	require.Equal(t, 5*time.Second, standin.LongestOutage([]standin.Outcome{
		{End: "complete", At: time.Second},
		{End: "broken", At: 3 * time.Second}, {End: "complete", At: 6 * time.Second},
	}, time.Second, 7*time.Second, nil))
}

// TestLawsCatch plants what must be caught of configurations, and what must not.
func TestLawsCatch(t *testing.T) {
	for name, plant := range map[string]func(b *Recorder){
		"another text":        func(b *Recorder) { b.Ack(3, "a"); b.Force("n1", 3, []byte("b")) },
		"two texts":           func(b *Recorder) { b.Force("n1", 3, []byte("a")); b.Force("n2", 3, []byte("b")) },
		"a refused text":      func(b *Recorder) { b.Refuse("x"); b.Force("n1", 4, []byte("x")) },
		"a slow apply":        func(b *Recorder) { b.Mark("slow-apply", "version 3") },
		"":                    func(b *Recorder) { b.Ack(3, "a"); b.Force("n1", 3, []byte("a")); b.Refuse("b") },
		"refused, then taken": func(b *Recorder) { b.Refuse("a"); b.Ack(4, "a"); b.Force("n1", 4, []byte("a")) },
	} {
		c := &Cluster{Recorder: NewRecorder()}
		plant(c.Recorder)
		if got := c.laws(); name == "" || name == "refused, then taken" {
			require.Empty(t, got, name)
		} else {
			require.Len(t, got, 1, name)
		}
	}
	b := NewRecorder()
	require.False(t, b.apart(0))
	b.marks = []Mark{{"apart", "core", 2}, {"joined", "core", 5}}
	require.True(t, b.apart(3))
	require.False(t, b.apart(6))
	require.True(t, b.apart(1), "it came after the asking")
}
