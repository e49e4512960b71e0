// Starlark programs: short, without loops that never end (steps are counted),
// without state between calls (globals are frozen), and deterministic.

package whim

import (
	"errors"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"

	"keelstair.example/breakdown"
	"keelstair.example/word"
)

type star struct {
	name  string
	order starlark.Callable
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
	f, ok := globals["order"].(*starlark.Function)
	if !ok || f.NumParams() != 2 {
		return nil, breakdown.New(breakdown.Bad, "compile program", name, "%s.star:1: it must define order(ask, workers)", name)
	}
	return &star{name, f, steps}, nil
}

// fault names the place at which a program failed while it ran.
func fault(err error, step, name string) error {
	var ev *starlark.EvalError
	if errors.As(err, &ev) {
		for i := range ev.CallStack {
			if pos := ev.CallStack.At(i).Pos; pos.Line > 0 {
				return breakdown.New(breakdown.Bad, step, name, "%s: %s", pos, ev.Msg)
			}
		}
	}
	return breakdown.As(err, breakdown.Bad, step, name)
}

func (s *star) Order(q *Question, list []Candidate) ([]word.WorkerId, error) {
	thread := &starlark.Thread{Name: s.name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(s.steps)
	ask := starlarkstruct.FromStringDict(starlark.String("ask"), starlark.StringDict{
		"request": starlark.String(q.Request), "kind": starlark.String(q.Kind), "model": starlark.String(q.Model),
		"part": starlark.String(q.Part), "zone": starlark.String(q.Zone),
		"prompt": starlark.MakeInt(q.Prompt), "max": starlark.MakeInt(q.Max), "need": starlark.MakeInt(q.Need),
	})
	row := make([]starlark.Value, len(list))
	for i, c := range list {
		row[i] = starlarkstruct.FromStringDict(starlark.String("worker"), starlark.StringDict{
			"id": starlark.String(c.Id), "zone": starlark.String(c.Zone), "free": starlark.MakeInt(c.Free),
			"room": starlark.MakeInt(c.Room), "busy": starlark.MakeInt(c.Busy), "cap": starlark.MakeInt(c.Cap),
			"affinity": starlark.Float(c.Affinity),
		})
	}
	v, err := starlark.Call(thread, s.order, starlark.Tuple{ask, starlark.NewList(row)}, nil)
	if err != nil {
		return nil, fault(err, "run program", s.name)
	}
	seq, ok := v.(starlark.Iterable)
	if !ok {
		return nil, breakdown.New(breakdown.Bad, "run program", s.name, "order gave %s, not a list of ids", v.Type())
	}
	it := seq.Iterate()
	defer it.Done()
	var out []word.WorkerId
	var e starlark.Value
	for it.Next(&e) {
		id, ok := starlark.AsString(e)
		if !ok || len(out) > len(list) {
			return nil, breakdown.New(breakdown.Bad, "run program", s.name, "order gave a list that is not ids of candidates")
		}
		out = append(out, word.WorkerId(id))
	}
	return out, nil
}
