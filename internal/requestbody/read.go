package requestbody

import (
	"context"
	"errors"
	"io"
	"os"
	"time"
)

const (
	maxChunk = 64 << 10 // bytes that are allocated at once, when the bytes before them have arrived
	minChunk = 4 << 10  // bytes of the first chunk of a body of unknown length
)

// ErrTooSlow is the error of Read if the body's time was over, or if the client was behind its pace and others needed
// the memory.
var ErrTooSlow = errors.New("the body arrives too slowly")

// Source is a body that has not been read.
type Source struct {
	io.Reader
	Length  int64         // -1 if unknown
	Timeout time.Duration // the time in which the whole body should arrive; 0 means any
	// Interrupt makes a running or the next Read return an error soon. It must not block. A body without it, or
	// without a timeout, is never too slow.
	Interrupt func()
}

// Read reads a body. It waits for memory for at most the given time in all. On an error, nothing stays held.
func (m *Memory) Read(ctx context.Context, src Source, wait time.Duration) (*Body, error) {
	body := &Body{memory: m, unknownLength: src.Length < 0}
	var err error
	if body.unknownLength {
		err = body.readAll(ctx, src, wait)
	} else {
		err = body.readExactly(ctx, src, wait)
	}
	if m.endReading(body) || errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrTooSlow
	}
	if err != nil {
		body.Release()
		return nil, err
	}
	if body.length == 0 {
		body.Release()
		return nil, nil
	}
	return body, nil
}

// readExactly reads a body of a known length. All of its memory is reserved before it is read, so that bodies that
// are read at the same time cannot prevent each other from becoming complete.
func (b *Body) readExactly(ctx context.Context, src Source, wait time.Duration) error {
	if _, err := b.memory.reserve(ctx, b, src.Length, wait); err != nil {
		return err
	}
	b.memory.beginReading(b, src)
	for rest := src.Length; rest > 0; {
		chunk := make([]byte, min(rest, maxChunk))
		n, err := b.fill(src, chunk)
		if n < len(chunk) {
			return unexpected(err)
		}
		b.add(chunk)
		rest -= int64(n)
	}
	return nil
}

// readAll reads a body of unknown length. It reserves one chunk after the other.
func (b *Body) readAll(ctx context.Context, src Source, wait time.Duration) error {
	for size := int64(minChunk); ; size = min(2*size, maxChunk) {
		var err error
		if wait, err = b.memory.reserve(ctx, b, size, wait); err != nil {
			return err
		}
		b.memory.beginReading(b, src)
		chunk := make([]byte, size)
		n, err := b.fill(src, chunk)
		b.add(chunk[:n])
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// add appends a chunk.
func (b *Body) add(chunk []byte) {
	if len(chunk) > 0 {
		b.chunks = append(b.chunks, chunk)
		b.length += len(chunk)
	}
}

// fill reads until the chunk is full or src returns an error, which is io.EOF at its end.
func (b *Body) fill(src io.Reader, chunk []byte) (int, error) {
	for n := 0; ; {
		k, err := src.Read(chunk[n:])
		n += k
		if k > 0 {
			b.arrived.Add(int64(k))
			b.arrivedAfter.Store(int64(time.Since(b.pace.began)))
		}
		if err != nil || n == len(chunk) {
			return n, err
		}
	}
}

// unexpected returns the error for an end of a body before its length.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
