// The two rounds that decide a record.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file ballot_note.go
//msgp:shim ids.Epoch as:uint64 using:uint64/ids.Epoch
//msgp:shim ids.Seq as:uint64 using:uint64/ids.Seq
//msgp:shim ids.DiskID as:string using:string/ids.DiskID

// BallotAsk is either round: promise, or accept of Record.
type BallotAsk struct {
	Epoch    ids.Epoch
	From     Replica
	Accept   bool
	Takeover bool
	Record   Record
}

// BallotReply is a register as it stands after either round. It is also what a disk keeps
// of the register.
type BallotReply struct {
	Ok         bool
	Promised   ids.Epoch
	Accepted   Record
	Why        string
	PromisedTo ids.DiskID `msg:"PromisedTo,omitempty"` // the replica that the promise was given to
}
