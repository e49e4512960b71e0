// The certificate commands: issuer keys, signing, revocation, and the list of certified workers and nodes.

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
	File   string `arg:"positional,required" help:"the key file; created if it does not exist"`
	Issuer string `arg:"--issuer,required" help:"the issuer's name in the configuration"`
	From   string `arg:"--from" help:"start of the issuer's validity period (RFC 3339); default: an hour ago"`
	Days   int    `arg:"--days" default:"365"`
}

type certifyCmd struct {
	KeyFile string   `arg:"--key,required" help:"the issuer's key file"`
	Issuer  string   `arg:"--issuer,required" help:"the issuer's name in the configuration"`
	Regime  string   `arg:"--regime,required"`
	Workers []string `arg:"--worker" help:"worker ids; one certificate is issued for each"`
	Nodes   []string `arg:"--node" help:"names of router nodes; one certificate is issued for each"`
	Roles   []string `arg:"--parts" help:"roles of the workers: prefill, decode or both; default: both"`
	From    string   `arg:"--from" help:"start of validity (RFC 3339); default: an hour ago"`
	Until   string   `arg:"--until" help:"end of validity (RFC 3339); default: --days after the start"`
	Days    int      `arg:"--days" default:"30"`
	Apply   bool     `arg:"--apply" help:"add the certificates to the active configuration instead of printing them"`
	Op      string   `arg:"--op" help:"id of an earlier operation, to retry it or to get its outcome"`
}

// parseTime parses an RFC 3339 time. For an empty text it returns fallback in UTC, truncated to seconds.
func parseTime(field, text string, fallback time.Time) (time.Time, error) {
	if text == "" {
		return fallback.UTC().Truncate(time.Second), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, settings.InvalidField(field, "%q is not an RFC 3339 time such as 2026-12-31T00:00:00Z", text)
	}
	return t, nil
}

// printIssuer prints the partial configuration that adds the issuer. It creates the key file if it does not
// exist.
func (o *options) printIssuer(c *keyCmd) error {
	from, err := parseTime("from", c.From, time.Now().Add(-time.Hour))
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
	privateKey, err := certification.ParsePrivateKey(text)
	if err != nil {
		return err
	}
	return printJSON(map[string]any{"issuers": map[string]certification.Issuer{c.Issuer: {
		Key:   certification.EncodePublicKey(privateKey),
		From:  from.Format(time.RFC3339),
		Until: from.AddDate(0, 0, c.Days).Format(time.RFC3339),
	}}})
}

// sign signs one certificate for each worker and node of the command. It returns the certificates by serial.
func (c *certifyCmd) sign(now time.Time) (map[string]certification.Certificate, error) {
	text, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return nil, err
	}
	privateKey, err := certification.ParsePrivateKey(text)
	if err != nil {
		return nil, err
	}
	from, err := parseTime("from", c.From, now.Add(-time.Hour))
	if err != nil {
		return nil, err
	}
	until, err := parseTime("until", c.Until, from.AddDate(0, 0, c.Days))
	if err != nil {
		return nil, err
	}
	roles := []ids.Role{ids.Prefill, ids.Decode}
	if len(c.Roles) > 0 {
		roles = nil
	}
	for _, role := range c.Roles {
		if role != string(ids.Prefill) && role != string(ids.Decode) {
			return nil, settings.InvalidField("parts", "%q is neither prefill nor decode", role)
		}
		roles = append(roles, ids.Role(role))
	}
	switch {
	case len(c.Workers)+len(c.Nodes) == 0:
		return nil, settings.InvalidField("worker, node", "at least one is required")
	case !from.Before(until):
		return nil, settings.InvalidField(
			"until",
			"the end %s is not after the start %s",
			until.Format(time.RFC3339),
			from.Format(time.RFC3339),
		)
	case !now.Before(until):
		return nil, settings.InvalidField("until", "the end %s is in the past", until.Format(time.RFC3339))
	}
	signed := map[string]certification.Certificate{}
	add := func(certificate certification.Certificate) {
		certificate.Serial, certificate.Regime, certificate.Issuer = coordination.NewID(), c.Regime, c.Issuer
		certificate.From, certificate.Until = from.Format(time.RFC3339), until.Format(time.RFC3339)
		certificate.Sign(privateKey)
		signed[certificate.Serial] = certificate
	}
	for _, w := range c.Workers {
		add(certification.Certificate{Worker: ids.WorkerID(w), Roles: roles})
	}
	for _, n := range c.Nodes {
		add(certification.Certificate{Node: n})
	}
	return signed, nil
}

func (o *options) certify(c *certifyCmd) error {
	certificates, err := c.sign(time.Now())
	if err != nil {
		return err
	}
	partialConfiguration := map[string]any{"certificates": certificates}
	if !c.Apply {
		return printJSON(partialConfiguration)
	}
	text, err := json.MarshalIndent(partialConfiguration, "", "  ")
	if err != nil {
		return err
	}
	for serial, certificate := range certificates {
		fmt.Printf("serial %s: %s\n", serial, certificate.Subject())
	}
	return o.applySource(&applyCmd{Partial: true, Op: c.Op}, "certify", string(text))
}

func (o *options) revoke(c *nameCmd) error {
	request := api.MarkRequest{Op: c.Op, Out: true} // Out revokes the certificate
	if request.Op == "" {
		request.Op = coordination.NewID()
	}
	fmt.Printf("operation %s\n", request.Op)
	if err := o.request(http.MethodPost, "/v1/certificates/"+c.Name, request, nil); err != nil {
		return err
	}
	fmt.Println("the revocation is active at all nodes")
	return nil
}

func formatTime(ns int64) string { return time.Unix(0, ns).UTC().Format(time.RFC3339) }

func (o *options) printRegimes() error {
	var response api.Regimes
	if err := o.request(http.MethodGet, "/v1/regimes", nil, &response); err != nil {
		return err
	}
	if response.Latest == 0 {
		fmt.Println("this node does not know the fleet's time: it recognizes no certificate")
	} else {
		fmt.Printf(
			"the fleet's time is %s; this node's own clock differs by %.1f s\n",
			formatTime(response.Latest),
			math.Abs(float64(response.Wall-response.Latest))/1e9,
		)
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, regime := range response.Regimes {
		fmt.Fprintf(
			out,
			"\nregime %s applies to requests of the kinds %s and reserves %d%% of the cache blocks\n",
			regime.Name,
			strings.Join(regime.Kinds, ", "),
			regime.ReservedPercent,
		)
		for _, certificate := range regime.Certificates {
			subject := certificate.Subject().String()
			for _, role := range certificate.Roles {
				subject += " " + string(role)
			}
			fmt.Fprintf(
				out,
				"  %s\t%s\tuntil %s\t%s\tby %s\n",
				certificate.Serial,
				subject,
				formatTime(certificate.Ends),
				certificate.State,
				certificate.Issuer,
			)
		}
		for _, shortage := range regime.Shortages {
			fmt.Fprintf(out, "  shortage: no certified %s\n", shortage)
		}
	}
	return out.Flush()
}
