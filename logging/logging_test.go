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
		t.Errorf("written before an error: %s", &out)
	}
	r.Error().Msg("five")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 {
		t.Fatalf("%d lines, not 3", len(lines))
	}
	for i, message := range []string{"three", "four", "five"} {
		if !strings.Contains(lines[i], message) || !strings.Contains(lines[i], `"node":"n"`) {
			t.Errorf("line %d is %s", i, lines[i])
		}
	}
	out.Reset()
	r.Error().Msg("six")
	if n := strings.Count(out.String(), "\n"); n != 1 {
		t.Errorf("%d lines, not the newest alone: what was written out leaves the ring", n)
	}
}

// TestWarningsShowWithoutAnError: what an operator has to see of a day without errors, such as who
// became primary, is not lost with the process.
func TestWarningsShowWithoutAnError(t *testing.T) {
	var out bytes.Buffer
	r := NewRing(3, &out, "n")
	r.Info().Msg("one")
	r.Warn().Msg("two")
	if lines := out.String(); !strings.Contains(lines, "two") || strings.Contains(lines, "one") {
		t.Errorf("written out: %s", lines)
	}
	r.Error().Msg("three")
	if n := strings.Count(out.String(), "two"); n != 1 {
		t.Errorf("the warning was written %d times", n)
	}
}

func TestJournal(t *testing.T) {
	const keep, events = 4, 50
	j := NewJournal[int](keep)
	var seen []int
	j.Subscribe(func(e int) { seen = append(seen, e) })
	for i := range events {
		j.Append(i)
		kept, count := j.Last(events)
		if count != uint64(i+1) || len(kept) < min(i+1, keep) || len(kept) >= 2*keep || kept[len(kept)-1] != i {
			t.Fatalf("after %d events: count %d, kept %v", i+1, count, kept)
		}
	}
	if len(seen) != events {
		t.Errorf("the view saw %d events of %d", len(seen), events)
	}
	newest, _ := j.Last(2)
	newest[0] = 0
	if again, _ := j.Last(2); !slices.Equal(again, []int{events - 2, events - 1}) {
		t.Errorf("%v: what is given out is no copy", again)
	}
}
