package fleetstate

import (
	"testing"

	"keelstair.example/internal/golden"
)

// TestEncodings checks that every message and stored record of this package has the same encoding
// as in the first release that supports rolling upgrades. The file uses the names that the messages
// had in that release.
func TestEncodings(t *testing.T) {
	golden.Check(t, "testdata/encodings.txt", map[string]golden.Message{
		"Activate":     &CommitVersion{},
		"Audit":        &AppendAudit{},
		"Audits":       &AuditQuery{},
		"AuditsReply":  &AuditQueryReply{},
		"Bind":         &AssignWorker{},
		"Claim":        &Claim{},
		"ClaimReply":   &ClaimReply{},
		"Clock":        &AdvanceClock{},
		"Deed":         &IdempotencyRecord{},
		"Delta":        &Delta{},
		"Drain":        &Drain{},
		"DutyAct":      &DutyAction{},
		"DutyReply":    &DutyRoundReply{},
		"DutyRound":    &DutyRound{},
		"DutySubject":  &DutySubject{},
		"Failback":     &Failback{},
		"Governed":     &CertificationState{},
		"Hunk":         &Hunk{},
		"Image":        &EncodedState{},
		"OrderMemory":  &RevisionHistory{},
		"OutcomeAsk":   &OutcomeQuery{},
		"Revocation":   &Revocation{},
		"Revoke":       &Revoke{},
		"Ruled":        &VersionedText{},
		"Ruling":       &VersionReply{},
		"Seal":         &ConfirmRevocation{},
		"Seize":        &TakeOver{},
		"Settle":       &Resolve{},
		"Stage":        &PrepareVersion{},
		"Turn":         &RoleChange{},
		"Vacate":       &Evacuate{},
		"Warmed":       &SlowStartEnded{},
		"ZoneRevision": &ZoneRevision{},
	})
}
