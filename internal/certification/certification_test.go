// Certificates that hold, and each that does not, with its one clear line.

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
	day0 = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	both = []ids.Role{ids.Prefill, ids.Decode}
)

func day(n int) string { return day0.AddDate(0, 0, n).Format(time.RFC3339) }
func on(n int) Now     { return At(day0.AddDate(0, 0, n)) }

type office struct {
	regimes map[string]Regime
	issuers map[string]Issuer
	certs   map[string]Certificate
	sign    map[string]func(*Certificate)
}

// open sets up two issuers, the second of which follows the first with ten days in
// which both are valid.
func open(t *testing.T) *office {
	o := &office{regimes: map[string]Regime{"chair": {Kinds: []string{"verdict"}, Keep: 20}, "fines": {Kinds: []string{"ruling"}}},
		issuers: map[string]Issuer{}, certs: map[string]Certificate{}, sign: map[string]func(*Certificate){}}
	for id, days := range map[string][2]int{"k1": {0, 100}, "k2": {90, 200}} {
		key, text, err := NewKey()
		require.NoError(t, err)
		key, err = ReadKey(text)
		require.NoError(t, err)
		o.issuers[id] = Issuer{Key: Public(key), From: day(days[0]), Until: day(days[1])}
		o.sign[id] = func(c *Certificate) { c.Issuer = id; c.Sign(key) }
	}
	o.put("k1", Certificate{Serial: "1", Worker: "p1", Regime: "chair", Roles: both, From: day(1), Until: day(10)})
	o.put("k1", Certificate{Serial: "2", Node: "v1", Regime: "chair", From: day(1), Until: day(50)})
	return o
}

func (o *office) put(issuer string, c Certificate) {
	o.sign[issuer](&c)
	o.certs[c.Serial] = c
}

func (o *office) compile() (*Register, error) { return Compile(o.regimes, o.issuers, o.certs) }

// TestClears: by regime, subject, part and time; an end by the upper bound of time, a
// start by the lower; revoked at once; the key that signed must be in force too.
func TestClears(t *testing.T) {
	o := open(t)
	o.put("k1", Certificate{Serial: "3", Worker: "p1", Regime: "chair", Roles: []ids.Role{ids.Prefill}, From: day(5), Until: day(150)})
	o.put("k2", Certificate{Serial: "4", Worker: "d1", Regime: "chair", Roles: []ids.Role{ids.Decode}, From: day(80), Until: day(150)})
	r, err := o.compile()
	require.NoError(t, err)
	require.Equal(t, "chair", r.Governs("verdict"))
	require.Empty(t, r.Governs("clarification"))
	p1, d1 := Subject{Worker: "p1"}, Subject{Worker: "d1"}
	for _, one := range []struct {
		regime  string
		subject Subject
		part    ids.Role
		now     Now
		serial  string
	}{
		{"chair", p1, ids.Prefill, on(2), "1"},
		{"chair", p1, ids.Decode, on(2), "1"},
		{"chair", p1, ids.Prefill, on(6), "3"},
		{"fines", p1, ids.Prefill, on(2), ""},
		{"chair", Subject{Node: "p1"}, "", on(2), ""},
		{"chair", Subject{Node: "v1"}, "", on(2), "2"},
		{"chair", p1, ids.Decode, on(0), ""},
		{"chair", p1, ids.Decode, on(1), "1"},
		{"chair", p1, ids.Decode, Now{on(1).Low - 1, on(1).High}, ""},
		{"chair", p1, ids.Decode, Now{on(9).Low, on(10).High}, ""},
		{"chair", p1, ids.Decode, Now{on(9).Low, on(10).High - 1}, "1"},
		{"chair", p1, ids.Prefill, on(99), "3"},
		{"chair", p1, ids.Prefill, on(100), ""}, // k1 is over
		{"chair", d1, ids.Decode, on(85), ""},   // k2 is not yet
		{"chair", d1, ids.Decode, on(95), "4"},  // both keys are valid
		{"chair", d1, ids.Decode, Now{}, ""},    // no word of the time
	} {
		serial, ok := r.Clears(one.regime, one.subject, one.part, one.now)
		require.Equal(t, one.serial, serial, "%+v", one)
		require.Equal(t, one.serial != "", ok)
	}
	cut := r.WithRevoked(map[string]bool{"3": true})
	serial, _ := cut.Clears("chair", p1, ids.Prefill, on(6))
	require.Equal(t, "1", serial, "the other certificate still holds")
	_, ok := r.WithRevoked(map[string]bool{"1": true, "3": true}).Clears("chair", p1, ids.Prefill, on(6))
	require.False(t, ok)
	require.Equal(t, 20, r.RetentionOf("p1", ids.Decode, on(2)))
	require.Zero(t, r.RetentionOf("d1", ids.Decode, on(2)))
	require.Equal(t, []string{"decode workers"}, r.Shortage("chair", 1, on(20), nil))
	require.Equal(t, []string{"prefill workers", "decode workers", "router nodes"}, r.Shortage("fines", 1, on(20), nil))
	states := map[string]State{}
	for _, row := range cut.Rows("chair", on(20)) {
		states[row.Serial] = row.State
	}
	require.Equal(t, map[string]State{"1": Expired, "2": Valid, "3": Revoked, "4": Early}, states)
}

// TestNone: without regimes there is no register, and nothing is governed.
func TestNone(t *testing.T) {
	r, err := Compile(nil, nil, nil)
	require.NoError(t, err)
	require.Nil(t, r)
	require.Empty(t, r.Governs("verdict"))
	require.Nil(t, r.WithRevoked(map[string]bool{"1": true}))
	require.Zero(t, r.RetentionOf("p1", ids.Decode, on(1)))
	require.Empty(t, r.Regimes())
}

// TestRefused: what does not hold is refused in one line that says why and where, and
// clears nobody.
func TestRefused(t *testing.T) {
	alter := func(f func(c *Certificate)) func(*office) {
		return func(o *office) { c := o.certs["1"]; f(&c); o.certs["1"] = c }
	}
	for name, one := range map[string]struct {
		do   func(o *office)
		path string
		says string
	}{
		"forged":         {alter(func(c *Certificate) { c.Until = day(99) }), "certificates.1.signature", "forged, altered"},
		"other subject":  {alter(func(c *Certificate) { c.Worker = "p2" }), "certificates.1.signature", "worker p2"},
		"other parts":    {alter(func(c *Certificate) { c.Roles = both[:1] }), "certificates.1.signature", "forged, altered"},
		"other regime":   {alter(func(c *Certificate) { c.Regime = "fines" }), "certificates.1.signature", "forged, altered"},
		"truncated":      {alter(func(c *Certificate) { c.Signature = c.Signature[:40] }), "certificates.1.signature", "truncated: 30 bytes of 64"},
		"no base64":      {alter(func(c *Certificate) { c.Signature = "§" }), "certificates.1.signature", "base64"},
		"wrong key":      {func(o *office) { c := o.certs["1"]; o.sign["k2"](&c); c.Issuer = "k1"; o.certs["1"] = c }, "certificates.1.signature", "another key"},
		"foreign":        {func(o *office) { c := o.certs["1"]; c.Issuer = "k9"; o.certs["1"] = c }, "certificates.1.issuer", `"k9" is foreign`},
		"never in force": {func(o *office) { c := o.certs["1"]; o.sign["k2"](&c); o.certs["1"] = c }, "certificates.1.issuer", "never in force"},
		"end first":      {alter(func(c *Certificate) { c.Until = day(0) }), "certificates.1.until", "not after its start"},
		"no time":        {alter(func(c *Certificate) { c.From = "soon" }), "certificates.1.from", `"soon" is no time`},
		"unknown regime": {alter(func(c *Certificate) { c.Regime = "x" }), "certificates.1.regime", `unknown regime "x"`},
		"no subject":     {alter(func(c *Certificate) { c.Worker = "" }), "certificates.1", "one worker or one node"},
		"two subjects":   {alter(func(c *Certificate) { c.Node = "v" }), "certificates.1", "one worker or one node"},
		"no parts":       {alter(func(c *Certificate) { c.Roles = nil }), "certificates.1", "names its parts"},
		"two serials":    {func(o *office) { o.certs["7"] = o.certs["1"] }, "certificates.7", "each serial stands once"},
		"replayed": {func(o *office) { c := o.certs["1"]; c.Serial, c.Worker = "7", "p7"; o.certs["7"] = c },
			"certificates.7.signature", `replayed: serial "1"`},
		"short key": {func(o *office) { o.issuers["k1"] = Issuer{Key: "AAAA", From: day(0), Until: day(1)} }, "issuers.k1.key", "32 bytes"},
		"key's end": {func(o *office) { i := o.issuers["k1"]; i.Until = day(-1); o.issuers["k1"] = i }, "issuers.k1.until", "not after its start"},
		"kind twice": {func(o *office) { o.regimes["fines"] = Regime{Kinds: []string{"verdict"}} }, "regimes.fines.kinds",
			`governed by "chair" already`},
		"no regime": {func(o *office) { o.regimes = nil }, "certificates", "no regime"},
	} {
		t.Run(name, func(t *testing.T) {
			o := open(t)
			o.regimes, o.certs = maps.Clone(o.regimes), maps.Clone(o.certs)
			one.do(o)
			r, err := o.compile()
			require.ErrorContains(t, err, one.says)
			require.True(t, failure.Is(first(err), failure.InvalidArgument))
			var f *Fault
			require.ErrorAs(t, err, &f)
			require.Equal(t, one.path, strings.Join(f.Path, "."))
			require.NotContains(t, f.Reason, "\n")
			if strings.HasPrefix(one.path, "certificates.1") || strings.HasPrefix(one.path, "issuers") {
				for _, w := range []ids.WorkerID{"p1", "p2"} {
					_, ok := r.Clears("chair", Subject{Worker: w}, ids.Prefill, on(2))
					require.False(t, ok)
				}
			}
		})
	}
}

func first(err error) error {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return many.Unwrap()[0]
	}
	return err
}

// TestKeyFiles: a file of another sort is refused.
func TestKeyFiles(t *testing.T) {
	ec, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	der, err := x509.MarshalPKCS8PrivateKey(ec)
	require.NoError(t, err)
	_, good, err := NewKey()
	require.NoError(t, err)
	for says, text := range map[string][]byte{
		"no PEM file":  []byte("hello"),
		"another sort": pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}),
		"read key":     good[:len(good)/2],
	} {
		_, err := ReadKey(text)
		require.ErrorContains(t, err, says)
		require.True(t, failure.Is(err, failure.InvalidArgument))
	}
}
