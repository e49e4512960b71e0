package logging

import (
	"bytes"
	"slices"
	"strings"
	"testing"
)

func TestRing(t *testing.T) {
	var out bytes.Buffer
	r := NewRing(3, &out, "n")
	for _, message := range []string{"one", "two", "three", "four"} {
		r.Info().Msg(message)
	}
	if out.Len() != 0 {
		t.Errorf("lines were written before an error: %s", &out)
	}
	r.Error().Msg("five")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 {
		t.Fatalf("got %d lines, want 3", len(lines))
	}
	for i, message := range []string{"three", "four", "five"} {
		if !strings.Contains(lines[i], message) || !strings.Contains(lines[i], `"node":"n"`) {
			t.Errorf("line %d is wrong: %s", i, lines[i])
		}
	}
	out.Reset()
	r.Error().Msg("six")
	if n := strings.Count(out.String(), "\n"); n != 1 {
		t.Errorf("got %d lines, want only the newest: lines that were written out must leave the ring", n)
	}
}

// TestWarningsAreWrittenImmediately checks that a warning is written out without an error, and only
// once. Otherwise messages that an operator needs, such as which node became primary, would be
// lost when a process ends without having logged an error.
func TestWarningsAreWrittenImmediately(t *testing.T) {
	var out bytes.Buffer
	r := NewRing(3, &out, "n")
	r.Info().Msg("one")
	r.Warn().Msg("two")
	if lines := out.String(); !strings.Contains(lines, "two") || strings.Contains(lines, "one") {
		t.Errorf("want only the warning written out, got: %s", lines)
	}
	r.Error().Msg("three")
	if n := strings.Count(out.String(), "two"); n != 1 {
		t.Errorf("the warning was written %d times", n)
	}
}

func TestJournal(t *testing.T) {
	const minEvents, events = 4, 50
	j := NewJournal[int](minEvents)
	var handled []int
	j.Subscribe(func(e int) { handled = append(handled, e) })
	for i := range events {
		j.Append(i)
		kept, count := j.Last(events)
		if count != uint64(i+1) || len(kept) < min(i+1, minEvents) || len(kept) >= 2*minEvents || kept[len(kept)-1] != i {
			t.Fatalf("after %d events: count %d, kept %v", i+1, count, kept)
		}
	}
	if len(handled) != events {
		t.Errorf("the subscriber handled %d events of %d", len(handled), events)
	}
	newest, _ := j.Last(2)
	newest[0] = 0
	if again, _ := j.Last(2); !slices.Equal(again, []int{events - 2, events - 1}) {
		t.Errorf("%v: Last did not return a copy", again)
	}
}
