// Outlier ejection: whether a worker is unhealthy is told by how this node's sendings to it end,
// not by what it reports. One whose failures stand out against the rest of its service's
// part is left out for a span that grows with each time, then a trickle decides. The bound
// on how many are out, and that those are used when no other is left, keep a mistake cheap.

package proxy

import (
	"context"
	"math"
	"sort"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	outcomeTimeConstant   = 3 * time.Second // in which outcomes fade to a third
	outageTimeConstant    = 20 * time.Second
	outageGrace           = time.Second // by which a fall is found after its first failures
	maxOutages            = 1.3         // fading count of falls from which a worker flaps
	outlierMinRate        = 0.1         // rate of failures that none stands out by
	outlierRatio          = 1.5         // of the mean rate of the rest, besides
	outlierMinRequests    = 4.0         // sendings
	maxPeerWeight         = 10.0
	probationSuccesses    = 5               // successes that end a probation
	probationQuietPeriod  = 2 * time.Second // so does such a time without a failure
	probationPickInterval = 5               // one of so many picks may try a worker on probation
	strikeTTL             = 10 * time.Second
	maxEjection           = 16 * time.Second
	evaluateInterval      = 100 * time.Millisecond
)

// decayingCount counts sendings that ended, fading.
type decayingCount struct {
	sent, failed float64
	at           ids.Tick
}

func (r *decayingCount) decay(now ids.Tick, duration time.Duration) {
	f := math.Exp(-float64(now.Since(r.at)) / float64(duration))
	r.sent, r.failed, r.at = r.sent*f, r.failed*f, now
}

type phase int

const (
	serving phase = iota
	ejected
	probation
)

// outlierState is what outcomes say of one life of a worker; the state's lock guards it.
type outlierState struct {
	local          decayingCount
	peers          Outcomes // of the other nodes
	peersAt        ids.Tick
	outages        decayingCount
	flapping       bool
	phase          phase
	phaseStartedAt ids.Tick // when the phase began
	ejectedUntil   ids.Tick
	strikes        int
	successes      int
	failedTrial    bool // it failed a trial
	probationPicks int
	lastTrial      ids.Tick
	failureRate    float64 // its rate of failures while it stands out
}

// recordOutcome notes how a sending ended, once. What failed while the worker was known to be down
// is the link's or the machine's and says nothing of its answers.
func (n *Node) recordOutcome(c *pick, ok bool) {
	if n.options.BaseEjection < 0 || !c.outcomeRecorded.CompareAndSwap(false, true) {
		return
	}
	st, now := c.state, n.now()
	st.mu.Lock()
	defer st.mu.Unlock()
	if ok {
		st.lastSuccess.Store(int64(now))
	}
	if st.down || st.replaced {
		return
	}
	v := &st.outlier
	v.local.decay(now, outcomeTimeConstant)
	v.local.sent++
	if !ok {
		v.local.failed++
		n.outcomesChanged.Store(true)
	}
	if v.phase == probation {
		v.failedTrial = v.failedTrial || !ok
		if ok {
			v.successes++
		}
	}
}

// recordOutage notes that a worker was found to be down, which explains its last failures; rose, that
// it is back. One that does so by turns is treated like one that fails.
func (n *Node) recordOutage(st *workerState) {
	now := n.now()
	st.mu.Lock()
	defer st.mu.Unlock()
	v := &st.outlier
	v.local = decayingCount{}
	if v.phase == ejected && !now.Past(v.phaseStartedAt, outageGrace) {
		v.ejectedUntil = now
	}
	if !st.down {
		st.down = true
		n.noteOutage()
		v.outages.decay(now, outageTimeConstant)
		v.outages.sent++
	}
}

func (n *Node) recordRecovery(st *workerState) {
	st.mu.Lock()
	defer st.mu.Unlock()
	v := &st.outlier
	v.outages.decay(n.now(), outageTimeConstant)
	if st.down && v.outages.sent > maxOutages {
		v.flapping = true
		n.outcomesChanged.Store(true)
	}
	st.down = false
}

// blocked tells whether a worker is to be passed over by this pick. The state is locked.
func (v *outlierState) blocked(now ids.Tick, gap time.Duration) bool {
	if v.phase != probation {
		return v.phase == ejected
	}
	v.probationPicks++
	if v.probationPicks%probationPickInterval != 0 || !now.Past(v.lastTrial, gap) {
		return true
	}
	v.lastTrial = now
	return false
}

// rates are failures and sendings, of this node and of the others. A single node's word of
// failures counts for nothing, and all that is heard for no more than maxPeerWeight sendings.
func (v *outlierState) rates(now ids.Tick) (failed, sent float64) {
	v.local.decay(now, outcomeTimeConstant)
	failed, sent = v.local.failed, v.local.sent
	seers := v.peers.Nodes
	if v.local.failed > 0.3 {
		seers++
	}
	if v.peers.Nodes > 0 && seers > 1 && !now.Past(v.peersAt, 2*prefillLoadTTL) {
		f := min(1, 10*maxPeerWeight/float64(max(1, v.peers.Sent))) / 10
		failed, sent = failed+f*float64(v.peers.Failed), sent+f*float64(v.peers.Sent)
	}
	return failed, sent
}

// outlierCandidate is a worker under judgement.
type outlierCandidate struct {
	worker       *Worker
	state        *workerState
	failed, sent float64
}

func (a *outlierCandidate) rate() float64 { return a.failed / max(1, a.sent) }

// isOutlier tells whether failures stand out against the mean rate of the rest, beyond chance.
func (a *outlierCandidate) isOutlier(rest float64) bool {
	return a.sent >= outlierMinRequests && a.failed > 1.5 &&
		a.failed-0.8*math.Sqrt(a.failed) > (outlierMinRate+outlierRatio*rest)*a.sent
}

// runOutlierDetection judges while there is something to judge.
func (n *Node) runOutlierDetection(ctx context.Context) {
	if n.options.BaseEjection < 0 {
		return
	}
	for host.Sleep(ctx, evaluateInterval) {
		if n.outcomesChanged.Swap(false) || n.ejections.Load() > 0 {
			n.evaluateOutliers(n.snapshot())
		}
	}
}

type workerGroup struct {
	service string
	role    ids.Role
}

func (n *Node) evaluateOutliers(s *fleetstate.Snapshot) {
	now := n.now()
	groups := map[workerGroup][]*outlierCandidate{}
	list := n.endpoints.Load()
	for i := range list.workers {
		w := &list.workers[i]
		a := &outlierCandidate{worker: w, state: n.state(w.ID)}
		a.state.mu.Lock()
		a.failed, a.sent = a.state.outlier.rates(now)
		a.state.mu.Unlock()
		if acceptsWork(s, w) {
			k := workerGroup{w.Service, w.Role}
			groups[k] = append(groups[k], a)
		} else {
			n.readmit(a, now, "it is to get nothing new")
		}
	}
	out := 0
	for _, rows := range groups {
		out += n.evaluateGroup(rows, now)
	}
	n.ejections.Store(int64(out))
}

// evaluateGroup judges the workers of one part of a service and gives how many are out.
func (n *Node) evaluateGroup(rows []*outlierCandidate, now ids.Tick) int {
	limit, sum, known := 0, 0.0, 0
	if len(rows) > 1 {
		limit = max(1, int(n.options.MaxEjectedShare*float64(len(rows))))
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].rate() > rows[j].rate() })
	reports := n.peerOutcomesAt.Load() != 0 && !now.Past(ids.Tick(n.peerOutcomesAt.Load()), 2*prefillLoadTTL)
	for _, a := range rows {
		sum += a.rate()
		if reports || a.sent >= 0.5 { // where the others tell, whom none names does not fail
			known++
		}
	}
	out := 0
	var fresh []*outlierCandidate
	for _, a := range rows {
		odd := a.isOutlier((sum - a.rate()) / float64(max(1, known-1)))
		if n.advancePhase(a, odd, now) {
			if out++; out > limit { // the part shrank, and this is the least bad
				n.readmit(a, now, "too many are out")
				out--
			}
		} else if odd || a.state.flapping() {
			fresh = append(fresh, a)
		}
	}
	for _, a := range fresh {
		if out < limit {
			n.eject(a, now)
			out++
		}
	}
	return out
}

func (s *workerState) flapping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outlier.flapping
}

// advancePhase takes a worker through its ejection and probation; false if it is serving. What
// it was ejected for is forgotten half way through, so that fresh outcomes decide.
func (n *Node) advancePhase(a *outlierCandidate, odd bool, now ids.Tick) bool {
	a.state.mu.Lock()
	v := &a.state.outlier
	v.failureRate = 0
	if odd || v.phase != serving {
		v.failureRate = a.rate()
	}
	switch was := v.phase; {
	case was == serving:
		a.state.mu.Unlock()
		return false
	case was == ejected && !now.Before(v.ejectedUntil):
		v.phase, v.phaseStartedAt, v.successes, v.failedTrial, v.local = probation, now, 0, false, decayingCount{}
	case was == ejected && now.Past(v.phaseStartedAt, v.ejectedUntil.Since(v.phaseStartedAt)/2):
		v.local = decayingCount{}
	case was == probation && (v.failedTrial || odd || v.flapping):
		a.state.mu.Unlock()
		n.eject(a, now)
		return true
	case was == probation && (v.successes >= probationSuccesses || now.Past(v.phaseStartedAt, probationQuietPeriod)):
		a.state.mu.Unlock()
		n.readmit(a, now, "trials")
		return false
	}
	a.state.mu.Unlock()
	return true
}

func (n *Node) eject(a *outlierCandidate, now ids.Tick) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	v := &a.state.outlier
	if v.phase == serving {
		v.strikes = max(0, v.strikes-int(now.Since(v.phaseStartedAt)/strikeTTL))
	}
	duration := min(n.options.BaseEjection<<min(v.strikes, 10), maxEjection)
	v.strikes++
	v.phase, v.phaseStartedAt, v.ejectedUntil, v.flapping = ejected, now, now.Add(duration), false
	v.failureRate = a.rate()
	n.counts.Ejected.Add(1)
	n.options.Ring.Info().Str("worker", string(a.worker.ID)).Float64("failed", a.failed).Float64("sent", a.sent).
		Dur("duration", duration).Msg("ejecting worker")
}

func (n *Node) readmit(a *outlierCandidate, now ids.Tick, reason string) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	v := &a.state.outlier
	if v.phase == serving {
		return
	}
	v.phase, v.phaseStartedAt, v.failureRate = serving, now, 0
	n.counts.Readmitted.Add(1)
	n.options.Ring.Info().Str("worker", string(a.worker.ID)).Str("reason", reason).Msg("readmitting worker")
}

// isEjected tells whether a worker is ejected or on probation.
func (n *Node) isEjected(id ids.WorkerID) bool {
	if n.ejections.Load() == 0 {
		return false
	}
	st := n.state(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.outlier.phase != serving
}
