// Package certification says which nodes may handle which governed work. A regime names the
// kinds of request that it governs; a certificate, signed by an issuer's Ed25519 key,
// clears one worker or router node for one regime during a span. This file holds the
// types, and how a certificate is signed and verified.
package certification

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// Regime governs the kinds that it names. Keep is the share of a certified worker's
// room, in percent, that work which is not governed leaves free.
type Regime struct {
	Kinds           []string `json:"kinds"`
	ReservedPercent int      `json:"keep"`
}

// Issuer is a public key (base64 of 32 bytes) and the span in which what it signed
// counts. While a key is rolled over, two have spans that overlap. Times are RFC 3339.
type Issuer struct {
	Key   string `json:"key"`
	From  string `json:"from"`
	Until string `json:"until"`
}

// Certificate clears its one subject, a worker or a router node, for a regime. Parts
// are a worker's; a node has none. Times are RFC 3339; the span begins with From and
// ends just before Until.
type Certificate struct {
	Serial    string       `json:"serial"`
	Worker    ids.WorkerID `json:"worker,omitempty"`
	Node      string       `json:"node,omitempty"`
	Regime    string       `json:"regime"`
	Roles     []ids.Role   `json:"parts,omitempty"`
	From      string       `json:"from"`
	Until     string       `json:"until"`
	Issuer    string       `json:"issuer"`
	Signature string       `json:"signature,omitempty"`
}

// Subject is who a certificate speaks of; one of the two is set.
type Subject struct {
	Worker ids.WorkerID
	Node   string
}

// String returns what the subject is and its name, as in "worker w-1".
func (s Subject) String() string {
	if s.Node != "" {
		return "node " + s.Node
	}
	return "worker " + string(s.Worker)
}

// Subject returns whom the certificate clears.
func (c *Certificate) Subject() Subject { return Subject{c.Worker, c.Node} }

// signatureDomain keeps a signature from standing for any other kind of text.
const signatureDomain = "keelstair certificate 1\n"

// signedBytes is the canonical encoding that is signed: all fields but the signature, in the
// fixed order of the struct, none left to the writer's taste.
func (c *Certificate) signedBytes() []byte {
	unsigned := *c
	unsigned.Signature = ""
	b, err := json.Marshal(&unsigned)
	if err != nil {
		panic(err) // strings alone; it cannot fail
	}
	return append([]byte(signatureDomain), b...)
}

// Sign puts the issuer's signature under a certificate.
func (c *Certificate) Sign(key ed25519.PrivateKey) {
	c.Signature = base64.StdEncoding.EncodeToString(ed25519.Sign(key, c.signedBytes()))
}

// Fault is one thing wrong with a field, with its place in the configuration.
type Fault struct {
	Path   []string
	Reason string
}

// Error returns the reason alone; where it applies is in Path.
func (f *Fault) Error() string { return f.Reason }

func invalid(path []string, format string, args ...any) error {
	return failure.As(&Fault{path, fmt.Sprintf(format, args...)}, failure.InvalidArgument, "check regimes", "")
}

// parseValidity reads the two ends of a validity, in nanoseconds since 1970.
func parseValidity(path []string, from, until string) (a, b int64, err error) {
	start, e := time.Parse(time.RFC3339, from)
	if e != nil {
		return 0, 0, invalid(append(path, "from"), "%q is no time such as 2026-12-31T00:00:00Z", from)
	}
	end, e := time.Parse(time.RFC3339, until)
	if e != nil {
		return 0, 0, invalid(append(path, "until"), "%q is no time such as 2026-12-31T00:00:00Z", until)
	}
	if !start.Before(end) {
		return 0, 0, invalid(append(path, "until"), "its end %s is not after its start %s", until, from)
	}
	return start.UnixNano(), end.UnixNano(), nil
}

type issuerKey struct {
	public      ed25519.PublicKey
	from, until int64
}

func (i Issuer) parse(path []string) (*issuerKey, error) {
	raw, err := base64.StdEncoding.DecodeString(i.Key)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, invalid(
			append(path, "key"),
			"it is no Ed25519 public key: base64 of %d bytes is needed",
			ed25519.PublicKeySize,
		)
	}
	from, until, err := parseValidity(path, i.From, i.Until)
	return &issuerKey{raw, from, until}, err
}

// verify holds a certificate against the issuers; the span that it gives is cut to
// its issuer's.
func (c *Certificate) verify(path []string, keys map[string]*issuerKey) (from, until int64, err error) {
	if from, until, err = parseValidity(path, c.From, c.Until); err != nil {
		return 0, 0, err
	}
	k := keys[c.Issuer]
	if k == nil {
		return 0, 0, invalid(
			append(path, "issuer"), "issuer %q is foreign: it is none of the configuration's issuers", c.Issuer,
		)
	}
	sig, err := base64.StdEncoding.DecodeString(c.Signature)
	switch {
	case err != nil:
		return 0, 0, invalid(append(path, "signature"), "it is no base64 text")
	case len(sig) != ed25519.SignatureSize:
		return 0, 0, invalid(
			append(path, "signature"), "it is truncated: %d bytes of %d", len(sig), ed25519.SignatureSize,
		)
	case !ed25519.Verify(k.public, c.signedBytes(), sig):
		return 0, 0, invalid(
			append(path, "signature"),
			"the signature of issuer %q does not fit this certificate of %s: it was forged, altered, copied from another subject, or signed by another key",
			c.Issuer,
			c.Subject(),
		)
	}
	from, until = max(from, k.from), min(until, k.until)
	if from >= until {
		return 0, 0, invalid(
			append(path, "issuer"),
			"it is never in force: issuer %q is valid only from %s to %s",
			c.Issuer,
			time.Unix(0, k.from).UTC().Format(time.RFC3339),
			time.Unix(0, k.until).UTC().Format(time.RFC3339),
		)
	}
	return from, until, nil
}
