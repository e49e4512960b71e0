// Package coordination is keelstair's coordination core, of use to any fleet: a log
// that a primary writes to a synced backup before it answers, registers on
// three disk machines that decide who leads, leases, keyed duties under rising
// fences, and a numbered feed of news. What the commands mean is the embedder's:
// it brings a Machine. This file is the state that the log builds.
package coordination

import (
	"errors"
	"sort"
	"strings"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// Machine is the embedder's state. Apply must be deterministic, and must change
// nothing when it gives an error; seq is the number that the entry gets. Open
// tells whether followers see a kind.
type Machine interface {
	Apply(seq ids.Seq, kind string, body []byte) ([]byte, error)
	Open(kind string) bool
	Snapshot(open bool) []byte
	Restore(body []byte) error
	Keys() []ids.Key
	Due(now ids.Tick, seq, seen ids.Seq) []Cmd
}

// Timekeeper is a Machine that keeps a time of its own for the fleet. The primary asks
// for it with each renewal of a lease; 0 is no answer. Nodes count on from what they were
// told, and tell what it cannot be lower than by now, which a new primary needs.
type Timekeeper interface {
	Time(now ids.Tick) int64
	Hear(now ids.Tick, least int64)
}

// Placer is a Machine that says which nodes a key may fall to.
type Placer interface {
	May(key ids.Key, node ids.NodeID) bool
}

// ErrUnchanged is what Apply gives, with an answer, when there is nothing to write.
var ErrUnchanged = errors.New("nothing to write")

// Cmd is a command of the embedder's, by name and body.
type Cmd struct {
	Kind string
	Body []byte
}

const (
	joinKind  = "crux.join"
	leaveKind = "crux.leave"
	dealKind  = "crux.deal"
	maxPast   = 2048 // of each class of operations
)

type replicatedState struct {
	seq     ids.Seq
	fence   ids.Fence
	members map[ids.NodeID]Member
	grants  map[ids.Key]Grant
	past    map[ids.OpID]Past
	order   map[string][]ids.OpID
	app     Machine
	digest  []byte // of the log up to seq
	history history
}

func newReplicatedState(app Machine) *replicatedState {
	return &replicatedState{members: map[ids.NodeID]Member{}, grants: map[ids.Key]Grant{}, past: map[ids.OpID]Past{}, order: map[string][]ids.OpID{}, app: app, digest: make([]byte, digestBytes)}
}

type command interface{ apply(*replicatedState) }

type join struct{ Member }
type leave struct{ Member }
type deal struct{ Deal }

func (c join) apply(r *replicatedState) { r.members[c.Node] = c.Member }

func (c leave) apply(r *replicatedState) {
	delete(r.members, c.Node)
	for k, g := range r.grants {
		if g.Node == c.Node {
			delete(r.grants, k)
		}
	}
}

func (c deal) apply(r *replicatedState) {
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
	case dealKind:
		var d Deal
		_, err = d.UnmarshalMsg(body)
		c = deal{d}
	default:
		return nil, nil
	}
	return c, failure.As(err, failure.Bad, "read command", kind)
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
	} else if out, err = r.app.Apply(r.seq+1, e.Kind, e.Body); err != nil {
		return out, err
	}
	r.seq++
	e.Seq = r.seq
	e.Open = c != nil || r.app.Open(e.Kind)
	if e.Op != "" {
		r.keep(Past{Op: e.Op, Seq: e.Seq, Body: out})
	}
	r.digest = logDigest(r.digest, e)
	r.history.add(e, r.digest)
	return out, nil
}

// keep remembers an operation's outcome. Operations are classed by what stands
// before the first slash, so that many of one class push out none of another.
func (r *replicatedState) keep(p Past) {
	class, _, _ := strings.Cut(string(p.Op), "/")
	r.past[p.Op] = p
	row := append(r.order[class], p.Op)
	if len(row) > maxPast {
		delete(r.past, row[0])
		row = row[1:]
	}
	r.order[class] = row
}

// list gives the members by name.
func (r *replicatedState) list() []Member {
	var out []Member
	for _, m := range r.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

func (r *replicatedState) snapshot(open bool) *Image {
	img := &Image{Seq: r.seq, Fence: r.fence, App: r.app.Snapshot(open), Members: r.list()}
	for _, g := range r.grants {
		img.Grants = append(img.Grants, g)
	}
	sort.Slice(img.Grants, func(i, j int) bool { return img.Grants[i].Key < img.Grants[j].Key })
	if !open {
		img.Digest = r.digest
		for _, one := range sheets(r.app) {
			img.Sheets = append(img.Sheets, one.Name)
		}
		for _, p := range r.past {
			img.Ops = append(img.Ops, p)
		}
		sort.Slice(img.Ops, func(i, j int) bool { return img.Ops[i].Seq < img.Ops[j].Seq })
	}
	return img
}

func (r *replicatedState) restore(img *Image) error {
	if err := r.app.Restore(img.App); err != nil {
		return failure.As(err, failure.Bad, "restore picture", "")
	}
	fresh := newReplicatedState(r.app)
	fresh.seq, fresh.fence, fresh.digest = img.Seq, img.Fence, img.Digest
	if len(fresh.digest) == 0 {
		fresh.digest = stateDigest(img.Seq, img.App)
	}
	for _, m := range img.Members {
		fresh.members[m.Node] = m
	}
	for _, g := range img.Grants {
		fresh.grants[g.Key] = g
	}
	for _, p := range img.Ops {
		fresh.keep(p)
	}
	*r = *fresh
	return nil
}

// Pack turns a message into bytes; it cannot fail for messages of ours.
func Pack(m msgp.Marshaler) []byte {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return b
}
