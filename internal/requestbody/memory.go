package requestbody

import (
	"io"
	"sync"
)

const (
	maxChunk = 64 << 10 // bytes that are allocated at once, when the bytes before them have arrived
	minChunk = 4 << 10  // bytes of the first chunk of a body of unknown length
)

// Memory counts the bytes of the bodies that a node holds. The zero value is ready for use.
type Memory struct {
	mu   sync.Mutex
	used int64
}

// Held returns the number of bytes held.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// take counts bytes that are about to be allocated.
func (m *Memory) take(size int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used += size
}

// give counts bytes as free again. mu must be held.
func (m *Memory) give(size int64) { m.used -= size }

// Read reads a body of the given length, or up to the end of src if the length is negative. On an error, nothing
// stays held.
func (m *Memory) Read(src io.Reader, length int64) (*Body, error) {
	body := &Body{memory: m}
	var err error
	if length >= 0 {
		err = body.readExactly(src, length)
	} else {
		err = body.readAll(src)
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

// readExactly reads a body of a known length.
func (b *Body) readExactly(src io.Reader, length int64) error {
	b.memory.take(length)
	b.reserved = length
	for rest := length; rest > 0; {
		chunk := make([]byte, min(rest, maxChunk))
		n, err := fill(src, chunk)
		if n < len(chunk) {
			return unexpected(err)
		}
		b.add(chunk)
		rest -= int64(n)
	}
	return nil
}

// readAll reads a body of unknown length.
func (b *Body) readAll(src io.Reader) error {
	for size := minChunk; ; size = min(2*size, maxChunk) {
		b.memory.take(int64(size))
		b.reserved += int64(size)
		chunk := make([]byte, size)
		n, err := fill(src, chunk)
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
func fill(src io.Reader, chunk []byte) (int, error) {
	for n := 0; ; {
		k, err := src.Read(chunk[n:])
		n += k
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
