// Leases and the assignment of keys on the primary. A key is assigned only when no other node may
// still act as its owner: the owner has released it or left, or its lease has certainly expired. A
// new primary assigns nothing until every lease of its predecessor has expired.

package coordination

import (
	"sort"

	"keelstair.example/ids"
)

// nodeLease is the primary's view of a node's lease.
type nodeLease struct {
	Member
	renewedAt     ids.Tick
	appliedSeq    ids.Seq
	revokedGrants []Grant // grants that the node should release
}

// Owner returns the node that should own a key: the one with the highest hash of key and node
// (rendezvous hashing).
func Owner(key ids.Key, nodes []ids.NodeID) ids.NodeID {
	var owner ids.NodeID
	for _, n := range nodes {
		if owner == "" || ranksBefore(key, n, owner) {
			owner = n
		}
	}
	return owner
}

// Rank returns the zero-based position of a node in the rendezvous order of a key.
func Rank(key ids.Key, node ids.NodeID, nodes []Member) int {
	rank := 0
	for _, m := range nodes {
		if m.Node != node && ranksBefore(key, m.Node, node) {
			rank++
		}
	}
	return rank
}

// ranksBefore reports whether a precedes b in the rendezvous order of a key.
func ranksBefore(key ids.Key, a, b ids.NodeID) bool {
	x, y := rendezvousWeight(key, a), rendezvousWeight(key, b)
	return x > y || x == y && a < b
}

func rendezvousWeight(key ids.Key, n ids.NodeID) uint64 {
	return ids.Mix(ids.Hash(string(n) + "\x00" + string(key)))
}

// assumeLeases treats every member, and every owner of a key that is no longer a member, as if it had
// renewed its lease now, since the previous primary may have confirmed renewals until now. The caller
// holds dataMu.
func (l *leader) assumeLeases(now ids.Tick) {
	for _, g := range l.core.state.grants {
		l.leases[g.Node] = &nodeLease{Member: Member{Node: g.Node}, renewedAt: now}
	}
	for n, m := range l.core.state.members {
		l.leases[n] = &nodeLease{Member: m, renewedAt: now}
	}
}

// isMember reports whether a node is a member, that is, has joined and was not replaced by another
// process at its address.
func (l *leader) isMember(node ids.NodeID) bool {
	_, ok := l.core.state.members[node]
	return ok
}

// holdsKey reports whether any key is granted to a node.
func (l *leader) holdsKey(node ids.NodeID) bool {
	for _, g := range l.core.state.grants {
		if g.Node == node {
			return true
		}
	}
	return false
}

// renewalEntries returns the log entries that a renewal requires before it can be confirmed.
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
	var released Assignment
	for _, g := range request.Released {
		if cur := l.core.state.grants[g.Key]; cur == g && g.Node == request.Self.Node {
			released.Grants = append(released.Grants, Grant{Key: g.Key})
		}
	}
	if len(released.Grants) > 0 && !request.Leaving {
		out = append(out, &Entry{Kind: assignKind, Body: MustMarshal(&released)})
	}
	return out
}

// extendLease extends a node's lease. It is called once the backups have confirmed the batch that
// contains the renewal.
func (l *leader) extendLease(request *RenewRequest, now ids.Tick, state *replicatedState) *RenewResponse {
	if request.Leaving {
		delete(l.leases, request.Self.Node)
		return &RenewResponse{Seq: state.seq}
	}
	lease := l.leases[request.Self.Node]
	if lease == nil {
		lease = &nodeLease{}
		l.leases[request.Self.Node] = lease
	}
	lease.Member, lease.renewedAt, lease.appliedSeq = request.Self, now, max(lease.appliedSeq, request.Applied)
	out := &RenewResponse{Seq: state.seq, Revoked: lease.revokedGrants}
	if k, ok := state.machine.(Timekeeper); ok {
		k.Observe(now, request.Time)
		out.Time = k.Time(now)
	}
	return out
}

// periodicOperations returns the operations that the primary itself submits at each heartbeat: the
// removal of members with expired leases, the machine's due commands and the assignment of keys.
func (l *leader) periodicOperations() []*operation {
	c := l.core
	now := c.options.Host.Clock.Now()
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	var out []*operation
	add := func(kind string, body []byte) {
		out = append(out, &operation{entry: &Entry{Kind: kind, Body: body}, done: make(chan struct{})})
	}
	duration := c.options.LeaseDuration + c.options.LeaseDuration/10
	expiredMembers, minApplied := 0, c.state.seq
	var live []ids.NodeID
	for n, t := range l.leases {
		expired := now.Past(t.renewedAt, duration)
		switch {
		case expired && l.isMember(n):
			expiredMembers++
		case expired:
		default:
			minApplied = min(minApplied, t.appliedSeq)
			if l.isMember(n) {
				live = append(live, n)
			}
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i] < live[j] })
	// If most leases expire together, the cause is probably the core itself, so the members are kept for
	// one more lease duration.
	grace := duration
	if expiredMembers > 1 && expiredMembers*2 > len(c.state.members) {
		grace = 2 * duration
	}
	for n, t := range l.leases {
		switch replaced := !l.isMember(n); {
		case replaced && now.Past(t.renewedAt, duration):
			if l.holdsKey(n) {
				add(leaveKind, MustMarshal(&t.Member))
			}
			delete(l.leases, n)
		case !replaced && now.Past(t.renewedAt, grace):
			add(leaveKind, MustMarshal(&t.Member))
			delete(l.leases, n)
		}
	}
	for _, cmd := range c.state.machine.DueCommands(now, c.state.seq, minApplied) {
		add(cmd.Kind, cmd.Body)
	}
	if d := l.assignKeys(now, live); len(d.Grants) > 0 {
		add(assignKind, MustMarshal(&d))
	}
	return out
}

// eligibleNodes returns the live nodes that may own a key. If none may, it returns all of them, since
// any owner is better than none.
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

// assignKeys returns grants for the keys without an owner, and marks as revoked the grants whose key
// should move to another node or no longer exists.
func (l *leader) assignKeys(now ids.Tick, live []ids.NodeID) Assignment {
	var assignment Assignment
	if now.Before(l.assignAfter) && l.record.Epoch > 1 || len(live) == 0 {
		return assignment
	}
	for _, t := range l.leases {
		t.revokedGrants = nil
	}
	wanted := map[ids.Key]bool{}
	for _, k := range l.core.state.machine.Keys() {
		wanted[k] = true
		owner := Owner(k, eligibleNodes(l.core.state.machine, k, live))
		cur, ok := l.core.state.grants[k]
		switch t := l.leases[cur.Node]; {
		case !ok:
			assignment.Grants = append(assignment.Grants, Grant{Key: k, Node: owner})
		case cur.Node != owner && t != nil:
			t.revokedGrants = append(t.revokedGrants, cur)
		}
	}
	for k, g := range l.core.state.grants {
		if t := l.leases[g.Node]; !wanted[k] && t != nil {
			t.revokedGrants = append(t.revokedGrants, g)
		}
	}
	return assignment

}
