// Outlier ejection: a worker's health is judged by the outcomes of requests to it, not by what it
// reports. A worker whose failure rate is an outlier among the workers of its service and role is
// ejected for a period that grows with each ejection; then a few trial requests decide. Two rules
// limit the cost of a wrong ejection: the number of workers that are ejected or on probation is
// bounded, and they are used if no other is left.

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
	outcomeTimeConstant   = 3 * time.Second  // outcomes decay by a factor of e in this time
	outageTimeConstant    = 20 * time.Second // the same for outages
	outageGrace           = time.Second      // maximum delay from an outage's first failures to its detection
	maxOutages            = 1.3              // decaying count of outages above which a worker is flapping
	outlierMinRate        = 0.1              // failure rate up to which no worker is an outlier
	outlierRatio          = 1.5              // multiple of the other workers' mean rate, added to outlierMinRate
	outlierMinRequests    = 4.0              // requests needed before a worker can be an outlier
	maxPeerWeight         = 10.0             // maximum number of requests that the peers' outcomes of a worker count for
	probationSuccesses    = 5                // successes that end probation
	probationQuietPeriod  = 2 * time.Second  // time on probation that ends it without enough successes, if no request failed
	probationPickInterval = 5                // a worker on probation is available to one in this many picks
	strikeDecayTime       = 10 * time.Second // serving time that removes one strike
	maxEjection           = 16 * time.Second
	evaluateInterval      = 100 * time.Millisecond
)

// decayingCount counts events (completed requests, or outages) and the failed ones among them, with
// exponential decay.
type decayingCount struct {
	total, failed float64
	at            ids.Tick
}

// decay applies the decay since the last call.
func (r *decayingCount) decay(now ids.Tick, timeConstant time.Duration) {
	f := math.Exp(-float64(now.Since(r.at)) / float64(timeConstant))
	r.total, r.failed, r.at = r.total*f, r.failed*f, now
}

// phase is a worker's state in outlier ejection.
type phase int

const (
	serving phase = iota
	ejected
	probation
)

// outlierState holds the outcomes and the ejection state of one worker incarnation. The worker state's
// lock guards it.
type outlierState struct {
	local          decayingCount
	peers          Outcomes // reported by other nodes
	peersAt        ids.Tick
	outages        decayingCount
	flapping       bool
	phase          phase
	phaseStartedAt ids.Tick
	ejectedUntil   ids.Tick
	strikes        int  // recent ejections, one less for each strikeDecayTime of serving
	successes      int  // during probation
	failedTrial    bool // a request failed during probation
	probationPicks int
	lastTrial      ids.Tick
	failureRate    float64 // failure rate while it is an outlier, else 0
}

// recordOutcome records the outcome of a request to a worker, once. Outcomes are not counted while the
// worker is known to be down, since its failures then come from the link or the machine.
func (n *Node) recordOutcome(c *candidate, ok bool) {
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
	v.local.total++
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

// recordOutage records that a worker was found down, which explains its latest failures. A worker that
// alternates between down and up is treated like one that fails.
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
		v.outages.total++
	}
}

// recordRecovery records that a worker is up again, and marks it as flapping after too many outages.
func (n *Node) recordRecovery(st *workerState) {
	st.mu.Lock()
	defer st.mu.Unlock()
	v := &st.outlier
	v.outages.decay(n.now(), outageTimeConstant)
	if st.down && v.outages.total > maxOutages {
		v.flapping = true
		n.outcomesChanged.Store(true)
	}
	st.down = false
}

// skipPick counts a pick and reports whether it must skip the worker. During probation one in
// probationPickInterval picks may use the worker as a trial, and trials are at least trialInterval
// apart. The caller holds the state's lock.
func (v *outlierState) skipPick(now ids.Tick, trialInterval time.Duration) bool {
	if v.phase != probation {
		return v.phase == ejected
	}
	v.probationPicks++
	if v.probationPicks%probationPickInterval != 0 || !now.Past(v.lastTrial, trialInterval) {
		return true
	}
	v.lastTrial = now
	return false
}

// weightedCounts returns the numbers of failures and requests seen by this node and its peers. Peers'
// reports count only if at least two nodes saw failures, and for no more than maxPeerWeight requests.
func (v *outlierState) weightedCounts(now ids.Tick) (failed, total float64) {
	v.local.decay(now, outcomeTimeConstant)
	failed, total = v.local.failed, v.local.total
	reporters := v.peers.Nodes
	if v.local.failed > 0.3 {
		reporters++
	}
	if v.peers.Nodes > 0 && reporters > 1 && !now.Past(v.peersAt, 2*prefillLoadTTL) {
		f := min(1, 10*maxPeerWeight/float64(max(1, v.peers.Sent))) / 10 // Outcomes counts tenths
		failed, total = failed+f*float64(v.peers.Failed), total+f*float64(v.peers.Sent)
	}
	return failed, total
}

// outlierCandidate is a worker under evaluation, with its weighted failures and requests.
type outlierCandidate struct {
	worker           *Worker
	state            *workerState
	failed, requests float64
}

func (a *outlierCandidate) rate() float64 { return a.failed / max(1, a.requests) }

// isOutlier reports whether the failure rate exceeds the other workers' mean rate by more than chance.
func (a *outlierCandidate) isOutlier(othersRate float64) bool {
	return a.requests >= outlierMinRequests && a.failed > 1.5 &&
		a.failed-0.8*math.Sqrt(a.failed) > (outlierMinRate+outlierRatio*othersRate)*a.requests
}

// runOutlierDetection evaluates the workers while there are new outcomes, or workers that are ejected
// or on probation.
func (n *Node) runOutlierDetection(ctx context.Context) {
	if n.options.BaseEjection < 0 {
		return
	}
	for host.Sleep(ctx, evaluateInterval) {
		if n.outcomesChanged.Swap(false) || n.notServing.Load() > 0 {
			n.evaluateOutliers(n.snapshot())
		}
	}
}

// workerGroup identifies the workers of one service and role.
type workerGroup struct {
	service string
	role    ids.Role
}

// evaluateOutliers evaluates all listed workers, grouped by service and role.
func (n *Node) evaluateOutliers(s *fleetstate.Snapshot) {
	now := n.now()
	groups := map[workerGroup][]*outlierCandidate{}
	list := n.currentList.Load()
	for i := range list.workers {
		w := &list.workers[i]
		a := &outlierCandidate{worker: w, state: n.state(w.ID)}
		a.state.mu.Lock()
		a.failed, a.requests = a.state.outlier.weightedCounts(now)
		a.state.mu.Unlock()
		if acceptsWork(s, w) {
			k := workerGroup{w.Service, w.Role}
			groups[k] = append(groups[k], a)
		} else {
			n.readmit(a, now, "worker gets no new requests")
		}
	}
	count := 0
	for _, rows := range groups {
		count += n.evaluateGroup(rows, now)
	}
	n.notServing.Store(int64(count))
}

// evaluateGroup evaluates the workers of one service and role, and returns how many are ejected or on
// probation.
func (n *Node) evaluateGroup(rows []*outlierCandidate, now ids.Tick) int {
	limit, sum, known := 0, 0.0, 0
	if len(rows) > 1 {
		limit = max(1, int(n.options.MaxEjectedShare*float64(len(rows))))
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].rate() > rows[j].rate() })
	peersReport := n.peerOutcomesAt.Load() != 0 && !now.Past(ids.Tick(n.peerOutcomesAt.Load()), 2*prefillLoadTTL)
	for _, a := range rows {
		sum += a.rate()
		if peersReport || a.requests >= 0.5 { // peers report only workers that failed, so one that none of them lists has a known rate of 0
			known++
		}
	}
	notServing := 0
	var outliers []*outlierCandidate
	for _, a := range rows {
		outlying := a.isOutlier((sum - a.rate()) / float64(max(1, known-1)))
		if n.advancePhase(a, outlying, now) {
			if notServing++; notServing > limit { // the group shrank, and this is the one with the lowest failure rate
				n.readmit(a, now, "ejection limit exceeded")
				notServing--
			}
		} else if outlying || a.state.flapping() {
			outliers = append(outliers, a)
		}
	}
	for _, a := range outliers {
		if notServing < limit {
			n.eject(a, now)
			notServing++
		}
	}
	return notServing
}

func (s *workerState) flapping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outlier.flapping
}

// advancePhase advances a worker's ejection or probation, and returns false if it is serving. The
// outcomes that led to an ejection are cleared halfway through it, so that new outcomes decide.
func (n *Node) advancePhase(a *outlierCandidate, isOutlier bool, now ids.Tick) bool {
	a.state.mu.Lock()
	v := &a.state.outlier
	v.failureRate = 0
	if isOutlier || v.phase != serving {
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
	case was == probation && (v.failedTrial || isOutlier || v.flapping):
		a.state.mu.Unlock()
		n.eject(a, now)
		return true
	case was == probation && (v.successes >= probationSuccesses || now.Past(v.phaseStartedAt, probationQuietPeriod)):
		a.state.mu.Unlock()
		n.readmit(a, now, "no failure during probation")
		return false
	}
	a.state.mu.Unlock()
	return true
}

// eject ejects a worker. The period doubles with each strike, up to maxEjection.
func (n *Node) eject(a *outlierCandidate, now ids.Tick) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	v := &a.state.outlier
	if v.phase == serving {
		v.strikes = max(0, v.strikes-int(now.Since(v.phaseStartedAt)/strikeDecayTime))
	}
	duration := min(n.options.BaseEjection<<min(v.strikes, 10), maxEjection)
	v.strikes++
	v.phase, v.phaseStartedAt, v.ejectedUntil, v.flapping = ejected, now, now.Add(duration), false
	v.failureRate = a.rate()
	n.counts.Ejected.Add(1)
	n.options.Ring.Info().Str("worker", string(a.worker.ID)).Float64("failed", a.failed).Float64("sent", a.requests).
		Dur("duration", duration).Msg("ejecting worker")
}

// readmit ends a worker's ejection or probation.
func (n *Node) readmit(a *outlierCandidate, now ids.Tick, reason string) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	v := &a.state.outlier
	if v.phase == serving {
		return
	}
	v.phase, v.phaseStartedAt, v.failureRate = serving, now, 0
	n.counts.Readmitted.Add(1)
	n.options.Ring.Info().Str("worker", string(a.worker.ID)).Str("reason", reason).Msg("worker ejection ended")
}

// isNotServing reports whether a worker is ejected or on probation.
func (n *Node) isNotServing(id ids.WorkerID) bool {
	if n.notServing.Load() == 0 {
		return false
	}
	st := n.state(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.outlier.phase != serving
}
