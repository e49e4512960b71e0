// Texts of configurations are kept packed: a large one goes to every node.

package fleetstate

import (
	"bytes"
	"compress/gzip"
	"io"
)

const minCompressBytes = 2048 // bytes; shorter texts stay as they are

// compress makes a text short, once, before it goes to the core.
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

// isCompressed tells by the first bytes, which begin no JSON text.
func isCompressed(text []byte) bool { return len(text) > 2 && text[0] == 0x1f && text[1] == 0x8b }

// decompress gives a text as it came. One that cannot be unpacked stays, and is no configuration.
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
