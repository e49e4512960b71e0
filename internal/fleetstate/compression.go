// This file compresses configuration texts for storage and transmission, since each text is sent to
// every node and may be large.

package fleetstate

import (
	"bytes"
	"compress/gzip"
	"io"
)

const minCompressBytes = 2048 // shorter texts are not compressed

// compress compresses a text with gzip before it is sent to the coordination service. It returns
// the text itself if that is short, already compressed, or would not get smaller.
func compress(text []byte) []byte {
	if len(text) < minCompressBytes || isCompressed(text) {
		return text
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(text); err != nil || z.Close() != nil || b.Len() >= len(text) {
		return text
	}
	return b.Bytes()
}

// isCompressed reports whether a text starts with the gzip header. No JSON text starts with it.
func isCompressed(text []byte) bool { return len(text) > 2 && text[0] == 0x1f && text[1] == 0x8b }

// decompress returns the original text of a possibly compressed one. It returns a corrupt text
// unchanged; parsing that as a configuration fails.
func decompress(text []byte) []byte {
	if !isCompressed(text) {
		return text
	}
	z, err := gzip.NewReader(bytes.NewReader(text))
	if err != nil {
		return text
	}
	out, err := io.ReadAll(z)
	if err != nil {
		return text
	}
	return out
}
