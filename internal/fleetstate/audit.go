// The audit log has rows for the requests that a regime governs: one for the outcome of each request
// and, if its key is not claimed, one for its start. The hash of each row covers the hash of the row
// before it, so that a removed or changed row is detected. Every auditChunkRows rows are sealed as a
// chunk; beyond maxAuditChunks the oldest chunks are dropped.

package fleetstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/failure"
)

//msgp:ignore AuditRow AuditRecord AuditStep auditLog

// AuditStep is one step of a request: the operation, the worker that ran it, the serial of the
// certificate that allowed it, and the fleet's time in nanoseconds since 1970.
type AuditStep struct {
	Attempt int    `json:"attempt,omitempty"`
	What    string `json:"what"`
	Worker  string `json:"worker"`
	Serial  string `json:"serial"`
	At      int64  `json:"at"`
}

// AuditRecord is the audit log's record of a request under a regime. It is written with the
// request's outcome, and for a request without a claimed key also before it runs.
type AuditRecord struct {
	Request string      `json:"request"`
	Key     string      `json:"key,omitempty"`
	Kind    string      `json:"kind"`
	Regime  string      `json:"regime"`
	Node    string      `json:"node"`
	Serial  string      `json:"serial"`
	Steps   []AuditStep `json:"steps,omitempty"`
	Outcome string      `json:"outcome"`
}

// OutcomeBegun is the outcome in a record that is written before the request runs.
const OutcomeBegun = "begun"

// AuditRow is one row of the hash chain. Its hash covers the previous row's hash, its own index
// and the text of the record.
type AuditRow struct {
	Index  int             `json:"index"`
	Prev   string          `json:"prev"`
	Hash   string          `json:"hash"`
	Record json.RawMessage `json:"record"`
}

func (r *AuditRow) computeHash() string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%d\n", r.Prev, r.Index)
	h.Write(r.Record)
	return hex.EncodeToString(h.Sum(nil))
}

// VerifyChain checks that rows are consecutive and unchanged, and that they follow the row before. If
// before is nil, the first row may have any index and any previous hash.
func VerifyChain(before *AuditRow, rows []AuditRow) error {
	for i := range rows {
		r := &rows[i]
		switch {
		case before != nil && r.Index != before.Index+1:
			return failure.New(
				failure.InvalidArgument,
				"check audit",
				"",
				"row %d follows row %d: rows were removed",
				r.Index,
				before.Index,
			)
		case before != nil && r.Prev != before.Hash:
			return failure.New(
				failure.InvalidArgument,
				"check audit",
				"",
				"row %d does not follow row %d: one was changed or replaced",
				r.Index,
				before.Index,
			)
		case r.Hash != r.computeHash():
			return failure.New(
				failure.InvalidArgument,
				"check audit",
				"",
				"row %d was changed: its hash is not that of its text",
				r.Index,
			)
		}
		before = r
	}
	return nil
}

const (
	auditChunkRows = 1024
	maxAuditChunks = 100                 // maximum number of sealed chunks that are kept
	auditMagic     = "keelstair audit\n" // prefix of a sealed chunk, by which RestoreChunks recognizes it
)

// auditLog is the hash chain of audit rows: sealed chunks and the open rows after them.
type auditLog struct {
	rowCount     int
	lastHash     string
	openRows     [][]byte // JSON of the rows that are not sealed yet
	sealedChunks []coordination.Chunk
}

func (a *auditLog) add(record []byte) {
	a.rowCount++
	r := AuditRow{Index: a.rowCount, Prev: a.lastHash, Record: record}
	r.Hash = r.computeHash()
	line, err := json.Marshal(&r)
	if err != nil {
		return // unreachable: AppendAudit rejects a record that isn't JSON
	}
	a.lastHash = r.Hash
	if a.openRows = append(a.openRows, line); len(a.openRows) < auditChunkRows {
		return
	}
	body := append([]byte(auditMagic), bytes.Join(a.openRows, []byte{'\n'})...)
	a.sealedChunks = append(a.sealedChunks[:len(a.sealedChunks):len(a.sealedChunks)], coordination.NewChunk(body))
	a.openRows = nil
	if n := len(a.sealedChunks) - maxAuditChunks; n > 0 {
		a.sealedChunks = a.sealedChunks[n:]
	}
}

// firstIndex returns the index of the oldest row that is kept.
func (a *auditLog) firstIndex() int {
	return a.rowCount - len(a.openRows) - len(a.sealedChunks)*auditChunkRows + 1
}

// read returns up to limit rows, starting at the index from or, if that row was dropped, at the oldest
// row that is kept.
func (a *auditLog) read(from, limit int) *AuditQueryReply {
	out := &AuditQueryReply{FirstIndex: a.firstIndex(), RowCount: a.rowCount, LastHash: a.lastHash}
	for index := max(from, out.FirstIndex); index <= a.rowCount && len(out.Lines) < limit; {
		i := index - out.FirstIndex
		rows := a.openRows
		if n := i / auditChunkRows; n < len(a.sealedChunks) {
			rows = bytes.Split(a.sealedChunks[n].Body[len(auditMagic):], []byte{'\n'})
			i %= auditChunkRows
		} else {
			i -= len(a.sealedChunks) * auditChunkRows
		}
		take := min(len(rows)-i, limit-len(out.Lines))
		out.Lines = append(out.Lines, rows[i:i+take]...)
		index += take
	}
	return out
}

func (c *AppendAudit) apply(s *State) (msgp.Marshaler, error) {
	// The record must have the form that the JSON encoder writes, since VerifyChain checks the hash of
	// the record as encoded in its row.
	if compact, err := json.Marshal(json.RawMessage(c.Record)); err != nil || !bytes.Equal(compact, c.Record) {
		return nil, failure.New(failure.InvalidArgument, "audit", "", "the audit record is not JSON in compact form")
	}
	s.auditLog.add(c.Record)
	return nil, nil
}

func (c *AuditQuery) apply(s *State) (msgp.Marshaler, error) {
	return s.auditLog.read(c.From, min(max(c.Limit, 1), auditChunkRows)), coordination.ErrUnchanged
}
