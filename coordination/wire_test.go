package coordination

import (
	"testing"

	"keelstair.example/internal/golden"
)

// TestEncodings: every message and stored record of this package has the encoding that it had
// in the first release with a rolling upgrade. The names on file are those of that release.
func TestEncodings(t *testing.T) {
	golden.Check(t, "testdata/encodings.txt", map[string]golden.Message{
		"AppendAsk":   &AppendAsk{},
		"AppendReply": &AppendReply{},
		"BallotAsk":   &BallotAsk{},
		"BallotReply": &BallotReply{},
		"Deal":        &Deal{},
		"Empty":       &Empty{},
		"Entry":       &Entry{},
		"Grant":       &Grant{},
		"Image":       &Image{},
		"LeadAsk":     &LeadAsk{},
		"LeadReply":   &LeadReply{},
		"LeaveAsk":    &LeaveAsk{},
		"LeaveReply":  &LeaveReply{},
		"Member":      &Member{},
		"NewsAsk":     &NewsAsk{},
		"NewsReply":   &NewsReply{},
		"Past":        &Past{},
		"Record":      &Record{},
		"RenewAsk":    &RenewAsk{},
		"RenewReply":  &RenewReply{},
		"Replica":     &Replica{},
		"SheetAsk":    &SheetAsk{},
		"SheetReply":  &SheetReply{},
		"SnapshotAsk": &SnapshotAsk{},
		"SubmitAsk":   &SubmitAsk{},
		"SubmitReply": &SubmitReply{},
		"WhereAsk":    &WhereAsk{},
	})
}
