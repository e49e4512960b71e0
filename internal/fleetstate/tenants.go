// This file handles tenants and the API keys that authenticate their requests. A key is a secret:
// errors give its position in the configuration and never the key itself, and lookups take the same
// time for any key.

package fleetstate

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"reflect"
	"strings"
	"sync"

	"keelstair.example/failure"
)

// Tenant is a customer whose requests are admitted.
type Tenant struct {
	Name    string   `json:"name"`
	Keys    []string `json:"keys,omitempty"`
	Urgency *int     `json:"urgency,omitempty"` // overrides the urgency of the route
}

// CheckTenants checks that tenant names are unique and that no key belongs to two tenants.
func (cfg *Configuration) CheckTenants() error {
	fault := func(field, format string, args ...any) error {
		return failure.New(failure.InvalidArgument, "check tenants", "", field+": "+format, args...)
	}
	names, owners := map[string]bool{}, map[string]string{}
	for i := range cfg.Tenants {
		tenant := &cfg.Tenants[i]
		if tenant.Name == "" {
			return fault(fmt.Sprintf("tenants[%d].name", i), "it is missing")
		}
		if strings.ContainsFunc(tenant.Name, isControl) {
			return fault(fmt.Sprintf("tenants[%d].name", i), "it has a control character")
		}
		if names[tenant.Name] {
			return fault("tenants."+tenant.Name, "the name stands twice")
		}
		names[tenant.Name] = true
		for j, key := range tenant.Keys {
			field := fmt.Sprintf("tenants.%s.keys[%d]", tenant.Name, j)
			if key == "" {
				return fault(field, "it is empty")
			}
			if owner, ok := owners[key]; ok && owner != tenant.Name {
				return fault(field, "it is also a key of tenant %q", owner)
			}
			owners[key] = tenant.Name
		}
	}
	return nil
}

// isControl reports whether r is a control character, which an HTTP header must not contain.
func isControl(r rune) bool { return r < ' ' || r == '\x7f' }

// keyDigest is the HMAC of a tenant's key under digestSecret.
type keyDigest [sha256.Size]byte

// digestSecret returns the random HMAC key of this process. Without it, the duration of a lookup
// reveals nothing about a tenant's key.
var digestSecret = sync.OnceValue(func() []byte {
	secret := make([]byte, sha256.Size)
	rand.Read(secret)
	return secret
})

func digestKey(key string) keyDigest {
	hash := hmac.New(sha256.New, digestSecret())
	hash.Write([]byte(key))
	return keyDigest(hash.Sum(nil))
}

// KeyIndex maps keys to tenants. It is built once for each list of tenants.
type KeyIndex struct {
	tenantList []Tenant // nil if the configuration has no list
	byDigest   map[keyDigest]*Tenant
}

// NewKeyIndex builds the index of a configuration's tenants.
func NewKeyIndex(cfg *Configuration) *KeyIndex {
	index := &KeyIndex{tenantList: cfg.Tenants, byDigest: map[keyDigest]*Tenant{}}
	for i := range cfg.Tenants {
		for _, key := range cfg.Tenants[i].Keys {
			index.byDigest[digestKey(key)] = &cfg.Tenants[i]
		}
	}
	return index
}

// forConfiguration returns the index for the next configuration. It is the same index if the
// tenants are unchanged.
func (x *KeyIndex) forConfiguration(cfg *Configuration) *KeyIndex {
	if x != nil && reflect.DeepEqual(x.tenantList, cfg.Tenants) {
		return x
	}
	return NewKeyIndex(cfg)
}

// KeyRequired reports whether requests on routes that are not public need a key. An empty list of
// tenants admits no request, so that removing the last tenant does not open the routes to everyone.
func (x *KeyIndex) KeyRequired() bool { return x != nil && x.tenantList != nil }

// Find returns the tenant that a key belongs to, or nil.
func (x *KeyIndex) Find(key string) *Tenant {
	if !x.KeyRequired() || key == "" {
		return nil
	}
	return x.byDigest[digestKey(key)]
}
