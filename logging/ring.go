package logging

import (
	"io"
	"sync"

	"github.com/rs/zerolog"
)

// discardSize is the number of lines that the ring of Discard holds.
const discardSize = 8

// Ring is a logger that keeps the newest lines in memory. A line of level warning is written out
// immediately and not kept. A line of level error or above causes all kept lines, including itself,
// to be written out, oldest first, and removed from the ring. It is safe for concurrent use.
type Ring struct {
	mu    sync.Mutex
	lines [][]byte
	next  int
	out   io.Writer
	zerolog.Logger
}

// NewRing returns a ring that keeps size lines, which must be at least 1, and writes to out. Each
// line has a timestamp and the name as its field "node".
func NewRing(size int, out io.Writer, name string) *Ring {
	r := &Ring{lines: make([][]byte, size), out: out}
	r.Logger = zerolog.New(r).With().Timestamp().Str("node", name).Logger()
	return r
}

// Discard returns a ring whose output is discarded.
func Discard() *Ring { return NewRing(discardSize, io.Discard, "") }

// Write implements io.Writer. It keeps the line as one of level info, and never fails.
func (r *Ring) Write(p []byte) (int, error) { return r.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. It writes a warning out, keeps any other line, and
// writes all kept lines out if the level is error or above. It never fails: a line whose write to
// the output fails is dropped.
func (r *Ring) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if level == zerolog.WarnLevel {
		r.out.Write(p)
		return len(p), nil
	}
	r.lines[r.next%len(r.lines)] = append([]byte(nil), p...)
	r.next++
	if level >= zerolog.ErrorLevel {
		r.flush()
	}
	return len(p), nil
}

// flush writes out all kept lines, oldest first, and removes them from the ring.
func (r *Ring) flush() {
	for i := range r.lines {
		n := (r.next + i) % len(r.lines)
		if r.lines[n] != nil {
			r.out.Write(r.lines[n])
			r.lines[n] = nil
		}
	}
}
