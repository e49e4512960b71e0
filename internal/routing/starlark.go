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

type starlarkProgram struct {
	name              string
	match             *starlark.Function
	order             *starlark.Function
	proposeRoleChange *starlark.Function
	maxSteps          uint64
}

var dialect = &syntax.FileOptions{}

// Compile reads a program. Its faults carry file, line and reason.
func Compile(name, source string, steps uint64) (Program, error) {
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(steps)
	globals, err := starlark.ExecFileOptions(dialect, thread, name+".star", source, nil)
	if err != nil {
		return nil, programError(err, "compile program", name)
	}
	globals.Freeze()
	s := &starlarkProgram{name: name, maxSteps: steps}
	for _, part := range []struct {
		form   string
		params int
		into   **starlark.Function
	}{{"match(ask, worker)", 2, &s.match}, {"order(ask, workers)", 2, &s.order}, {"turn(pool)", 1, &s.proposeRoleChange}} {
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
			return nil, failure.New(
				failure.InvalidArgument,
				"compile program",
				name,
				"%s.star:%d: it should be %s",
				name,
				line,
				part.form,
			)
		}
		*part.into = f
	}
	if s.match == nil && s.order == nil && s.proposeRoleChange == nil {
		return nil, failure.New(
			failure.InvalidArgument,
			"compile program",
			name,
			"%s.star:1: it must define match(ask, worker), order(ask, workers) or turn(pool)",
			name,
		)
	}
	return s, nil
}

// programError names the place at which a program failed while it ran.
func programError(err error, step, name string) error {
	var ev *starlark.EvalError
	if errors.As(err, &ev) {
		for i := range ev.CallStack {
			if pos := ev.CallStack.At(i).Pos; pos.Line > 0 {
				return failure.New(failure.InvalidArgument, step, name, "%s: %s", pos, ev.Msg)
			}
		}
	}
	return failure.As(err, failure.InvalidArgument, step, name)
}

func (s *starlarkProgram) thread() *starlark.Thread {
	t := &starlark.Thread{Name: s.name, Print: func(*starlark.Thread, string) {}}
	t.SetMaxExecutionSteps(s.maxSteps)
	return t
}

func stringList(list []string) starlark.Value {
	row := make([]starlark.Value, len(list))
	for i, n := range list {
		row[i] = starlark.String(n)
	}
	return starlark.NewList(row)
}

func requestValue(q *PickRequest) starlark.Value {
	return starlarkstruct.FromStringDict(starlark.String("ask"), starlark.StringDict{
		"request": starlark.String(q.Request), "kind": starlark.String(q.Kind), "model": starlark.String(q.Model),
		"adapters": stringList(q.Adapters), "part": starlark.String(q.Role), "zone": starlark.String(q.Zone),
		"prompt": starlark.MakeInt(q.PromptTokens), "max": starlark.MakeInt(q.MaxTokens), "need": starlark.MakeInt(q.NeededTokens),
	})
}

func candidateValue(c *Candidate) starlark.Value {
	return starlarkstruct.FromStringDict(starlark.String("worker"), starlark.StringDict{
		"id": starlark.String(c.ID), "zone": starlark.String(c.Zone), "weights": starlark.String(c.Weights),
		"adapters": stringList(c.Adapters), "free": starlark.MakeInt(c.Free), "room": starlark.MakeInt(c.Capacity),
		"busy":     starlark.MakeInt(c.Outstanding),
		"cap":      starlark.MakeInt(c.MaxConcurrent),
		"affinity": starlark.Float(c.Affinity), "cost": starlark.Float(c.Cost),
	})
}

// Match keeps the candidates that the program says yes to.
func (s *starlarkProgram) Match(q *PickRequest, list []Candidate) ([]Candidate, error) {
	if s.match == nil {
		return list, nil
	}
	thread, ask := s.thread(), requestValue(q)
	var out []Candidate
	for i := range list {
		v, err := starlark.Call(thread, s.match, starlark.Tuple{ask, candidateValue(&list[i])}, nil)
		if err != nil {
			return nil, programError(err, "run program", s.name)
		}
		yes, ok := v.(starlark.Bool)
		if !ok {
			return nil, failure.New(
				failure.InvalidArgument, "run program", s.name, "match gave %s, not True or False", v.Type(),
			)
		}
		if yes {
			out = append(out, list[i])
		}
	}
	return out, nil
}

func (s *starlarkProgram) Order(q *PickRequest, list []Candidate) ([]ids.WorkerID, error) {
	if s.order == nil {
		return BuiltIn{}.Order(q, list)
	}
	row := make([]starlark.Value, len(list))
	for i := range list {
		row[i] = candidateValue(&list[i])
	}
	v, err := starlark.Call(s.thread(), s.order, starlark.Tuple{requestValue(q), starlark.NewList(row)}, nil)
	if err != nil {
		return nil, programError(err, "run program", s.name)
	}
	seq, ok := v.(starlark.Iterable)
	if !ok {
		return nil, failure.New(
			failure.InvalidArgument, "run program", s.name, "order gave %s, not a list of ids", v.Type(),
		)
	}
	it := seq.Iterate()
	defer it.Done()
	var out []ids.WorkerID
	var e starlark.Value
	for it.Next(&e) {
		id, ok := starlark.AsString(e)
		if !ok || len(out) > len(list) {
			return nil, failure.New(
				failure.InvalidArgument, "run program", s.name, "order gave a list that is not ids of candidates",
			)
		}
		out = append(out, ids.WorkerID(id))
	}
	return out, nil
}

func (s *starlarkProgram) ProposesRoleChanges() bool { return s.proposeRoleChange != nil }

// ProposeRoleChange takes None, or a pair of a worker's id and the part that it should have.
func (s *starlarkProgram) ProposeRoleChange(p *Pool) (RoleChange, bool, error) {
	row := make([]starlark.Value, len(p.Workers))
	for i, w := range p.Workers {
		row[i] = starlarkstruct.FromStringDict(starlark.String("worker"), starlark.StringDict{
			"id":   starlark.String(w.ID),
			"zone": starlark.String(w.Zone), "part": starlark.String(w.Role), "home": starlark.String(w.HomeRole),
			"busy": starlark.MakeInt(w.Outstanding),
			"work": starlark.MakeInt(w.Running), "cap": starlark.MakeInt(w.MaxConcurrent),
			"free": starlark.MakeInt(w.Free), "room": starlark.MakeInt(w.Capacity), "may": starlark.Bool(w.Allowed),
		})
	}
	pool := starlarkstruct.FromStringDict(starlark.String("pool"), starlark.StringDict{
		"model": starlark.String(p.Model), "since": starlark.Float(p.SinceRoleChange.Seconds()), "workers": starlark.NewList(row),
		"prefill": starlark.Float(p.Pressure[ids.Prefill]), "decode": starlark.Float(p.Pressure[ids.Decode]),
	})
	v, err := starlark.Call(s.thread(), s.proposeRoleChange, starlark.Tuple{pool}, nil)
	if err != nil {
		return RoleChange{}, false, programError(err, "run program", s.name)
	}
	if v == starlark.None {
		return RoleChange{}, false, nil
	}
	if pair, ok := v.(starlark.Indexable); ok && pair.Len() == 2 {
		id, a := starlark.AsString(pair.Index(0))
		to, b := starlark.AsString(pair.Index(1))
		if a && b {
			return RoleChange{ids.WorkerID(id), ids.Role(to)}, true, nil
		}
	}
	return RoleChange{}, false, failure.New(
		failure.InvalidArgument, "run program", s.name, "turn gave %s, not None or (id, part)", v,
	)
}
