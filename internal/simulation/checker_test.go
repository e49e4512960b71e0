// Tests that the checkers report violations that are put into a recording.

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

type fakeRequestCounter map[string]standin.RequestCounts

func (f fakeRequestCounter) RequestCounts() map[string]standin.RequestCounts { return f }

// TestCheckersCatch records one violation of each rule that Recorder.Check covers, and requires that exactly this
// rule is reported. It also tests the checker of grant versions and the measurement of outages.
func TestCheckersCatch(t *testing.T) {
	event := func(r *Recorder, kind, worker string, fence ids.Fence, v ids.Version, at time.Duration) {
		r.events = append(r.events, RecordedWorkerEvent{
			standin.Event{
				Kind:    kind,
				Worker:  ids.WorkerID(worker),
				ID:      workerclient.ID{Request: "r"},
				Fence:   fence,
				Version: v,
			},
			at,
		})
	}
	for rule, violate := range map[string]func(r *Recorder) []standin.Outcome{
		RunTwice: func(r *Recorder) []standin.Outcome {
			r.AddWorker(fakeRequestCounter{"k-1": {Runs: 1, Finished: 1}})
			r.AddWorker(fakeRequestCounter{"k-1": {Runs: 1}})
			return nil
		},
		RanThoughReportedNotRun: func(r *Recorder) []standin.Outcome {
			r.AddWorker(fakeRequestCounter{router.RequestIDForKey("verdict/c1"): {Runs: 1, Finished: 1}})
			return []standin.Outcome{{Kind: "verdict", Key: "c1+", End: "complete"}}
		},
		StreamCorrupted: func(*Recorder) []standin.Outcome {
			return []standin.Outcome{{Kind: "rider", End: "wrong", Detail: "piece 4 where 3 was expected"}}
		},
		OutputDiffers: func(*Recorder) []standin.Outcome {
			return []standin.Outcome{{Kind: "rider", End: "wrong", Detail: "tokens [1]"}}
		},
		DecodeOutOfMemory: func(r *Recorder) []standin.Outcome {
			r.AddWorker(fakeRequestCounter{"x": {OutOfBlocks: 1}})
			return nil
		},
		WorkAfterLeave: func(r *Recorder) []standin.Outcome {
			r.scriptEvents = append(r.scriptEvents, ScriptEvent{"leave", "p1", time.Second})
			event(r, "prefill", "p1", 1, 1, 3900*time.Millisecond)
			event(r, "prefill", "p1", 1, 1, 4100*time.Millisecond)
			return nil
		},
		WorkAfterEvacuation: func(r *Recorder) []standin.Outcome {
			r.scriptEvents = append(
				r.scriptEvents, ScriptEvent{"evacuate", "d1", time.Second}, ScriptEvent{"return", "d1", 8 * time.Second},
			)
			event(r, "import", "d1", 1, 1, 9*time.Second)
			event(r, "import", "d1", 1, 1, 7*time.Second)
			return nil
		},
		ConfigurationStale: func(r *Recorder) []standin.Outcome {
			event(r, "import", "d1", 1, 5, time.Second)
			event(r, "import", "d1", 1, 4, 1200*time.Millisecond)
			event(r, "import", "d1", 1, 4, 1300*time.Millisecond)
			return nil
		},
		FencingTokenDecreased: func(r *Recorder) []standin.Outcome {
			event(r, "import", "d1", 7, 1, time.Second)
			event(r, "import", "d1", 6, 1, 2*time.Second)
			return nil
		},
		RecomputeBudgetExceeded: func(r *Recorder) []standin.Outcome {
			for i := range 20 {
				r.recomputes = append(r.recomputes, time.Duration(i)*50*time.Millisecond)
			}
			return nil
		},
	} {
		t.Run(rule, func(t *testing.T) {
			r := NewRecorder()
			got := r.Check(violate(r))
			require.Len(t, got, 1, "%v", got)
			require.Equal(t, rule, got[0].Rule)
		})
	}
	r := NewRecorder()
	event(r, "import", "d1", 1, 5, time.Second)
	r.grants = []Grant{{"n1", 4, 1200 * time.Millisecond}, {"n2", 4, 1300 * time.Millisecond}}
	require.Equal(t, ConfigurationStale, r.Check(nil)[0].Rule)
	r.grants = r.grants[:1]
	require.Empty(t, r.Check(nil))
	require.Equal(t, 5*time.Second, standin.LongestOutage([]standin.Outcome{
		{End: "complete", At: time.Second},
		{End: "broken", At: 3 * time.Second}, {End: "complete", At: 6 * time.Second},
	}, time.Second, 7*time.Second, nil))
}

// TestConfigurationChecks records acknowledged, refused and active configurations. A recording with a
// contradiction must give one violation, and a consistent one none.
func TestConfigurationChecks(t *testing.T) {
	for name, record := range map[string]func(r *Recorder){
		"different text": func(r *Recorder) { r.RecordAck(3, "a"); r.RecordActive("n1", 3, []byte("b")) },
		"two texts": func(r *Recorder) {
			r.RecordActive("n1", 3, []byte("a"))
			r.RecordActive("n2", 3, []byte("b"))
		},
		"refused text": func(r *Recorder) { r.RecordRefused("x"); r.RecordActive("n1", 4, []byte("x")) },
		"slow apply":   func(r *Recorder) { r.RecordScriptEvent("slow-apply", "version 3") },
		"": func(r *Recorder) {
			r.RecordAck(3, "a")
			r.RecordActive("n1", 3, []byte("a"))
			r.RecordRefused("b")
		},
		"refused, then acknowledged": func(r *Recorder) {
			r.RecordRefused("a")
			r.RecordAck(4, "a")
			r.RecordActive("n1", 4, []byte("a"))
		},
	} {
		c := &Cluster{Recorder: NewRecorder()}
		record(c.Recorder)
		if got := c.checkConfigurations(); name == "" || name == "refused, then acknowledged" {
			require.Empty(t, got, name)
		} else {
			require.Len(t, got, 1, name)
		}
	}
	r := NewRecorder()
	require.False(t, r.controllersPartitionedSince(0))
	r.scriptEvents = []ScriptEvent{{"partition", "controllers", 2}, {"heal", "controllers", 5}}
	require.True(t, r.controllersPartitionedSince(3))
	require.False(t, r.controllersPartitionedSince(6))
	require.True(t, r.controllersPartitionedSince(1), "the partition began after the start of the interval")
}
