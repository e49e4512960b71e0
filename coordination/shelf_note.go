// The messages that carry snapshots and sheets from one disk machine to another.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file shelf_note.go
//msgp:shim ids.Epoch as:uint64 using:uint64/ids.Epoch
//msgp:shim ids.Seq as:uint64 using:uint64/ids.Seq

// SnapshotAsk readies a backup for an epoch: with the place in the log alone, which is enough
// where the backup stands there too; with the entries after the backup's own place; or with
// the whole state.
type SnapshotAsk struct {
	Epoch   ids.Epoch
	From    Replica
	Body    []byte
	Seq     ids.Seq `msg:"Seq,omitempty"`
	Digest  []byte  `msg:"Digest,omitempty"`
	Entries []Entry `msg:"Entries,omitempty"` // those that end at Seq
}

// SheetAsk brings a sheet, or, without a body, asks for the one at a place.
type SheetAsk struct {
	Epoch ids.Epoch
	At    int
	Name  string
	Body  []byte
}

// SheetReply gives a sheet, and how many there are.
type SheetReply struct {
	Ok    bool
	Count int
	Name  string
	Body  []byte
}
