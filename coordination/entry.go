// The messages that carry the log: entries from primary to backup.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file entry.go
//msgp:shim ids.Epoch as:uint64 using:uint64/ids.Epoch
//msgp:shim ids.Seq as:uint64 using:uint64/ids.Seq
//msgp:shim ids.DiskID as:string using:string/ids.DiskID
//msgp:shim ids.OpID as:string using:string/ids.OpID

// Entry is one command in the log. Open entries are also news for followers;
// a closed one shows there as its number only.
type Entry struct {
	Seq  ids.Seq
	Open bool
	Kind string
	Op   ids.OpID
	Body []byte
}

// AppendAsk brings the entries that follow the number Prev to a backup, or, without any, is a
// heartbeat of the primary of an epoch.
type AppendAsk struct {
	Epoch   ids.Epoch
	From    Replica
	Prev    ids.Seq
	Entries []Entry
}

// AppendReply tells how far a replica's log reaches, and the epoch that it has promised.
type AppendReply struct {
	Disk     ids.DiskID // who answers a beat
	Ok       bool
	Last     ids.Seq
	Promised ids.Epoch
	Lacks    []string
	Behind   bool   `msg:"Behind,omitempty"` // more than the place in the log is needed
	Digest   []byte `msg:"Digest,omitempty"` // of the log up to Last
}
