// What keelstairctl does with certificates: keys, signing, revoking, and who is certified.

package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/settings"
)

type keyCmd struct {
	File   string `arg:"positional,required" help:"the key file to write, or one that is there already"`
	Issuer string `arg:"--issuer,required" help:"the issuer's name"`
	From   string `arg:"--from" help:"RFC 3339; else now"`
	Days   int    `arg:"--days" default:"365"`
}

type certifyCmd struct {
	Key    string   `arg:"--key,required" help:"the issuer's key file"`
	Issuer string   `arg:"--issuer,required" help:"the issuer's name in the configuration"`
	Regime string   `arg:"--regime,required"`
	Worker []string `arg:"--worker" help:"workers, each with a certificate of its own"`
	Node   []string `arg:"--node" help:"router nodes by name"`
	Roles  []string `arg:"--parts" help:"of workers: prefill, decode or both, which is the default"`
	From   string   `arg:"--from" help:"RFC 3339; else an hour ago"`
	Until  string   `arg:"--until" help:"RFC 3339; else --days from the start"`
	Days   int      `arg:"--days" default:"30"`
	Apply  bool     `arg:"--apply" help:"apply it to the configuration in force; else the part is printed"`
	Op     string   `arg:"--op" help:"ask again for the outcome of this operation"`
}

// start reads a time, or gives one that was left out.
func start(field, text string, other time.Time) (time.Time, error) {
	if text == "" {
		return other.UTC().Truncate(time.Second), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, settings.Invalid(field, "%q is no time such as 2026-12-31T00:00:00Z", text)
	}
	return t, nil
}

// key writes a fresh key file, unless one is there, and prints the issuer's part.
func (s *options) key(c *keyCmd) error {
	from, err := start("from", c.From, time.Now().Add(-time.Hour))
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.File)
	if os.IsNotExist(err) {
		if _, text, err = certification.NewKey(); err == nil {
			err = os.WriteFile(c.File, text, 0o600)
		}
	}
	if err != nil {
		return err
	}
	private, err := certification.ParsePrivateKey(text)
	if err != nil {
		return err
	}
	return print(map[string]any{"issuers": map[string]certification.Issuer{c.Issuer: {
		Key:   certification.EncodePublicKey(private),
		From:  from.Format(time.RFC3339),
		Until: from.AddDate(0, 0, c.Days).Format(time.RFC3339),
	}}})
}

// signed makes the certificates that a command asks for.
func (c *certifyCmd) signed(now time.Time) (map[string]certification.Certificate, error) {
	text, err := os.ReadFile(c.Key)
	if err != nil {
		return nil, err
	}
	private, err := certification.ParsePrivateKey(text)
	if err != nil {
		return nil, err
	}
	from, err := start("from", c.From, now.Add(-time.Hour))
	if err != nil {
		return nil, err
	}
	until, err := start("until", c.Until, from.AddDate(0, 0, c.Days))
	if err != nil {
		return nil, err
	}
	parts := []ids.Role{ids.Prefill, ids.Decode}
	if len(c.Roles) > 0 {
		parts = nil
	}
	for _, p := range c.Roles {
		if p != string(ids.Prefill) && p != string(ids.Decode) {
			return nil, settings.Invalid("parts", "%q is neither prefill nor decode", p)
		}
		parts = append(parts, ids.Role(p))
	}
	switch {
	case len(c.Worker)+len(c.Node) == 0:
		return nil, settings.Invalid("worker, node", "at least one is needed")
	case !from.Before(until):
		return nil, settings.Invalid(
			"until",
			"the end %s is not after the start %s",
			until.Format(time.RFC3339),
			from.Format(time.RFC3339),
		)
	case !now.Before(until):
		return nil, settings.Invalid("until", "the end %s is past", until.Format(time.RFC3339))
	}
	out := map[string]certification.Certificate{}
	put := func(one certification.Certificate) {
		one.Serial, one.Regime, one.Issuer = coordination.NewID(), c.Regime, c.Issuer
		one.From, one.Until = from.Format(time.RFC3339), until.Format(time.RFC3339)
		one.Sign(private)
		out[one.Serial] = one
	}
	for _, w := range c.Worker {
		put(certification.Certificate{Worker: ids.WorkerID(w), Roles: parts})
	}
	for _, n := range c.Node {
		put(certification.Certificate{Node: n})
	}
	return out, nil
}

func (s *options) certify(c *certifyCmd) error {
	certs, err := c.signed(time.Now())
	if err != nil {
		return err
	}
	part := map[string]any{"certificates": certs}
	if !c.Apply {
		return print(part)
	}
	text, err := json.MarshalIndent(part, "", "  ")
	if err != nil {
		return err
	}
	for serial, one := range certs {
		fmt.Printf("serial %s: %s\n", serial, one.Subject())
	}
	return s.put(&applyCmd{Partial: true, Op: c.Op}, "certify", string(text))
}

func (s *options) revoke(c *nameCmd) error {
	m := api.MarkRequest{Op: c.Op, Out: true}
	if m.Op == "" {
		m.Op = coordination.NewID()
	}
	fmt.Printf("operation %s\n", m.Op)
	if err := s.ask(http.MethodPost, "/v1/certificates/"+c.Name, m, nil); err != nil {
		return err
	}
	fmt.Println("it is in force everywhere")
	return nil
}

func day(ns int64) string { return time.Unix(0, ns).UTC().Format(time.RFC3339) }

func (s *options) regimes() error {
	var g api.Regimes
	if err := s.ask(http.MethodGet, "/v1/regimes", nil, &g); err != nil {
		return err
	}
	if g.Latest == 0 {
		fmt.Println("the fleet's time is not known at this node: it clears nobody")
	} else {
		fmt.Printf(
			"the fleet's time is %s; this node's own clock differs by %.1f s\n",
			day(g.Latest),
			math.Abs(float64(g.Wall-g.Latest))/1e9,
		)
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, one := range g.Regimes {
		fmt.Fprintf(out, "\n%s governs %s, keeps %d%% free\n", one.Name, strings.Join(one.Kinds, ", "), one.ReservedPercent)
		for _, r := range one.Certificates {
			who := r.Subject().String()
			for _, p := range r.Roles {
				who += " " + string(p)
			}
			fmt.Fprintf(out, "  %s\t%s\tuntil %s\t%s\tby %s\n", r.Serial, who, day(r.Ends), r.State, r.Issuer)
		}
		for _, short := range one.Shortages {
			fmt.Fprintf(out, "  short: no certified %s\n", short)
		}
	}
	return out.Flush()
}
