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
	entrySize   = 24 // 16 of the key's hash, 7 of the body's digest, 1 of the outcome
	keyHashSize = 16
)

// Retention says how much is kept in full and how many rows make a leaf. It must be
// the same on every copy.
type Retention struct {
	FullRecords  int // 20000
	ChunkEntries int // 65536
}

var outcomeCodes = []string{Claimed, Done, NotRun, MayHaveRun}

type agedKeys struct {
	Retention
	sealed      []coordination.Chunk
	openIndex   map[[keyHashSize]byte][entrySize]byte
	openEntries [][entrySize]byte // the open leaf, in order of coming
}

func newAgedKeys(d Retention) agedKeys {
	if d.FullRecords == 0 {
		d.FullRecords = 20000
	}
	if d.ChunkEntries == 0 {
		d.ChunkEntries = 65536
	}
	return agedKeys{Retention: d, openIndex: map[[keyHashSize]byte][entrySize]byte{}}
}

func hashKey(key string) [keyHashSize]byte {
	sum := sha256.Sum256([]byte(key))
	return [keyHashSize]byte(sum[:keyHashSize])
}

// digestPrefix is what is kept of a body's digest.
func digestPrefix(digest string) []byte {
	sum := sha256.Sum256([]byte(digest))
	return sum[:entrySize-keyHashSize-1]
}

func (s *agedKeys) addRecord(d IdempotencyRecord) {
	var r [entrySize]byte
	k := hashKey(d.Key)
	copy(r[:], k[:])
	copy(r[keyHashSize:], digestPrefix(d.Digest))
	for i, f := range outcomeCodes {
		if f == d.Outcome {
			r[entrySize-1] = byte(i)
		}
	}
	s.addEntry(r)
}

func (s *agedKeys) addEntry(r [entrySize]byte) {
	s.openIndex[[keyHashSize]byte(r[:keyHashSize])] = r
	s.openEntries = append(s.openEntries, r)
	if len(s.openEntries) < s.ChunkEntries {
		return
	}
	sort.Slice(s.openEntries, func(i, j int) bool { return bytes.Compare(s.openEntries[i][:], s.openEntries[j][:]) < 0 })
	body := make([]byte, 0, len(s.openEntries)*entrySize)
	for _, r := range s.openEntries {
		body = append(body, r[:]...)
	}
	s.sealed = append(s.sealed[:len(s.sealed):len(s.sealed)], coordination.NewChunk(body))
	s.openIndex, s.openEntries = map[[keyHashSize]byte][entrySize]byte{}, nil
}

// lookup gives what is known of an old key: an idempotency record without its answer.
func (s *agedKeys) lookup(key, digest string) (IdempotencyRecord, bool) {
	k := hashKey(key)
	r, ok := s.openIndex[k]
	for i := len(s.sealed) - 1; !ok && i >= 0; i-- {
		r, ok = searchChunk(s.sealed[i].Body, k)
	}
	if !ok {
		return IdempotencyRecord{}, false
	}
	d := IdempotencyRecord{Key: key, Outcome: outcomeCodes[r[entrySize-1]], Aged: true}
	if bytes.Equal(r[keyHashSize:entrySize-1], digestPrefix(digest)) {
		d.Digest = digest
	}
	return d, true
}

// searchChunk looks a key up in a sorted leaf. The keys are hashes and so evenly spread:
// the search widens from where the key should stand.
func searchChunk(leaf []byte, k [keyHashSize]byte) ([entrySize]byte, bool) {
	n := len(leaf) / entrySize
	cmp := func(i int) int { return bytes.Compare(leaf[i*entrySize:i*entrySize+keyHashSize], k[:]) }
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
		return [entrySize]byte{}, false
	}
	return [entrySize]byte(leaf[at*entrySize : (at+1)*entrySize]), true
}

// Chunks and RestoreChunks make the machine a coordination.ChunkStore: chunks of aged keys, and of
// the audit record, which are told by how they begin.
func (m *Machine) Chunks() []coordination.Chunk {
	if len(m.audit.sealed) == 0 {
		return m.aged.sealed
	}
	return slices.Concat(m.aged.sealed, m.audit.sealed)
}

// RestoreChunks gives back the chunks that the next snapshot to be restored names.
func (m *Machine) RestoreChunks(chunks []coordination.Chunk) {
	m.aged.sealed, m.audit.sealed = nil, nil
	for _, one := range chunks {
		if bytes.HasPrefix(one.Body, []byte(auditMagic)) {
			m.audit.sealed = append(m.audit.sealed, one)
		} else {
			m.aged.sealed = append(m.aged.sealed, one)
		}
	}
}
