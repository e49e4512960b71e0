// The digest of the log, and its newest entries. Replicas whose place and digest are the same
// hold the same state; one that is behind by few entries is sent these alone.

package coordination

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"keelstair.example/ids"
)

const (
	digestBytes    = 16
	historyEntries = 1024    // kept for replicas that are behind
	historyBytes   = 1 << 20 // of their bodies, at most
)

// logDigest is the digest of a log that goes on with an entry.
func logDigest(before []byte, e *Entry) []byte {
	h := sha256.New()
	h.Write(before)
	for _, part := range [][]byte{[]byte(e.Kind), []byte(e.Op), e.Body} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write(part)
	}
	h.Write(binary.AppendUvarint(nil, uint64(e.Seq)))
	return h.Sum(nil)[:digestBytes]
}

// stateDigest is that of a log whose beginning is known as a state only.
func stateDigest(seq ids.Seq, state []byte) []byte {
	return logDigest(nil, &Entry{Seq: seq, Kind: "crux.state", Body: state})
}

// history holds the newest entries, each with the digest of the log up to it.
type history struct {
	entries []Entry
	digests [][]byte
	bytes   int
}

// add takes the next entry and drops the oldest ones beyond the bounds.
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

// after gives the entries that follow a place, if the log up to that place had this digest.
func (h *history) after(seq ids.Seq, digest []byte) ([]Entry, bool) {
	for i := range h.entries {
		if h.entries[i].Seq == seq {
			return h.entries[i+1:], bytes.Equal(h.digests[i], digest)
		}
	}
	return nil, false
}
