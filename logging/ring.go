package logging

import (
	"io"
	"sync"

	"github.com/rs/zerolog"
)

// discardSize is how many lines the ring of Discard holds.
const discardSize = 8

// Ring is a logger that holds the newest lines in memory. A line of level warning is written out
// at once, alone. A line of level error or above writes all out that are held, oldest first, and
// empties the ring. It is safe for concurrent use.
type Ring struct {
	mu    sync.Mutex
	lines [][]byte
	next  int
	out   io.Writer
	zerolog.Logger
}

// NewRing returns a ring of size lines, at least 1, that writes to out. Each line carries a
// time stamp and, as "node", the name.
func NewRing(size int, out io.Writer, name string) *Ring {
	r := &Ring{lines: make([][]byte, size), out: out}
	r.Logger = zerolog.New(r).With().Timestamp().Str("node", name).Logger()
	return r
}

// Discard returns a ring that never writes anything out.
func Discard() *Ring { return NewRing(discardSize, io.Discard, "") }

// Write keeps a line of unknown level, as io.Writer. It never fails.
func (r *Ring) Write(p []byte) (int, error) { return r.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel keeps a line, as zerolog.LevelWriter, or writes it out where its level is warning; it
// writes the ring out where the level is error or above. It never fails: what the output does not take is dropped.
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

func (r *Ring) flush() {
	for i := range r.lines {
		n := (r.next + i) % len(r.lines)
		if r.lines[n] != nil {
			r.out.Write(r.lines[n])
			r.lines[n] = nil
		}
	}
}
