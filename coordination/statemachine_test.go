// State-machine tests of the register and the store: rapid draws sequences of actions, and shrinks
// a failing sequence to a short one.

package coordination

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"keelstair.example/host/simulated"
	"keelstair.example/ids"
)

// rapidChecks is the number of sequences that are drawn, multiplied by KEELSTAIR_SEEDS if that is set;
// rapidSteps is the average number of actions in each.
const (
	rapidChecks = 500
	rapidSteps  = 100
)

// seedRapid makes rapid draw the same sequences each time; KEELSTAIR_FROM selects others if
// KEELSTAIR_SEEDS is set.
var seedRapid = sync.OnceFunc(func() {
	times, from := 1, 0
	if n, err := strconv.Atoi(os.Getenv("KEELSTAIR_SEEDS")); err == nil && n > 0 {
		times = n
		from, _ = strconv.Atoi(os.Getenv("KEELSTAIR_FROM"))
	}
	for name, value := range map[string]string{
		"rapid.checks":     strconv.Itoa(rapidChecks * times),
		"rapid.seed":       strconv.Itoa(from + 1),
		"rapid.steps":      strconv.Itoa(rapidSteps),
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
})

// noDeadline hides a test's Deadline method, which must not be called in a synctest bubble.
type noDeadline struct{ testing.TB }

// checkActions runs random sequences of the actions that start returns, in simulated time.
func checkActions(t *testing.T, start func(t *rapid.T) (actions map[string]func(*rapid.T), end func())) {
	seedRapid()
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			actions, end := start(t)
			defer end()
			t.Repeat(actions)
		})
	})
}

// proposal is a ballot in progress: its messages are delivered in any order, any number of times.
type proposal struct {
	proposer  int
	record    Record
	parent    ids.Epoch // epoch of the record that it is based on
	takeover  bool
	removes   bool      // it replaces a voter
	promised  []Replica // replicas whose promise reached the proposer
	accepting bool      // it is in the second round
	answered  []Replica // replicas whose accept reached the proposer
	accepted  []Replica // all replicas that accepted
	abandoned bool      // none of its messages is delivered any more
	closed    bool      // its proposer no longer waits for answers
	chosen    bool      // a majority of each voter set has accepted
}

// registerModel models the registers of modelReplicas replicas and the proposer's side of every
// ballot.
type registerModel struct {
	cores     []*Core
	processes []*simulated.Process
	proposals []*proposal
	leads     []ids.Epoch // by replica: the epoch in which it knows itself to be the primary, or 0
	parents   map[ids.Epoch]ids.Epoch
	chosen    []ids.Epoch
}

const (
	modelVoters   = 3
	modelReplicas = 5
)

func newRegisterModel(t *rapid.T) *registerModel {
	m := &registerModel{leads: make([]ids.Epoch, modelReplicas), parents: map[ids.Epoch]ids.Epoch{}}
	world := simulated.NewWorld(1)
	for i := range modelReplicas {
		ip := fmt.Sprintf("10.0.0.%d", i+1)
		p := world.Machine(ip).Start()
		c, err := New(Options{Addr: ip + ":1", Host: p.Host(), Machine: func() StateMachine { return nil }})
		require.NoError(t, err)
		m.cores, m.processes = append(m.cores, c), append(m.processes, p)
	}
	first := Record{Epoch: firstEpoch, ClusterID: "f", Primary: m.cores[0].self}
	for _, c := range m.cores[:modelVoters] {
		first.Voters = append(first.Voters, c.self)
	}
	first.setBackups([]Replica{m.cores[1].self})
	for _, c := range m.cores[:modelVoters] {
		c.readyEpoch.Store(uint64(firstEpoch))
		r, err := c.handleBallot(t.Context(), &BallotRequest{
			Epoch:  firstEpoch,
			From:   first.Primary,
			Accept: true,
			Record: first,
		})
		require.NoError(t, err)
		require.True(t, r.OK, r.Reason)
	}
	m.leads[0] = firstEpoch
	m.chosen = []ids.Epoch{firstEpoch}
	return m
}

func (m *registerModel) end() {
	for _, p := range m.processes {
		p.Kill()
	}
}

func (m *registerModel) coreOf(s Replica) *Core {
	for _, c := range m.cores {
		if c.self.Disk == s.Disk {
			return c
		}
	}
	return nil
}

// drawProposal draws one of the proposals that fit, or skips the action.
func (m *registerModel) drawProposal(t *rapid.T, fits func(*proposal) bool) *proposal {
	var list []*proposal
	for _, p := range m.proposals {
		if !p.abandoned && fits(p) {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		t.Skip("no such proposal")
	}
	return rapid.SampledFrom(list).Draw(t, "proposal")
}

// drawCore draws one of the replicas that fit, given their accepted record, or skips the action.
func (m *registerModel) drawCore(t *rapid.T, label string, fits func(i int, current Record) bool) int {
	var list []int
	for i, c := range m.cores {
		if current, _ := c.acceptedRecord(); current.ClusterID != "" && fits(i, current) {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		t.Skip("no such replica")
	}
	return rapid.SampledFrom(list).Draw(t, label)
}

// propose starts a ballot at a replica that holds the data. If the replica is the primary, the ballot
// may replace a voter.
func (m *registerModel) propose(t *rapid.T) {
	i := m.drawCore(t, "proposer", func(i int, current Record) bool { return isDataReplicaOf(current, m.cores[i].self) })
	c := m.cores[i]
	current, promised := c.acceptedRecord()
	c.observeEpoch(promised)
	time.Sleep(2 * c.options.ElectionTimeout) // the primary counts as silent, so a takeover is allowed
	opts := ballotOptions{}
	if m.leads[i] == current.Epoch {
		opts.leadingEpoch = current.Epoch
		if rapid.IntRange(0, 2).Draw(t, "change a voter") > 0 {
			opts.removed = current.Voters[rapid.IntRange(0, len(current.Voters)-1).Draw(t, "removed")].Disk
			for _, spare := range m.cores {
				if !containsDisk(current.Voters, spare.self.Disk) {
					opts.added = spare.self
				}
			}
			if opts.removed == c.self.Disk {
				opts.removed, opts.added = "", Replica{}
			}
		}
	}
	m.closeProposals(i)
	p := &proposal{
		proposer: i,
		record:   c.draftRecord(current, opts),
		parent:   current.Epoch,
		takeover: opts.leadingEpoch == 0,
		removes:  opts.removed != "",
	}
	m.proposals = append(m.proposals, p)
	m.prepareAtSome(t, p)
}

// closeProposals ends a proposer's earlier ballots, since it runs one at a time. Their accept messages may
// still be delivered late.
func (m *registerModel) closeProposals(proposer int) {
	for _, p := range m.proposals {
		if p.proposer == proposer {
			p.closed = true
			p.abandoned = p.abandoned || !p.accepting
		}
	}
}

// drawLost draws whether an answer is lost, with a probability of one in ten.
func (m *registerModel) drawLost(t *rapid.T) bool { return rapid.IntRange(0, 9).Draw(t, "answer") == 9 }

// drawReplicas draws a subset of the replicas and keeps their order.
func drawReplicas(t *rapid.T, all []Replica) []Replica {
	var subset []Replica
	for _, s := range all {
		if rapid.Bool().Draw(t, "reached") {
			subset = append(subset, s)
		}
	}
	return subset
}

// prepare delivers the prepare message of a drawn proposal to a subset of its voters.
func (m *registerModel) prepare(t *rapid.T) {
	m.prepareAtSome(t, m.drawProposal(t, func(p *proposal) bool { return !p.accepting }))
}

func (m *registerModel) prepareAtSome(t *rapid.T, p *proposal) {
	for _, to := range drawReplicas(t, p.record.allVoters()) {
		if !p.abandoned {
			m.prepareAt(t, p, to)
		}
	}
}

// prepareAt delivers the prepare message to one replica, and its answer unless that is lost.
func (m *registerModel) prepareAt(t *rapid.T, p *proposal, to Replica) {
	proposer := m.cores[p.proposer]
	r, err := m.coreOf(to).handleBallot(t.Context(), &BallotRequest{
		Epoch:    p.record.Epoch,
		From:     proposer.self,
		Takeover: p.takeover,
		Record:   p.record,
	})
	require.NoError(t, err)
	if m.drawLost(t) {
		return
	}
	proposer.observeEpoch(r.Promised)
	if r.Accepted.Epoch > p.parent {
		p.abandoned = true
		m.adopt(t, p.proposer, r.Accepted)
		return
	}
	if r.Accepted.Epoch == p.parent && len(r.Accepted.OutgoingVoters) == 0 && !p.removes {
		p.record.OutgoingVoters = nil
	}
	if r.OK && !containsDisk(p.promised, to.Disk) {
		p.promised = append(p.promised, to)
	}
}

// adopt makes a replica adopt a record that it has learnt of, which counts as an accept.
func (m *registerModel) adopt(t *rapid.T, i int, record Record) {
	if !m.cores[i].adoptRecord(record) {
		return
	}
	for _, p := range m.proposals {
		if p.accepting && p.record.Epoch == record.Epoch && m.cores[p.proposer].self.Disk == record.Primary.Disk {
			m.accept(t, p, m.cores[i].self)
		}
	}
}

// startSecondRound brings a backup up to date if enough replicas have promised, and starts the second round. It
// reports whether the second round was started.
func (m *registerModel) startSecondRound(t *rapid.T, p *proposal) bool {
	proposer := m.cores[p.proposer].self
	if p.closed || !containsDisk(p.promised, proposer.Disk) || !p.record.decidedBy(p.promised) {
		return false
	}
	for _, s := range p.promised {
		if s.Disk == proposer.Disk || !containsDisk(p.record.Voters, s.Disk) {
			continue
		}
		c := m.coreOf(s)
		r, err := c.handleCatchUp(t.Context(), &CatchUpRequest{
			Epoch:  p.record.Epoch,
			From:   proposer,
			Digest: c.state.digest,
		})
		if err == nil && r.OK {
			p.record.setBackups([]Replica{s})
			p.accepting = true
			m.parents[p.record.Epoch] = p.parent
			return true
		}
	}
	return false
}

// deliverAccept delivers the accept message of a drawn proposal to the backup, or, once that has
// accepted, to a subset of the voters.
func (m *registerModel) deliverAccept(t *rapid.T) {
	p := m.drawProposal(t, func(p *proposal) bool { return p.accepting || m.startSecondRound(t, p) })
	if !containsDisk(p.answered, p.record.Backup.Disk) {
		m.acceptAt(t, p, p.record.Backup)
		return
	}
	for _, to := range drawReplicas(t, p.record.allVoters()) {
		m.acceptAt(t, p, to)
	}
}

// acceptAt delivers the accept message to one replica, and its answer unless that is lost.
func (m *registerModel) acceptAt(t *rapid.T, p *proposal, to Replica) {
	proposer := m.cores[p.proposer]
	r, err := m.coreOf(to).handleBallot(t.Context(), &BallotRequest{
		Epoch:  p.record.Epoch,
		From:   proposer.self,
		Accept: true,
		Record: p.record,
	})
	require.NoError(t, err)
	if !r.OK {
		return
	}
	m.accept(t, p, to)
	if m.drawLost(t) || p.closed || containsDisk(p.answered, to.Disk) {
		return
	}
	p.answered = append(p.answered, to)
	if current, _ := proposer.acceptedRecord(); containsDisk(p.answered, proposer.self.Disk) &&
		p.record.decidedBy(p.answered) && current.Epoch == p.record.Epoch {
		m.leads[p.proposer] = p.record.Epoch
		proposer.registerMu.Lock()
		proposer.markDecided(p.record.Epoch, proposer.self.Disk)
		proposer.registerMu.Unlock()
	}
}

// accept records that a register has accepted a record. If the record is chosen by that, it checks it
// against all records chosen before.
func (m *registerModel) accept(t *rapid.T, p *proposal, by Replica) {
	if containsDisk(p.accepted, by.Disk) {
		return
	}
	p.accepted = append(p.accepted, by)
	if p.chosen || !p.record.decidedBy(p.accepted) {
		return
	}
	p.chosen = true
	for _, other := range m.chosen {
		older, newer := min(other, p.record.Epoch), max(other, p.record.Epoch)
		require.NotEqual(t, older, newer, "two records of one epoch are chosen")
		require.True(t, m.basedOn(newer, older), "epochs %d and %d are both chosen, and neither is based on the other", older, newer)
	}
	m.chosen = append(m.chosen, p.record.Epoch)
}

// basedOn reports whether the record of an epoch descends from that of an older one.
func (m *registerModel) basedOn(epoch, older ids.Epoch) bool {
	for epoch > older {
		epoch = m.parents[epoch]
	}
	return epoch == older
}

// heartbeat delivers a primary's heartbeat to one replica, which marks the record as decided there.
func (m *registerModel) heartbeat(t *rapid.T) {
	from := m.drawCore(t, "primary", func(i int, current Record) bool {
		return m.leads[i] != 0 && current.Epoch == m.leads[i]
	})
	to := rapid.IntRange(0, modelReplicas-1).Draw(t, "replica")
	_, err := m.cores[to].handleHeartbeat(t.Context(), &AppendRequest{Epoch: m.leads[from], From: m.cores[from].self})
	require.NoError(t, err)
}

// restart makes a replica lose everything that is not on its disk, which ends its own ballots.
func (m *registerModel) restart(t *rapid.T) {
	i := rapid.IntRange(0, modelReplicas-1).Draw(t, "replica")
	c := m.cores[i]
	kept, err := c.store.loadRegister()
	require.NoError(t, err)
	require.Equal(t, c.register, kept, "the register that was reported is not the one on disk")
	c.register = kept
	c.readyEpoch.Store(0)
	m.leads[i] = 0
	m.closeProposals(i)
}

// TestRegisterStateMachine checks that each chosen record, that is, one accepted by a majority of each
// of its voter sets, descends from the chosen record before it, while messages are lost, delayed or
// duplicated, replicas restart and voters change.
func TestRegisterStateMachine(t *testing.T) {
	checkActions(t, func(t *rapid.T) (map[string]func(*rapid.T), func()) {
		m := newRegisterModel(t)
		return map[string]func(*rapid.T){
			"propose":   m.propose,
			"prepare":   m.prepare,
			"accept":    m.deliverAccept,
			"accept2":   m.deliverAccept,
			"heartbeat": m.heartbeat,
			"restart":   m.restart,
		}, m.end
	})
}

// storeModel is a store on a simulated disk, with its acknowledged and requested writes.
type storeModel struct {
	storeRun
	machine *simulated.Machine
	process *simulated.Process
}

func newStoreModel(t *rapid.T) *storeModel {
	m := &storeModel{machine: simulated.NewWorld(1).Machine("10.0.0.1")}
	m.start(t)
	require.NoError(t, m.promise())
	return m
}

// start starts a process on the disk and compares the loaded state with the acknowledged one. A prefix of
// the entries of an interrupted append may also be on disk. The model continues from the loaded state.
func (m *storeModel) start(t *rapid.T) {
	m.process = m.machine.Start()
	m.store = newStore(m.process.Host().Disk)
	require.NoError(t, m.reload())
	got := m.state.machine.(*listStateMachine).all()
	require.True(t, isPrefix(m.acknowledged, got), "loaded %q, but %q was acknowledged", got, m.acknowledged)
	require.True(t, isPrefix(got, m.requested), "loaded %q, but only %q was requested", got, m.requested)
	kept, err := m.store.loadRegister()
	require.NoError(t, err)
	require.Contains(t, []ids.Epoch{m.acknowledgedRegister.Promised, m.requestedRegister.Promised}, kept.Promised)
	m.acknowledged, m.requested = got, got
	m.acknowledgedRegister, m.requestedRegister = kept, kept
}

// isPrefix reports whether a comma-separated list of values begins with another.
func isPrefix(begin, list string) bool { return strings.HasPrefix(list+",", begin+",") || begin == "" }

// run runs a step, with one chance in three that the process is killed during it and restarted.
func (m *storeModel) run(t *rapid.T, step func() error) {
	if rapid.IntRange(0, 2).Draw(t, "kill") < 2 {
		require.NoError(t, step())
		return
	}
	after := time.Duration(rapid.IntRange(0, 4000).Draw(t, "after us")) * time.Microsecond
	kill := time.AfterFunc(after, m.process.Kill)
	err := step()
	kill.Stop()
	if err == nil {
		m.process.Kill()
	}
	time.Sleep(time.Second) // an interrupted step ends by itself
	m.start(t)
}

// appendEntries appends up to valuesPerChunk entries.
func (m *storeModel) appendEntries(t *rapid.T) {
	count := rapid.IntRange(1, valuesPerChunk).Draw(t, "entries")
	m.run(t, func() error { return m.appendCount(count) })
}

// TestStoreStateMachine checks that a process that is killed during any step leaves a disk from which
// the next process loads all acknowledged values and no value that was never requested.
func TestStoreStateMachine(t *testing.T) {
	checkActions(t, func(t *rapid.T) (map[string]func(*rapid.T), func()) {
		m := newStoreModel(t)
		return map[string]func(*rapid.T){
			"append":   m.appendEntries,
			"append2":  m.appendEntries,
			"register": func(t *rapid.T) { m.run(t, m.promise) },
			"compact":  func(t *rapid.T) { m.run(t, m.compact) },
			"reload":   func(t *rapid.T) { m.run(t, m.reload) },
		}, func() { m.process.Kill() }
	})
}
