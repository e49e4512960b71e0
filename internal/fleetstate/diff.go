// This file lists the differences between two configurations field by field.

package fleetstate

import (
	"encoding/json"
	"fmt"
	"sort"

	"keelstair.example/failure"
)

// DiffJSON lists the fields that differ between two JSON texts, one line each: + marks an added
// field, - a removed one and ~ a changed one.
func DiffJSON(previous, next []byte) ([]string, error) {
	var a, b any
	if err := json.Unmarshal(previous, &a); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "diff policies", "old")
	}
	if err := json.Unmarshal(next, &b); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "diff policies", "new")
	}
	var out []string
	diffValues("", a, b, &out)
	return out, nil
}

// diffValues appends the differences between two decoded JSON values at path.
func diffValues(path string, a, b any, out *[]string) {
	fieldsA, okA := a.(map[string]any)
	fieldsB, okB := b.(map[string]any)
	if !okA || !okB {
		textA, _ := json.Marshal(a)
		textB, _ := json.Marshal(b)
		if string(textA) != string(textB) {
			*out = append(*out, fmt.Sprintf("~ %s: %s -> %s", path, textA, textB))
		}
		return
	}
	keys := map[string]bool{}
	for k := range fieldsA {
		keys[k] = true
	}
	for k := range fieldsB {
		keys[k] = true
	}
	names := make([]string, 0, len(keys))
	for k := range keys {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		fieldPath := k
		if path != "" {
			fieldPath = path + "." + k
		}
		valueA, inA := fieldsA[k]
		valueB, inB := fieldsB[k]
		switch {
		case !inA:
			text, _ := json.Marshal(valueB)
			*out = append(*out, fmt.Sprintf("+ %s: %s", fieldPath, text))
		case !inB:
			*out = append(*out, "- "+fieldPath)
		default:
			diffValues(fieldPath, valueA, valueB, out)
		}
	}
}
