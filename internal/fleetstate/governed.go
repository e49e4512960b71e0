// What the picture has of governed work.

package fleetstate

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file governed.go

// Governed is empty without regimes.
type Governed struct {
	// Certificates that were revoked, and the fleet's time.
	Revoked []Revocation `msg:"Revoked,omitempty"`
	Time    int64        `msg:"Time,omitempty"`
	// The open leaf of the audit record, how many rows there were, the newest one's hash.
	Audits     [][]byte `msg:"Audits,omitempty"`
	AuditCount int      `msg:"AuditCount,omitempty"`
	AuditHead  string   `msg:"AuditHead,omitempty"`
}
