// These tests check configurations, idempotency records and commits, without a running fleet.

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

// TestConfigurationCheck checks that the defaults are filled into a CUE text, and that the completed
// text parses to the same configuration. The error for each invalid change names the field or the
// reason.
func TestConfigurationCheck(t *testing.T) {
	text, err := CUEToJSON("f.cue", []byte(smallConfiguration))
	require.NoError(t, err)
	p, complete, err := ParseComplete("f.cue", text)
	require.NoError(t, err)
	require.Equal(t, 16, p.Workers["p1"].BlockSize)
	require.Equal(t, 500*time.Millisecond, p.Limits.MaxReportLag())
	again, _, err := ParseComplete("f.cue", complete)
	require.NoError(t, err)
	require.Equal(t, p, again, "the completed text parses to the same configuration")
	for change, wantError := range map[string]string{
		`{workers: p1: part: "both"}`:                        "workers.p1.part",
		`{workers: p1: room: 0}`:                             "workers.p1.room",
		`{workers: p1: zone: "b"}`:                           `unknown zone "b"`,
		`{zones: ["a", "a"]}`:                                "stands twice",
		`{kinds: verdict: model: "n"}`:                       `offers "n"`,
		`{workers: d1: null}`:                                "no prefill and decode",
		`{limits: queue: 1.5}`:                               "limits.queue",
		`{programs: x: {share: 30, source: "def order..."}}`: "30, not to 100",
	} {
		b, err := CUEToJSON("part.cue", []byte(change))
		require.NoError(t, err, change)
		merged, err := Merge(complete, b)
		require.NoError(t, err)
		_, err = ParseConfiguration("part.cue", merged)
		require.ErrorContains(t, err, wantError, change)
		require.True(t, failure.Is(err, failure.InvalidArgument))
	}
	rows, err := DiffJSON(complete, []byte(`{}`))
	require.NoError(t, err)
	require.NotEmpty(t, rows)
}

// applyCommand applies a command to a state and returns its error.
func applyCommand(t *testing.T, s *State, kind string, c interface{ MarshalMsg([]byte) ([]byte, error) }) error {
	t.Helper()
	body, err := c.MarshalMsg(nil)
	require.NoError(t, err)
	_, err = s.Apply(kind, body)
	return err
}

// TestClaimTakeOverResolve checks that a key has one claim and one outcome. A takeover needs a
// fencing token that is not older than the newest one, and the previous owner can't record an
// outcome afterwards.
func TestClaimTakeOverResolve(t *testing.T) {
	s := newState(false, Retention{})
	require.NoError(t, applyCommand(t, s, ClaimKind, &Claim{Key: "k", Owner: "n1"}))
	require.ErrorIs(t, applyCommand(t, s, ClaimKind, &Claim{Key: "k", Owner: "n2"}), coordination.ErrUnchanged)
	require.Error(t, applyCommand(t, s, ResolveKind, &Resolve{Key: "k", Owner: "n2", Outcome: OutcomeDone}))
	require.NoError(t, applyCommand(t, s, TakeOverKind, &TakeOver{Key: "k", From: "n1", To: "n3", Fence: 7}))
	require.Error(t, applyCommand(t, s, TakeOverKind, &TakeOver{Key: "k", From: "n3", To: "n4", Fence: 6}), "an older fencing token")
	require.Error(t, applyCommand(t, s, ResolveKind, &Resolve{Key: "k", Owner: "n1", Outcome: OutcomeDone}), "the previous owner, after the takeover")
	require.NoError(t, applyCommand(t, s, ResolveKind, &Resolve{Key: "k", Owner: "n3", Outcome: OutcomeNotRun}))
	require.Error(t, applyCommand(t, s, ResolveKind, &Resolve{Key: "k", Owner: "n3", Outcome: OutcomeDone}), "the outcome is final")
	replica := newState(false, Retention{})
	require.NoError(t, replica.decode(coordination.MustMarshal(s.encode(false))))
	require.Equal(t, s.records, replica.records)
}

// TestCommitWaitsForNodes checks that a prepared version is committed once all nodes have applied its
// log entry, even if they have not applied later ones, or after CommitTimeout. Versions that are
// prepared in quick succession can't delay the commit of the first one.
func TestCommitWaitsForNodes(t *testing.T) {
	prepare := func(m *Machine, seq ids.Seq, base ids.Version) error {
		_, err := m.Apply(seq, PrepareKind, coordination.MustMarshal(&PrepareVersion{Base: base, Text: []byte(`{}`)}))
		return err
	}
	ms := func(n int) ids.Tick { return ids.Tick(time.Duration(n) * time.Millisecond) }
	m := NewMachine(MachineOptions{CommitTimeout: time.Second})
	require.NoError(t, prepare(m, 5, 0))
	require.Error(t, prepare(m, 6, 0), "the base version is superseded")
	require.Empty(t, m.DueCommands(ms(1), 9, 4))
	require.Len(t, m.DueCommands(ms(2), 9, 5), 1, "entries 6 to 9 need not be applied")
	m = NewMachine(MachineOptions{CommitTimeout: time.Second})
	for v := range 3 {
		require.NoError(t, prepare(m, ids.Seq(v+1), ids.Version(v)))
		m.DueCommands(ms(1+v*400), ids.Seq(v+1), 0)
	}
	got := m.DueCommands(ms(1100), 4, 0)
	require.Equal(t, []coordination.Command{{Kind: CommitKind, Body: coordination.MustMarshal(&CommitVersion{1})}}, got)
}

// TestViewCommitsNotedVersion checks that a view activates a version that is passed to NoteVersion
// if that version is prepared in the view. Otherwise the view is not up to date until the version
// arrives.
func TestViewCommitsNotedVersion(t *testing.T) {
	v := NewView(logging.Discard())
	observe := func(kind string, c interface{ MarshalMsg([]byte) ([]byte, error) }) {
		b, _ := c.MarshalMsg(nil)
		v.Observe(0, kind, b)
	}
	observe(PrepareKind, &PrepareVersion{Base: 0, Text: []byte(`{"zones":["a"]}`)})
	require.Zero(t, v.Current().Version)
	require.True(t, v.NoteVersion(1), "the prepared version is active now")
	require.EqualValues(t, 1, v.Current().Version)
	require.False(t, v.NoteVersion(2), "the version is not prepared here")
	observe(CommitKind, &CommitVersion{1})
	require.False(t, v.UpToDate())
	observe(PrepareKind, &PrepareVersion{Base: 1, Text: []byte(`{"zones":["a","b"]}`)})
	require.True(t, v.UpToDate())
	require.Len(t, v.Current().Configuration.Zones, 2)
}

// TestViewKeepsServedVersion checks that a view keeps the newest version that it has activated when the
// coordination service is restored from a copy that lacks this version, and that the view activates
// the next higher version.
func TestViewKeepsServedVersion(t *testing.T) {
	m, v := NewMachine(MachineOptions{}), NewView(logging.Discard())
	seq := ids.Seq(0)
	apply := func(kind string, body []byte, views ...*View) {
		t.Helper()
		seq++
		_, err := m.Apply(seq, kind, body)
		require.NoError(t, err)
		for _, w := range views {
			w.Observe(seq, kind, body)
		}
	}
	commit := func(base, next ids.Version, text string, views ...*View) {
		t.Helper()
		apply(PrepareKind, coordination.MustMarshal(&PrepareVersion{Base: base, Text: []byte(text), Next: next}), views...)
		apply(CommitKind, coordination.MustMarshal(&CommitVersion{next}), views...)
	}
	commit(0, 1, `{"zones":["one"]}`, v)
	previous := m.Snapshot(false)
	commit(1, 2, `{"zones":["two"]}`, v)
	require.EqualValues(t, 2, v.Current().Version)
	require.NoError(t, m.Restore(previous))
	require.NoError(t, v.Restore(m.Snapshot(true)))
	require.EqualValues(t, 2, v.Current().Version)
	require.Equal(t, []ids.Zone{"two"}, v.Current().Configuration.Zones)
	require.Equal(t, `{"zones":["two"]}`, string(v.Current().Text))
	commit(1, 3, `{"zones":["three"]}`, v)
	require.EqualValues(t, 3, v.Current().Version)
	require.Equal(t, []ids.Zone{"three"}, v.Current().Configuration.Zones)
}
