// These tests check the audit log: reading rows, sealed chunks, snapshots, detection of tampering, and
// the records that Resolve writes.

package fleetstate

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
)

// queryAudit reads audit rows through an AuditQuery command.
func queryAudit(t *testing.T, m *Machine, from, limit int) (AuditQueryReply, []AuditRow) {
	out, err := m.State.Apply(AuditQueryKind, coordination.MustMarshal(&AuditQuery{From: from, Limit: limit}))
	require.ErrorIs(t, err, coordination.ErrUnchanged, "a query must not add an entry to the command log")
	var got AuditQueryReply
	_, err = got.UnmarshalMsg(out)
	require.NoError(t, err)
	rows := make([]AuditRow, len(got.Lines))
	for i, l := range got.Lines {
		require.NoError(t, json.Unmarshal(l, &rows[i]))
	}
	return got, rows
}

// TestAuditLogKeepsRows checks that a replica that was restored from a snapshot returns all rows
// unchanged and in order, including those in sealed chunks. A record that does not have the form that
// json.Marshal writes is rejected. Beyond maxAuditChunks the oldest chunks are dropped, and FirstIndex
// is the index of the oldest remaining row.
func TestAuditLogKeepsRows(t *testing.T) {
	m, replica := NewMachine(MachineOptions{}), NewMachine(MachineOptions{})
	n := auditChunkRows*2 + 100
	for i := range n {
		body, err := json.Marshal(&AuditRecord{
			Request: fmt.Sprint("<r&", i),
			Kind:    "verdict",
			Regime:  "chair",
			Outcome: OutcomeDone,
		})
		require.NoError(t, err)
		for _, x := range []*Machine{m, replica} {
			_, err = x.Apply(1, AppendAuditKind, coordination.MustMarshal(&AppendAudit{body}))
			require.NoError(t, err)
		}
		if i == auditChunkRows+7 {
			replica = NewMachine(MachineOptions{})
			replica.RestoreChunks(m.Chunks())
			require.NoError(t, replica.Restore(m.Snapshot(false)))
		}
	}
	require.Equal(t, m.Chunks(), replica.Chunks())
	require.Len(t, m.Chunks(), 2)
	var all []AuditRow
	for from := 1; from <= n; from += 700 {
		got, rows := queryAudit(t, replica, from, 700)
		require.Equal(t, []int{1, n}, []int{got.FirstIndex, got.RowCount})
		all = append(all, rows...)
		if len(all) == n {
			require.Equal(t, got.LastHash, all[n-1].Hash)
		}
	}
	require.Len(t, all, n)
	require.NoError(t, VerifyChain(nil, all))
	var r AuditRecord
	require.NoError(t, json.Unmarshal(all[1500].Record, &r))
	require.Equal(t, "<r&1500", r.Request)
	for _, text := range []string{"{} ", `{"a":"<"}`, "{", ""} {
		_, err := m.Apply(1, AppendAuditKind, coordination.MustMarshal(&AppendAudit{[]byte(text)}))
		require.True(t, failure.Is(err, failure.InvalidArgument), text)
	}
	for range auditChunkRows * maxAuditChunks {
		m.auditLog.add([]byte("{}"))
	}
	got, rows := queryAudit(t, m, 1, 3)
	require.Equal(t, got.FirstIndex, rows[0].Index)
	require.Equal(t, 2*auditChunkRows+1, got.FirstIndex)
	require.Len(t, m.Chunks(), maxAuditChunks)
}

// TestVerifyChain checks that VerifyChain reports a removed row, a changed row, a changed row whose
// hash was recomputed, and rows that were replaced by those of another chain.
func TestVerifyChain(t *testing.T) {
	build := func(tag string) []AuditRow {
		a := auditLog{}
		for i := range 10 {
			a.add([]byte(fmt.Sprintf(`{"request":"%s%d"}`, tag, i)))
		}
		rows := make([]AuditRow, 10)
		for i, l := range a.read(1, 10).Lines {
			require.NoError(t, json.Unmarshal(l, &rows[i]))
		}
		return rows
	}
	rows := build("a")
	require.NoError(t, VerifyChain(nil, rows))
	require.NoError(t, VerifyChain(&rows[3], rows[4:]))
	for wantError, tamper := range map[string]func(r []AuditRow) []AuditRow{
		"rows were removed": func(r []AuditRow) []AuditRow { return append(r[:4], r[5:]...) },
		"was changed":       func(r []AuditRow) []AuditRow { r[4].Record = json.RawMessage(`{}`); return r },
		"does not follow": func(r []AuditRow) []AuditRow {
			r[4].Record = json.RawMessage(`{}`)
			r[4].Hash = r[4].computeHash()
			return r
		},
		"row 5 does not follow": func(r []AuditRow) []AuditRow { return append(r[:4], build("b")[4:]...) },
	} {
		require.ErrorContains(t, VerifyChain(nil, tamper(build("a"))), wantError)
	}
}

// TestResolveWritesAuditRecord checks that one Resolve command writes an outcome and its audit record
// together. If the record is invalid, or the claim has an outcome already, the command writes neither.
func TestResolveWritesAuditRecord(t *testing.T) {
	s := newState(false, Retention{})
	_, err := applyClaim(t, s, "verdict/1", "b")
	require.NoError(t, err)
	require.Error(t, applyCommand(t, s, ResolveKind, &Resolve{
		Key:     "verdict/1",
		Owner:   "n1",
		Outcome: OutcomeDone,
		Audit:   []byte("{ }"),
	}))
	require.Equal(t, OutcomeClaimed, s.records["verdict/1"].Outcome)
	require.NoError(t, applyCommand(t, s, ResolveKind, &Resolve{
		Key:     "verdict/1",
		Owner:   "n1",
		Outcome: OutcomeDone,
		Audit:   []byte("{}"),
	}))
	require.Error(t, applyCommand(t, s, ResolveKind, &Resolve{Key: "verdict/1", Owner: "n1", Outcome: OutcomeDone, Audit: []byte("{}")}))
	require.Equal(t, 1, s.auditLog.rowCount)
}
