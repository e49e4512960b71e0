// Old deeds. A settled deed's full answer is kept for a while; afterwards only
// that its key was taken, for which body, and how it ended: 24 bytes, for good,
// so that forgetting never turns into running. Rows fill a leaf; a full leaf is
// sorted, sealed and never changed again, and pictures only name it.

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
	rowSize = 24 // 16 of the key's hash, 7 of the body's digest, 1 of the fate
	keyPart = 16
)

// Depth says how much is kept in full and how many rows make a leaf. It must be
// the same on every copy.
type Depth struct {
	Full int // 20000
	Leaf int // 65536
}

var fates = []string{Claimed, Done, NotRun, Unsure}

type shelf struct {
	Depth
	sealed []coordination.Chunk
	open   map[[keyPart]byte][rowSize]byte
	row    [][rowSize]byte // the open leaf, in order of coming
}

func newShelf(d Depth) shelf {
	if d.Full == 0 {
		d.Full = 20000
	}
	if d.Leaf == 0 {
		d.Leaf = 65536
	}
	return shelf{Depth: d, open: map[[keyPart]byte][rowSize]byte{}}
}

func hash(key string) [keyPart]byte {
	sum := sha256.Sum256([]byte(key))
	return [keyPart]byte(sum[:keyPart])
}

// digestPart is what is kept of a body's digest.
func digestPart(digest string) []byte {
	sum := sha256.Sum256([]byte(digest))
	return sum[:rowSize-keyPart-1]
}

func (s *shelf) put(d Deed) {
	var r [rowSize]byte
	k := hash(d.Key)
	copy(r[:], k[:])
	copy(r[keyPart:], digestPart(d.Digest))
	for i, f := range fates {
		if f == d.Fate {
			r[rowSize-1] = byte(i)
		}
	}
	s.add(r)
}

func (s *shelf) add(r [rowSize]byte) {
	s.open[[keyPart]byte(r[:keyPart])] = r
	s.row = append(s.row, r)
	if len(s.row) < s.Leaf {
		return
	}
	sort.Slice(s.row, func(i, j int) bool { return bytes.Compare(s.row[i][:], s.row[j][:]) < 0 })
	body := make([]byte, 0, len(s.row)*rowSize)
	for _, r := range s.row {
		body = append(body, r[:]...)
	}
	s.sealed = append(s.sealed[:len(s.sealed):len(s.sealed)], coordination.NewChunk(body))
	s.open, s.row = map[[keyPart]byte][rowSize]byte{}, nil
}

// find gives what is known of an old key: a deed without its answer.
func (s *shelf) find(key, digest string) (Deed, bool) {
	k := hash(key)
	r, ok := s.open[k]
	for i := len(s.sealed) - 1; !ok && i >= 0; i-- {
		r, ok = seek(s.sealed[i].Body, k)
	}
	if !ok {
		return Deed{}, false
	}
	d := Deed{Key: key, Fate: fates[r[rowSize-1]], Aged: true}
	if bytes.Equal(r[keyPart:rowSize-1], digestPart(digest)) {
		d.Digest = digest
	}
	return d, true
}

// seek looks a key up in a sorted leaf. The keys are hashes and so evenly spread:
// the search widens from where the key should stand.
func seek(leaf []byte, k [keyPart]byte) ([rowSize]byte, bool) {
	n := len(leaf) / rowSize
	cmp := func(i int) int { return bytes.Compare(leaf[i*rowSize:i*rowSize+keyPart], k[:]) }
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

// count of the rows on the shelf.
func (s *shelf) count() int { return len(s.sealed)*s.Leaf + len(s.row) }

// Chunks and Shelve make the machine a coordination.Shelf: leaves of old deeds, and of the audit
// record, which are told by how they begin.
func (m *Machine) Chunks() []coordination.Chunk {
	if len(m.audit.sealed) == 0 {
		return m.shelf.sealed
	}
	return slices.Concat(m.shelf.sealed, m.audit.sealed)
}

func (m *Machine) RestoreChunks(sheets []coordination.Chunk) {
	m.shelf.sealed, m.audit.sealed = nil, nil
	for _, one := range sheets {
		if bytes.HasPrefix(one.Body, []byte(auditMagic)) {
			m.audit.sealed = append(m.audit.sealed, one)
		} else {
			m.shelf.sealed = append(m.shelf.sealed, one)
		}
	}
}
