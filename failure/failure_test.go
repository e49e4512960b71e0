package failure

import (
	"errors"
	"io"
	"testing"
)

func TestKindOf(t *testing.T) {
	made := New(Bounced, "dial", "10.0.0.1:80", "%d tries", 3)
	for _, c := range []struct {
		name string
		err  error
		want Kind
	}{
		{"foreign", io.EOF, Unknown},
		{"made", made, Bounced},
		{"wrapped", Wrap(made, "send", ""), Bounced},
		{"foreign wrapped", Wrap(io.EOF, "send", ""), Unknown},
		{"given another", As(made, Lost, "send", ""), Lost},
		{"foreign given one", As(io.EOF, Stale, "read", ""), Stale},
	} {
		if got := KindOf(c.err); got != c.want || !Is(c.err, c.want) {
			t.Errorf("%s: %s, not %s", c.name, got, c.want)
		}
	}
	if Is(nil, Unknown) {
		t.Error("nil is of no kind")
	}
}

func TestOutermostStepAndNeighbour(t *testing.T) {
	inner := New(Bad, "parse", "a", "wrong")
	for _, c := range []struct {
		err              error
		step, near, text string
	}{
		{inner, "parse", "a", "parse [a]: wrong"},
		{Wrap(inner, "send", "b"), "send", "b", "send [b]: parse [a]: wrong"},
		{As(inner, Lost, "send", ""), "send", "", "send: parse [a]: wrong"},
		{io.EOF, "", "", "EOF"},
	} {
		if Step(c.err) != c.step || Neighbour(c.err) != c.near || c.err.Error() != c.text {
			t.Errorf("step %q, neighbour %q: %s", Step(c.err), Neighbour(c.err), c.err)
		}
	}
}

func TestCauseAndNil(t *testing.T) {
	if !errors.Is(As(Wrap(io.EOF, "read", "a"), Lost, "stream", "b"), io.EOF) {
		t.Error("the cause is lost")
	}
	if Wrap(nil, "read", "a") != nil || As(nil, Lost, "read", "a") != nil || Join(nil, nil) != nil {
		t.Error("nil became an error")
	}
	if !errors.Is(Join(io.EOF, io.ErrClosedPipe), io.ErrClosedPipe) {
		t.Error("a joined error is lost")
	}
}
