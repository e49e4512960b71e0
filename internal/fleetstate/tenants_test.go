package fleetstate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
	"keelstair.example/logging"
)

// configurationWithTenants returns a configuration with two tenants.
func configurationWithTenants() *Configuration {
	urgency := 2
	return &Configuration{Tenants: []Tenant{
		{Name: "amber", Keys: []string{"key-a1", "key-a2"}, Urgency: &urgency},
		{Name: "birch", Keys: []string{"key-b1"}},
	}}
}

// TestCheckTenants checks that each fault is rejected with the name of its field and that no error
// contains a key.
func TestCheckTenants(t *testing.T) {
	require.NoError(t, configurationWithTenants().CheckTenants())
	require.NoError(t, (&Configuration{}).CheckTenants())
	for message, change := range map[string]func(p *Configuration){
		`tenants.birch.keys[1]: it is also a key of tenant "amber"`: func(p *Configuration) {
			p.Tenants[1].Keys = append(p.Tenants[1].Keys, "key-a2")
		},
		`tenants.birch.keys[0]: it is empty`:          func(p *Configuration) { p.Tenants[1].Keys[0] = "" },
		`tenants.amber: the name stands twice`:        func(p *Configuration) { p.Tenants[1].Name = "amber" },
		`tenants[1].name: it is missing`:              func(p *Configuration) { p.Tenants[1].Name = "" },
		`tenants[1].name: it has a control character`: func(p *Configuration) { p.Tenants[1].Name = "b\r\nx: y" },
	} {
		p := configurationWithTenants()
		change(p)
		err := p.CheckTenants()
		require.ErrorContains(t, err, message)
		require.True(t, failure.Is(err, failure.InvalidArgument), message)
		require.NotContains(t, err.Error(), "key-a", "the error contains no key")
	}
	repeated := configurationWithTenants()
	repeated.Tenants[0].Keys = append(repeated.Tenants[0].Keys, "key-a1")
	require.NoError(t, repeated.CheckTenants(), "a key may be listed twice for the same tenant")
}

// TestKeyIndex checks that a key finds its tenant and that any other string finds none. It also
// checks that an empty list of tenants admits no request, and that a configuration without a list
// requires no key.
func TestKeyIndex(t *testing.T) {
	index := NewKeyIndex(configurationWithTenants())
	require.True(t, index.KeyRequired())
	for key, name := range map[string]string{"key-a1": "amber", "key-a2": "amber", "key-b1": "birch"} {
		require.Equal(t, name, index.Find(key).Name)
	}
	for _, key := range []string{"", "key-a", "key-a11", "KEY-A1", "amber", "Bearer key-a1", "key-a1,key-b1", " key-a1"} {
		require.Nil(t, index.Find(key), key)
	}
	require.False(t, NewKeyIndex(&Configuration{}).KeyRequired())
	require.Nil(t, NewKeyIndex(&Configuration{}).Find("key-a1"))
	emptied := NewKeyIndex(&Configuration{Tenants: []Tenant{}})
	require.True(t, emptied.KeyRequired())
	require.Nil(t, emptied.Find("key-a1"))
	var none *KeyIndex
	require.False(t, none.KeyRequired())
	require.Nil(t, none.Find("key-a1"))
}

// TestKeyIndexKeepsNoKeys checks that the index stores keyed hashes, so that a memory dump of it
// contains no key.
func TestKeyIndexKeepsNoKeys(t *testing.T) {
	require.NotEqual(t, digestKey("key-a1"), digestKey("key-a2"))
	require.Equal(t, digestKey("key-a1"), digestKey("key-a1"))
	require.Len(t, digestSecret(), len(keyDigest{}))
	require.NotEqual(t, make([]byte, len(keyDigest{})), digestSecret())
}

// TestSnapshotReusesKeyIndex checks that a snapshot has the index of its configuration and that the
// next snapshot shares the index if the tenants are unchanged.
func TestSnapshotReusesKeyIndex(t *testing.T) {
	view := NewView(logging.Discard())
	require.False(t, view.Current().TenantKeys.KeyRequired())
	next := func(change func(p *Configuration)) *KeyIndex {
		configuration := configurationWithTenants()
		change(configuration)
		s := &Snapshot{Configuration: configuration}
		view.indexConfiguration(s)
		view.current.Store(s)
		return s.TenantKeys
	}
	first := next(func(*Configuration) {})
	require.Equal(t, "birch", first.Find("key-b1").Name)
	require.Same(t, first, next(func(p *Configuration) { p.Routes = []Route{{Name: "one"}} }))
	highestUrgency := 0
	for name, change := range map[string]func(p *Configuration){
		"key":     func(p *Configuration) { p.Tenants[1].Keys[0] = "key-b2" },
		"urgency": func(p *Configuration) { p.Tenants[0].Urgency = &highestUrgency },
		"name":    func(p *Configuration) { p.Tenants[1].Name = "cedar" },
		"empty":   func(p *Configuration) { p.Tenants = []Tenant{} },
		"none":    func(p *Configuration) { p.Tenants = nil },
	} {
		changed := next(change)
		require.NotSame(t, first, changed, name)
		require.Equal(t, name != "none", changed.KeyRequired(), name)
	}
}

// TestParseTenants checks that tenants are parsed from CUE, validated, and preserved by a round trip
// through JSON, an empty list included, and that a partial configuration that changes them is
// validated like a complete one.
func TestParseTenants(t *testing.T) {
	text := func(tenants string) []byte {
		return []byte(`{zones: ["a"], workers: {}, kinds: {}, programs: {}, limits: {}, services: {s: {}}
			routes: [{name: "one", host: "a.example", prefix: "/", service: "s", deadlineMs: 4000, public: true}]
			` + tenants + `}`)
	}
	p, complete, err := ParseComplete("t.cue", text(`tenants: [{name: "amber", keys: ["k1"], urgency: 0}, {name: "birch"}]`))
	require.NoError(t, err)
	require.True(t, p.Routes[0].Public)
	again, err := ParseJSON(complete)
	require.NoError(t, err)
	require.Equal(t, p.Tenants[0], again.Tenants[0])
	require.Equal(t, 0, *again.Tenants[0].Urgency)
	require.Nil(t, again.Tenants[1].Urgency)
	_, _, err = Overlay("part.json", complete, []byte(`{"tenants":[{"name":"amber","keys":["k1"]},{"name":"birch","keys":["k1"]}]}`))
	require.ErrorContains(t, err, "tenants.birch.keys[0]")
	_, emptied, err := Overlay("part.json", complete, []byte(`{"tenants":[]}`))
	require.NoError(t, err)
	again, err = ParseJSON(emptied)
	require.NoError(t, err)
	require.True(t, NewKeyIndex(again).KeyRequired())
	withoutTenants, _, err := ParseComplete("t.cue", text(""))
	require.NoError(t, err)
	require.Nil(t, withoutTenants.Tenants)
}
