// A partial configuration over one that was checked already. Only what the part touches is
// held against the schema again, so that a large configuration that grows by many small
// parts stays quick to apply; what spans fields is checked over the whole.

package fleetstate

import (
	"encoding/json"
	"maps"

	"keelstair.example/failure"
)

// maxEntries bounds workers, kinds, programs and certificates together: a whole configuration of so many
// is checked in about half a second.
const maxEntries = 3000

var keyedSections = []string{"workers", "kinds", "programs"}

// Overlay lays a part over a whole text and gives what ParseComplete would give of both.
func Overlay(name string, complete, part []byte) (*Configuration, []byte, error) {
	merged, err := Merge(complete, part)
	if err != nil {
		return nil, nil, err
	}
	var all, touch map[string]json.RawMessage
	if json.Unmarshal(merged, &all) != nil || json.Unmarshal(part, &touch) != nil {
		return ParseComplete(name, merged)
	}
	for _, k := range []string{"routes", "services", "intake", "tenants", "regimes", "issuers", "certificates"} {
		if _, ok := touch[k]; ok {
			return ParseComplete(name, merged)
		}
	}
	sub := maps.Clone(touch)
	for _, k := range []string{"zones", "limits", "switch"} {
		if v, ok := all[k]; ok {
			sub[k] = v
		} else {
			delete(sub, k)
		}
	}
	gone := map[string][]string{}
	for _, section := range keyedSections {
		some, removed, ok := changedEntries(touch[section], all[section])
		if !ok {
			return ParseComplete(name, merged)
		}
		gone[section] = removed
		if sub[section], err = json.Marshal(some); err != nil {
			return nil, nil, failure.As(err, failure.InvalidArgument, "check policy", name)
		}
	}
	text, err := json.Marshal(sub)
	if err != nil {
		return nil, nil, failure.As(err, failure.InvalidArgument, "check policy", name)
	}
	request, err := parseWithSchema(name, text)
	if err != nil {
		return nil, nil, err
	}
	p := &Configuration{}
	if err := json.Unmarshal(complete, p); err != nil {
		return nil, nil, failure.As(err, failure.InvalidArgument, "read policy", name)
	}
	applyEntries(p.Workers, request.Workers, gone["workers"])
	applyEntries(p.Kinds, request.Kinds, gone["kinds"])
	applyEntries(p.Programs, request.Programs, gone["programs"])
	p.Zones, p.Limits, p.RoleChangesEnabled = request.Zones, request.Limits, request.RoleChangesEnabled
	return p.validateAndEncode()
}

// changedEntries gives the entries of a section that a partial text names, as they are after the
// merge, and those that it removes; ok is false where the section cannot be taken entry by entry.
func changedEntries(touched, merged json.RawMessage) (some map[string]json.RawMessage, removed []string, ok bool) {
	var named, after map[string]json.RawMessage
	if touched != nil && (json.Unmarshal(touched, &named) != nil || named == nil) {
		return nil, nil, false
	}
	if json.Unmarshal(merged, &after) != nil {
		return nil, nil, false
	}
	some = map[string]json.RawMessage{}
	for id := range named {
		if entry, kept := after[id]; kept {
			some[id] = entry
		} else {
			removed = append(removed, id)
		}
	}
	return some, removed, true
}

func applyEntries[K ~string, V any](into, from map[K]V, gone []string) {
	maps.Copy(into, from)
	for _, id := range gone {
		delete(into, K(id))
	}
}

// validateAndEncode checks what spans fields and writes the whole.
func (p *Configuration) validateAndEncode() (*Configuration, []byte, error) {
	if err := p.validate(); err != nil {
		return nil, nil, err
	}
	b, err := json.Marshal(p)
	return p, b, failure.As(err, failure.InvalidArgument, "check policy", "")
}
