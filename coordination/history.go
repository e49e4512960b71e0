// The digest of the log, and the newest log entries. Replicas with the same sequence number and
// digest hold the same state; a replica that is a few entries behind is sent only those entries.

package coordination

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"keelstair.example/ids"
)

const (
	digestBytes    = 16
	historyEntries = 1024    // maximum number of entries kept for replicas that are behind
	historyBytes   = 1 << 20 // maximum total size of their bodies in bytes
)

// logDigest returns the digest of a log extended by an entry.
func logDigest(before []byte, e *Entry) []byte {
	h := sha256.New()
	h.Write(before)
	for _, field := range [][]byte{[]byte(e.Kind), []byte(e.Op), e.Body} {
		h.Write(binary.AppendUvarint(nil, uint64(len(field))))
		h.Write(field)
	}
	h.Write(binary.AppendUvarint(nil, uint64(e.Seq)))
	return h.Sum(nil)[:digestBytes]
}

// stateDigest returns the digest of a log whose entries up to seq are known only as a state.
func stateDigest(seq ids.Seq, state []byte) []byte {
	return logDigest(nil, &Entry{Seq: seq, Kind: "crux.state", Body: state})
}

// history holds the newest entries, each with the digest of the log up to it.
type history struct {
	entries []Entry
	digests [][]byte
	bytes   int
}

// add appends the next entry and drops the oldest ones beyond the limits.
func (h *history) add(e *Entry, digest []byte) {
	h.entries = append(h.entries, *e)
	h.digests = append(h.digests, digest)
	h.bytes += len(e.Body)
	drop := 0
	for h.bytes > historyBytes || len(h.entries)-drop > historyEntries {
		h.bytes -= len(h.entries[drop].Body)
		drop++
	}
	h.entries, h.digests = h.entries[drop:], h.digests[drop:]
}

// entriesAfter returns the entries that follow seq. It reports false if seq is not in the history or
// the log up to seq has another digest.
func (h *history) entriesAfter(seq ids.Seq, digest []byte) ([]Entry, bool) {
	for i := range h.entries {
		if h.entries[i].Seq == seq {
			return h.entries[i+1:], bytes.Equal(h.digests[i], digest)
		}
	}
	return nil, false
}
