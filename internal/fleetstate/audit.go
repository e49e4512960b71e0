// The audit record of governed work: a row for each request's begin and outcome, each
// with a hash over the row before it, so that a row that is removed or changed shows.
// Full leaves are sealed as chunks; the oldest leave the store once there are too many.

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

//msgp:ignore AuditRow AuditRecord AuditStep audit

// AuditStep is one step of a request: what was done at whom, cleared by which serial,
// at the fleet's time in nanoseconds since 1970.
type AuditStep struct {
	Attempt   int    `json:"attempt,omitempty"`
	Operation string `json:"what"`
	Worker    string `json:"worker"`
	Serial    string `json:"serial"`
	At        int64  `json:"at"`
}

// AuditRecord is what is kept of a governed request: once as it begins, if its key is
// not claimed, and once with its outcome.
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

// OutcomeBegun is the outcome of a record that is written before anything runs.
const OutcomeBegun = "begun"

// AuditRow is a line of the chain. Its hash is over the row before it, its number and
// the record's own text.
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

// VerifyChain holds rows against each other, and against the one before them if it is
// known.
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
	maxAuditChunks = 100 // sealed ones that are kept
	auditMagic     = "keelstair audit\n"
)

type auditLog struct {
	rowCount     int
	lastHash     string
	openRows     [][]byte
	sealedChunks []coordination.Chunk
}

func (a *auditLog) add(record []byte) {
	a.rowCount++
	r := AuditRow{Index: a.rowCount, Prev: a.lastHash, Record: record}
	r.Hash = r.computeHash()
	line, err := json.Marshal(&r)
	if err != nil {
		return // a record that is no JSON is refused before
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

// firstIndex is the number of the first row that is kept.
func (a *auditLog) firstIndex() int {
	return a.rowCount - len(a.openRows) - len(a.sealedChunks)*auditChunkRows + 1
}

func (a *auditLog) read(from, limit int) *AuditQueryReply {
	out := &AuditQueryReply{FirstIndex: a.firstIndex(), RowCount: a.rowCount, LastHash: a.lastHash}
	for at := max(from, out.FirstIndex); at <= a.rowCount && len(out.Lines) < limit; {
		i := at - out.FirstIndex
		leaf := a.openRows
		if n := i / auditChunkRows; n < len(a.sealedChunks) {
			leaf = bytes.Split(a.sealedChunks[n].Body[len(auditMagic):], []byte{'\n'})
			i %= auditChunkRows
		} else {
			i -= len(a.sealedChunks) * auditChunkRows
		}
		take := min(len(leaf)-i, limit-len(out.Lines))
		out.Lines = append(out.Lines, leaf[i:i+take]...)
		at += take
	}
	return out
}

func (c *AppendAudit) apply(s *State) (msgp.Marshaler, error) {
	// The text stands in a line as it is, so it must be as the encoder writes it.
	if tight, err := json.Marshal(json.RawMessage(c.Record)); err != nil || !bytes.Equal(tight, c.Record) {
		return nil, failure.New(failure.InvalidArgument, "audit", "", "a record must be compact JSON")
	}
	s.auditLog.add(c.Record)
	return nil, nil
}

func (c *AuditQuery) apply(s *State) (msgp.Marshaler, error) {
	return s.auditLog.read(c.From, min(max(c.Limit, 1), auditChunkRows)), coordination.ErrUnchanged
}
