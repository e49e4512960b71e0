// Package certification decides which workers and router nodes may process regulated requests. A regime lists
// the kinds of request that it governs. A certificate, signed with an issuer's Ed25519 key, authorizes one
// worker or router node for one regime during its validity period. This file contains the types, and the
// signing and verification of certificates.
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

// Regime governs the listed kinds of request. ReservedPercent is the percentage of a certified worker's cache
// blocks that requests without a regime must leave free.
type Regime struct {
	Kinds           []string `json:"kinds"`
	ReservedPercent int      `json:"keep"`
}

// Issuer is a public key (base64 of 32 bytes) and its validity period; certificates that it signed are valid
// only within that period. During a key rotation the periods of two keys overlap. Times are RFC 3339.
type Issuer struct {
	Key   string `json:"key"`
	From  string `json:"from"`
	Until string `json:"until"`
}

// Certificate authorizes its single subject, a worker or a router node, for a regime. Roles are set for a
// worker only. Times are RFC 3339; the validity period includes From and excludes Until.
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

// Subject is the worker or the router node that a certificate authorizes; exactly one field is set.
type Subject struct {
	Worker ids.WorkerID
	Node   string
}

// String returns the type and the name of the subject, as in "worker w-1".
func (s Subject) String() string {
	if s.Node != "" {
		return "node " + s.Node
	}
	return "worker " + string(s.Worker)
}

// Subject returns the subject of the certificate.
func (c *Certificate) Subject() Subject { return Subject{c.Worker, c.Node} }

// signatureDomain prefixes the signed bytes, so that a signature is not valid for any other kind of data.
const signatureDomain = "keelstair certificate 1\n"

// signedBytes returns the canonical encoding that is signed: all fields except the signature, as JSON in the
// fixed order of the struct.
func (c *Certificate) signedBytes() []byte {
	unsigned := *c
	unsigned.Signature = ""
	b, err := json.Marshal(&unsigned)
	if err != nil {
		panic(err) // cannot fail: all fields are strings
	}
	return append([]byte(signatureDomain), b...)
}

// Sign sets the signature of the certificate, made with the issuer's key.
func (c *Certificate) Sign(key ed25519.PrivateKey) {
	c.Signature = base64.StdEncoding.EncodeToString(ed25519.Sign(key, c.signedBytes()))
}

// Fault describes an invalid field of the configuration; Path is the location of the field.
type Fault struct {
	Path   []string
	Reason string
}

// Error returns the reason without the path.
func (f *Fault) Error() string { return f.Reason }

func invalid(path []string, format string, args ...any) error {
	return failure.As(&Fault{path, fmt.Sprintf(format, args...)}, failure.InvalidArgument, "check regimes", "")
}

// parseValidity parses the start and the end of a validity period, in nanoseconds since 1970.
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
		return 0, 0, invalid(append(path, "until"), "the end %s is not after its start %s", until, from)
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
			"the key is not an Ed25519 public key: base64 of %d bytes is required",
			ed25519.PublicKeySize,
		)
	}
	from, until, err := parseValidity(path, i.From, i.Until)
	return &issuerKey{raw, from, until}, err
}

// verify checks the signature of the certificate against the issuers' keys. The validity period that it returns
// is the intersection of the certificate's and the issuer's.
func (c *Certificate) verify(path []string, keys map[string]*issuerKey) (from, until int64, err error) {
	if from, until, err = parseValidity(path, c.From, c.Until); err != nil {
		return 0, 0, err
	}
	k := keys[c.Issuer]
	if k == nil {
		return 0, 0, invalid(
			append(path, "issuer"), "issuer %q is foreign: the configuration has no such issuer", c.Issuer,
		)
	}
	sig, err := base64.StdEncoding.DecodeString(c.Signature)
	switch {
	case err != nil:
		return 0, 0, invalid(append(path, "signature"), "the signature is not valid base64")
	case len(sig) != ed25519.SignatureSize:
		return 0, 0, invalid(
			append(path, "signature"), "the signature is truncated: %d bytes of %d", len(sig), ed25519.SignatureSize,
		)
	case !ed25519.Verify(k.public, c.signedBytes(), sig):
		return 0, 0, invalid(
			append(path, "signature"),
			"the signature of issuer %q does not match this certificate of %s: it was forged, altered, copied from another subject, or signed by another key",
			c.Issuer,
			c.Subject(),
		)
	}
	from, until = max(from, k.from), min(until, k.until)
	if from >= until {
		return 0, 0, invalid(
			append(path, "issuer"),
			"the certificate is never in force: issuer %q is valid only from %s to %s",
			c.Issuer,
			time.Unix(0, k.from).UTC().Format(time.RFC3339),
			time.Unix(0, k.until).UTC().Format(time.RFC3339),
		)
	}
	return from, until, nil
}
