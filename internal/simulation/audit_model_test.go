// A bureau certifies a fleet's machines, and checks afterwards, on the workers' own
// books, that governed work was handled on certified ones alone.

package simulation

import (
	"crypto/ed25519"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/router"
	"keelstair.example/internal/standin"
)

// Uncertified is the line of what must never happen to governed work.
const Uncertified = "governed work on an uncertified node"

// grace is how long after the acknowledgement of a revocation, or the end of a
// certificate, work may still be found at its worker.
const grace = 2 * time.Second

// governedWork is a site with governed kinds of both sorts and machines to spare.
var governedWork = standin.Site{
	Name:           "chamber",
	Zones:          []ids.Zone{"a", "b", "c"},
	Nodes:          5,
	PrefillWorkers: 4,
	DecodeWorkers:  4,
	Model:          "m",
	Classes: []standin.StreamClass{{Kind: "verdict", KeyRequired: true, Percent: 30, SharedPrefixTokens: 64, SuffixTokensRange: 64, MaxTokens: 2},
		{
			Kind:               "speech",
			Percent:            30,
			SharedPrefixTokens: 64,
			SuffixTokensRange:  32,
			MaxTokens:          40,
		}, {Kind: "clarification", Percent: 40, SharedPrefixTokens: 64, SuffixTokensRange: 16, MaxTokens: 16}},
}

// grant is a certificate's span at a worker, in the book's time.
type grant struct{ from, until time.Duration }

// AuditModel signs for one regime that governs verdicts and speeches.
type AuditModel struct {
	c      *Cluster
	key    ed25519.PrivateKey
	issuer certification.Issuer
	mu     sync.Mutex
	certs  map[string]certification.Certificate
	spans  map[string]grant  // by serial
	work   map[string]string // governed requests by id, with the node that carries them
	steps  []handoff.Event   // of governed work
	revoke []time.Duration   // how long each revocation took
	stays  []time.Duration   // how long memory lay staged
	keep   int               // percent
}

// NewAuditModel must be made before the fleet is built, since it listens to its steps.
func NewAuditModel() *AuditModel {
	key, _, err := certification.NewKey()
	if err != nil {
		panic(err)
	}
	return &AuditModel{
		key:   key,
		keep:  20,
		certs: map[string]certification.Certificate{},
		spans: map[string]grant{},
		work:  map[string]string{},
	}
}

// tune hooks the bureau to a fleet.
func (b *AuditModel) tune(c *Cluster) {
	b.c, c.FixedRoles = c, true
	// What nobody comes for lies staged no longer than an orphan runs.
	c.TuneWorker = func(o *standin.WorkerOptions) { o.StagingTTL = 2 * time.Second }
	now := time.Now().UTC()
	b.issuer = certification.Issuer{
		Key:   certification.EncodePublicKey(b.key),
		From:  now.AddDate(0, 0, -1).Format(time.RFC3339),
		Until: now.AddDate(1, 0, 0).Format(time.RFC3339),
	}
	c.OnHandoffEvent = func(e handoff.Event) {
		if e.Regime != "" {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.work[e.ID.Request] = e.Regime
			b.steps = append(b.steps, e)
		}
	}
}

// sign makes a certificate that holds from an hour ago on for a span.
func (b *AuditModel) sign(serial string, c certification.Certificate, span time.Duration) certification.Certificate {
	now := time.Now().UTC()
	c.Serial, c.Regime, c.Issuer = serial, "chair", "k1"
	c.From, c.Until = now.Add(-time.Hour).Format(time.RFC3339), now.Add(span).Format(time.RFC3339)
	c.Sign(b.key)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.certs[serial] = c
	if c.Worker != "" {
		end, _ := time.Parse(time.RFC3339, c.Until)
		b.spans[serial] = grant{b.c.Recorder.Now(), b.c.Recorder.Now() + end.Sub(now)}
	}
	return c
}

// certify gives all named a certificate for a day; the serial is c- and the name.
func (b *AuditModel) certify(workers, nodes []string) {
	for _, w := range workers {
		part := ids.Prefill
		if w[0] == 'd' {
			part = ids.Decode
		}
		b.sign("c-"+w, certification.Certificate{Worker: ids.WorkerID(w), Roles: []ids.Role{part}}, 24*time.Hour)
	}
	for _, n := range nodes {
		b.sign("c-"+n, certification.Certificate{Node: n}, 24*time.Hour)
	}
}

// part is the operators' part of a configuration with all that was signed so far.
func (b *AuditModel) part() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return marshalPartial(map[string]any{
		"issuers":      map[string]any{"k1": b.issuer},
		"certificates": maps.Clone(b.certs),
		"regimes":      map[string]any{"chair": map[string]any{"kinds": []string{"verdict", "speech"}, "keep": b.keep}},
	})
}

// Open applies the part and waits until every certified node clears somebody.
func (b *AuditModel) Open() error {
	if err := applyPartial(b.c, "regimes", b.part()); err != nil {
		return err
	}
	if !b.c.WaitUntil(10*time.Second, func() bool {
		for _, box := range running(b.c, "router") {
			if g := box.Node.Regimes(); g.Latest == 0 || len(g.Regimes) == 0 || len(g.Regimes[0].Shortages) > 0 {
				return false
			}
		}
		return true
	}) {
		return fmt.Errorf("the regimes are not in force")
	}
	return nil
}

// Settle waits until certified nodes hold the keys of all certified workers and every node
// knows these workers as ready. When the regimes come into force, a node without a
// certificate gives up such keys; until the duties have begun at the next holders,
// governed requests are refused with a time to come back. All must hold for a second,
// since for shorter than that nodes may still list what the previous holder last said.
func (b *AuditModel) Settle() error {
	b.mu.Lock()
	var workers, nodes []string
	for _, c := range b.certs {
		if c.Worker != "" {
			workers = append(workers, string(c.Worker))
		} else {
			nodes = append(nodes, c.Node)
		}
	}
	b.mu.Unlock()
	settled := func() bool {
		held := map[ids.Key]bool{}
		for _, box := range running(b.c, "router") {
			ready := map[string]bool{}
			for _, w := range box.Node.Status().(*router.NodeStatus).Workers {
				ready[string(w.ID)] = w.Ready
			}
			for _, w := range workers {
				if !ready[w] {
					return false
				}
			}
			if slices.Contains(nodes, box.Name) {
				for _, k := range holds(box) {
					held[k] = true
				}
			}
		}
		return !slices.ContainsFunc(workers, func(w string) bool { return !held[fleetstate.WorkerKey(ids.WorkerID(w))] })
	}
	since := time.Now()
	if !b.c.WaitUntil(10*time.Second, func() bool {
		if !settled() {
			since = time.Now()
		}
		return time.Since(since) >= time.Second
	}) {
		return fmt.Errorf("the keys of certified workers have not moved to certified nodes")
	}
	return nil
}

// Revoke ends a certificate as keelstairctl does, until it is acknowledged.
func (b *AuditModel) Revoke(serial string) error {
	op, begun := coordination.NewID(), b.c.Recorder.Now()
	var err error
	b.c.WaitUntil(20*time.Second, func() bool {
		err = b.c.Post("/v1/certificates/"+serial, &api.MarkRequest{Op: op, Out: true}, nil)
		return err == nil
	})
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.c.Recorder.Now()
	b.revoke = append(b.revoke, now-begun)
	if g, ok := b.spans[serial]; ok && g.until > now {
		g.until = now
		b.spans[serial] = g
	}
	return nil
}

// cleared tells whether a worker may be at governed work at a time.
func (b *AuditModel) cleared(w ids.WorkerID, at time.Duration) bool {
	for serial, g := range b.spans {
		if b.certs[serial].Worker == w && at >= g.from && at <= g.until+grace {
			return true
		}
	}
	return false
}

// Check holds the workers' books against the certificates: no order for governed work,
// and no run of it, at a worker that was not certified then.
func (b *AuditModel) Check(all []standin.Outcome) []Violation {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range all {
		if o.Kind == "verdict" {
			b.work[router.RequestIDForKey(o.Kind+"/"+o.Key)] = "chair"
		}
	}
	b.c.Recorder.mu.Lock()
	defer b.c.Recorder.mu.Unlock()
	f := &violationList{}
	begun, staged := map[string]RecordedEvent{}, map[string]RecordedEvent{}
	for _, e := range b.c.Recorder.events {
		if b.work[e.ID.Request] == "" {
			continue
		}
		run := fmt.Sprint(e.Worker, e.ID)
		switch e.Kind {
		case "prefill", "import", "export", "resume", "resumed", "record":
			if !b.cleared(e.Worker, e.When) {
				f.add(Uncertified, "%s had %s of %s at %s", e.Worker, e.Kind, e.ID.Request, e.When)
			}
		}
		switch e.Kind {
		case "prefill", "import":
			begun[run] = e
		case "export", "cancel", "record", "lost", "bounced", "orphan-run", "orphan-import":
			if previous, ok := begun[run]; ok && !b.cleared(e.Worker, e.When) {
				f.add(
					Uncertified,
					"%s still held %s, begun at %s, at %s",
					e.Worker,
					e.ID.Request,
					previous.When,
					e.When,
				)
			}
			delete(begun, run)
		}
		switch e.Kind {
		case "export":
			staged[run] = e
		case "unstaged":
			if !b.cleared(e.Worker, e.When) {
				f.add(Uncertified, "%s had %s staged until %s", e.Worker, e.ID.Request, e.When)
			}
			if previous, ok := staged[run]; ok {
				b.stays = append(b.stays, e.When-previous.When)
			}
		}
	}
	return f.found
}

// governed counts the requests that were found to be so.
func (b *AuditModel) governed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.work)
}

// serves lists the workers at which a request had governed steps.
func (b *AuditModel) serves(stage handoff.Step) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, e := range b.steps {
		if e.Step == stage {
			out = append(out, string(e.Worker))
		}
	}
	return out
}

func upTo(sort string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, sort+fmt.Sprint(i+1))
	}
	return out
}

// usual certifies three of each part and four of the nodes.
func (b *AuditModel) usual() { b.certify(append(upTo("p", 3), upTo("d", 3)...), upTo("router-", 4)) }

func holds(b *Process) []ids.Key { return b.Node.Status().(*router.NodeStatus).OwnedKeys }
