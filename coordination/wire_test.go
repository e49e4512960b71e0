package coordination

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/golden"
)

// TestEncodings checks that every message and stored record of this package has the encoding of the
// first release that supported rolling upgrades. The names in testdata are those of that release.
func TestEncodings(t *testing.T) {
	golden.Check(t, "testdata/encodings.txt", map[string]golden.Message{
		"AppendAsk":   &AppendRequest{},
		"AppendReply": &AppendResponse{},
		"BallotAsk":   &BallotRequest{},
		"BallotReply": &BallotResponse{},
		"Deal":        &Assignment{},
		"Empty":       &Empty{},
		"Entry":       &Entry{},
		"Grant":       &Grant{},
		"Image":       &Snapshot{},
		"LeadAsk":     &TransferRequest{},
		"LeadReply":   &TransferResponse{},
		"LeaveAsk":    &LeaveRequest{},
		"LeaveReply":  &LeaveResponse{},
		"Member":      &Member{},
		"NewsAsk":     &WatchRequest{},
		"NewsReply":   &WatchResponse{},
		"Past":        &Outcome{},
		"Record":      &Record{},
		"RenewAsk":    &RenewRequest{},
		"RenewReply":  &RenewResponse{},
		"Replica":     &Replica{},
		"SheetAsk":    &ChunkRequest{},
		"SheetReply":  &ChunkResponse{},
		"SnapshotAsk": &CatchUpRequest{},
		"SubmitAsk":   &SubmitRequest{},
		"SubmitReply": &SubmitResponse{},
		"WhereAsk":    &PeerExchange{},
		"WhereQuery":  &PeerExchangeRequest{},
	})
}

// TestMethodNames checks that the names of the RPC methods are those of earlier releases.
func TestMethodNames(t *testing.T) {
	require.Equal(t, []string{
		"crux/ballot", "crux/append", "crux/beat", "crux/picture", "crux/sheet", "crux/lead", "crux/leave",
		"crux/submit", "crux/renew", "crux/news", "crux/where",
	}, []string{
		ballotMethod, appendMethod, heartbeatMethod, catchUpMethod, chunkMethod, transferMethod, leaveMethod,
		SubmitMethod, RenewMethod, WatchMethod, ExchangeMethod,
	})
}

// TestExchangeJSON checks that a controller's /v1/status uses the JSON names of earlier releases.
func TestExchangeJSON(t *testing.T) {
	golden.CheckJSON(t, "testdata/exchange.json", &PeerExchange{})
}
