package fleetstate

import (
	"testing"

	"keelstair.example/internal/golden"
)

// TestEncodings: every message and stored record of this package has the encoding that it had
// in the first release with a rolling upgrade. The names on file are those of that release.
func TestEncodings(t *testing.T) {
	golden.Check(t, "testdata/encodings.txt", map[string]golden.Message{
		"Activate":     &Activate{},
		"Audit":        &Audit{},
		"Audits":       &Audits{},
		"AuditsReply":  &AuditsReply{},
		"Bind":         &Bind{},
		"Claim":        &Claim{},
		"ClaimReply":   &ClaimReply{},
		"Clock":        &Clock{},
		"Deed":         &Deed{},
		"Delta":        &Delta{},
		"Drain":        &Drain{},
		"Failback":     &Failback{},
		"Governed":     &Governed{},
		"Hunk":         &Hunk{},
		"Image":        &Image{},
		"OrderMemory":  &OrderMemory{},
		"OutcomeAsk":   &OutcomeAsk{},
		"Revocation":   &Revocation{},
		"Revoke":       &Revoke{},
		"Ruled":        &Ruled{},
		"Ruling":       &Ruling{},
		"Seal":         &Seal{},
		"Seize":        &Seize{},
		"Settle":       &Settle{},
		"Stage":        &Stage{},
		"Turn":         &Turn{},
		"Vacate":       &Vacate{},
		"Warmed":       &Warmed{},
		"ZoneRevision": &ZoneRevision{},
	})
}
