// The messages of the feed: news from a place on, or a snapshot to start from.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file news_note.go
//msgp:shim ids.Epoch as:uint64 using:uint64/ids.Epoch
//msgp:shim ids.Seq as:uint64 using:uint64/ids.Seq

// NewsAsk asks for the entries after a number, waiting so many nanoseconds for the first one.
type NewsAsk struct {
	From ids.Seq
	Wait int64
}

// NewsReply brings entries up to the number Seq, or, where they are not kept any more, a
// snapshot of the open part of the state.
type NewsReply struct {
	Seq      ids.Seq
	Snapshot []byte `msg:"Picture"` // the name on the wire is that of earlier releases
	Entries  []Entry
	Epoch    ids.Epoch `msg:"Epoch,omitempty"` // in which the news was decided last
}
