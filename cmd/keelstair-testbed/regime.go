// A regime over a fleet of real processes: the kinds with claims are governed, and all
// but the last worker of each part and the last node are certified. What workers count
// themselves tells whether governed work was at any other.

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

const regime = "chair"

// certify signs for the fleet, applies the part, and waits until every node clears all.
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
	put := func(c certification.Certificate, name string) {
		c.Serial, c.Regime, c.Issuer, c.From, c.Until = "c-"+name, regime, "k1", from, until
		c.Sign(key)
		certs[c.Serial] = c
	}
	for i, id := range f.site.WorkerIDs() {
		if i != f.site.PrefillWorkers-1 && i != f.site.PrefillWorkers+f.site.DecodeWorkers-1 {
			put(certification.Certificate{Worker: id, Roles: []ids.Role{f.site.Worker(i).Role}}, string(id))
		}
	}
	for i := range f.site.Nodes - 1 {
		put(certification.Certificate{Node: fmt.Sprintf("router-%d", i+1)}, fmt.Sprintf("router-%d", i+1))
	}
	var kinds []string
	for _, sh := range f.site.Classes {
		if sh.KeyRequired {
			kinds = append(kinds, sh.Kind)
		}
	}
	part, err := json.Marshal(map[string]any{
		"switch":       false,
		"certificates": certs,
		"regimes":      map[string]any{regime: certification.Regime{Kinds: kinds, ReservedPercent: 20}},
		"issuers": map[string]any{"k1": certification.Issuer{
			Key:   certification.EncodePublicKey(key),
			From:  from,
			Until: until,
		}},
	})
	if err != nil {
		return err
	}
	if err := f.change(ctx, "regimes", string(part)); err != nil {
		return err
	}
	if err := f.awaitCertified(ctx); err != nil {
		return err
	}
	logf("%d certificates are in force; %s governs %s", len(certs), regime, strings.Join(kinds, ", "))
	return nil
}

// awaitCertified waits until every node clears all certified workers.
func (f *fleet) awaitCertified(ctx context.Context) error {
	for _, d := range f.doors() {
		if err := f.until(ctx, 10*time.Second, func() error {
			var g api.Regimes
			err := cli.Ask([]string{d}, http.MethodGet, "/v1/regimes", nil, &g)
			if err == nil && (g.Latest == 0 || len(g.Regimes) == 0 || len(g.Regimes[0].Shortages) > 0) {
				err = fmt.Errorf("%s does not clear all yet", d)
			}
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

// governed counts what each worker has begun of governed work: reads and runs under a
// key, whose requests are named by it.
func (f *fleet) governed() map[string]int {
	out := map[string]int{}
	for _, p := range f.of("worker-") {
		var book map[string]standin.RequestCounts
		r, err := web.Get("http://" + p.Addr + "/tally")
		if read(r, err, &book) != nil {
			continue
		}
		name := strings.TrimPrefix(p.Name, "worker-")
		out[name] += 0
		for id, t := range book {
			if strings.HasPrefix(id, "k-") {
				out[name] += t.Prefills + t.Runs
			}
		}
	}
	return out
}

// revoke ends certificates one after the other, the second while the leader dies, and
// looks for what their workers still begin two seconds after the acknowledgement.
func (f *fleet) revoke(ctx context.Context) {
	for i, name := range []string{"d1", "p1", "d2"} {
		if i == 1 {
			lead := f.leadingController()
			go func() {
				lead.kill()
				if host.Sleep(ctx, 2*time.Second) {
					f.begin(lead)
				}
			}()
		}
		begun, op := time.Now(), coordination.NewID()
		err := f.until(ctx, 20*time.Second, func() error {
			return cli.Ask(f.doors(), http.MethodPost, "/v1/certificates/c-"+name, api.MarkRequest{
				Op:  op,
				Out: true,
			}, nil)
		})
		took := time.Since(begun)
		if err != nil {
			logf("%s was not revoked: %v", name, err)
			return
		}
		if !host.Sleep(ctx, 2*time.Second) {
			return
		}
		had := f.governed()[name]
		f.mu.Lock()
		f.revoked[name] = had
		f.mu.Unlock()
		logf("the certificate of %s is revoked, acknowledged after %.3f s", name, took.Seconds())
	}
}

// hold tells what workers began of governed work that they were not certified for.
func (f *fleet) hold() {
	if !f.opt.Regimes {
		return
	}
	names := f.site.WorkerIDs()
	f.revoked[string(names[f.site.PrefillWorkers-1])], f.revoked[string(names[len(names)-1])] = 0, 0
	all, wrong := 0, 0
	for name, n := range f.governed() {
		all += n
		if was, ok := f.revoked[name]; ok && n > was {
			wrong += n - was
			logf("WRONG: %s began %d governed steps without a certificate", name, n-was)
		}
	}
	logf("workers' own books: %d governed steps, %d on workers without a certificate", all, wrong)
}
