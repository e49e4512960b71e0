// Leases and duties as the primary sees them. A key is dealt only when nobody
// may still act under it: its holder gave it back, or left, or its lease has
// surely lapsed. A new primary waits a whole lease before it deals at all.

package coordination

import (
	"sort"

	"keelstair.example/ids"
)

type leaseHolder struct {
	Member
	last ids.Tick
	seen ids.Seq
	drop []Grant
}

// Owner is the node that a key falls to: the highest hash of key and node (rendezvous
// hashing).
func Owner(key ids.Key, nodes []ids.NodeID) ids.NodeID {
	var top ids.NodeID
	for _, n := range nodes {
		if top == "" || before(key, n, top) {
			top = n
		}
	}
	return top
}

// Rank is the place of a node, from 0 on, among those that a key falls to in turn.
func Rank(key ids.Key, node ids.NodeID, nodes []Member) int {
	rank := 0
	for _, m := range nodes {
		if m.Node != node && before(key, m.Node, node) {
			rank++
		}
	}
	return rank
}

// before tells whether a key falls to a rather than to b.
func before(key ids.Key, a, b ids.NodeID) bool {
	x, y := weight(key, a), weight(key, b)
	return x > y || x == y && a < b
}

func weight(key ids.Key, n ids.NodeID) uint64 {
	return ids.Mix(ids.Hash(string(n) + "\x00" + string(key)))
}

// hear turns a renewal into the entries it needs, before it is confirmed.
func (l *leader) hear(q *RenewAsk) []*Entry {
	var out []*Entry
	old, ok := l.c.state.members[q.Me.Node]
	switch {
	case q.Bye && ok:
		out = append(out, &Entry{Kind: leaveKind, Body: Pack(&q.Me)})
	case q.Bye:
	case !ok || old != q.Me:
		out = append(out, &Entry{Kind: joinKind, Body: Pack(&q.Me)})
	}
	var back Deal
	for _, g := range q.Done {
		if cur := l.c.state.grants[g.Key]; cur == g && g.Node == q.Me.Node {
			back.Grants = append(back.Grants, Grant{Key: g.Key})
		}
	}
	if len(back.Grants) > 0 && !q.Bye {
		out = append(out, &Entry{Kind: dealKind, Body: Pack(&back)})
	}
	return out
}

// extend lengthens the lease once the beat behind it was confirmed.
func (l *leader) extend(q *RenewAsk, now ids.Tick, r *replicatedState) *RenewReply {
	if q.Bye {
		delete(l.nodes, q.Me.Node)
		return &RenewReply{Seq: r.seq}
	}
	t := l.nodes[q.Me.Node]
	if t == nil {
		t = &leaseHolder{}
		l.nodes[q.Me.Node] = t
	}
	t.Member, t.last, t.seen = q.Me, now, max(t.seen, q.Seen)
	out := &RenewReply{Seq: r.seq, Drop: t.drop}
	if k, ok := r.app.(Timekeeper); ok {
		k.Hear(now, q.Time)
		out.Time = k.Time(now)
	}
	return out
}

// duty makes the jobs that the primary gives itself at each beat.
func (l *leader) duty() []*job {
	c := l.c
	now := c.opt.Host.Clock.Now()
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	var out []*job
	put := func(kind string, body []byte) {
		out = append(out, &job{ent: &Entry{Kind: kind, Body: body}, done: make(chan struct{})})
	}
	span := c.opt.Lease + c.opt.Lease/10
	late, seen := 0, c.state.seq
	var live []ids.NodeID
	for n, t := range l.nodes {
		if now.Past(t.last, span) {
			late++
			continue
		}
		live = append(live, n)
		seen = min(seen, t.seen)
	}
	sort.Slice(live, func(i, j int) bool { return live[i] < live[j] })
	// Most leases lapsing together is taken as the core's own trouble for one
	// more lease: the last view is kept.
	grace := span
	if late > 1 && late*2 > len(l.nodes) {
		grace = 2 * span
	}
	for n, t := range l.nodes {
		if now.Past(t.last, grace) {
			put(leaveKind, Pack(&t.Member))
			delete(l.nodes, n)
		}
	}
	for _, cmd := range c.state.app.Due(now, c.state.seq, seen) {
		put(cmd.Kind, cmd.Body)
	}
	if d := l.plan(now, live); len(d.Grants) > 0 {
		put(dealKind, Pack(&d))
	}
	return out
}

// among keeps of the live nodes those that a key may fall to. If none may, all do: a key
// without a holder would help nobody.
func among(app Machine, k ids.Key, live []ids.NodeID) []ids.NodeID {
	p, ok := app.(Placer)
	if !ok {
		return live
	}
	var out []ids.NodeID
	for _, n := range live {
		if p.May(k, n) {
			out = append(out, n)
		}
	}
	if len(out) == 0 {
		return live
	}
	return out
}

// plan deals the free keys and marks the held ones that should move.
func (l *leader) plan(now ids.Tick, live []ids.NodeID) Deal {
	var d Deal
	if now.Before(l.deals) && l.rec.Epoch > 1 || len(live) == 0 {
		return d
	}
	for _, t := range l.nodes {
		t.drop = nil
	}
	want := map[ids.Key]bool{}
	for _, k := range l.c.state.app.Keys() {
		want[k] = true
		to := Owner(k, among(l.c.state.app, k, live))
		cur, ok := l.c.state.grants[k]
		switch t := l.nodes[cur.Node]; {
		case !ok:
			d.Grants = append(d.Grants, Grant{Key: k, Node: to})
		case cur.Node != to && t != nil:
			t.drop = append(t.drop, cur)
		}
	}
	for k, g := range l.c.state.grants {
		if t := l.nodes[g.Node]; !want[k] && t != nil {
			t.drop = append(t.drop, g)
		}
	}
	return d
}
