// Old idempotency records. A settled idempotency record's full answer is kept for a while; afterwards only
// that its key was taken, for which body, and how it ended: 24 bytes, for good,
// so that forgetting never turns into running. Rows fill a leaf; a full leaf is
// sorted, sealed and never changed again, and snapshots only name it.

package fleetstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sort"

	"keelstair.example/coordination"
)

const (
	rowSize      = 24 // 16 of the key's hash, 7 of the body's digest, 1 of the outcome
	keyHashBytes = 16
)

// Retention says how much is kept in full and how many rows make a leaf. It must be
// the same on every copy.
type Retention struct {
	Full      int // 20000
	ChunkRows int // 65536
}

var outcomes = []string{OutcomeClaimed, OutcomeDone, OutcomeNotRun, OutcomeMayHaveRun}

type agedKeys struct {
	Retention
	sealed []coordination.Chunk
	open   map[[keyHashBytes]byte][rowSize]byte
	rows   [][rowSize]byte // the open leaf, in order of coming
}

func newAgedKeys(d Retention) agedKeys {
	if d.Full == 0 {
		d.Full = 20000
	}
	if d.ChunkRows == 0 {
		d.ChunkRows = 65536
	}
	return agedKeys{Retention: d, open: map[[keyHashBytes]byte][rowSize]byte{}}
}

func hash(key string) [keyHashBytes]byte {
	sum := sha256.Sum256([]byte(key))
	return [keyHashBytes]byte(sum[:keyHashBytes])
}

// digestPrefix is what is kept of a body's digest.
func digestPrefix(digest string) []byte {
	sum := sha256.Sum256([]byte(digest))
	return sum[:rowSize-keyHashBytes-1]
}

func (s *agedKeys) put(d IdempotencyRecord) {
	var r [rowSize]byte
	k := hash(d.Key)
	copy(r[:], k[:])
	copy(r[keyHashBytes:], digestPrefix(d.Digest))
	for i, f := range outcomes {
		if f == d.Outcome {
			r[rowSize-1] = byte(i)
		}
	}
	s.add(r)
}

func (s *agedKeys) add(r [rowSize]byte) {
	s.open[[keyHashBytes]byte(r[:keyHashBytes])] = r
	s.rows = append(s.rows, r)
	if len(s.rows) < s.ChunkRows {
		return
	}
	sort.Slice(s.rows, func(i, j int) bool { return bytes.Compare(s.rows[i][:], s.rows[j][:]) < 0 })
	body := make([]byte, 0, len(s.rows)*rowSize)
	for _, r := range s.rows {
		body = append(body, r[:]...)
	}
	s.sealed = append(s.sealed[:len(s.sealed):len(s.sealed)], coordination.NewChunk(body))
	s.open, s.rows = map[[keyHashBytes]byte][rowSize]byte{}, nil
}

// find gives what is known of an old key: an idempotency record without its answer.
func (s *agedKeys) find(key, digest string) (IdempotencyRecord, bool) {
	k := hash(key)
	r, ok := s.open[k]
	for i := len(s.sealed) - 1; !ok && i >= 0; i-- {
		r, ok = searchChunk(s.sealed[i].Body, k)
	}
	if !ok {
		return IdempotencyRecord{}, false
	}
	d := IdempotencyRecord{Key: key, Outcome: outcomes[r[rowSize-1]], Aged: true}
	if bytes.Equal(r[keyHashBytes:rowSize-1], digestPrefix(digest)) {
		d.Digest = digest
	}
	return d, true
}

// searchChunk looks a key up in a sorted leaf. The keys are hashes and so evenly spread:
// the search widens from where the key should stand.
func searchChunk(leaf []byte, k [keyHashBytes]byte) ([rowSize]byte, bool) {
	n := len(leaf) / rowSize
	cmp := func(i int) int { return bytes.Compare(leaf[i*rowSize:i*rowSize+keyHashBytes], k[:]) }
	at := int(uint64(binary.BigEndian.Uint32(k[:4])) * uint64(n) >> 32)
	low, high := at, at
	for step := 32; low > 0 && cmp(low) > 0; step *= 2 {
		low = max(0, low-step)
	}
	for step := 32; high < n && cmp(high) < 0; step *= 2 {
		high = min(n, high+step)
	}
	at = low + sort.Search(high-low, func(i int) bool { return cmp(low+i) >= 0 })
	if at >= n || cmp(at) != 0 {
		return [rowSize]byte{}, false
	}
	return [rowSize]byte(leaf[at*rowSize : (at+1)*rowSize]), true
}

// Chunks and RestoreChunks make the machine a coordination.ChunkStore: chunks of aged keys, and of
// the audit record, which are told by how they begin.
func (m *Machine) Chunks() []coordination.Chunk {
	if len(m.auditLog.sealedChunks) == 0 {
		return m.agedKeys.sealed
	}
	return slices.Concat(m.agedKeys.sealed, m.auditLog.sealedChunks)
}

// RestoreChunks gives back the chunks that the next snapshot to be restored names.
func (m *Machine) RestoreChunks(chunks []coordination.Chunk) {
	m.agedKeys.sealed, m.auditLog.sealedChunks = nil, nil
	for _, one := range chunks {
		if bytes.HasPrefix(one.Body, []byte(auditMagic)) {
			m.auditLog.sealedChunks = append(m.auditLog.sealedChunks, one)
		} else {
			m.agedKeys.sealed = append(m.agedKeys.sealed, one)
		}
	}
}
