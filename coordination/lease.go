// Leases and duties as the primary sees them. A key is assigned only when nobody
// may still act under it: its holder gave it back, or left, or its lease has
// surely lapsed. A new primary waits a whole lease before it assigns at all.

package coordination

import (
	"sort"

	"keelstair.example/ids"
)

type nodeLease struct {
	Member
	renewedAt  ids.Tick
	appliedSeq ids.Seq
	revoked    []Grant
}

// Owner is the node that a key falls to: the highest hash of key and node (rendezvous
// hashing).
func Owner(key ids.Key, nodes []ids.NodeID) ids.NodeID {
	var top ids.NodeID
	for _, n := range nodes {
		if top == "" || ranksBefore(key, n, top) {
			top = n
		}
	}
	return top
}

// Rank is the place of a node, from 0 on, among those that a key falls to in turn.
func Rank(key ids.Key, node ids.NodeID, nodes []Member) int {
	rank := 0
	for _, m := range nodes {
		if m.Node != node && ranksBefore(key, m.Node, node) {
			rank++
		}
	}
	return rank
}

// ranksBefore tells whether a key falls to a rather than to b.
func ranksBefore(key ids.Key, a, b ids.NodeID) bool {
	x, y := weight(key, a), weight(key, b)
	return x > y || x == y && a < b
}

func weight(key ids.Key, n ids.NodeID) uint64 {
	return ids.Mix(ids.Hash(string(n) + "\x00" + string(key)))
}

// assumeLeases takes it that every member, and every holder of a key that is none any more, renewed
// its lease at the last moment. The caller holds dataMu.
func (l *leader) assumeLeases(now ids.Tick) {
	for _, g := range l.core.state.grants {
		l.leases[g.Node] = &nodeLease{Member: Member{Node: g.Node}, renewedAt: now}
	}
	for n, m := range l.core.state.members {
		l.leases[n] = &nodeLease{Member: m, renewedAt: now}
	}
}

// isMember tells whether a process is in, and was not replaced by another one at its address.
func (l *leader) isMember(node ids.NodeID) bool {
	_, ok := l.core.state.members[node]
	return ok
}

// holdsKey tells whether a key is granted to a process.
func (l *leader) holdsKey(node ids.NodeID) bool {
	for _, g := range l.core.state.grants {
		if g.Node == node {
			return true
		}
	}
	return false
}

// renewalEntries turns a renewal into the entries it needs, before it is confirmed.
func (l *leader) renewalEntries(request *RenewRequest) []*Entry {
	var out []*Entry
	previous, ok := l.core.state.members[request.Self.Node]
	switch {
	case request.Leaving && ok:
		out = append(out, &Entry{Kind: leaveKind, Body: MustMarshal(&request.Self)})
	case request.Leaving:
	case !ok || previous != request.Self:
		out = append(out, &Entry{Kind: joinKind, Body: MustMarshal(&request.Self)})
	}
	var back Assignment
	for _, g := range request.Released {
		if cur := l.core.state.grants[g.Key]; cur == g && g.Node == request.Self.Node {
			back.Grants = append(back.Grants, Grant{Key: g.Key})
		}
	}
	if len(back.Grants) > 0 && !request.Leaving {
		out = append(out, &Entry{Kind: assignKind, Body: MustMarshal(&back)})
	}
	return out
}

// extendLease lengthens the lease once the heartbeat behind it was confirmed.
func (l *leader) extendLease(request *RenewRequest, now ids.Tick, r *replicatedState) *RenewResponse {
	if request.Leaving {
		delete(l.leases, request.Self.Node)
		return &RenewResponse{Seq: r.seq}
	}
	t := l.leases[request.Self.Node]
	if t == nil {
		t = &nodeLease{}
		l.leases[request.Self.Node] = t
	}
	t.Member, t.renewedAt, t.appliedSeq = request.Self, now, max(t.appliedSeq, request.Applied)
	out := &RenewResponse{Seq: r.seq, Revoked: t.revoked}
	if k, ok := r.machine.(Timekeeper); ok {
		k.Observe(now, request.Time)
		out.Time = k.Time(now)
	}
	return out
}

// periodicOperations makes the jobs that the primary gives itself at each heartbeat.
func (l *leader) periodicOperations() []*operation {
	c := l.core
	now := c.options.Host.Clock.Now()
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	var out []*operation
	put := func(kind string, body []byte) {
		out = append(out, &operation{entry: &Entry{Kind: kind, Body: body}, done: make(chan struct{})})
	}
	duration := c.options.LeaseDuration + c.options.LeaseDuration/10
	late, seen := 0, c.state.seq
	var live []ids.NodeID
	for n, t := range l.leases {
		lapsed := now.Past(t.renewedAt, duration)
		switch {
		case lapsed && l.isMember(n):
			late++
		case lapsed:
		default:
			seen = min(seen, t.appliedSeq)
			if l.isMember(n) {
				live = append(live, n)
			}
		}
	}
	sort.Slice(live, func(i, op int) bool { return live[i] < live[op] })
	// Most leases lapsing together is taken as the core's own trouble for one
	// more lease: the last view is kept.
	grace := duration
	if late > 1 && late*2 > len(c.state.members) {
		grace = 2 * duration
	}
	for n, t := range l.leases {
		switch replaced := !l.isMember(n); {
		case replaced && now.Past(t.renewedAt, duration):
			if l.holdsKey(n) {
				put(leaveKind, MustMarshal(&t.Member))
			}
			delete(l.leases, n)
		case !replaced && now.Past(t.renewedAt, grace):
			put(leaveKind, MustMarshal(&t.Member))
			delete(l.leases, n)
		}
	}
	for _, cmd := range c.state.machine.DueCommands(now, c.state.seq, seen) {
		put(cmd.Kind, cmd.Body)
	}
	if d := l.assignKeys(now, live); len(d.Grants) > 0 {
		put(assignKind, MustMarshal(&d))
	}
	return out
}

// eligibleNodes keeps of the live nodes those that a key may fall to. If none may, all do: a key
// without a holder would help nobody.
func eligibleNodes(app StateMachine, k ids.Key, live []ids.NodeID) []ids.NodeID {
	p, ok := app.(Placer)
	if !ok {
		return live
	}
	var out []ids.NodeID
	for _, n := range live {
		if p.Eligible(k, n) {
			out = append(out, n)
		}
	}
	if len(out) == 0 {
		return live
	}
	return out
}

// assignKeys assigns the free keys and marks the held ones that should move.
func (l *leader) assignKeys(now ids.Tick, live []ids.NodeID) Assignment {
	var d Assignment
	if now.Before(l.assignAfter) && l.record.Epoch > 1 || len(live) == 0 {
		return d
	}
	for _, t := range l.leases {
		t.revoked = nil
	}
	want := map[ids.Key]bool{}
	for _, k := range l.core.state.machine.Keys() {
		want[k] = true
		to := Owner(k, eligibleNodes(l.core.state.machine, k, live))
		cur, ok := l.core.state.grants[k]
		switch t := l.leases[cur.Node]; {
		case !ok:
			d.Grants = append(d.Grants, Grant{Key: k, Node: to})
		case cur.Node != to && t != nil:
			t.revoked = append(t.revoked, cur)
		}
	}
	for k, g := range l.core.state.grants {
		if t := l.leases[g.Node]; !want[k] && t != nil {
			t.revoked = append(t.revoked, g)
		}
	}
	return d
}
