// This file applies a partial configuration to one that is already validated. Only the entries that
// the partial configuration changes are validated against the schema again, so that many small
// changes to a large configuration stay fast. Constraints between fields are checked on the complete
// configuration.

package fleetstate

import (
	"encoding/json"
	"maps"

	"keelstair.example/failure"
)

// maxEntries is the maximum total number of workers, kinds, programs and certificates. Validating a
// complete configuration of this size takes about half a second.
const maxEntries = 3000

// keyedSections are the sections of a configuration that are validated entry by entry.
var keyedSections = []string{"workers", "kinds", "programs"}

// Overlay merges a partial configuration into a validated complete one. The result is the one that
// ParseComplete returns for the merged text.
func Overlay(name string, complete, partial []byte) (*Configuration, []byte, error) {
	merged, err := Merge(complete, partial)
	if err != nil {
		return nil, nil, err
	}
	var mergedFields, changedFields map[string]json.RawMessage
	if json.Unmarshal(merged, &mergedFields) != nil || json.Unmarshal(partial, &changedFields) != nil {
		return ParseComplete(name, merged)
	}
	// A change to one of these sections requires the validation of the complete configuration.
	for _, k := range []string{"routes", "services", "intake", "tenants", "regimes", "issuers", "certificates"} {
		if _, ok := changedFields[k]; ok {
			return ParseComplete(name, merged)
		}
	}
	toValidate := maps.Clone(changedFields)
	for _, k := range []string{"zones", "limits", "switch"} {
		if v, ok := mergedFields[k]; ok {
			toValidate[k] = v
		} else {
			delete(toValidate, k)
		}
	}
	removedEntries := map[string][]string{}
	for _, section := range keyedSections {
		changed, removed, ok := changedEntries(changedFields[section], mergedFields[section])
		if !ok {
			return ParseComplete(name, merged)
		}
		removedEntries[section] = removed
		if toValidate[section], err = json.Marshal(changed); err != nil {
			return nil, nil, failure.As(err, failure.InvalidArgument, "check policy", name)
		}
	}
	text, err := json.Marshal(toValidate)
	if err != nil {
		return nil, nil, failure.As(err, failure.InvalidArgument, "check policy", name)
	}
	validated, err := parseWithSchema(name, text)
	if err != nil {
		return nil, nil, err
	}
	cfg := &Configuration{}
	if err := json.Unmarshal(complete, cfg); err != nil {
		return nil, nil, failure.As(err, failure.InvalidArgument, "read policy", name)
	}
	applyEntries(cfg.Workers, validated.Workers, removedEntries["workers"])
	applyEntries(cfg.Kinds, validated.Kinds, removedEntries["kinds"])
	applyEntries(cfg.Programs, validated.Programs, removedEntries["programs"])
	cfg.Zones, cfg.Limits, cfg.RoleChangesEnabled = validated.Zones, validated.Limits, validated.RoleChangesEnabled
	return cfg.validateAndEncode()
}

// changedEntries returns the merged form of the entries that a section of a partial configuration
// changes, and the ids of those that it removes. If the section cannot be processed entry by entry,
// ok is false.
func changedEntries(
	partial, merged json.RawMessage,
) (changed map[string]json.RawMessage, removed []string, ok bool) {
	var partialEntries, mergedEntries map[string]json.RawMessage
	if partial != nil && (json.Unmarshal(partial, &partialEntries) != nil || partialEntries == nil) {
		return nil, nil, false
	}
	if json.Unmarshal(merged, &mergedEntries) != nil {
		return nil, nil, false
	}
	changed = map[string]json.RawMessage{}
	for id := range partialEntries {
		if entry, kept := mergedEntries[id]; kept {
			changed[id] = entry
		} else {
			removed = append(removed, id)
		}
	}
	return changed, removed, true
}

// applyEntries sets the changed entries of a section and deletes the removed ones.
func applyEntries[K ~string, V any](entries, changed map[K]V, removed []string) {
	maps.Copy(entries, changed)
	for _, id := range removed {
		delete(entries, K(id))
	}
}

// validateAndEncode checks the constraints between fields and returns the configuration with its
// JSON form.
func (cfg *Configuration) validateAndEncode() (*Configuration, []byte, error) {
	if err := cfg.validate(); err != nil {
		return nil, nil, err
	}
	b, err := json.Marshal(cfg)
	return cfg, b, failure.As(err, failure.InvalidArgument, "check policy", "")
}
