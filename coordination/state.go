// The replicated state that results from the log, and the interfaces that an embedder's state machine
// implements.

package coordination

import (
	"errors"
	"sort"
	"strings"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// StateMachine is the embedder's replicated state. The core calls it from one goroutine at a time.
type StateMachine interface {
	// Apply applies the command with the sequence number seq and returns its response. It must be
	// deterministic, and must change nothing when it returns an error. With ErrUnchanged the
	// response is sent without an entry in the log.
	Apply(seq ids.Seq, kind string, body []byte) ([]byte, error)
	// Published reports whether commands of a kind are sent to watchers.
	Published(kind string) bool
	// Snapshot encodes the whole state, or only the part that is published to watchers.
	Snapshot(published bool) []byte
	// Restore replaces the state by an encoded one.
	Restore(body []byte) error
	// Keys returns the keys of the singleton roles to be assigned to nodes.
	Keys() []ids.Key
	// DueCommands returns the commands that the primary has to submit now. seq is the newest sequence
	// number; every live node has applied the log up to applied.
	DueCommands(now ids.Tick, seq, applied ids.Seq) []Command
}

// Timekeeper is a StateMachine that keeps a time of its own for the fleet. The primary sends Time
// with each lease renewal; 0 means that there is none. Nodes extrapolate from the time that they
// received and report a lower bound of the current time, which a new primary passes to Observe.
type Timekeeper interface {
	Time(now ids.Tick) int64
	Observe(now ids.Tick, minTime int64)
}

// Placer is a StateMachine that restricts the nodes that a key may be assigned to.
type Placer interface {
	Eligible(key ids.Key, node ids.NodeID) bool
}

// ErrUnchanged is returned by Apply, with a response, if the command changes nothing and needs no log
// entry.
var ErrUnchanged = errors.New("command changes nothing")

// Command is a command to the embedder's state machine.
type Command struct {
	Kind string
	Body []byte
}

const (
	joinKind    = "crux.join"
	leaveKind   = "crux.leave"
	assignKind  = "crux.deal"
	maxOutcomes = 2048 // number of outcomes remembered per class of operations
)

// replicatedState is the state after the log entry with the sequence number seq.
type replicatedState struct {
	seq          ids.Seq
	fence        ids.Fence
	members      map[ids.NodeID]Member
	grants       map[ids.Key]Grant
	outcomes     map[ids.OpID]Outcome
	outcomeOrder map[string][]ids.OpID // operation ids, oldest first, by class (the part of the id before the first slash)
	machine      StateMachine
	digest       []byte // digest of the log up to seq
	history      history
}

func newReplicatedState(machine StateMachine) *replicatedState {
	return &replicatedState{
		members:      map[ids.NodeID]Member{},
		grants:       map[ids.Key]Grant{},
		outcomes:     map[ids.OpID]Outcome{},
		outcomeOrder: map[string][]ids.OpID{},
		machine:      machine,
		digest:       make([]byte, digestBytes),
	}
}

// command is a command of the core's own, which the embedder's state machine does not see.
type command interface{ apply(*replicatedState) }

type joinCommand struct{ Member }
type leaveCommand struct{ Member }
type assignCommand struct{ Assignment }

// apply adds the process as a member. An earlier process at the same address has ended and is
// removed, but its keys stay assigned to it until its lease has expired.
func (c joinCommand) apply(r *replicatedState) {
	for node, m := range r.members {
		if m.Addr == c.Addr {
			delete(r.members, node)
		}
	}
	r.members[c.Node] = c.Member
}

// apply removes the member and its grants.
func (c leaveCommand) apply(r *replicatedState) {
	delete(r.members, c.Node)
	for k, g := range r.grants {
		if g.Node == c.Node {
			delete(r.grants, k)
		}
	}
}

// apply assigns keys under new fencing tokens; a grant without a node withdraws its key.
func (c assignCommand) apply(r *replicatedState) {
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

// parseCommand decodes a command of the core's own. It returns nil for a command of the embedder's.
func parseCommand(kind string, body []byte) (command, error) {
	var c command
	var err error
	switch kind {
	case joinKind, leaveKind:
		var m Member
		_, err = m.UnmarshalMsg(body)
		if c = (joinCommand{m}); kind == leaveKind {
			c = leaveCommand{m}
		}
	case assignKind:
		var d Assignment
		_, err = d.UnmarshalMsg(body)
		c = assignCommand{d}
	default:
		return nil, nil
	}
	return c, failure.As(err, failure.InvalidArgument, "read command", kind)
}

// apply applies the next entry, sets its sequence number and returns its response. If it returns an
// error, the state is unchanged.
func (r *replicatedState) apply(e *Entry) ([]byte, error) {
	c, err := parseCommand(e.Kind, e.Body)
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
		r.recordOutcome(Outcome{Op: e.Op, Seq: e.Seq, Body: out})
	}
	r.digest = logDigest(r.digest, e)
	r.history.add(e, r.digest)
	return out, nil
}

// recordOutcome stores the outcome of an operation. The class of an operation is the part of its id
// before the first slash. Each class keeps its newest maxOutcomes, so that many operations of one
// class evict none of another.
func (r *replicatedState) recordOutcome(outcome Outcome) {
	class, _, _ := strings.Cut(string(outcome.Op), "/")
	r.outcomes[outcome.Op] = outcome
	list := append(r.outcomeOrder[class], outcome.Op)
	if len(list) > maxOutcomes {
		delete(r.outcomes, list[0])
		list = list[1:]
	}
	r.outcomeOrder[class] = list
}

// memberList returns the members sorted by node id.
func (r *replicatedState) memberList() []Member {
	var out []Member
	for _, m := range r.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// snapshot returns a snapshot of the whole state, or only of the part that is published to watchers.
func (r *replicatedState) snapshot(published bool) *Snapshot {
	snapshot := &Snapshot{Seq: r.seq, Fence: r.fence, State: r.machine.Snapshot(published), Members: r.memberList()}
	for _, g := range r.grants {
		snapshot.Grants = append(snapshot.Grants, g)
	}
	sort.Slice(snapshot.Grants, func(i, j int) bool { return snapshot.Grants[i].Key < snapshot.Grants[j].Key })
	if !published {
		snapshot.Digest = r.digest
		for _, chunk := range chunksOf(r.machine) {
			snapshot.Chunks = append(snapshot.Chunks, chunk.Name)
		}
		for _, outcome := range r.outcomes {
			snapshot.Outcomes = append(snapshot.Outcomes, outcome)
		}
		sort.Slice(snapshot.Outcomes, func(i, j int) bool {
			return snapshot.Outcomes[i].Seq < snapshot.Outcomes[j].Seq
		})
	}
	return snapshot
}

// restore replaces the state by that of a snapshot. If the snapshot has no log digest,
// one is computed from its state.
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
	for _, outcome := range snapshot.Outcomes {
		fresh.recordOutcome(outcome)
	}
	*r = *fresh
	return nil
}

// MustMarshal encodes a message of this project and panics on an error, which its messages never cause.
func MustMarshal(m msgp.Marshaler) []byte {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return b
}
