package proxy

import (
	"testing"

	"keelstair.example/internal/golden"
)

// TestEncodings: every message and stored record of this package has the encoding that it had
// in the first release with a rolling upgrade. The names on file are those of that release.
func TestEncodings(t *testing.T) {
	golden.Check(t, "testdata/encodings.txt", map[string]golden.Message{
		"Alarm":     &Alarm{},
		"Heard":     &Heard{},
		"ListAsk":   &ListAsk{},
		"ListReply": &ListReply{},
		"Outcomes":  &Outcomes{},
		"Reads":     &Reads{},
		"Row":       &Row{},
		"Stand":     &Stand{},
		"Stands":    &Stands{},
	})
}
