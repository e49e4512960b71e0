// This file runs routing programs in Starlark. They terminate, because execution steps are limited;
// they keep no state between calls, because their globals are frozen; and they are deterministic.

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

// starlarkProgram is a compiled program. The functions that it does not define are nil.
type starlarkProgram struct {
	name              string
	match             *starlark.Function
	order             *starlark.Function
	proposeRoleChange *starlark.Function
	maxSteps          uint64
}

var dialect = &syntax.FileOptions{}

// Compile compiles a program. Its errors name the file, the line and the reason.
func Compile(name, source string, stepLimit uint64) (Program, error) {
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(stepLimit)
	globals, err := starlark.ExecFileOptions(dialect, thread, name+".star", source, nil)
	if err != nil {
		return nil, programError(err, "compile program", name)
	}
	globals.Freeze()
	s := &starlarkProgram{name: name, maxSteps: stepLimit}
	for _, function := range []struct {
		signature string
		params    int
		target    **starlark.Function
	}{{"match(ask, worker)", 2, &s.match}, {"order(ask, workers)", 2, &s.order}, {"turn(pool)", 1, &s.proposeRoleChange}} {
		key, _, _ := strings.Cut(function.signature, "(")
		v, defined := globals[key]
		if !defined {
			continue
		}
		f, ok := v.(*starlark.Function)
		if !ok || f.NumParams() != function.params {
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
				function.signature,
			)
		}
		*function.target = f
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

// programError returns an error that names the line at which a program failed.
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

// thread returns a new thread with the step limit of the program.
func (s *starlarkProgram) thread() *starlark.Thread {
	t := &starlark.Thread{Name: s.name, Print: func(*starlark.Thread, string) {}}
	t.SetMaxExecutionSteps(s.maxSteps)
	return t
}

// stringList returns a Starlark list of strings.
func stringList(list []string) starlark.Value {
	values := make([]starlark.Value, len(list))
	for i, s := range list {
		values[i] = starlark.String(s)
	}
	return starlark.NewList(values)
}

// requestValue returns a request as programs see it.
func requestValue(q *PickRequest) starlark.Value {
	return starlarkstruct.FromStringDict(starlark.String("ask"), starlark.StringDict{
		"request": starlark.String(q.Request), "kind": starlark.String(q.Kind), "model": starlark.String(q.Model),
		"adapters": stringList(q.Adapters), "part": starlark.String(q.Role), "zone": starlark.String(q.Zone),
		"prompt": starlark.MakeInt(q.PromptTokens), "max": starlark.MakeInt(q.MaxTokens), "need": starlark.MakeInt(q.NeededTokens),
	})
}

// candidateValue converts a candidate to the Starlark value that is passed to programs.
func candidateValue(c *Candidate) starlark.Value {
	return starlarkstruct.FromStringDict(starlark.String("worker"), starlark.StringDict{
		"id": starlark.String(c.ID), "zone": starlark.String(c.Zone), "weights": starlark.String(c.Weights),
		"adapters": stringList(c.Adapters), "free": starlark.MakeInt(c.Free), "room": starlark.MakeInt(c.Capacity),
		"busy":     starlark.MakeInt(c.Outstanding),
		"cap":      starlark.MakeInt(c.MaxConcurrent),
		"affinity": starlark.Float(c.Affinity), "cost": starlark.Float(c.Cost),
	})
}

// Match returns the candidates for which the program returns True, or all if it does not define
// match. One step limit covers the calls for all candidates.
func (s *starlarkProgram) Match(q *PickRequest, list []Candidate) ([]Candidate, error) {
	if s.match == nil {
		return list, nil
	}
	thread, request := s.thread(), requestValue(q)
	var out []Candidate
	for i := range list {
		v, err := starlark.Call(thread, s.match, starlark.Tuple{request, candidateValue(&list[i])}, nil)
		if err != nil {
			return nil, programError(err, "run program", s.name)
		}
		matches, ok := v.(starlark.Bool)
		if !ok {
			return nil, failure.New(
				failure.InvalidArgument, "run program", s.name, "match returned %s, not True or False", v.Type(),
			)
		}
		if matches {
			out = append(out, list[i])
		}
	}
	return out, nil
}

// Order returns the ids that the program returns, or the built-in order if it does not define order.
func (s *starlarkProgram) Order(q *PickRequest, list []Candidate) ([]ids.WorkerID, error) {
	if s.order == nil {
		return BuiltIn{}.Order(q, list)
	}
	workers := make([]starlark.Value, len(list))
	for i := range list {
		workers[i] = candidateValue(&list[i])
	}
	v, err := starlark.Call(s.thread(), s.order, starlark.Tuple{requestValue(q), starlark.NewList(workers)}, nil)
	if err != nil {
		return nil, programError(err, "run program", s.name)
	}
	sequence, ok := v.(starlark.Iterable)
	if !ok {
		return nil, failure.New(
			failure.InvalidArgument, "run program", s.name, "order returned %s, not a list of ids", v.Type(),
		)
	}
	iterator := sequence.Iterate()
	defer iterator.Done()
	var out []ids.WorkerID
	var element starlark.Value
	for iterator.Next(&element) {
		id, ok := starlark.AsString(element)
		if !ok || len(out) > len(list) {
			return nil, failure.New(
				failure.InvalidArgument, "run program", s.name, "order returned a list that does not consist of ids of candidates",
			)
		}
		out = append(out, ids.WorkerID(id))
	}
	return out, nil
}

// ProposesRoleChanges reports whether the program defines a function named turn.
func (s *starlarkProgram) ProposesRoleChanges() bool { return s.proposeRoleChange != nil }

// ProposeRoleChange calls the function turn, which returns None or a pair of a worker id and its new role.
func (s *starlarkProgram) ProposeRoleChange(p *Pool) (RoleChange, bool, error) {
	workers := make([]starlark.Value, len(p.Workers))
	for i, w := range p.Workers {
		workers[i] = starlarkstruct.FromStringDict(starlark.String("worker"), starlark.StringDict{
			"id":   starlark.String(w.ID),
			"zone": starlark.String(w.Zone), "part": starlark.String(w.Role), "home": starlark.String(w.HomeRole),
			"busy": starlark.MakeInt(w.Outstanding),
			"work": starlark.MakeInt(w.Running), "cap": starlark.MakeInt(w.MaxConcurrent),
			"free": starlark.MakeInt(w.Free), "room": starlark.MakeInt(w.Capacity), "may": starlark.Bool(w.Allowed),
		})
	}
	pool := starlarkstruct.FromStringDict(starlark.String("pool"), starlark.StringDict{
		"model": starlark.String(p.Model), "since": starlark.Float(p.SinceRoleChange.Seconds()), "workers": starlark.NewList(workers),
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
		id, idIsString := starlark.AsString(pair.Index(0))
		to, roleIsString := starlark.AsString(pair.Index(1))
		if idIsString && roleIsString {
			return RoleChange{ids.WorkerID(id), ids.Role(to)}, true, nil
		}
	}
	return RoleChange{}, false, failure.New(
		failure.InvalidArgument, "run program", s.name, "turn returned %s, not None or (id, part)", v,
	)
}
