// The record that the registers decide.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file record_note.go
//msgp:shim ids.Epoch as:uint64 using:uint64/ids.Epoch

// Record is what the registers decide: who leads in an epoch.
type Record struct {
	Epoch    ids.Epoch
	Founding string
	Primary  Replica
	Backup   Replica
	Holders  []Replica
	Also     []Replica // further backups, where more than one machine may be lost at once
	Before   []Replica `msg:"Before,omitempty"` // the holders before a change of them that is not known to be decided
}
