// Deltas between texts: a large text that changes little goes to every copy and node as
// what is copied from the one before it and what is new. Whoever applies one holds the
// outcome against the digest of the whole, so that a delta never gives another text.

package fleetstate

import (
	"bytes"
	"crypto/sha256"

	"keelstair.example/failure"
)

const (
	deltaFrom = 16 << 10 // bytes; shorter texts go whole
	maxText   = 16 << 20 // bytes that a delta may come to
)

// splitSections cuts a text behind each closing brace.
func splitSections(text []byte) [][]byte { return bytes.SplitAfter(text, []byte("}")) }

// diff gives the delta from one text to another.
func diff(previous, text []byte) *Delta {
	sum := sha256.Sum256(text)
	d := &Delta{Size: len(text), Checksum: sum[:]}
	at := map[string]int{}
	pos := 0
	for _, p := range splitSections(previous) {
		if _, ok := at[string(p)]; !ok {
			at[string(p)] = pos
		}
		pos += len(p)
	}
	h := Hunk{}
	for _, p := range splitSections(text) {
		from, known := at[string(p)]
		switch {
		case len(h.Text) == 0 && bytes.HasPrefix(previous[h.From+h.Len:], p):
			h.Len += len(p)
		case known && len(p) > 0:
			d.Hunks = append(d.Hunks, h)
			h = Hunk{From: from, Len: len(p)}
		default:
			h.Text = append(h.Text, p...)
		}
	}
	d.Hunks = append(d.Hunks, h)
	return d
}

// patch makes the text that a delta stands for, or fails with Bad.
func (d *Delta) patch(previous []byte) ([]byte, error) {
	fault := func(why string) error {
		return failure.New(failure.InvalidArgument, "apply delta", "", "%s", why)
	}
	if d.Size < 0 || d.Size > maxText {
		return nil, fault("its size is out of bounds")
	}
	out := make([]byte, 0, d.Size)
	for _, h := range d.Hunks {
		if h.From < 0 || h.Len < 0 || h.From > len(previous) || h.Len > len(previous)-h.From ||
			h.Len+len(h.Text) > d.Size-len(out) {
			return nil, fault("it does not fit the text before it")
		}
		out = append(append(out, previous[h.From:h.From+h.Len]...), h.Text...)
	}
	if sum := sha256.Sum256(out); len(out) != d.Size || !bytes.Equal(sum[:], d.Checksum) {
		return nil, fault("it gives another text than it stands for")
	}
	return out, nil
}
