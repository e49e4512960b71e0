// The messages that carry the log: entries from primary to backup.

package crux

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file entry.go
//msgp:shim word.Epoch as:uint64 using:uint64/word.Epoch
//msgp:shim word.Seq as:uint64 using:uint64/word.Seq
//msgp:shim word.DiskId as:string using:string/word.DiskId
//msgp:shim word.OpId as:string using:string/word.OpId

// Entry is one command in the log. Open entries are also news for followers;
// a closed one shows there as its number only.
type Entry struct {
	Seq  word.Seq
	Open bool
	Kind string
	Op   word.OpId
	Body []byte
}

type AppendAsk struct {
	Epoch   word.Epoch
	From    Seat
	Prev    word.Seq
	Entries []Entry
}

type AppendReply struct {
	Disk     word.DiskId // who answers a beat
	Ok       bool
	Last     word.Seq
	Promised word.Epoch
	Lacks    []string
}
