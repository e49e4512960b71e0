// The state that the log builds, and what an embedder's state machine must bring.

package coordination

import (
	"errors"
	"sort"
	"strings"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// StateMachine is the embedder's state. The core calls it from one goroutine at a time.
type StateMachine interface {
	// Apply applies the command that gets the number seq, and gives its answer. It must be
	// deterministic, and must change nothing when it gives an error. ErrUnchanged answers
	// without an entry in the log.
	Apply(seq ids.Seq, kind string, body []byte) ([]byte, error)
	// Published reports whether watchers see commands of a kind.
	Published(kind string) bool
	// Snapshot encodes the whole state, or only the part that watchers see.
	Snapshot(published bool) []byte
	// Restore replaces the state by that of a snapshot.
	Restore(body []byte) error
	// Keys are the singleton roles that are to be assigned to nodes.
	Keys() []ids.Key
	// DueCommands gives the commands that are due at the primary; applied is the number up to which
	// every live node has applied the log, seq the newest.
	DueCommands(now ids.Tick, seq, applied ids.Seq) []Command
}

// Timekeeper is a StateMachine that keeps a time of its own for the fleet. The primary asks
// for it with each renewal of a lease; 0 is no answer. Nodes count on from what they were
// told, and tell what it cannot be lower than by now, which a new primary needs.
type Timekeeper interface {
	Time(now ids.Tick) int64
	Observe(now ids.Tick, minTime int64)
}

// Placer is a StateMachine that says which nodes a key may fall to.
type Placer interface {
	Eligible(key ids.Key, node ids.NodeID) bool
}

// ErrUnchanged is what Apply gives, with an answer, when there is nothing to write.
var ErrUnchanged = errors.New("nothing to write")

// Command is a command of the embedder's, by name and body.
type Command struct {
	Kind string
	Body []byte
}

const (
	joinKind    = "crux.join"
	leaveKind   = "crux.leave"
	assignKind  = "crux.deal"
	maxOutcomes = 2048 // of each class of operations
)

type replicatedState struct {
	seq          ids.Seq
	fence        ids.Fence
	members      map[ids.NodeID]Member
	grants       map[ids.Key]Grant
	outcomes     map[ids.OpID]Outcome
	outcomeOrder map[string][]ids.OpID
	machine      StateMachine
	digest       []byte // of the log up to seq
	history      history
}

func newReplicatedState(app StateMachine) *replicatedState {
	return &replicatedState{
		members:      map[ids.NodeID]Member{},
		grants:       map[ids.Key]Grant{},
		outcomes:     map[ids.OpID]Outcome{},
		outcomeOrder: map[string][]ids.OpID{},
		machine:      app,
		digest:       make([]byte, digestBytes),
	}
}

type command interface{ apply(*replicatedState) }

type join struct{ Member }
type leave struct{ Member }
type assign struct{ Assignment }

// apply takes the process in, in place of an earlier one at its address, which has ended. The keys
// of that one stay with it until its lease has lapsed.
func (c join) apply(r *replicatedState) {
	for node, m := range r.members {
		if m.Addr == c.Addr {
			delete(r.members, node)
		}
	}
	r.members[c.Node] = c.Member
}

func (c leave) apply(r *replicatedState) {
	delete(r.members, c.Node)
	for k, g := range r.grants {
		if g.Node == c.Node {
			delete(r.grants, k)
		}
	}
}

func (c assign) apply(r *replicatedState) {
	for _, g := range c.Grants {
		if g.Node == "" {
			delete(r.grants, g.Key)
			continue
		}
		r.fence++
		g.Fence = r.fence
		r.grants[g.Key] = g
	}
}

func parse(kind string, body []byte) (command, error) {
	var c command
	var err error
	switch kind {
	case joinKind, leaveKind:
		var m Member
		_, err = m.UnmarshalMsg(body)
		if c = (join{m}); kind == leaveKind {
			c = leave{m}
		}
	case assignKind:
		var d Assignment
		_, err = d.UnmarshalMsg(body)
		c = assign{d}
	default:
		return nil, nil
	}
	return c, failure.As(err, failure.InvalidArgument, "read command", kind)
}

// apply takes the next entry. An error means that nothing changed.
func (r *replicatedState) apply(e *Entry) ([]byte, error) {
	c, err := parse(e.Kind, e.Body)
	if err != nil {
		return nil, err
	}
	var out []byte
	if c != nil {
		c.apply(r)
	} else if out, err = r.machine.Apply(r.seq+1, e.Kind, e.Body); err != nil {
		return out, err
	}
	r.seq++
	e.Seq = r.seq
	e.Published = c != nil || r.machine.Published(e.Kind)
	if e.Op != "" {
		r.remember(Outcome{Op: e.Op, Seq: e.Seq, Body: out})
	}
	r.digest = logDigest(r.digest, e)
	r.history.add(e, r.digest)
	return out, nil
}

// remember remembers an operation's outcome. Operations are classed by what stands
// before the first slash, so that many of one class push out none of another.
func (r *replicatedState) remember(p Outcome) {
	class, _, _ := strings.Cut(string(p.Op), "/")
	r.outcomes[p.Op] = p
	list := append(r.outcomeOrder[class], p.Op)
	if len(list) > maxOutcomes {
		delete(r.outcomes, list[0])
		list = list[1:]
	}
	r.outcomeOrder[class] = list
}

// memberList gives the members by name.
func (r *replicatedState) memberList() []Member {
	var out []Member
	for _, m := range r.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, op int) bool { return out[i].Node < out[op].Node })
	return out
}

func (r *replicatedState) snapshot(open bool) *Snapshot {
	snapshot := &Snapshot{Seq: r.seq, Fence: r.fence, State: r.machine.Snapshot(open), Members: r.memberList()}
	for _, g := range r.grants {
		snapshot.Grants = append(snapshot.Grants, g)
	}
	sort.Slice(snapshot.Grants, func(i, op int) bool { return snapshot.Grants[i].Key < snapshot.Grants[op].Key })
	if !open {
		snapshot.Digest = r.digest
		for _, one := range chunksOf(r.machine) {
			snapshot.Chunks = append(snapshot.Chunks, one.Name)
		}
		for _, p := range r.outcomes {
			snapshot.Outcomes = append(snapshot.Outcomes, p)
		}
		sort.Slice(snapshot.Outcomes, func(i, op int) bool {
			return snapshot.Outcomes[i].Seq < snapshot.Outcomes[op].Seq
		})
	}
	return snapshot
}

func (r *replicatedState) restore(snapshot *Snapshot) error {
	if err := r.machine.Restore(snapshot.State); err != nil {
		return failure.As(err, failure.InvalidArgument, "restore snapshot", "")
	}
	fresh := newReplicatedState(r.machine)
	fresh.seq, fresh.fence, fresh.digest = snapshot.Seq, snapshot.Fence, snapshot.Digest
	if len(fresh.digest) == 0 {
		fresh.digest = stateDigest(snapshot.Seq, snapshot.State)
	}
	for _, m := range snapshot.Members {
		fresh.members[m.Node] = m
	}
	for _, g := range snapshot.Grants {
		fresh.grants[g.Key] = g
	}
	for _, p := range snapshot.Outcomes {
		fresh.remember(p)
	}
	*r = *fresh
	return nil
}

// MustMarshal turns a message into bytes; it cannot fail for messages of ours.
func MustMarshal(m msgp.Marshaler) []byte {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return b
}
