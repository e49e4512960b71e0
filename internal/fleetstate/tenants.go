// Tenants: who may send requests, and by which keys. A key is a secret of its tenant: errors name
// its place and never the key, and look-ups take the same time for any key.

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

// Tenant is one of the customers whose requests a configuration admits.
type Tenant struct {
	Name    string   `json:"name"`
	Keys    []string `json:"keys,omitempty"`
	Urgency *int     `json:"urgency,omitempty"` // takes the place of its routes' urgency
}

// CheckTenants checks that names stand once and that no key belongs to two tenants.
func (p *Configuration) CheckTenants() error {
	fault := func(field, form string, args ...any) error {
		return failure.New(failure.InvalidArgument, "check tenants", "", field+": "+form, args...)
	}
	names, owners := map[string]bool{}, map[string]string{}
	for i := range p.Tenants {
		tenant := &p.Tenants[i]
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

// isControl tells of characters that no header may carry.
func isControl(r rune) bool { return r < ' ' || r == '\x7f' }

// keyDigest is the keyed hash of a tenant's key.
type keyDigest [sha256.Size]byte

// digestSecret keys the hashes of this process. Who does not know it learns nothing of a key from
// the time that a look-up takes.
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

// KeyIndex finds tenants by their keys; it is made once for each list of tenants.
type KeyIndex struct {
	tenantList []Tenant
	byDigest   map[keyDigest]*Tenant
}

// NewKeyIndex indexes a configuration's tenants.
func NewKeyIndex(p *Configuration) *KeyIndex {
	index := &KeyIndex{tenantList: p.Tenants, byDigest: map[keyDigest]*Tenant{}}
	for i := range p.Tenants {
		for _, key := range p.Tenants[i].Keys {
			index.byDigest[digestKey(key)] = &p.Tenants[i]
		}
	}
	return index
}

// forConfiguration is the index of a configuration that follows: the same one where the tenants are the same.
func (x *KeyIndex) forConfiguration(p *Configuration) *KeyIndex {
	if x != nil && reflect.DeepEqual(x.tenantList, p.Tenants) {
		return x
	}
	return NewKeyIndex(p)
}

// KeyRequired tells whether requests need a key where their route is not public. A list of tenants
// without an entry admits nobody: taking away the last tenant does not open the routes to all.
func (x *KeyIndex) KeyRequired() bool { return x != nil && x.tenantList != nil }

// Find gives the tenant that a key belongs to, or nil.
func (x *KeyIndex) Find(key string) *Tenant {
	if !x.KeyRequired() || key == "" {
		return nil
	}
	return x.byDigest[digestKey(key)]
}
