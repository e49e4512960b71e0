// This file computes and applies deltas between texts. A large text with few changes is sent to
// every replica and node as a list of hunks. Each hunk is a range to copy from the previous text,
// followed by new text. The receiver verifies the result against the size and the SHA-256 checksum of
// the complete text, so that a delta never produces a different text.

package fleetstate

import (
	"bytes"
	"crypto/sha256"

	"keelstair.example/failure"
)

const (
	minDeltaTextBytes   = 16 << 10 // shorter texts are sent in full
	maxDeltaResultBytes = 16 << 20 // maximum size of the text that a delta produces
)

// splitSections splits a text after each closing brace.
func splitSections(text []byte) [][]byte { return bytes.SplitAfter(text, []byte("}")) }

// computeDelta returns the delta from previous to text.
func computeDelta(previous, text []byte) *Delta {
	sum := sha256.Sum256(text)
	d := &Delta{Size: len(text), Checksum: sum[:]}
	offsets := map[string]int{}
	pos := 0
	for _, p := range splitSections(previous) {
		if _, ok := offsets[string(p)]; !ok {
			offsets[string(p)] = pos
		}
		pos += len(p)
	}
	h := Hunk{}
	for _, p := range splitSections(text) {
		from, known := offsets[string(p)]
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

// patch applies the delta to previous. It returns an error of kind InvalidArgument if the result is
// not the text for which the delta was computed.
func (d *Delta) patch(previous []byte) ([]byte, error) {
	fault := func(reason string) error {
		return failure.New(failure.InvalidArgument, "apply delta", "", "%s", reason)
	}
	if d.Size < 0 || d.Size > maxDeltaResultBytes {
		return nil, fault("the size of the result is out of bounds")
	}
	out := make([]byte, 0, d.Size)
	for _, h := range d.Hunks {
		if h.From < 0 || h.Len < 0 || h.From > len(previous) || h.Len > len(previous)-h.From ||
			h.Len+len(h.Text) > d.Size-len(out) {
			return nil, fault("a hunk exceeds the previous text or the size of the result")
		}
		out = append(append(out, previous[h.From:h.From+h.Len]...), h.Text...)
	}
	if sum := sha256.Sum256(out); len(out) != d.Size || !bytes.Equal(sum[:], d.Checksum) {
		return nil, fault("the result does not match the size and checksum of the delta")
	}
	return out, nil
}
