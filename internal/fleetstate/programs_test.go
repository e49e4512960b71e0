// Tests of program sets in the state and the view, and a benchmark of their compilation.

package fleetstate

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/routing"
	"keelstair.example/logging"
)

// programSetText returns the JSON of a set of programs, each padded to at least size bytes.
func programSetText(count, size int) []byte {
	p := map[string]Program{}
	for i := range count {
		text := routing.ShippedProgram("prefix")
		for n := 0; len(text) < size; n++ {
			text += fmt.Sprintf("def f%d(w):\n    return w.busy * %d + len(w.id) if w.zone else -w.free\n", n, n)
		}
		p[fmt.Sprint("p", i)] = Program{Source: text, Share: map[bool]int{true: 100}[i == 0], Shadow: i > 0}
	}
	b, _ := json.Marshal(map[string]any{"programs": p, "limits": map[string]any{"steps": 20000}})
	return b
}

// TestProgramSetVersions checks that program sets have a version history of their own: each set is
// prepared on top of another and committed once nodes have seen it, independently of the
// configuration. A replica restored from a snapshot, be it complete or only of the published
// state, has the same history.
func TestProgramSetVersions(t *testing.T) {
	m := NewMachine(MachineOptions{CommitTimeout: time.Second})
	apply := func(seq ids.Seq, kind string, c interface{ MarshalMsg([]byte) ([]byte, error) }) error {
		b, _ := c.MarshalMsg(nil)
		_, err := m.Apply(seq, kind, b)
		return err
	}
	require.NoError(t, apply(1, PrepareProgramsKind, &PrepareVersion{Text: programSetText(1, 0)}))
	require.NoError(t, apply(2, PrepareKind, &PrepareVersion{Text: []byte(`{}`), Next: 7}))
	require.Error(t, apply(3, PrepareProgramsKind, &PrepareVersion{Text: programSetText(2, 0)}), "only one of two concurrent sets is accepted")
	require.Equal(t, []coordination.Command{{
		Kind: CommitProgramsKind,
		Body: coordination.MustMarshal(&CommitVersion{1}),
	}}, m.DueCommands(1, 3, 1))
	require.Equal(t, []coordination.Command{{
		Kind: CommitKind,
		Body: coordination.MustMarshal(&CommitVersion{7}),
	}}, m.DueCommands(1, 3, 2))
	require.NoError(t, apply(4, CommitProgramsKind, &CommitVersion{1}))
	require.Error(t, apply(5, CommitProgramsKind, &CommitVersion{1}))
	require.NoError(t, apply(6, PrepareProgramsKind, &PrepareVersion{Base: 1, Text: programSetText(2, 0)}))
	require.EqualValues(t, 7, m.newest())
	for _, open := range []bool{false, true} {
		copied := NewMachine(MachineOptions{})
		require.NoError(t, copied.Restore(m.Snapshot(open)))
		require.Equal(t, m.programs, copied.programs)
		require.Equal(t, m.Snapshot(open), copied.Snapshot(open))
		require.Len(t, copied.DueCommands(ids.Tick(1), 6, 6), 2, "the restored replica commits by itself")
		v := NewView(logging.Discard())
		v.Scores = &routing.Scores{}
		require.NoError(t, v.Restore(copied.Snapshot(true)))
		require.EqualValues(t, 1, v.Current().Programs.Version)
		require.True(t, v.Observe(9, CommitProgramsKind, coordination.MustMarshal(&CommitVersion{2})))
		require.EqualValues(t, 2, v.Current().Programs.Version)
		require.Equal(t, []string{"p0", "p1"}, v.Current().Programs.Configuration.ProgramNames())
	}
}

// BenchmarkCompileProgramSet compiles a set of the deployed size and the largest accepted set.
func BenchmarkCompileProgramSet(b *testing.B) {
	for _, c := range [][2]int{{3, 0}, {maxPrograms, maxSourceBytes/maxPrograms - 100}} {
		text := compress(programSetText(c[0], c[1]))
		b.Run(fmt.Sprintf(
			"programs=%d,source=%dKB", c[0], len(strings.Join(programSourceTexts(text), ""))>>10,
		), func(b *testing.B) {
			b.ReportAllocs()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var set *routing.ProgramSet
			for b.Loop() {
				var err error
				if _, set, err = CompileProgramSet(text, &routing.Scores{}); err != nil {
					b.Fatal(err)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/1024, "keptKB")
			runtime.KeepAlive(set)
		})
	}
}

// programSourceTexts returns the source texts of a compressed program set.
func programSourceTexts(text []byte) []string {
	p, _ := ParseJSON(decompress(text))
	var out []string
	for _, s := range p.ProgramSources() {
		out = append(out, s.Text)
	}
	return out
}
