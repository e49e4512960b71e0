// The two rounds that decide a record.

package crux

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file ballot_note.go
//msgp:shim word.Epoch as:uint64 using:uint64/word.Epoch
//msgp:shim word.Seq as:uint64 using:uint64/word.Seq
//msgp:shim word.DiskId as:string using:string/word.DiskId

// BallotAsk is either round: promise, or accept of Record.
type BallotAsk struct {
	Epoch    word.Epoch
	From     Seat
	Accept   bool
	Takeover bool
	Record   Record
}

type BallotReply struct {
	Ok       bool
	Promised word.Epoch
	Accepted Record
	Why      string
}
