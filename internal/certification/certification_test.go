// These tests check that valid certificates authorize their subject, and that each kind of invalid certificate
// is rejected with a one-line error.

package certification

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

var (
	day0      = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	bothRoles = []ids.Role{ids.Prefill, ids.Decode}
)

func dayString(n int) string    { return day0.AddDate(0, 0, n).Format(time.RFC3339) }
func exactDay(n int) TimeBounds { return ExactTime(day0.AddDate(0, 0, n)) }

type authority struct {
	regimes map[string]Regime
	issuers map[string]Issuer
	certs   map[string]Certificate
	sign    map[string]func(*Certificate)
}

// newAuthority returns a configuration with two issuers, whose validity periods overlap by ten days, and a
// certificate each for a worker and a node.
func newAuthority(t *testing.T) *authority {
	a := &authority{regimes: map[string]Regime{"chair": {Kinds: []string{"verdict"}, ReservedPercent: 20}, "fines": {Kinds: []string{"ruling"}}},
		issuers: map[string]Issuer{}, certs: map[string]Certificate{}, sign: map[string]func(*Certificate){}}
	for id, days := range map[string][2]int{"k1": {0, 100}, "k2": {90, 200}} {
		key, text, err := NewKey()
		require.NoError(t, err)
		key, err = ParsePrivateKey(text)
		require.NoError(t, err)
		a.issuers[id] = Issuer{Key: EncodePublicKey(key), From: dayString(days[0]), Until: dayString(days[1])}
		a.sign[id] = func(c *Certificate) { c.Issuer = id; c.Sign(key) }
	}
	a.issue("k1", Certificate{Serial: "1", Worker: "p1", Regime: "chair", Roles: bothRoles, From: dayString(1), Until: dayString(10)})
	a.issue("k1", Certificate{Serial: "2", Node: "v1", Regime: "chair", From: dayString(1), Until: dayString(50)})
	return a
}

func (a *authority) issue(issuer string, c Certificate) {
	a.sign[issuer](&c)
	a.certs[c.Serial] = c
}

func (a *authority) compile() (*Register, error) { return Compile(a.regimes, a.issuers, a.certs) }

// TestAuthorizes checks authorization by regime, subject, role and time. The start of a validity period is
// compared with the lower bound of the time and its end with the upper bound. A revocation takes effect at once,
// and the signing key must be valid too.
func TestAuthorizes(t *testing.T) {
	a := newAuthority(t)
	a.issue("k1", Certificate{Serial: "3", Worker: "p1", Regime: "chair", Roles: []ids.Role{ids.Prefill}, From: dayString(5), Until: dayString(150)})
	a.issue("k2", Certificate{Serial: "4", Worker: "d1", Regime: "chair", Roles: []ids.Role{ids.Decode}, From: dayString(80), Until: dayString(150)})
	r, err := a.compile()
	require.NoError(t, err)
	require.Equal(t, "chair", r.RegimeOf("verdict"))
	require.Empty(t, r.RegimeOf("clarification"))
	p1, d1 := Subject{Worker: "p1"}, Subject{Worker: "d1"}
	for _, tc := range []struct {
		regime  string
		subject Subject
		role    ids.Role
		now     TimeBounds
		serial  string
	}{
		{"chair", p1, ids.Prefill, exactDay(2), "1"},
		{"chair", p1, ids.Decode, exactDay(2), "1"},
		{"chair", p1, ids.Prefill, exactDay(6), "3"},
		{"fines", p1, ids.Prefill, exactDay(2), ""},
		{"chair", Subject{Node: "p1"}, "", exactDay(2), ""},
		{"chair", Subject{Node: "v1"}, "", exactDay(2), "2"},
		{"chair", p1, ids.Decode, exactDay(0), ""},
		{"chair", p1, ids.Decode, exactDay(1), "1"},
		{"chair", p1, ids.Decode, TimeBounds{exactDay(1).Low - 1, exactDay(1).High}, ""},
		{"chair", p1, ids.Decode, TimeBounds{exactDay(9).Low, exactDay(10).High}, ""},
		{"chair", p1, ids.Decode, TimeBounds{exactDay(9).Low, exactDay(10).High - 1}, "1"},
		{"chair", p1, ids.Prefill, exactDay(99), "3"},
		{"chair", p1, ids.Prefill, exactDay(100), ""}, // k1 has expired
		{"chair", d1, ids.Decode, exactDay(85), ""},   // k2 is not valid yet
		{"chair", d1, ids.Decode, exactDay(95), "4"},  // both keys are valid
		{"chair", d1, ids.Decode, TimeBounds{}, ""},   // the time is unknown
	} {
		serial, ok := r.Authorizes(tc.regime, tc.subject, tc.role, tc.now)
		require.Equal(t, tc.serial, serial, "%+v", tc)
		require.Equal(t, tc.serial != "", ok)
	}
	revoked := r.WithRevoked(map[string]bool{"3": true})
	serial, _ := revoked.Authorizes("chair", p1, ids.Prefill, exactDay(6))
	require.Equal(t, "1", serial, "the other certificate is still valid")
	_, ok := r.WithRevoked(map[string]bool{"1": true, "3": true}).Authorizes("chair", p1, ids.Prefill, exactDay(6))
	require.False(t, ok)
	require.Equal(t, 20, r.ReservedPercent("p1", ids.Decode, exactDay(2)))
	require.Zero(t, r.ReservedPercent("d1", ids.Decode, exactDay(2)))
	require.Equal(t, []string{"decode workers"}, r.Shortages("chair", 1, exactDay(20), nil))
	require.Equal(t, []string{"prefill workers", "decode workers", "router nodes"}, r.Shortages("fines", 1, exactDay(20), nil))
	states := map[string]State{}
	for _, row := range revoked.CertificateStatuses("chair", exactDay(20)) {
		states[row.Serial] = row.State
	}
	require.Equal(t, map[string]State{"1": Expired, "2": Valid, "3": Revoked, "4": NotYetValid}, states)
}

// TestNoRegimes checks that without regimes the register is nil and governs no request.
func TestNoRegimes(t *testing.T) {
	r, err := Compile(nil, nil, nil)
	require.NoError(t, err)
	require.Nil(t, r)
	require.Empty(t, r.RegimeOf("verdict"))
	require.Nil(t, r.WithRevoked(map[string]bool{"1": true}))
	require.Zero(t, r.ReservedPercent("p1", ids.Decode, exactDay(1)))
	require.Empty(t, r.RegimeNames())
}

// TestRejectedCertificates checks that an invalid configuration is rejected with a one-line error that names the
// reason and the field, and that an invalid certificate authorizes no subject.
func TestRejectedCertificates(t *testing.T) {
	alter := func(f func(c *Certificate)) func(*authority) {
		return func(a *authority) { c := a.certs["1"]; f(&c); a.certs["1"] = c }
	}
	for name, tc := range map[string]struct {
		modify  func(a *authority)
		path    string
		message string
	}{
		"forged":         {alter(func(c *Certificate) { c.Until = dayString(99) }), "certificates.1.signature", "forged, altered"},
		"other subject":  {alter(func(c *Certificate) { c.Worker = "p2" }), "certificates.1.signature", "worker p2"},
		"other roles":    {alter(func(c *Certificate) { c.Roles = bothRoles[:1] }), "certificates.1.signature", "forged, altered"},
		"other regime":   {alter(func(c *Certificate) { c.Regime = "fines" }), "certificates.1.signature", "forged, altered"},
		"truncated":      {alter(func(c *Certificate) { c.Signature = c.Signature[:40] }), "certificates.1.signature", "truncated: 30 bytes of 64"},
		"no base64":      {alter(func(c *Certificate) { c.Signature = "§" }), "certificates.1.signature", "base64"},
		"wrong key":      {func(a *authority) { c := a.certs["1"]; a.sign["k2"](&c); c.Issuer = "k1"; a.certs["1"] = c }, "certificates.1.signature", "another key"},
		"foreign":        {func(a *authority) { c := a.certs["1"]; c.Issuer = "k9"; a.certs["1"] = c }, "certificates.1.issuer", `"k9" is foreign`},
		"never in force": {func(a *authority) { c := a.certs["1"]; a.sign["k2"](&c); a.certs["1"] = c }, "certificates.1.issuer", "never in force"},
		"end first":      {alter(func(c *Certificate) { c.Until = dayString(0) }), "certificates.1.until", "not after its start"},
		"no time":        {alter(func(c *Certificate) { c.From = "soon" }), "certificates.1.from", `"soon" is no time`},
		"unknown regime": {alter(func(c *Certificate) { c.Regime = "x" }), "certificates.1.regime", `unknown regime "x"`},
		"no subject":     {alter(func(c *Certificate) { c.Worker = "" }), "certificates.1", "one worker or one node"},
		"two subjects":   {alter(func(c *Certificate) { c.Node = "v" }), "certificates.1", "one worker or one node"},
		"no roles":       {alter(func(c *Certificate) { c.Roles = nil }), "certificates.1", "must have roles"},
		"other serial":   {func(a *authority) { a.certs["7"] = a.certs["1"] }, "certificates.7", `serial "1" is stored under the key "7": they must be equal`},
		"copied signature": {func(a *authority) { c := a.certs["1"]; c.Serial, c.Worker = "7", "p7"; a.certs["7"] = c },
			"certificates.7.signature", `the signature is a copy: the certificate with serial "1"`},
		"short key": {func(a *authority) { a.issuers["k1"] = Issuer{Key: "AAAA", From: dayString(0), Until: dayString(1)} }, "issuers.k1.key", "32 bytes"},
		"key's end": {func(a *authority) { i := a.issuers["k1"]; i.Until = dayString(-1); a.issuers["k1"] = i }, "issuers.k1.until", "not after its start"},
		"kind twice": {func(a *authority) { a.regimes["fines"] = Regime{Kinds: []string{"verdict"}} }, "regimes.fines.kinds",
			`already governed by regime "chair"`},
		"no regime": {func(a *authority) { a.regimes = nil }, "certificates", "no regime"},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAuthority(t)
			a.regimes, a.certs = maps.Clone(a.regimes), maps.Clone(a.certs)
			tc.modify(a)
			r, err := a.compile()
			require.ErrorContains(t, err, tc.message)
			require.True(t, failure.Is(firstError(err), failure.InvalidArgument))
			var f *Fault
			require.ErrorAs(t, err, &f)
			require.Equal(t, tc.path, strings.Join(f.Path, "."))
			require.NotContains(t, f.Reason, "\n")
			if strings.HasPrefix(tc.path, "certificates.1") || strings.HasPrefix(tc.path, "issuers") {
				for _, w := range []ids.WorkerID{"p1", "p2"} {
					_, ok := r.Authorizes("chair", Subject{Worker: w}, ids.Prefill, exactDay(2))
					require.False(t, ok)
				}
			}
		})
	}
}

func firstError(err error) error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()[0]
	}
	return err
}

// TestKeyFiles checks that a file that does not contain an Ed25519 private key is rejected.
func TestKeyFiles(t *testing.T) {
	ec, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	der, err := x509.MarshalPKCS8PrivateKey(ec)
	require.NoError(t, err)
	_, good, err := NewKey()
	require.NoError(t, err)
	for message, text := range map[string][]byte{
		"no PEM file":  []byte("hello"),
		"another type": pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}),
		"read key":     good[:len(good)/2],
	} {
		_, err := ParsePrivateKey(text)
		require.ErrorContains(t, err, message)
		require.True(t, failure.Is(err, failure.InvalidArgument))
	}
}
