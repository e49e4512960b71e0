// What one configuration would change over another, line by line.

package fleetstate

import (
	"encoding/json"
	"fmt"
	"sort"

	"keelstair.example/failure"
)

// DiffJSON lists the fields that differ: + comes, - goes, ~ changes.
func DiffJSON(previous, new []byte) ([]string, error) {
	var a, b any
	if err := json.Unmarshal(previous, &a); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "diff policies", "old")
	}
	if err := json.Unmarshal(new, &b); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "diff policies", "new")
	}
	var out []string
	diffValues("", a, b, &out)
	return out, nil
}

func diffValues(path string, a, b any, out *[]string) {
	x, okA := a.(map[string]any)
	y, okB := b.(map[string]any)
	if !okA || !okB {
		l, _ := json.Marshal(a)
		r, _ := json.Marshal(b)
		if string(l) != string(r) {
			*out = append(*out, fmt.Sprintf("~ %s: %s -> %s", path, l, r))
		}
		return
	}
	keys := map[string]bool{}
	for k := range x {
		keys[k] = true
	}
	for k := range y {
		keys[k] = true
	}
	names := make([]string, 0, len(keys))
	for k := range keys {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		at := k
		if path != "" {
			at = path + "." + k
		}
		l, inA := x[k]
		r, inB := y[k]
		switch {
		case !inA:
			v, _ := json.Marshal(r)
			*out = append(*out, fmt.Sprintf("+ %s: %s", at, v))
		case !inB:
			*out = append(*out, "- "+at)
		default:
			diffValues(at, l, r, out)
		}
	}
}
