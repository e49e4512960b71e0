// Scripts of failures and operator actions on a fleet with a regime in force, under which some kinds of
// requests, called governed, need certified routers and workers. The seed determines the targets, the delays
// and the load. The results are checked against the events that the workers recorded.

package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/standin"
	"keelstair.example/internal/workerclient"
)

// GovernedScript is a script of failures and operator actions for a fleet with governed requests.
type GovernedScript struct {
	Name string
	Run  func(c *Cluster, m *CertificationModel, r *rand.Rand) error
}

// randomCertifiedWorker returns one of the first three workers whose names have the prefix: p for prefill, d for
// decode. runGovernedScript certifies these workers.
func randomCertifiedWorker(c *Cluster, r *rand.Rand, prefix string) *Process {
	name := prefix + strconv.Itoa(1+r.IntN(3))
	for _, p := range c.ProcessesOf("worker") {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// GovernedScripts are failures, operator actions and clock changes under a load that includes governed requests.
var GovernedScripts = []GovernedScript{
	{"workers-crash", func(c *Cluster, m *CertificationModel, r *rand.Rand) error {
		for _, prefix := range []string{"d", "p"} {
			w := randomCertifiedWorker(c, r, prefix)
			c.Kill(w)
			time.Sleep(time.Duration(500+r.IntN(1500)) * time.Millisecond)
			if err := c.Start(w); err != nil {
				return err
			}
			time.Sleep(time.Second)
		}
		return nil
	}},
	{"workers-drained", func(c *Cluster, m *CertificationModel, r *rand.Rand) error {
		for i, prefix := range []string{"d", "p"} {
			w := randomCertifiedWorker(c, r, prefix)
			if err := c.SetDrained("/v1/workers/"+w.Name, fmt.Sprint("out", i), true); err != nil {
				return err
			}
			time.Sleep(time.Duration(1000+r.IntN(1500)) * time.Millisecond)
			if err := c.SetDrained("/v1/workers/"+w.Name, fmt.Sprint("back", i), false); err != nil {
				return err
			}
		}
		return nil
	}},
	{"workers-certified-under-load", func(c *Cluster, m *CertificationModel, r *rand.Rand) error {
		// The fourth prefill and decode workers and the fifth router, which have no certificates yet, are certified
		// under load.
		m.certify([]string{"p4", "d4"}, []string{"router-5"})
		return applyPartial(c, "join", marshalPartial(map[string]any{"certificates": m.certs}))
	}},
	{"zone-lost", func(c *Cluster, m *CertificationModel, r *rand.Rand) error {
		zone := pickOne(r, c.Site.Zones)
		var down []*Process
		for _, p := range c.Processes {
			if p.Zone == zone && p.Up {
				c.PowerOff(p)
				down = append(down, p)
			}
		}
		time.Sleep(6 * time.Second)
		var err error
		for _, p := range down {
			err = errors.Join(err, c.Start(p))
		}
		return err
	}},
	{"certificates-revoked-under-load", func(c *Cluster, m *CertificationModel, r *rand.Rand) error {
		for _, prefix := range []string{"d", "p"} {
			if err := m.Revoke("c-" + randomCertifiedWorker(c, r, prefix).Name); err != nil {
				return err
			}
			randomPause(r)
		}
		return m.Revoke("c-router-" + strconv.Itoa(1+r.IntN(4)))
	}},
	{"certificate-revoked-while-router-partitioned", func(c *Cluster, m *CertificationModel, r *rand.Rand) error {
		p := routerNamed(c, "router-"+strconv.Itoa(1+r.IntN(4)))
		peers := append(addresses(c.ProcessesOf("controller")...), addresses(c.ProcessesOf("router")...)...)
		c.World.Partition(addresses(p), peers, true)
		time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
		err := m.Revoke("c-" + randomCertifiedWorker(c, r, "d").Name)
		time.Sleep(time.Second)
		c.World.Partition(addresses(p), peers, false)
		return err
	}},
	{"certificates-expire-while-router-partitioned", func(c *Cluster, m *CertificationModel, r *rand.Rand) error {
		// Two workers get a second certificate that expires in 5 s, and then their first ones are revoked.
		for _, w := range []string{"d1", "p1"} {
			role := ids.Decode
			if w[0] == 'p' {
				role = ids.Prefill
			}
			m.sign("short-"+w, certification.Certificate{
				Worker: ids.WorkerID(w),
				Roles:  []ids.Role{role},
			}, 5*time.Second)
		}
		if err := applyPartial(c, "short", marshalPartial(map[string]any{"certificates": m.certs})); err != nil {
			return err
		}
		if err := errors.Join(m.Revoke("c-d1"), m.Revoke("c-p1")); err != nil {
			return err
		}
		p := routerNamed(c, "router-"+strconv.Itoa(1+r.IntN(4)))
		peers := append(addresses(c.ProcessesOf("controller")...), addresses(c.ProcessesOf("router")...)...)
		time.Sleep(time.Duration(1500+r.IntN(1000)) * time.Millisecond)
		c.World.Partition(addresses(p), peers, true)
		time.Sleep(5 * time.Second)
		c.World.Partition(addresses(p), peers, false)
		return nil
	}},
	{"leader-killed-during-revocation", func(c *Cluster, m *CertificationModel, r *rand.Rand) error {
		l := leader(c)
		done := make(chan error, 1)
		go func() { done <- m.Revoke("c-" + randomCertifiedWorker(c, r, "d").Name) }()
		time.Sleep(time.Duration(r.IntN(120)) * time.Millisecond)
		c.Kill(l)
		err := <-done
		time.Sleep(2 * time.Second)
		return errors.Join(err, c.Start(l))
	}},
	{"concurrent-revocations-and-certification", func(c *Cluster, m *CertificationModel, r *rand.Rand) error {
		var wg sync.WaitGroup
		errs := make([]error, 4)
		for i, serial := range []string{"c-d1", "c-d1", "c-p1", "c-router-1"} {
			wg.Go(func() {
				randomPause(r)
				errs[i] = m.Revoke(serial)
			})
		}
		m.certify([]string{"p4", "d4"}, nil)
		err := applyPartial(c, "race", marshalPartial(map[string]any{"certificates": m.certs}))
		wg.Wait()
		return errors.Join(append(errs, err)...)
	}},
	{"clocks-jump", func(c *Cluster, m *CertificationModel, r *rand.Rand) error {
		for range 3 {
			pickOne(
				r, append(c.ProcessesOf("router"), c.ProcessesOf("controller")...),
			).Machine.JumpClock(time.Duration(r.IntN(1000)) * time.Hour)
			time.Sleep(2 * time.Second)
		}
		return nil
	}},
}

// runGovernedScript runs one script under load. It requires that neither the CertificationModel nor the Recorder
// reports a violation, that all requests sent after the script complete, and that the hash chain of the audit
// log is intact.
func runGovernedScript(t *testing.T, s GovernedScript, seed uint64) {
	m := NewCertificationModel()
	c := Build(seed, governedSite, m.configure)
	defer c.Close()
	require.NoError(t, c.Bootstrap())
	m.certifyAllButLast()
	require.NoError(t, m.ApplyRegimes())
	done := make(chan error, 1)
	go func() {
		time.Sleep(2 * time.Second)
		done <- s.Run(c, m, rand.New(rand.NewPCG(seed, 7)))
	}()
	during := c.Load(25, 10*time.Second, seed)
	require.NoError(t, <-done)
	after := c.Load(25, 6*time.Second, seed+1000)
	time.Sleep(3 * time.Second)
	require.Empty(t, m.Check(append(during, after...)))
	require.Empty(t, c.Recorder.Check(append(during, after...)))
	sum := standin.Summarize(after)
	require.Equal(t, len(after), sum.Ends[api.EndComplete], "after the script: %+v", sum)
	readAuditRecords(t, c)
	t.Logf("%s seed %d: ends %v, details %v, revocation times %v", s.Name, seed, standin.Summarize(during).Ends, standin.Summarize(during).Details, m.revocationTimes)
}

// TestGovernedScripts runs every script in GovernedScripts with every seed. It checks that only certified workers
// process governed requests, that the Recorder reports no violation, that all requests sent after a script complete,
// and that the hash chain of the audit log is intact.
func TestGovernedScripts(t *testing.T) {
	skipUnderRace(t)
	for _, s := range GovernedScripts {
		for _, seed := range testSeeds() {
			t.Run(s.Name+"/"+strconv.Itoa(int(seed)), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runGovernedScript(t, s, seed) })
			})
		}
	}
}

// TestCertificationModelReportsViolations checks that work of a governed request on a worker without a valid
// certificate is reported, and that other work is not.
func TestCertificationModelReportsViolations(t *testing.T) {
	for name, test := range map[string]struct {
		events    []RecordedWorkerEvent
		violation bool
	}{
		"on a certified worker":                  {[]RecordedWorkerEvent{eventAt("prefill", "p1", 5), eventAt("export", "p1", 6)}, false},
		"never certified":                        {[]RecordedWorkerEvent{eventAt("import", "d9", 5)}, true},
		"before the certificate is valid":        {[]RecordedWorkerEvent{eventAt("prefill", "p1", 1)}, true},
		"within the grace period of two seconds": {[]RecordedWorkerEvent{eventAt("import", "p1", 11)}, false},
		"after the grace period":                 {[]RecordedWorkerEvent{eventAt("import", "p1", 13)}, true},
		"still running after the grace period":   {[]RecordedWorkerEvent{eventAt("import", "p1", 9), eventAt("cancel", "p1", 13)}, true},
		"ends within the grace period":           {[]RecordedWorkerEvent{eventAt("import", "p1", 9), eventAt("cancel", "p1", 11)}, false},
		"not governed": {
			[]RecordedWorkerEvent{{standin.Event{Kind: "import", Worker: "d9", ID: workerclient.ID{Request: "free"}}, time.Second}},
			false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewCertificationModel()
			m.cluster = &Cluster{Recorder: NewRecorder()}
			m.certs["s"] = certification.Certificate{Worker: "p1"}
			m.validPeriods["s"] = validPeriod{2 * time.Second, 10 * time.Second}
			m.requestRegimes["r"] = "chair"
			m.cluster.Recorder.events = test.events
			if got := m.Check(nil); test.violation {
				require.NotEmpty(t, got)
				require.Equal(t, Uncertified, got[0].Rule)
			} else {
				require.Empty(t, got)
			}
		})
	}
}

func eventAt(kind, worker string, seconds int) RecordedWorkerEvent {
	return RecordedWorkerEvent{
		standin.Event{Kind: kind, Worker: ids.WorkerID(worker), ID: workerclient.ID{Request: "r", Attempt: 1}},
		time.Duration(seconds) * time.Second,
	}
}
