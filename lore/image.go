// The picture of all that is agreed on.

package lore

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file image.go
//msgp:shim word.Fence as:uint64 using:uint64/word.Fence

type Image struct {
	Active  Ruled
	Staged  []Ruled
	Zones   []string
	Drained []string
	Turning []Turn
	Fence   word.Fence
	Deeds   []Deed
	// Rows of the open leaf, and how many deeds there are in all.
	Rows  []byte
	Count int
	// Certificates that were revoked, and the fleet's time; neither without regimes.
	Revoked []Revocation `msg:"Revoked,omitempty"`
	Time    int64        `msg:"Time,omitempty"`
	// The open leaf of the audit record, how many rows there were, the newest one's hash.
	Audits     [][]byte `msg:"Audits,omitempty"`
	AuditCount int      `msg:"AuditCount,omitempty"`
	AuditHead  string   `msg:"AuditHead,omitempty"`
}
