// Age of the configuration version that a node serves. A version must be in force on every node within
// ApplyMax after its acknowledgement, and only the coordination service, the core, knows all versions.
// A node rejects requests if the core has not recently confirmed that it has the newest version,
// unless it is cut off from the core: then serving the version that it has is better for callers.

package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	// versionAgeMargin is subtracted from ApplyMax to cover the latency of an acknowledgement and of a
	// request.
	versionAgeMargin = 250 * time.Millisecond
	// commitWait is how long a node waits for the core's commit before it puts a prepared version in
	// force without it, which is safe because the version is durable and acknowledged.
	commitWait = 500 * time.Millisecond
	// maxConfirmationAge is the time within which the core confirms every node that can reach it.
	maxConfirmationAge = time.Second
	// takeoverGrace is how long a primary may be reachable without confirming anything. A takeover from
	// a stalled primary takes up to 2.3 s.
	takeoverGrace = 2500 * time.Millisecond
	// starvationGrace is how long after a lack of processor time missing confirmations are attributed to
	// it and not to a lost connection.
	starvationGrace = 2 * time.Second
)

// versionAge tracks up to which of the core's confirmations the version in force on this node is
// current.
type versionAge struct {
	currentAt atomic.Int64 // ids.Tick; every version acknowledged before it is in force here
	mu        sync.Mutex
	// awaitedVersion is a version that the view has but that is not in force yet; 0 if there is none.
	awaitedVersion   ids.Version
	awaitedAt        ids.Tick // when it was first seen
	awaitedCurrentAt ids.Tick // currentAt once it is in force
}

// update compares the version in force with the newest one in the view, which has everything that was
// acknowledged before viewCurrentAt. It returns a version that the core should have put in
// force by now, or 0.
func (v *versionAge) update(now, viewCurrentAt ids.Tick, s *fleetstate.Snapshot) ids.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.awaitedVersion != 0 && s.Version >= v.awaitedVersion {
		v.currentAt.Store(int64(v.awaitedCurrentAt))
		v.awaitedVersion = 0
	}
	switch {
	case s.Version >= s.NewestReceivedVersion:
		v.currentAt.Store(int64(viewCurrentAt))
		v.awaitedVersion = 0
	case v.awaitedVersion == 0:
		v.awaitedVersion, v.awaitedAt, v.awaitedCurrentAt = s.NewestReceivedVersion, now, viewCurrentAt
	case now.Past(v.awaitedAt, commitWait):
		return v.awaitedVersion
	}
	return 0
}

// updateVersionAge updates the version age from the node's view. It returns a version that the core
// should have put in force by now, or 0.
func (n *Node) updateVersionAge() ids.Version {
	viewCurrentAt := n.agent.CurrentAt()
	return n.versionAge.update(n.now(), viewCurrentAt, n.view.Current())
}

// applyOverdueVersion puts a version in force if the core's commit of it is overdue.
func (n *Node) applyOverdueVersion() {
	if overdue := n.updateVersionAge(); overdue != 0 {
		n.view.NoteVersion(overdue)
	}
}

// withinApplyMax reports whether every version that must be in force by now is in force here.
func (n *Node) withinApplyMax() bool {
	currentAt := ids.Tick(n.versionAge.currentAt.Load())
	return currentAt != 0 && !n.now().Past(currentAt, n.options.ApplyMax-versionAgeMargin)
}

// versionStale reports whether a newer version than the one in force here may have to be in force by
// now, although the core can be reached.
func (n *Node) versionStale() bool {
	if n.withinApplyMax() {
		return false
	}
	if n.updateVersionAge(); n.withinApplyMax() {
		return false
	}
	currentAt := ids.Tick(n.versionAge.currentAt.Load())
	return coreReachable(n.now(), currentAt, n.agent.SinceConfirmed(), n.agent.Reachability())
}

// coreReachable reports whether the core can be reached, so that an old version is this node's own
// fault and not that of a lost connection.
func coreReachable(now, currentAt ids.Tick, sinceConfirmed time.Duration, primary coordination.Reachability) bool {
	switch {
	case primary.Unreachable:
		return false
	case currentAt == 0, sinceConfirmed <= maxConfirmationAge:
		return true
	case primary.StarvedAt != 0 && !now.Past(primary.StarvedAt, starvationGrace):
		return true
	}
	return primary.ReachableSince != 0 && now.Past(primary.ReachableSince, takeoverGrace)
}
