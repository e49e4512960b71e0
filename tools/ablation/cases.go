// Package ablation holds the cases of make ablate. Each case disables one mechanism in a copy of the tree by
// replacing text, and names the test that must then fail.
package ablation

import (
	_ "embed"
	"encoding/json"
)

// Case is one text replacement.
type Case struct {
	Name    string `json:"name"`
	File    string `json:"file"` // path relative to the root of the repository
	Old     string `json:"old"`
	New     string `json:"new"`
	Package string `json:"package"`
	Test    string `json:"test"` // a pattern for the -run flag of go test
}

//go:embed cases.json
var casesJSON []byte

// Cases returns all cases in the order of the file.
func Cases() ([]Case, error) {
	var cases []Case
	err := json.Unmarshal(casesJSON, &cases)
	return cases, err
}
