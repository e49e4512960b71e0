// A regime for a fleet of real processes. A regime restricts some kinds of requests, called governed requests,
// to certified nodes and workers. Here these are the kinds that require an idempotency key, and all nodes and
// workers are certified except the last node and the last worker of each role. The workers' own counters show
// whether an uncertified worker ran governed requests.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/cli"
	"keelstair.example/internal/standin"
)

const regimeName = "chair"

// certify signs certificates for the fleet, applies them with the regime as a partial configuration, and
// waits until every node recognizes all certified workers.
func (f *fleet) certify(ctx context.Context) error {
	key, text, err := certification.NewKey()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.opt.Dir, "issuer.pem"), text, 0o600); err != nil {
		return err
	}
	from := time.Now().Add(-time.Hour).UTC().Format(time.RFC3339)
	until := time.Now().AddDate(0, 1, 0).UTC().Format(time.RFC3339)
	certs := map[string]certification.Certificate{}
	addSigned := func(c certification.Certificate, name string) {
		c.Serial, c.Regime, c.Issuer, c.From, c.Until = "c-"+name, regimeName, "k1", from, until
		c.Sign(key)
		certs[c.Serial] = c
	}
	for i, id := range f.site.WorkerIDs() {
		if i != f.site.PrefillWorkers-1 && i != f.site.PrefillWorkers+f.site.DecodeWorkers-1 {
			addSigned(certification.Certificate{Worker: id, Roles: []ids.Role{f.site.Worker(i).Role}}, string(id))
		}
	}
	for i := range f.site.Nodes - 1 {
		addSigned(certification.Certificate{Node: fmt.Sprintf("router-%d", i+1)}, fmt.Sprintf("router-%d", i+1))
	}
	var kinds []string
	for _, class := range f.site.Classes {
		if class.KeyRequired {
			kinds = append(kinds, class.Kind)
		}
	}
	source, err := json.Marshal(map[string]any{
		"switch":       false,
		"certificates": certs,
		"regimes":      map[string]any{regimeName: certification.Regime{Kinds: kinds, ReservedPercent: 20}},
		"issuers": map[string]any{"k1": certification.Issuer{
			Key:   certification.EncodePublicKey(key),
			From:  from,
			Until: until,
		}},
	})
	if err != nil {
		return err
	}
	if err := f.applyPartial(ctx, "regimes", string(source)); err != nil {
		return err
	}
	if err := f.awaitCertified(ctx); err != nil {
		return err
	}
	logf(
		"%d certificates are active; regime %s applies to requests of the kinds %s",
		len(certs),
		regimeName,
		strings.Join(kinds, ", "),
	)
	return nil
}

// awaitCertified waits until every node knows the fleet's time, against which certificates are checked, and
// reports no shortage of certified workers or nodes.
func (f *fleet) awaitCertified(ctx context.Context) error {
	for _, frontend := range f.frontends() {
		if err := f.retry(ctx, 10*time.Second, func() error {
			var regimes api.Regimes
			err := cli.Request([]string{frontend}, http.MethodGet, "/v1/regimes", nil, &regimes)
			if err == nil && (regimes.Latest == 0 || len(regimes.Regimes) == 0 || len(regimes.Regimes[0].Shortages) > 0) {
				err = fmt.Errorf("%s does not yet recognize all certified workers", frontend)
			}
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

// governedStarts returns the number of governed steps that each worker has started: prefills and runs of
// requests with an idempotency key, which are recognized by the prefix of their request ids.
func (f *fleet) governedStarts() map[string]int {
	out := map[string]int{}
	for _, p := range f.processes("worker-") {
		var counts map[string]standin.RequestCounts
		r, err := httpClient.Get("http://" + p.Addr + "/tally")
		if decodeResponse(r, err, &counts) != nil {
			continue
		}
		name := strings.TrimPrefix(p.Name, "worker-")
		out[name] += 0
		for id, t := range counts {
			if strings.HasPrefix(id, "k-") {
				out[name] += t.Prefills + t.Runs
			}
		}
	}
	return out
}

// revokeCertificates revokes three certificates in sequence, the second while the primary controller is
// killed. Two seconds after each acknowledgement it records how many governed steps the worker has
// started. reportUncertified counts those that the worker starts later.
func (f *fleet) revokeCertificates(ctx context.Context) {
	for i, name := range []string{"d1", "p1", "d2"} {
		if i == 1 {
			primary := f.primaryController()
			go func() {
				primary.kill()
				if host.Sleep(ctx, 2*time.Second) {
					f.startProcess(primary)
				}
			}()
		}
		started, op := time.Now(), coordination.NewID()
		err := f.retry(ctx, 20*time.Second, func() error {
			return cli.Request(f.frontends(), http.MethodPost, "/v1/certificates/c-"+name, api.MarkRequest{
				Op:  op,
				Out: true,
			}, nil)
		})
		took := time.Since(started)
		if err != nil {
			logf("the certificate of %s was not revoked: %v", name, err)
			return
		}
		if !host.Sleep(ctx, 2*time.Second) {
			return
		}
		count := f.governedStarts()[name]
		f.mu.Lock()
		f.allowedStarts[name] = count
		f.mu.Unlock()
		logf("the certificate of %s is revoked, acknowledged after %.3f s", name, took.Seconds())
	}
}

// reportUncertified logs how many governed steps workers started without a valid certificate. Steps within 2 s
// of the acknowledged revocation are not counted.
func (f *fleet) reportUncertified() {
	if !f.opt.Regimes {
		return
	}
	workerIDs := f.site.WorkerIDs()
	f.allowedStarts[string(workerIDs[f.site.PrefillWorkers-1])], f.allowedStarts[string(workerIDs[len(workerIDs)-1])] = 0, 0
	total, uncertified := 0, 0
	for name, n := range f.governedStarts() {
		total += n
		if allowed, ok := f.allowedStarts[name]; ok && n > allowed {
			uncertified += n - allowed
			logf("WRONG: %s started %d governed steps without a certificate", name, n-allowed)
		}
	}
	logf("worker counters: %d governed steps, %d on workers without a certificate", total, uncertified)
}
