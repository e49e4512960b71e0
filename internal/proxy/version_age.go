// The age of the version that a node serves by. A version must be in force everywhere soon after
// its acknowledgement, and only the core knows of all of them; a node to which the core has not
// shown lately that it has the newest refuses requests, unless it is cut off from the core: then
// callers are better served by what it has.

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
	// versionAgeMargin is kept from ApplyMax for the way of an acknowledgement and of a request.
	versionAgeMargin = 250 * time.Millisecond
	// preparedWait is how long the core's word is waited for before a prepared version is put in
	// force without it: it is durable, and acknowledged.
	preparedWait = 500 * time.Millisecond
	// confirmedLately is within how long the core confirms every node that can reach it.
	confirmedLately = time.Second
	// reachedSpan is how long a primary may be reached and confirm nothing: a takeover from one
	// that stands still takes up to 2.3 s.
	reachedSpan = 2500 * time.Millisecond
	// starvedSpan is how long a lack of processor time explains what else looks like a cut.
	starvedSpan = 2 * time.Second
)

// versionAge follows which of the core's confirmations the version in force here includes.
type versionAge struct {
	currentAt atomic.Int64 // ids.Tick: all that was acknowledged before it is in force
	mu        sync.Mutex
	awaited   ids.Version // it is not in force yet, and was
	awaitedAt ids.Tick    // seen at this moment
	foldedAt  ids.Tick    // in a view that had all that was acknowledged before this one
}

// update compares what is in force with what was acknowledged. It gives a version that the core
// should have put in force by now, or 0.
func (v *versionAge) update(now, foldedAt ids.Tick, s *fleetstate.Snapshot) ids.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.awaited != 0 && s.Version >= v.awaited {
		v.currentAt.Store(int64(v.foldedAt))
		v.awaited = 0
	}
	switch {
	case s.Version >= s.Newest:
		v.currentAt.Store(int64(foldedAt))
		v.awaited = 0
	case v.awaited == 0:
		v.awaited, v.awaitedAt, v.foldedAt = s.Newest, now, foldedAt
	case now.Past(v.awaitedAt, preparedWait):
		return v.awaited
	}
	return 0
}

// updateVersionAge gives a version that the core should have put in force by now, or 0.
func (n *Node) updateVersionAge() ids.Version {
	foldedAt := n.agent.CurrentAt()
	return n.versionAge.update(n.now(), foldedAt, n.view.Current())
}

// putLateInForce puts in force what the core is late with.
func (n *Node) putLateInForce() {
	if late := n.updateVersionAge(); late != 0 {
		n.view.NoteVersion(late)
	}
}

// withinApplyMax tells that all is in force here that must be by now.
func (n *Node) withinApplyMax() bool {
	currentAt := ids.Tick(n.versionAge.currentAt.Load())
	return currentAt != 0 && !n.now().Past(currentAt, n.options.ApplyMax-versionAgeMargin)
}

// behind tells that a newer version may have to be in force by now, though not here.
func (n *Node) behind() bool {
	if n.withinApplyMax() {
		return false
	}
	if n.updateVersionAge(); n.withinApplyMax() {
		return false
	}
	currentAt := ids.Tick(n.versionAge.currentAt.Load())
	return inTouch(n.now(), currentAt, n.agent.SinceConfirmed(), n.agent.Reachability())
}

// inTouch tells that the core can be reached, so that an old version is this node's own fault.
func inTouch(now, currentAt ids.Tick, sinceConfirmed time.Duration, primary coordination.Reachability) bool {
	switch {
	case primary.Lost:
		return false
	case currentAt == 0, sinceConfirmed <= confirmedLately:
		return true
	case primary.StarvedAt != 0 && !now.Past(primary.StarvedAt, starvedSpan):
		return true
	}
	return primary.Since != 0 && now.Past(primary.Since, reachedSpan)
}
