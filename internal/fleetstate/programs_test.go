// Program sets on the state and the view alone, and what one costs to compile.

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

// programSetText is a set of so many programs, each filled up to a size.
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

// TestProgramSetVersions: sets are a line of versions of their own: prepared over one another, put
// in force once they are seen, apart from the configuration's; a copy made from a snapshot,
// whole or open, has them.
func TestProgramSetVersions(t *testing.T) {
	m := NewMachine(MachineOptions{CommitTimeout: time.Second})
	apply := func(seq ids.Seq, kind string, c interface{ MarshalMsg([]byte) ([]byte, error) }) error {
		b, _ := c.MarshalMsg(nil)
		_, err := m.Apply(seq, kind, b)
		return err
	}
	require.NoError(t, apply(1, PrepareProgramsKind, &PrepareVersion{Text: programSetText(1, 0)}))
	require.NoError(t, apply(2, PrepareKind, &PrepareVersion{Text: []byte(`{}`), Next: 7}))
	require.Error(t, apply(3, PrepareProgramsKind, &PrepareVersion{Text: programSetText(2, 0)}), "the loser of two")
	require.Equal(t, []coordination.Command{{
		Kind: CommitProgramsKind,
		Body: coordination.MustMarshal(&CommitVersion{1}),
	}}, m.Due(1, 3, 1))
	require.Equal(t, []coordination.Command{{
		Kind: CommitKind,
		Body: coordination.MustMarshal(&CommitVersion{7}),
	}}, m.Due(1, 3, 2))
	require.NoError(t, apply(4, CommitProgramsKind, &CommitVersion{1}))
	require.Error(t, apply(5, CommitProgramsKind, &CommitVersion{1}))
	require.NoError(t, apply(6, PrepareProgramsKind, &PrepareVersion{Base: 1, Text: programSetText(2, 0)}))
	require.EqualValues(t, 7, m.newest())
	for _, open := range []bool{false, true} {
		copied := NewMachine(MachineOptions{})
		require.NoError(t, copied.Restore(m.Snapshot(open)))
		require.Equal(t, m.programs, copied.programs)
		require.Equal(t, m.Snapshot(open), copied.Snapshot(open))
		require.Len(t, copied.Due(ids.Tick(1), 6, 6), 2, "the copy is due by itself")
		v := NewView(logging.Discard())
		v.Scores = &routing.Scores{}
		require.NoError(t, v.Restore(copied.Snapshot(true)))
		require.EqualValues(t, 1, v.Current().Programs.Version)
		require.True(t, v.Observe(9, CommitProgramsKind, coordination.MustMarshal(&CommitVersion{2})))
		require.EqualValues(t, 2, v.Current().Programs.Version)
		require.Equal(t, []string{"p0", "p1"}, v.Current().Programs.Configuration.ProgramNames())
	}
}

// BenchmarkCompileProgramSet compiles sets: the deployed one's size, and the largest that is taken.
func BenchmarkCompileProgramSet(b *testing.B) {
	for _, c := range [][2]int{{3, 0}, {maxPrograms, maxSourceBytes/maxPrograms - 100}} {
		text := compress(programSetText(c[0], c[1]))
		b.Run(fmt.Sprintf(
			"programs=%d,source=%dKB", c[0], len(strings.Join(programSourceTexts(text), ""))>>10,
		), func(b *testing.B) {
			b.ReportAllocs()
			var was, is runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&was)
			var set *routing.ProgramSet
			for b.Loop() {
				var err error
				if _, set, err = CompileProgramSet(text, &routing.Scores{}); err != nil {
					b.Fatal(err)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&is)
			b.ReportMetric((float64(is.HeapAlloc)-float64(was.HeapAlloc))/1024, "keptKB")
			runtime.KeepAlive(set)
		})
	}
}

func programSourceTexts(text []byte) []string {
	p, _ := ParseJSON(decompress(text))
	var out []string
	for _, s := range p.ProgramSources() {
		out = append(out, s.Text)
	}
	return out
}
