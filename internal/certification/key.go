// Private key files are PKCS #8 in PEM, the format of openssl genpkey -algorithm ed25519.

package certification

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"

	"keelstair.example/failure"
)

// NewKey generates a private key and returns it with the content of its key file.
func NewKey() (ed25519.PrivateKey, []byte, error) {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, failure.As(err, failure.InvalidArgument, "make key", "")
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, failure.As(err, failure.InvalidArgument, "make key", "")
	}
	return private, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// ParsePrivateKey parses the content of a key file.
func ParsePrivateKey(text []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != "PRIVATE KEY" {
		return nil, failure.New(failure.InvalidArgument, "read key", "", "it is no PEM file with a PRIVATE KEY")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read key", "")
	}
	private, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, failure.New(
			failure.InvalidArgument, "read key", "", "it is a key of another type; an Ed25519 key is required",
		)
	}
	return private, nil
}

// EncodePublicKey returns the public key of k in the encoding of Issuer.Key.
func EncodePublicKey(k ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(k.Public().(ed25519.PublicKey))
}
