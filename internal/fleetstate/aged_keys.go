// This file stores old idempotency records compactly. The newest resolved records are kept in full.
// An older record is replaced by an entry of 24 bytes with a hash of its key, a hash of its request
// digest and its outcome. Entries are kept permanently, so that a request is not executed a second
// time after its answer was dropped. Entries are collected into chunks; a full chunk is sorted and
// sealed. A sealed chunk never changes, and snapshots only refer to it.

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
	entrySize   = 24 // bytes: 16 for the key's hash, 7 for the hash of the request digest, 1 for the outcome
	keyHashSize = 16
)

// Retention configures how many resolved records are kept in full and how many entries form a
// chunk. It must be the same on every replica.
type Retention struct {
	FullRecords  int // default 20000
	ChunkEntries int // default 65536
}

// outcomeCodes lists the outcomes; an entry stores the index of its outcome.
var outcomeCodes = []string{OutcomeClaimed, OutcomeDone, OutcomeNotRun, OutcomeMayHaveRun}

// agedKeys stores the entries of old records. Entries are open until they fill a chunk, which is then
// sealed.
type agedKeys struct {
	Retention
	sealed      []coordination.Chunk
	openIndex   map[[keyHashSize]byte][entrySize]byte
	openEntries [][entrySize]byte // in order of arrival
}

func newAgedKeys(retention Retention) agedKeys {
	if retention.FullRecords == 0 {
		retention.FullRecords = 20000
	}
	if retention.ChunkEntries == 0 {
		retention.ChunkEntries = 65536
	}
	return agedKeys{Retention: retention, openIndex: map[[keyHashSize]byte][entrySize]byte{}}
}

func hashKey(key string) [keyHashSize]byte {
	sum := sha256.Sum256([]byte(key))
	return [keyHashSize]byte(sum[:keyHashSize])
}

// digestPrefix returns the part of the hash of a request digest that an entry stores.
func digestPrefix(digest string) []byte {
	sum := sha256.Sum256([]byte(digest))
	return sum[:entrySize-keyHashSize-1]
}

// addRecord stores the entry of a resolved record.
func (s *agedKeys) addRecord(d IdempotencyRecord) {
	var entry [entrySize]byte
	k := hashKey(d.Key)
	copy(entry[:], k[:])
	copy(entry[keyHashSize:], digestPrefix(d.Digest))
	for i, outcome := range outcomeCodes {
		if outcome == d.Outcome {
			entry[entrySize-1] = byte(i)
		}
	}
	s.addEntry(entry)
}

// addEntry adds an entry to the open entries, and seals them as a chunk once there are ChunkEntries of
// them.
func (s *agedKeys) addEntry(entry [entrySize]byte) {
	s.openIndex[[keyHashSize]byte(entry[:keyHashSize])] = entry
	s.openEntries = append(s.openEntries, entry)
	if len(s.openEntries) < s.ChunkEntries {
		return
	}
	sort.Slice(s.openEntries, func(i, j int) bool { return bytes.Compare(s.openEntries[i][:], s.openEntries[j][:]) < 0 })
	body := make([]byte, 0, len(s.openEntries)*entrySize)
	for _, e := range s.openEntries {
		body = append(body, e[:]...)
	}
	s.sealed = append(s.sealed[:len(s.sealed):len(s.sealed)], coordination.NewChunk(body))
	s.openIndex, s.openEntries = map[[keyHashSize]byte][entrySize]byte{}, nil
}

// lookup returns the record of an old key as far as it is stored, without its answer. The record's
// Digest is set only if the stored hash matches that of the given digest.
func (s *agedKeys) lookup(key, digest string) (IdempotencyRecord, bool) {
	k := hashKey(key)
	entry, ok := s.openIndex[k]
	for i := len(s.sealed) - 1; !ok && i >= 0; i-- {
		entry, ok = searchChunk(s.sealed[i].Body, k)
	}
	if !ok {
		return IdempotencyRecord{}, false
	}
	d := IdempotencyRecord{Key: key, Outcome: outcomeCodes[entry[entrySize-1]], AnswerExpired: true}
	if bytes.Equal(entry[keyHashSize:entrySize-1], digestPrefix(digest)) {
		d.Digest = digest
	}
	return d, true
}

// searchChunk looks up a key in a sorted chunk. The keys are hashes and thus evenly distributed, so
// the search interpolates the key's position and widens the range from there before it bisects.
func searchChunk(chunk []byte, k [keyHashSize]byte) ([entrySize]byte, bool) {
	n := len(chunk) / entrySize
	cmp := func(i int) int { return bytes.Compare(chunk[i*entrySize:i*entrySize+keyHashSize], k[:]) }
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
	return [entrySize]byte(chunk[at*entrySize : (at+1)*entrySize]), true
}

// Chunks returns the sealed chunks of aged keys followed by those of the audit log. Together
// with RestoreChunks it implements coordination.ChunkStore.
func (m *Machine) Chunks() []coordination.Chunk {
	if len(m.auditLog.sealedChunks) == 0 {
		return m.agedKeys.sealed
	}
	return slices.Concat(m.agedKeys.sealed, m.auditLog.sealedChunks)
}

// RestoreChunks sets the chunks to which the next restored snapshot refers. The chunks of the audit
// log are recognized by their prefix.
func (m *Machine) RestoreChunks(chunks []coordination.Chunk) {
	m.agedKeys.sealed, m.auditLog.sealedChunks = nil, nil
	for _, chunk := range chunks {
		if bytes.HasPrefix(chunk.Body, []byte(auditMagic)) {
			m.auditLog.sealedChunks = append(m.auditLog.sealedChunks, chunk)
		} else {
			m.agedKeys.sealed = append(m.agedKeys.sealed, chunk)
		}
	}
}
