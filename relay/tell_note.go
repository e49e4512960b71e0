// The messages by which nodes tell the holder of the list what they have under way.

package relay

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file tell_note.go
//msgp:shim word.NodeId as:string using:string/word.NodeId

// ListAsk tells which list a node has, and its readings under way.
type ListAsk struct {
	Node  word.NodeId
	Seq   uint64
	Reads []Reads
	Ends  []Outcomes `msg:",omitempty"` // how sendings ended
}

// ListReply has the rows only where they are newer; Age is how long ago the platform was
// asked, in nanoseconds. Reads and Ends are those of the other nodes.
type ListReply struct {
	Seq   uint64
	Age   int64
	Rows  []Row
	Reads []Reads
	Ends  []Outcomes `msg:",omitempty"`
}
