package failure

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

func TestKindOf(t *testing.T) {
	created := New(NotExecuted, "dial", "10.0.0.1:80", "%d tries", 3)
	for _, c := range []struct {
		name string
		err  error
		want Kind
	}{
		{"other type", io.EOF, OutcomeUnknown},
		{"created by New", created, NotExecuted},
		{"wrapped", Wrap(created, "send", ""), NotExecuted},
		{"other type, wrapped", Wrap(io.EOF, "send", ""), OutcomeUnknown},
		{"given another kind", As(created, DataLost, "send", ""), DataLost},
		{"other type, given a kind", As(io.EOF, Stale, "read", ""), Stale},
		{"wrapped by fmt", fmt.Errorf("again: %w", created), NotExecuted},
		{"joined", Join(created, New(Stale, "send", "", "old")), NotExecuted},
	} {
		if got := KindOf(c.err); got != c.want || !Is(c.err, c.want) {
			t.Errorf("%s: got kind %s, want %s", c.name, got, c.want)
		}
	}
	if Is(nil, OutcomeUnknown) {
		t.Error("Is(nil) is true, but nil has no kind")
	}
}

func TestOutermostStepAndPeer(t *testing.T) {
	inner := New(InvalidArgument, "parse", "a", "wrong")
	for _, c := range []struct {
		err              error
		step, peer, text string
	}{
		{inner, "parse", "a", "parse [a]: wrong"},
		{Wrap(inner, "send", "b"), "send", "b", "send [b]: parse [a]: wrong"},
		{As(inner, DataLost, "send", ""), "send", "", "send: parse [a]: wrong"},
		{io.EOF, "", "", "EOF"},
	} {
		if Step(c.err) != c.step || Peer(c.err) != c.peer || c.err.Error() != c.text {
			t.Errorf("step %q, peer %q: %s", Step(c.err), Peer(c.err), c.err)
		}
	}
}

func TestCauseAndNil(t *testing.T) {
	if !errors.Is(As(Wrap(io.EOF, "read", "a"), DataLost, "stream", "b"), io.EOF) {
		t.Error("errors.Is does not find the cause")
	}
	if Wrap(nil, "read", "a") != nil || As(nil, DataLost, "read", "a") != nil || Join(nil, nil) != nil {
		t.Error("Wrap, As or Join of nil is not nil")
	}
	if !errors.Is(Join(io.EOF, io.ErrClosedPipe), io.ErrClosedPipe) {
		t.Error("errors.Is does not find a joined error")
	}
}

func TestErrorsAs(t *testing.T) {
	var e *Error
	if !errors.As(
		fmt.Errorf("again: %w", New(Stale, "apply", "a", "old")), &e,
	) || e.Kind != Stale || e.Step != "apply" || e.Peer != "a" {
		t.Errorf("errors.As found %+v", e)
	}
}
