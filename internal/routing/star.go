// Starlark programs: short, without loops that never end (steps are counted),
// without state between calls (globals are frozen), and deterministic.

package routing

import (
	"errors"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

type star struct {
	name  string
	match *starlark.Function
	order *starlark.Function
	turn  *starlark.Function
	steps uint64
}

var dialect = &syntax.FileOptions{}

// Compile reads a program. Its faults carry file, line and reason.
func Compile(name, source string, steps uint64) (Program, error) {
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(steps)
	globals, err := starlark.ExecFileOptions(dialect, thread, name+".star", source, nil)
	if err != nil {
		return nil, fault(err, "compile program", name)
	}
	globals.Freeze()
	s := &star{name: name, steps: steps}
	for _, part := range []struct {
		form   string
		params int
		into   **starlark.Function
	}{{"match(ask, worker)", 2, &s.match}, {"order(ask, workers)", 2, &s.order}, {"turn(pool)", 1, &s.turn}} {
		word, _, _ := strings.Cut(part.form, "(")
		v, there := globals[word]
		if !there {
			continue
		}
		f, ok := v.(*starlark.Function)
		if !ok || f.NumParams() != part.params {
			line := int32(1)
			if ok {
				line = f.Position().Line
			}
			return nil, failure.New(failure.Bad, "compile program", name, "%s.star:%d: it should be %s", name, line, part.form)
		}
		*part.into = f
	}
	if s.match == nil && s.order == nil && s.turn == nil {
		return nil, failure.New(failure.Bad, "compile program", name, "%s.star:1: it must define match(ask, worker), order(ask, workers) or turn(pool)", name)
	}
	return s, nil
}

// fault names the place at which a program failed while it ran.
func fault(err error, step, name string) error {
	var ev *starlark.EvalError
	if errors.As(err, &ev) {
		for i := range ev.CallStack {
			if pos := ev.CallStack.At(i).Pos; pos.Line > 0 {
				return failure.New(failure.Bad, step, name, "%s: %s", pos, ev.Msg)
			}
		}
	}
	return failure.As(err, failure.Bad, step, name)
}

func (s *star) thread() *starlark.Thread {
	t := &starlark.Thread{Name: s.name, Print: func(*starlark.Thread, string) {}}
	t.SetMaxExecutionSteps(s.steps)
	return t
}

func names(list []string) starlark.Value {
	row := make([]starlark.Value, len(list))
	for i, n := range list {
		row[i] = starlark.String(n)
	}
	return starlark.NewList(row)
}

func question(q *Question) starlark.Value {
	return starlarkstruct.FromStringDict(starlark.String("ask"), starlark.StringDict{
		"request": starlark.String(q.Request), "kind": starlark.String(q.Kind), "model": starlark.String(q.Model),
		"adapters": names(q.Adapters), "part": starlark.String(q.Part), "zone": starlark.String(q.Zone),
		"prompt": starlark.MakeInt(q.Prompt), "max": starlark.MakeInt(q.Max), "need": starlark.MakeInt(q.Need),
	})
}

func candidate(c *Candidate) starlark.Value {
	return starlarkstruct.FromStringDict(starlark.String("worker"), starlark.StringDict{
		"id": starlark.String(c.ID), "zone": starlark.String(c.Zone), "weights": starlark.String(c.Weights),
		"adapters": names(c.Adapters), "free": starlark.MakeInt(c.Free), "room": starlark.MakeInt(c.Room),
		"busy": starlark.MakeInt(c.Busy), "cap": starlark.MakeInt(c.Cap), "affinity": starlark.Float(c.Affinity), "cost": starlark.Float(c.Cost),
	})
}

// Match keeps the candidates that the program says yes to.
func (s *star) Match(q *Question, list []Candidate) ([]Candidate, error) {
	if s.match == nil {
		return list, nil
	}
	thread, ask := s.thread(), question(q)
	var out []Candidate
	for i := range list {
		v, err := starlark.Call(thread, s.match, starlark.Tuple{ask, candidate(&list[i])}, nil)
		if err != nil {
			return nil, fault(err, "run program", s.name)
		}
		yes, ok := v.(starlark.Bool)
		if !ok {
			return nil, failure.New(failure.Bad, "run program", s.name, "match gave %s, not True or False", v.Type())
		}
		if yes {
			out = append(out, list[i])
		}
	}
	return out, nil
}

func (s *star) Order(q *Question, list []Candidate) ([]ids.WorkerID, error) {
	if s.order == nil {
		return Plain{}.Order(q, list)
	}
	row := make([]starlark.Value, len(list))
	for i := range list {
		row[i] = candidate(&list[i])
	}
	v, err := starlark.Call(s.thread(), s.order, starlark.Tuple{question(q), starlark.NewList(row)}, nil)
	if err != nil {
		return nil, fault(err, "run program", s.name)
	}
	seq, ok := v.(starlark.Iterable)
	if !ok {
		return nil, failure.New(failure.Bad, "run program", s.name, "order gave %s, not a list of ids", v.Type())
	}
	it := seq.Iterate()
	defer it.Done()
	var out []ids.WorkerID
	var e starlark.Value
	for it.Next(&e) {
		id, ok := starlark.AsString(e)
		if !ok || len(out) > len(list) {
			return nil, failure.New(failure.Bad, "run program", s.name, "order gave a list that is not ids of candidates")
		}
		out = append(out, ids.WorkerID(id))
	}
	return out, nil
}

func (s *star) Turns() bool { return s.turn != nil }

// Turn takes None, or a pair of a worker's id and the part that it should have.
func (s *star) Turn(p *Pool) (Wish, bool, error) {
	row := make([]starlark.Value, len(p.Workers))
	for i, w := range p.Workers {
		row[i] = starlarkstruct.FromStringDict(starlark.String("worker"), starlark.StringDict{
			"id": starlark.String(w.ID), "zone": starlark.String(w.Zone), "part": starlark.String(w.Part), "home": starlark.String(w.Home),
			"busy": starlark.MakeInt(w.Busy), "work": starlark.MakeInt(w.Work), "cap": starlark.MakeInt(w.Cap),
			"free": starlark.MakeInt(w.Free), "room": starlark.MakeInt(w.Room), "may": starlark.Bool(w.May),
		})
	}
	pool := starlarkstruct.FromStringDict(starlark.String("pool"), starlark.StringDict{
		"model": starlark.String(p.Model), "since": starlark.Float(p.Since.Seconds()), "workers": starlark.NewList(row),
		"prefill": starlark.Float(p.Press[ids.Prefill]), "decode": starlark.Float(p.Press[ids.Decode]),
	})
	v, err := starlark.Call(s.thread(), s.turn, starlark.Tuple{pool}, nil)
	if err != nil {
		return Wish{}, false, fault(err, "run program", s.name)
	}
	if v == starlark.None {
		return Wish{}, false, nil
	}
	if pair, ok := v.(starlark.Indexable); ok && pair.Len() == 2 {
		id, a := starlark.AsString(pair.Index(0))
		to, b := starlark.AsString(pair.Index(1))
		if a && b {
			return Wish{ids.WorkerID(id), ids.Part(to)}, true, nil
		}
	}
	return Wish{}, false, failure.New(failure.Bad, "run program", s.name, "turn gave %s, not None or (id, part)", v)
}
