// Policies, idempotency records and activation, without a fleet round them.

package fleetstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/logging"
)

const smallConfiguration = `{
	zones: ["a"]
	workers: p1: {part: "prefill", model: "m", weights: "w1", room: 10, zone: "a"}
	workers: d1: {part: "decode", model: "m", weights: "w1", room: 10, zone: "a"}
	kinds: verdict: {claimed: true, model: "m", maxTokens: 4}
	programs: {}
	limits: {}
}`

// TestConfigurationCheck: CUE text becomes a whole configuration with defaults; each fault is named.
func TestConfigurationCheck(t *testing.T) {
	text, err := Source("f.cue", []byte(smallConfiguration))
	require.NoError(t, err)
	p, complete, err := ParseComplete("f.cue", text)
	require.NoError(t, err)
	require.Equal(t, 16, p.Workers["p1"].Block)
	require.Equal(t, 500*time.Millisecond, p.Limits.Lag())
	again, _, err := ParseComplete("f.cue", complete)
	require.NoError(t, err)
	require.Equal(t, p, again, "what was filled in checks to itself")
	for part, says := range map[string]string{
		`{workers: p1: part: "both"}`:                        "workers.p1.part",
		`{workers: p1: room: 0}`:                             "workers.p1.room",
		`{workers: p1: zone: "b"}`:                           `unknown zone "b"`,
		`{zones: ["a", "a"]}`:                                "stands twice",
		`{kinds: verdict: model: "n"}`:                       `offers "n"`,
		`{workers: d1: null}`:                                "no prefill and decode",
		`{limits: queue: 1.5}`:                               "limits.queue",
		`{programs: x: {share: 30, source: "def order..."}}`: "30, not to 100",
	} {
		b, err := Source("part.cue", []byte(part))
		require.NoError(t, err, part)
		merged, err := Merge(complete, b)
		require.NoError(t, err)
		_, err = Check("part.cue", merged)
		require.ErrorContains(t, err, says, part)
		require.True(t, failure.Is(err, failure.InvalidArgument))
	}
	rows, err := Diff(complete, []byte(`{}`))
	require.NoError(t, err)
	require.NotEmpty(t, rows)
}

func applyCommand(t *testing.T, s *State, kind string, c interface{ MarshalMsg([]byte) ([]byte, error) }) error {
	t.Helper()
	body, err := c.MarshalMsg(nil)
	require.NoError(t, err)
	_, err = s.Apply(kind, body)
	return err
}

// TestClaimTakeOverResolve: one claim, one outcome; a seizure needs the newest fence; the one
// it was seized from can record nothing any more.
func TestClaimTakeOverResolve(t *testing.T) {
	s := newState(false, Retention{})
	require.NoError(t, applyCommand(t, s, ClaimKind, &Claim{Key: "k", Owner: "n1"}))
	require.ErrorIs(t, applyCommand(t, s, ClaimKind, &Claim{Key: "k", Owner: "n2"}), coordination.ErrUnchanged)
	require.Error(t, applyCommand(t, s, ResolveKind, &Resolve{Key: "k", Owner: "n2", Outcome: OutcomeDone}))
	require.NoError(t, applyCommand(t, s, TakeOverKind, &TakeOver{Key: "k", From: "n1", To: "n3", Fence: 7}))
	require.Error(t, applyCommand(t, s, TakeOverKind, &TakeOver{Key: "k", From: "n3", To: "n4", Fence: 6}), "an older settler")
	require.Error(t, applyCommand(t, s, ResolveKind, &Resolve{Key: "k", Owner: "n1", Outcome: OutcomeDone}), "woken too late")
	require.NoError(t, applyCommand(t, s, ResolveKind, &Resolve{Key: "k", Owner: "n3", Outcome: OutcomeNotRun}))
	require.Error(t, applyCommand(t, s, ResolveKind, &Resolve{Key: "k", Owner: "n3", Outcome: OutcomeDone}), "a tombstone stays")
	copied := newState(false, Retention{})
	require.NoError(t, copied.decode(coordination.MustMarshal(s.encode(false))))
	require.Equal(t, s.records, copied.records)
}

// TestCommitWaitsForNodes: a prepared version waits for all to have seen it, and not for
// what came after it, at most the wait; a storm cannot put it off for ever.
func TestCommitWaitsForNodes(t *testing.T) {
	prepare := func(m *Machine, seq ids.Seq, base ids.Version) error {
		_, err := m.Apply(seq, PrepareKind, coordination.MustMarshal(&PrepareVersion{Base: base, Text: []byte(`{}`)}))
		return err
	}
	ms := func(n int) ids.Tick { return ids.Tick(time.Duration(n) * time.Millisecond) }
	m := NewMachine(MachineOptions{CommitTimeout: time.Second})
	require.NoError(t, prepare(m, 5, 0))
	require.Error(t, prepare(m, 6, 0), "the loser of two")
	require.Empty(t, m.Due(ms(1), 9, 4))
	require.Len(t, m.Due(ms(2), 9, 5), 1, "entries 6 to 9 need not be seen")
	m = NewMachine(MachineOptions{CommitTimeout: time.Second})
	for v := range 3 {
		require.NoError(t, prepare(m, ids.Seq(v+1), ids.Version(v)))
		m.Due(ms(1+v*400), ids.Seq(v+1), 0)
	}
	got := m.Due(ms(1100), 4, 0)
	require.Equal(t, []coordination.Command{{Kind: CommitKind, Body: coordination.MustMarshal(&CommitVersion{1})}}, got)
}

// TestViewCommitsNotedVersion: a version heard of is put in force if it is prepared here; else the
// node holds its picks.
func TestViewCommitsNotedVersion(t *testing.T) {
	v := NewView(logging.Discard())
	fold := func(kind string, c interface{ MarshalMsg([]byte) ([]byte, error) }) {
		b, _ := c.MarshalMsg(nil)
		v.Observe(0, kind, b)
	}
	fold(PrepareKind, &PrepareVersion{Base: 0, Text: []byte(`{"zones":["a"]}`)})
	require.Zero(t, v.Current().Version)
	require.True(t, v.NoteVersion(1), "staged, so it is in force now")
	require.EqualValues(t, 1, v.Current().Version)
	require.False(t, v.NoteVersion(2), "not known here: picks are held")
	fold(CommitKind, &CommitVersion{1})
	require.False(t, v.UpToDate())
	fold(PrepareKind, &PrepareVersion{Base: 1, Text: []byte(`{"zones":["a","b"]}`)})
	require.True(t, v.UpToDate())
	require.Len(t, v.Current().Configuration.Zones, 2)
}

// TestViewKeepsServedVersion: the core is founded anew from a copy that lacks the newest version: a
// node that has served it does not go back, and takes the next one that is above it.
func TestViewKeepsServedVersion(t *testing.T) {
	m, v := NewMachine(MachineOptions{}), NewView(logging.Discard())
	seq := ids.Seq(0)
	do := func(kind string, body []byte, views ...*View) {
		t.Helper()
		seq++
		_, err := m.Apply(seq, kind, body)
		require.NoError(t, err)
		for _, w := range views {
			w.Observe(seq, kind, body)
		}
	}
	rule := func(base, next ids.Version, text string, views ...*View) {
		t.Helper()
		do(PrepareKind, coordination.MustMarshal(&PrepareVersion{Base: base, Text: []byte(text), Next: next}), views...)
		do(CommitKind, coordination.MustMarshal(&CommitVersion{next}), views...)
	}
	rule(0, 1, `{"zones":["one"]}`, v)
	previous := m.Snapshot(false)
	rule(1, 2, `{"zones":["two"]}`, v)
	require.EqualValues(t, 2, v.Current().Version)
	require.NoError(t, m.Restore(previous))
	require.NoError(t, v.Restore(m.Snapshot(true)))
	require.EqualValues(t, 2, v.Current().Version)
	require.Equal(t, []ids.Zone{"two"}, v.Current().Configuration.Zones)
	require.Equal(t, `{"zones":["two"]}`, string(v.Current().Text))
	rule(1, 3, `{"zones":["three"]}`, v)
	require.EqualValues(t, 3, v.Current().Version)
	require.Equal(t, []ids.Zone{"three"}, v.Current().Configuration.Zones)
}
