package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/golden"
)

// TestEncodings: every message and stored record of this package is encoded as in the first release that
// supports rolling upgrades. The keys are the names that the messages had in that release, under which
// testdata/encodings.txt lists them.
func TestEncodings(t *testing.T) {
	golden.Check(t, "testdata/encodings.txt", map[string]golden.Message{
		"Alarm":     &FaultNotice{},
		"Heard":     &Ack{},
		"ListAsk":   &ListRequest{},
		"ListReply": &ListResponse{},
		"Outcomes":  &Outcomes{},
		"Reads":     &PrefillLoad{},
		"Row":       &WorkerRow{},
		"Stand":     &WorkerLoad{},
		"Stands":    &ServiceLoads{},

		"UsageContent": &UsageContent{},
		"UsageCount":   &UsageCount{},
		"UsageReply":   &UsageResponse{},
		"UsageRow":     &UsageRow{},
		"UsageTell":    &UsageRequest{},
	})
}

// TestMethodNames: the RPC methods have the same names as in earlier releases.
func TestMethodNames(t *testing.T) {
	require.Equal(t, []string{
		"relay/alarm", "relay/list", "relay/alive", "relay/usage",
	}, []string{faultMethod, listMethod, pingMethod, usageMethod})
}
