// Package logging keeps what a process has lived through: a ring of log lines that
// is written out only when something goes wrong, and a journal of events from
// which views are folded.
package logging

import (
	"io"
	"sync"

	"github.com/rs/zerolog"
)

// Ring holds the newest lines in memory. It is the writer under a zerolog
// logger; lines of level error pour the whole ring out.
type Ring struct {
	mu    sync.Mutex
	lines [][]byte
	at    int
	out   io.Writer
	zerolog.Logger
}

// NewRing keeps so many lines and pours to out.
func NewRing(size int, out io.Writer, name string) *Ring {
	r := &Ring{lines: make([][]byte, size), out: out}
	r.Logger = zerolog.New(r).With().Timestamp().Str("node", name).Logger()
	return r
}

// Mute is a ring for those who want none.
func Mute() *Ring { return NewRing(8, io.Discard, "") }

func (r *Ring) Write(p []byte) (int, error) { return r.WriteLevel(zerolog.InfoLevel, p) }

func (r *Ring) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines[r.at%len(r.lines)] = append([]byte(nil), p...)
	r.at++
	if level >= zerolog.ErrorLevel {
		r.pour()
	}
	return len(p), nil
}

func (r *Ring) pour() {
	for i := range r.lines {
		n := (r.at + i) % len(r.lines)
		if r.lines[n] != nil {
			r.out.Write(r.lines[n])
			r.lines[n] = nil
		}
	}
}
