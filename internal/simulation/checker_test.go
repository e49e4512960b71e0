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

type fakeTallies map[string]standin.Tally

func (f fakeTallies) Tallies() map[string]standin.Tally { return f }

// TestCheckersCatch plants one violation of each line and sees it caught, under
// its own name and no other.
func TestCheckersCatch(t *testing.T) {
	event := func(b *Recorder, what, worker string, fence ids.Fence, v ids.Version, at time.Duration) {
		b.events = append(b.events, RecordedEvent{
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
		RunTwice: func(b *Recorder) []standin.Outcome {
			b.AddWorker(fakeTallies{"k-1": {Runs: 1, Records: 1}})
			b.AddWorker(fakeTallies{"k-1": {Runs: 1}})
			return nil
		},
		RanDespiteNotRun: func(b *Recorder) []standin.Outcome {
			b.AddWorker(fakeTallies{router.RequestIDForKey("verdict/c1"): {Runs: 1, Records: 1}})
			return []standin.Outcome{{Kind: "verdict", Key: "c1+", End: "complete"}}
		},
		StreamCorrupted: func(*Recorder) []standin.Outcome {
			return []standin.Outcome{{Kind: "rider", End: "wrong", Detail: "piece 4 where 3 was due"}}
		},
		OutputDiffers: func(*Recorder) []standin.Outcome {
			return []standin.Outcome{{Kind: "rider", End: "wrong", Detail: "tokens [1]"}}
		},
		ImportFailedMidDecode: func(b *Recorder) []standin.Outcome { b.AddWorker(fakeTallies{"x": {Starved: 1}}); return nil },
		WorkAfterLeave: func(b *Recorder) []standin.Outcome {
			b.marks = append(b.marks, Mark{"leave", "p1", time.Second})
			event(b, "prefill", "p1", 1, 1, 3900*time.Millisecond)
			event(b, "prefill", "p1", 1, 1, 4100*time.Millisecond)
			return nil
		},
		WorkAfterEvacuation: func(b *Recorder) []standin.Outcome {
			b.marks = append(b.marks, Mark{"evacuate", "d1", time.Second}, Mark{"return", "d1", 8 * time.Second})
			event(b, "import", "d1", 1, 1, 9*time.Second)
			event(b, "import", "d1", 1, 1, 7*time.Second)
			return nil
		},
		ConfigurationSlow: func(b *Recorder) []standin.Outcome {
			event(b, "import", "d1", 1, 5, time.Second)
			event(b, "import", "d1", 1, 4, 1200*time.Millisecond)
			event(b, "import", "d1", 1, 4, 1300*time.Millisecond)
			return nil
		},
		ConflictingOrders: func(b *Recorder) []standin.Outcome {
			event(b, "import", "d1", 7, 1, time.Second)
			event(b, "import", "d1", 6, 1, 2*time.Second)
			return nil
		},
		RecomputeBudgetExceeded: func(b *Recorder) []standin.Outcome {
			for i := range 20 {
				b.recomputes = append(b.recomputes, time.Duration(i)*50*time.Millisecond)
			}
			return nil
		},
	} {
		t.Run(line, func(t *testing.T) {
			b := NewRecorder()
			got := b.Check(plant(b))
			require.Len(t, got, 1, "%v", got)
			require.Equal(t, line, got[0].Rule)
		})
	}
	b := NewRecorder()
	event(b, "import", "d1", 1, 5, time.Second)
	b.grants = []Grant{{"n1", 4, 1200 * time.Millisecond}, {"n2", 4, 1300 * time.Millisecond}}
	require.Equal(t, ConfigurationSlow, b.Check(nil)[0].Rule)
	b.grants = b.grants[:1]
	require.Empty(t, b.Check(nil))
	require.Equal(t, 5*time.Second, standin.Back([]standin.Outcome{
		{End: "complete", At: time.Second},
		{End: "broken", At: 3 * time.Second}, {End: "complete", At: 6 * time.Second},
	}, time.Second, 7*time.Second, nil))
}

// TestConfigurationChecks plants what must be caught of configurations, and what must not.
func TestConfigurationChecks(t *testing.T) {
	for name, plant := range map[string]func(b *Recorder){
		"another text":        func(b *Recorder) { b.RecordAck(3, "a"); b.RecordActive("n1", 3, []byte("b")) },
		"two texts":           func(b *Recorder) { b.RecordActive("n1", 3, []byte("a")); b.RecordActive("n2", 3, []byte("b")) },
		"a refused text":      func(b *Recorder) { b.RecordRefused("x"); b.RecordActive("n1", 4, []byte("x")) },
		"a slow apply":        func(b *Recorder) { b.RecordMark("slow-apply", "version 3") },
		"":                    func(b *Recorder) { b.RecordAck(3, "a"); b.RecordActive("n1", 3, []byte("a")); b.RecordRefused("b") },
		"refused, then taken": func(b *Recorder) { b.RecordRefused("a"); b.RecordAck(4, "a"); b.RecordActive("n1", 4, []byte("a")) },
	} {
		c := &Cluster{Recorder: NewRecorder()}
		plant(c.Recorder)
		if got := c.checkConfigurations(); name == "" || name == "refused, then taken" {
			require.Empty(t, got, name)
		} else {
			require.Len(t, got, 1, name)
		}
	}
	b := NewRecorder()
	require.False(t, b.corePartitionedSince(0))
	b.marks = []Mark{{"apart", "core", 2}, {"joined", "core", 5}}
	require.True(t, b.corePartitionedSince(3))
	require.False(t, b.corePartitionedSince(6))
	require.True(t, b.corePartitionedSince(1), "it came after the asking")
}
