// The certification model issues and revokes a fleet's certificates. A regime is a rule that certain kinds of
// requests, called governed, are processed only by routers and workers that have a valid certificate for it.
// After a run, the model checks the events that the workers recorded: only certified workers may have
// processed governed requests.

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

// Uncertified is the rule that governed requests are processed by certified workers only.
const Uncertified = "governed request on an uncertified worker"

// certificateGrace is how long a worker may still process governed requests after the revocation of its
// certificate was acknowledged or the certificate expired.
const certificateGrace = 2 * time.Second

// governedSite is a site with governed kinds of requests, with and without idempotency keys, and with more
// routers and workers than the load needs.
var governedSite = standin.Site{
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

// validPeriod is the time in which a worker's certificate is valid, on the recorder's clock.
type validPeriod struct{ from, until time.Duration }

// CertificationModel signs the certificates of one regime, which governs the request kinds verdict and speech,
// and checks that workers process governed requests only while they are certified.
type CertificationModel struct {
	cluster         *Cluster
	key             ed25519.PrivateKey
	issuer          certification.Issuer
	mu              sync.Mutex
	certs           map[string]certification.Certificate
	validPeriods    map[string]validPeriod // by serial
	requestRegimes  map[string]string      // the regime of each request that requires a certified worker, by request id
	handoffEvents   []handoff.Event        // of governed requests
	revocationTimes []time.Duration        // how long each revocation took
	stagingTimes    []time.Duration        // how long exported KV cache stayed staged
	reservedPercent int                    // capacity that the regime reserves on its workers
}

// NewCertificationModel creates a model. Its configure method must be passed to Build, since the model traces the
// handoffs from prefill to decode workers from the start.
func NewCertificationModel() *CertificationModel {
	key, _, err := certification.NewKey()
	if err != nil {
		panic(err)
	}
	return &CertificationModel{
		key:             key,
		reservedPercent: 20,
		certs:           map[string]certification.Certificate{},
		validPeriods:    map[string]validPeriod{},
		requestRegimes:  map[string]string{},
	}
}

// configure connects the model to a fleet.
func (m *CertificationModel) configure(c *Cluster) {
	m.cluster, c.FixedRoles = c, true
	// KV cache that is never fetched stays staged no longer than an orphaned run lasts.
	c.TuneWorker = func(o *standin.WorkerOptions) { o.StagingTTL = 2 * time.Second }
	now := time.Now().UTC()
	m.issuer = certification.Issuer{
		Key:   certification.EncodePublicKey(m.key),
		From:  now.AddDate(0, 0, -1).Format(time.RFC3339),
		Until: now.AddDate(1, 0, 0).Format(time.RFC3339),
	}
	c.OnHandoffEvent = func(e handoff.Event) {
		if e.Regime != "" {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.requestRegimes[e.ID.Request] = e.Regime
			m.handoffEvents = append(m.handoffEvents, e)
		}
	}
}

// sign issues a certificate that has been valid for an hour and expires after the given lifetime.
func (m *CertificationModel) sign(serial string, certificate certification.Certificate, lifetime time.Duration) certification.Certificate {
	now := time.Now().UTC()
	certificate.Serial, certificate.Regime, certificate.Issuer = serial, "chair", "k1"
	certificate.From, certificate.Until = now.Add(-time.Hour).Format(time.RFC3339), now.Add(lifetime).Format(time.RFC3339)
	certificate.Sign(m.key)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.certs[serial] = certificate
	if certificate.Worker != "" {
		end, _ := time.Parse(time.RFC3339, certificate.Until)
		m.validPeriods[serial] = validPeriod{m.cluster.Recorder.Now(), m.cluster.Recorder.Now() + end.Sub(now)}
	}
	return certificate
}

// certify issues a certificate for one day to each worker and router. The serial is "c-" followed by the name.
func (m *CertificationModel) certify(workers, routers []string) {
	for _, w := range workers {
		role := ids.Prefill
		if w[0] == 'd' {
			role = ids.Decode
		}
		m.sign("c-"+w, certification.Certificate{Worker: ids.WorkerID(w), Roles: []ids.Role{role}}, 24*time.Hour)
	}
	for _, n := range routers {
		m.sign("c-"+n, certification.Certificate{Node: n}, 24*time.Hour)
	}
}

// partialConfig returns a partial configuration with the issuer, the regime and all certificates issued so far.
func (m *CertificationModel) partialConfig() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return marshalPartial(map[string]any{
		"issuers":      map[string]any{"k1": m.issuer},
		"certificates": maps.Clone(m.certs),
		"regimes":      map[string]any{"chair": map[string]any{"kinds": []string{"verdict", "speech"}, "keep": m.reservedPercent}},
	})
}

// ApplyRegimes applies the partial configuration and waits until, on every running router, the regime is in
// force and has enough certified workers and routers.
func (m *CertificationModel) ApplyRegimes() error {
	if err := applyPartial(m.cluster, "regimes", m.partialConfig()); err != nil {
		return err
	}
	if !m.cluster.WaitUntil(10*time.Second, func() bool {
		for _, p := range running(m.cluster, "router") {
			if status := p.Node.Regimes(); status.Latest == 0 || len(status.Regimes) == 0 || len(status.Regimes[0].Shortages) > 0 {
				return false
			}
		}
		return true
	}) {
		return fmt.Errorf("the regimes did not come into force within 10 seconds")
	}
	return nil
}

// WaitForOwners waits until certified routers own the ownership keys of all certified workers and every router
// lists these workers as ready. When the regimes come into force, routers without a certificate give up such
// keys. Until the new owners have taken over the workers, governed requests are refused with a retry delay.
// The condition must hold for a second, because up to then routers may still list the last report of the
// previous owner.
func (m *CertificationModel) WaitForOwners() error {
	m.mu.Lock()
	var workers []ids.WorkerID
	var routers []string
	for _, certificate := range m.certs {
		if certificate.Worker != "" {
			workers = append(workers, certificate.Worker)
		} else {
			routers = append(routers, certificate.Node)
		}
	}
	m.mu.Unlock()
	since := time.Now()
	if !m.cluster.WaitUntil(10*time.Second, func() bool {
		if !listedAsReady(m.cluster, workers) || !ownedBy(m.cluster, routers, workers) {
			since = time.Now()
		}
		return time.Since(since) >= time.Second
	}) {
		return fmt.Errorf("certified routers did not take over the keys of all certified workers within 10 seconds")
	}
	return nil
}

// listedAsReady reports whether every running router lists all the workers as ready.
func listedAsReady(c *Cluster, workers []ids.WorkerID) bool {
	for _, p := range running(c, "router") {
		ready := map[ids.WorkerID]bool{}
		for _, w := range p.Node.Status().(*router.NodeStatus).Workers {
			ready[w.ID] = w.Ready
		}
		if slices.ContainsFunc(workers, func(w ids.WorkerID) bool { return !ready[w] }) {
			return false
		}
	}
	return true
}

// ownedBy reports whether the named routers own the ownership keys of all the workers.
func ownedBy(c *Cluster, routers []string, workers []ids.WorkerID) bool {
	var owned []ids.Key
	for _, p := range running(c, "router") {
		if slices.Contains(routers, p.Name) {
			owned = append(owned, ownedKeys(p)...)
		}
	}
	return !slices.ContainsFunc(workers, func(w ids.WorkerID) bool {
		return !slices.Contains(owned, fleetstate.WorkerKey(w))
	})
}

// Revoke revokes a certificate as keelstairctl does. It retries until the revocation is acknowledged.
func (m *CertificationModel) Revoke(serial string) error {
	op, start := coordination.NewID(), m.cluster.Recorder.Now()
	var err error
	m.cluster.WaitUntil(20*time.Second, func() bool {
		err = m.cluster.Post("/v1/certificates/"+serial, &api.MarkRequest{Op: op, Out: true}, nil)
		return err == nil
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cluster.Recorder.Now()
	m.revocationTimes = append(m.revocationTimes, now-start)
	if period, ok := m.validPeriods[serial]; ok && period.until > now {
		period.until = now
		m.validPeriods[serial] = period
	}
	return nil
}

// isCertified reports whether a worker may process governed requests at the given time, which includes the
// grace period.
func (m *CertificationModel) isCertified(w ids.WorkerID, at time.Duration) bool {
	for serial, period := range m.validPeriods {
		if m.certs[serial].Worker == w && at >= period.from && at <= period.until+certificateGrace {
			return true
		}
	}
	return false
}

// Check compares the events that the workers recorded with the certificates. It returns a violation for each
// step, run or staged KV cache of a request that requires a certified worker, if the worker had no valid
// certificate at the time, nor one that became invalid at most certificateGrace earlier. It also collects
// how long exported KV cache stayed staged.
func (m *CertificationModel) Check(outcomes []standin.Outcome) []Violation {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range outcomes {
		if o.Kind == "verdict" {
			m.requestRegimes[router.RequestIDForKey(o.Kind+"/"+o.Key)] = "chair"
		}
	}
	m.cluster.Recorder.mu.Lock()
	defer m.cluster.Recorder.mu.Unlock()
	violations := &violationList{}
	started, staged := map[string]RecordedWorkerEvent{}, map[string]RecordedWorkerEvent{}
	for _, e := range m.cluster.Recorder.events {
		if m.requestRegimes[e.ID.Request] == "" {
			continue
		}
		run := fmt.Sprint(e.Worker, e.ID)
		switch e.Kind {
		case "prefill", "import", "export", "resume", "resumed", "record":
			if !m.isCertified(e.Worker, e.RecordedAt) {
				violations.add(Uncertified, "uncertified %s handled %s of %s at %s", e.Worker, e.Kind, e.ID.Request, e.RecordedAt)
			}
		}
		switch e.Kind {
		case "prefill", "import":
			started[run] = e
		case "export", "cancel", "record", "lost", "bounced", "orphan-run", "orphan-import":
			if previous, ok := started[run]; ok && !m.isCertified(e.Worker, e.RecordedAt) {
				violations.add(
					Uncertified,
					"uncertified %s still ran %s, started at %s, at %s",
					e.Worker,
					e.ID.Request,
					previous.RecordedAt,
					e.RecordedAt,
				)
			}
			delete(started, run)
		}
		switch e.Kind {
		case "export":
			staged[run] = e
		case "unstaged":
			if !m.isCertified(e.Worker, e.RecordedAt) {
				violations.add(Uncertified, "uncertified %s kept the KV cache of %s staged until %s", e.Worker, e.ID.Request, e.RecordedAt)
			}
			if previous, ok := staged[run]; ok {
				m.stagingTimes = append(m.stagingTimes, e.RecordedAt-previous.RecordedAt)
			}
		}
	}
	return violations.found
}

// countGoverned returns the number of governed requests seen so far.
func (m *CertificationModel) countGoverned() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.requestRegimes)
}

// workersWithStep returns the workers of all handoff events of governed requests with the given step, in order.
func (m *CertificationModel) workersWithStep(step handoff.Step) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, e := range m.handoffEvents {
		if e.Step == step {
			out = append(out, string(e.Worker))
		}
	}
	return out
}

// numbered returns the names made of the prefix and the numbers 1 to n.
func numbered(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, prefix+fmt.Sprint(i+1))
	}
	return out
}

// certifyAllButLast certifies three of the four workers of each role and four of the five routers. The workers
// p4 and d4 and the router router-5 remain without a certificate.
func (m *CertificationModel) certifyAllButLast() {
	m.certify(append(numbered("p", 3), numbered("d", 3)...), numbered("router-", 4))
}

func ownedKeys(p *Process) []ids.Key { return p.Node.Status().(*router.NodeStatus).OwnedKeys }
