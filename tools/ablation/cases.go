// Package ablation has the cases of make ablate: each takes one mechanism away in a copy of the
// tree, by a replacement of text, and names the test that must fail then.
package ablation

import (
	_ "embed"
	"encoding/json"
)

// Case is one replacement.
type Case struct {
	Name    string `json:"name"`
	File    string `json:"file"` // below the root
	Old     string `json:"old"`
	New     string `json:"new"`
	Package string `json:"package"`
	Test    string `json:"test"` // a pattern as go test takes it
}

//go:embed cases.json
var casesJSON []byte

// Cases gives all cases, in order.
func Cases() ([]Case, error) {
	var list []Case
	err := json.Unmarshal(casesJSON, &list)
	return list, err
}
