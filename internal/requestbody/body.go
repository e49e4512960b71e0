package requestbody

import (
	"container/list"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// ErrReleased is the error of NewReader after Release or an eviction.
var ErrReleased = errors.New("the body has been released")

var errReaderClosed = errors.New("the reader of the body is closed")

// Body is the body of a request. A nil Body is empty. It is safe for concurrent use.
type Body struct {
	memory        *Memory
	unknownLength bool // until it has been read
	length        int
	arrived       atomic.Int64 // bytes that have been read
	arrivedAfter  atomic.Int64 // ns from the beginning of reading until the last of them were read
	reserved      int64        // bytes counted by memory; guarded by memory.mu like all fields below
	chunks        [][]byte
	readers       int
	released      bool
	attempt       bool          // an attempt has begun, after which only a retry needs the body
	queued        *list.Element // its place among the evictable bodies; nil if it may not be evicted
	pace          pace
}

// FromBytes returns a body with the given content, which must not be changed. No Memory counts it.
func FromBytes(content []byte) *Body {
	if len(content) == 0 {
		return nil
	}
	return &Body{memory: NewMemory(0), length: len(content), chunks: [][]byte{content}}
}

// Len returns the length in bytes, also after Release.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.length
}

// Prefix returns up to n bytes from the start of the body, and none after Release.
func (b *Body) Prefix(n int) []byte {
	if b == nil {
		return nil
	}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if len(b.chunks) == 0 {
		return nil
	}
	return b.chunks[0][:min(n, len(b.chunks[0]))]
}

// Release tells that no more readers will be opened. It may be called more than once.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.released = true
	b.dropIfUnused()
}

// BeginAttempt keeps the body from being evicted until MarkSent is called. It returns false if the body has been
// released or evicted, so that no attempt is possible. It is called before each attempt after which the body is
// needed for nothing but a retry.
func (b *Body) BeginAttempt() bool {
	if b == nil {
		return true
	}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.unqueue()
	b.attempt = true
	return !b.released
}

// MarkSent tells that a worker has been sent the whole body. After BeginAttempt, the body may be evicted.
func (b *Body) MarkSent() {
	if b == nil {
		return
	}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if b.attempt && !b.released && b.queued == nil {
		b.queued = b.memory.evictable.PushBack(b)
		b.memory.evictableBytes += b.reserved
		b.memory.grant()
	}
}

// unqueue removes the body from the evictable ones. memory.mu must be held.
func (b *Body) unqueue() {
	if b.queued != nil {
		b.memory.evictable.Remove(b.queued)
		b.memory.evictableBytes -= b.reserved
		b.queued = nil
	}
}

// dropIfUnused drops the bytes of a released body without readers. memory.mu must be held.
func (b *Body) dropIfUnused() {
	if b.released && b.readers == 0 {
		b.memory.release(b.drop())
	}
}

// drop drops the bytes and returns how many were counted. memory.mu must be held.
func (b *Body) drop() int64 {
	b.unqueue()
	delete(b.memory.reading, b)
	dropped := b.reserved
	b.released, b.chunks, b.reserved = true, nil, 0
	return dropped
}

// NewReader returns a reader of the whole body, which must be closed.
func (b *Body) NewReader() (*Reader, error) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if b.released {
		return nil, ErrReleased
	}
	b.readers++
	return &Reader{body: b, rest: b.chunks}, nil
}

// Reader reads a body once. Close may be called while a Read is running.
type Reader struct {
	mu     sync.Mutex
	body   *Body    // nil once closed
	rest   [][]byte // the chunks that have not been read completely
	offset int      // bytes of the first chunk that have been read
}

// Read copies the next bytes of the body.
func (r *Reader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.body == nil {
		return 0, errReaderClosed
	}
	count := 0
	for count < len(p) && len(r.rest) > 0 {
		n := copy(p[count:], r.rest[0][r.offset:])
		count += n
		r.offset += n
		if r.offset == len(r.rest[0]) {
			r.rest, r.offset = r.rest[1:], 0
		}
	}
	if count == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return count, nil
}

// Close releases the reader's hold on the body.
func (r *Reader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	body := r.body
	if body == nil {
		return nil
	}
	r.body, r.rest = nil, nil
	body.memory.mu.Lock()
	defer body.memory.mu.Unlock()
	body.readers--
	body.dropIfUnused()
	if body.queued != nil {
		body.memory.grant() // it may be evicted now
	}
	return nil
}
