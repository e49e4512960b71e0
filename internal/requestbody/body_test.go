package requestbody

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// content returns a body's bytes in which no two chunks are equal.
func content(length int) []byte {
	out := make([]byte, length)
	for i := range out {
		out[i] = byte(i*7 + i>>8 + i>>16)
	}
	return out
}

// bytesSource returns a source of the given content with the given length, -1 if unknown.
func bytesSource(content []byte, length int64) Source {
	return Source{Reader: bytes.NewReader(content), Length: length}
}

func requireContent(t *testing.T, want []byte, body *Body) {
	t.Helper()
	require.Equal(t, len(want), body.Len())
	reader, err := body.NewReader()
	require.NoError(t, err)
	got, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	require.True(t, bytes.Equal(want, got))
}

// lengths are body lengths around the bounds of chunks.
var lengths = []int{
	1, minChunk - 1, minChunk, minChunk + 1, maxChunk - 1, maxChunk, maxChunk + 1, 3*maxChunk + 17, 1 << 20,
}

// TestReadReturnsWholeBody checks that a body is read and returned unchanged, with and without a known length, by
// any size of reads, as often as needed.
func TestReadReturnsWholeBody(t *testing.T) {
	for _, length := range lengths {
		want := content(length)
		for _, known := range []int64{int64(length), -1} {
			for _, src := range []io.Reader{
				bytes.NewReader(want),
				iotest.HalfReader(bytes.NewReader(want)),
				iotest.DataErrReader(bytes.NewReader(want)),
			} {
				memory := NewMemory(0)
				body, err := memory.Read(t.Context(), Source{Reader: src, Length: known}, 0)
				require.NoError(t, err)
				requireContent(t, want, body)
				requireContent(t, want, body)
				require.Equal(t, want[:min(100, length)], body.Prefix(100))
				require.GreaterOrEqual(t, memory.Held(), int64(length))
				body.Release()
				require.Zero(t, memory.Held())
			}
		}
	}
	body := FromBytes(content(1000))
	reader, err := body.NewReader()
	require.NoError(t, err)
	require.NoError(t, iotest.TestReader(reader, content(1000)))
}

// TestEmptyBody checks that an empty body is nil and holds nothing.
func TestEmptyBody(t *testing.T) {
	memory := NewMemory(0)
	for _, length := range []int64{0, -1} {
		body, err := memory.Read(t.Context(), Source{Reader: strings.NewReader(""), Length: length}, 0)
		require.NoError(t, err)
		require.Nil(t, body)
		require.Zero(t, body.Len())
		require.Empty(t, body.Prefix(5))
		body.Release()
		require.Zero(t, memory.Held())
	}
	require.Nil(t, FromBytes(nil))
}

// TestFailedReadHoldsNothing guards against memory that stays counted when a client breaks off, and against a
// truncated body that counts as whole.
func TestFailedReadHoldsNothing(t *testing.T) {
	errBroken := errors.New("broken")
	for _, length := range lengths {
		for _, known := range []int64{int64(length), -1} {
			for _, failure := range []error{errBroken, io.ErrUnexpectedEOF} {
				memory := NewMemory(0)
				src := io.MultiReader(bytes.NewReader(content(length-1)), iotest.ErrReader(failure))
				_, err := memory.Read(t.Context(), Source{Reader: src, Length: known}, 0)
				require.ErrorIs(t, err, failure)
				require.Zero(t, memory.Held())
			}
		}
		memory := NewMemory(0)
		_, err := memory.Read(t.Context(), bytesSource(content(length-1), int64(length)), 0)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Zero(t, memory.Held())
	}
}

// TestOpenReaderKeepsReleasedBody guards against a request that is sent with a part of its body.
func TestOpenReaderKeepsReleasedBody(t *testing.T) {
	memory := NewMemory(0)
	want := content(3 * maxChunk)
	body, err := memory.Read(t.Context(), bytesSource(want, int64(len(want))), 0)
	require.NoError(t, err)
	reader, err := body.NewReader()
	require.NoError(t, err)
	body.Release()
	body.Release()
	_, err = body.NewReader()
	require.ErrorIs(t, err, ErrReleased)
	require.Equal(t, int64(len(want)), memory.Held())
	got, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, got))
	require.NoError(t, reader.Close())
	require.NoError(t, reader.Close())
	require.Zero(t, memory.Held())
	require.Equal(t, len(want), body.Len())
	require.Empty(t, body.Prefix(10))
	_, err = reader.Read(make([]byte, 1))
	require.ErrorIs(t, err, errReaderClosed)
}
