// Outlier ejection: whether a worker is sick is told by how this node's sendings to it end,
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
	recall     = 3 * time.Second // in which outcomes fade to a third
	fallSpan   = 20 * time.Second
	fallGrace  = time.Second // by which a fall is found after its first failures
	fallMost   = 1.3         // fading count of falls from which a worker flaps
	oddFloor   = 0.1         // rate of failures that none stands out by
	oddTimes   = 1.5         // of the mean rate of the rest, besides
	oddLeast   = 4.0         // sendings
	hearMost   = 10.0
	trialLeast = 5               // successes that end a probation
	trialSpan  = 2 * time.Second // so does such a time without a failure
	trialPick  = 5               // one of so many picks may try a worker on probation
	strikeSpan = 10 * time.Second
	ejectMost  = 16 * time.Second
	judgePause = 100 * time.Millisecond
)

// record counts sendings that ended, fading.
type record struct {
	sent, failed float64
	at           ids.Tick
}

func (r *record) fade(now ids.Tick, span time.Duration) {
	f := math.Exp(-float64(now.Since(r.at)) / float64(span))
	r.sent, r.failed, r.at = r.sent*f, r.failed*f, now
}

type phase int

const (
	serving phase = iota
	ejected
	probing
)

// verdict is what outcomes say of one life of a worker; the state's lock guards it.
type verdict struct {
	mine    record
	heard   Outcomes // of the other nodes
	heardAt ids.Tick
	falls   record
	flaps   bool
	phase   phase
	since   ids.Tick // when the phase began
	until   ids.Tick
	strikes int
	trials  int
	tripped bool // it failed a trial
	picks   int
	tried   ids.Tick
	ill     float64 // its rate of failures while it stands out
}

// outcome notes how a sending ended, once. What failed while the worker was known to be down
// is the link's or the machine's and says nothing of its answers.
func (n *Node) outcome(c *choice, ok bool) {
	if n.opt.Eject < 0 || !c.ended.CompareAndSwap(false, true) {
		return
	}
	st, now := c.st, n.now()
	st.mu.Lock()
	defer st.mu.Unlock()
	if ok {
		st.alive.Store(int64(now))
	}
	if st.down || st.left {
		return
	}
	v := &st.verdict
	v.mine.fade(now, recall)
	v.mine.sent++
	if !ok {
		v.mine.failed++
		n.stir.Store(true)
	}
	if v.phase == probing {
		v.tripped = v.tripped || !ok
		if ok {
			v.trials++
		}
	}
}

// fell notes that a worker was found to be down, which explains its last failures; rose, that
// it is back. One that does so by turns is treated like one that fails.
func (n *Node) fell(st *state) {
	now := n.now()
	st.mu.Lock()
	defer st.mu.Unlock()
	v := &st.verdict
	v.mine = record{}
	if v.phase == ejected && !now.Past(v.since, fallGrace) {
		v.until = now
	}
	if !st.down {
		st.down = true
		v.falls.fade(now, fallSpan)
		v.falls.sent++
	}
}

func (n *Node) rose(st *state) {
	st.mu.Lock()
	defer st.mu.Unlock()
	v := &st.verdict
	v.falls.fade(n.now(), fallSpan)
	if st.down && v.falls.sent > fallMost {
		v.flaps = true
		n.stir.Store(true)
	}
	st.down = false
}

// held tells whether a worker is to be passed over by this pick. The state is locked.
func (v *verdict) held(now ids.Tick, gap time.Duration) bool {
	if v.phase != probing {
		return v.phase == ejected
	}
	v.picks++
	if v.picks%trialPick != 0 || !now.Past(v.tried, gap) {
		return true
	}
	v.tried = now
	return false
}

// odds are failures and sendings, of this node and of the others. A single node's word of
// failures counts for nothing, and all that is heard for no more than hearMost sendings.
func (v *verdict) odds(now ids.Tick) (failed, sent float64) {
	v.mine.fade(now, recall)
	failed, sent = v.mine.failed, v.mine.sent
	seers := v.heard.Nodes
	if v.mine.failed > 0.3 {
		seers++
	}
	if v.heard.Nodes > 0 && seers > 1 && !now.Past(v.heardAt, 2*readSpan) {
		f := min(1, 10*hearMost/float64(max(1, v.heard.Sent))) / 10
		failed, sent = failed+f*float64(v.heard.Failed), sent+f*float64(v.heard.Sent)
	}
	return failed, sent
}

// accused is a worker under judgement.
type accused struct {
	w            *Worker
	st           *state
	failed, sent float64
}

func (a *accused) rate() float64 { return a.failed / max(1, a.sent) }

// odd tells whether failures stand out against the mean rate of the rest, beyond chance.
func (a *accused) odd(rest float64) bool {
	return a.sent >= oddLeast && a.failed > 1.5 && a.failed-0.8*math.Sqrt(a.failed) > (oddFloor+oddTimes*rest)*a.sent
}

// ejector judges while there is something to judge.
func (n *Node) ejector(ctx context.Context) {
	if n.opt.Eject < 0 {
		return
	}
	for host.Sleep(ctx, judgePause) {
		if n.stir.Swap(false) || n.outs.Load() > 0 {
			n.judge(n.sight())
		}
	}
}

type group struct {
	service string
	part    ids.Role
}

func (n *Node) judge(s *fleetstate.Snapshot) {
	now := n.now()
	groups := map[group][]*accused{}
	ros := n.roster.Load()
	for i := range ros.all {
		w := &ros.all[i]
		a := &accused{w: w, st: n.state(w.ID)}
		a.st.mu.Lock()
		a.failed, a.sent = a.st.verdict.odds(now)
		a.st.mu.Unlock()
		if fit(s, w) {
			k := group{w.Service, w.Part}
			groups[k] = append(groups[k], a)
		} else {
			n.readmit(a, now, "it is to get nothing new")
		}
	}
	out := 0
	for _, row := range groups {
		out += n.judgeGroup(row, now)
	}
	n.outs.Store(int64(out))
}

// judgeGroup judges the workers of one part of a service and gives how many are out.
func (n *Node) judgeGroup(row []*accused, now ids.Tick) int {
	most, sum, known := 0, 0.0, 0
	if len(row) > 1 {
		most = max(1, int(n.opt.Out*float64(len(row))))
	}
	sort.Slice(row, func(i, j int) bool { return row[i].rate() > row[j].rate() })
	told := n.toldAt.Load() != 0 && !now.Past(ids.Tick(n.toldAt.Load()), 2*readSpan)
	for _, a := range row {
		sum += a.rate()
		if told || a.sent >= 0.5 { // where the others tell, whom none names does not fail
			known++
		}
	}
	out := 0
	var fresh []*accused
	for _, a := range row {
		odd := a.odd((sum - a.rate()) / float64(max(1, known-1)))
		if n.step(a, odd, now) {
			if out++; out > most { // the part shrank, and this is the least bad
				n.readmit(a, now, "too many are out")
				out--
			}
		} else if odd || a.st.flapping() {
			fresh = append(fresh, a)
		}
	}
	for _, a := range fresh {
		if out < most {
			n.eject(a, now)
			out++
		}
	}
	return out
}

func (s *state) flapping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdict.flaps
}

// step takes a worker through its ejection and probation; false if it is serving. What
// it was ejected for is forgotten half way through, so that fresh outcomes decide.
func (n *Node) step(a *accused, odd bool, now ids.Tick) bool {
	a.st.mu.Lock()
	v := &a.st.verdict
	v.ill = 0
	if odd || v.phase != serving {
		v.ill = a.rate()
	}
	switch was := v.phase; {
	case was == serving:
		a.st.mu.Unlock()
		return false
	case was == ejected && !now.Before(v.until):
		v.phase, v.since, v.trials, v.tripped, v.mine = probing, now, 0, false, record{}
	case was == ejected && now.Past(v.since, v.until.Since(v.since)/2):
		v.mine = record{}
	case was == probing && (v.tripped || odd || v.flaps):
		a.st.mu.Unlock()
		n.eject(a, now)
		return true
	case was == probing && (v.trials >= trialLeast || now.Past(v.since, trialSpan)):
		a.st.mu.Unlock()
		n.readmit(a, now, "trials")
		return false
	}
	a.st.mu.Unlock()
	return true
}

func (n *Node) eject(a *accused, now ids.Tick) {
	a.st.mu.Lock()
	defer a.st.mu.Unlock()
	v := &a.st.verdict
	if v.phase == serving {
		v.strikes = max(0, v.strikes-int(now.Since(v.since)/strikeSpan))
	}
	span := min(n.opt.Eject<<min(v.strikes, 10), ejectMost)
	v.strikes++
	v.phase, v.since, v.until, v.flaps = ejected, now, now.Add(span), false
	v.ill = a.rate()
	n.counts.Ejected.Add(1)
	n.opt.Ring.Info().Str("worker", string(a.w.ID)).Float64("failed", a.failed).Float64("sent", a.sent).Dur("span", span).Msg("ejects a worker")
}

func (n *Node) readmit(a *accused, now ids.Tick, why string) {
	a.st.mu.Lock()
	defer a.st.mu.Unlock()
	v := &a.st.verdict
	if v.phase == serving {
		return
	}
	v.phase, v.since, v.ill = serving, now, 0
	n.counts.Readmitted.Add(1)
	n.opt.Ring.Info().Str("worker", string(a.w.ID)).Str("why", why).Msg("readmits a worker")
}

// out tells whether a worker is ejected or on probation.
func (n *Node) out(id ids.WorkerID) bool {
	if n.outs.Load() == 0 {
		return false
	}
	st := n.state(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.verdict.phase != serving
}
