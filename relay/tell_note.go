// The messages by which nodes tell the holder of the list what they have under way.

package relay

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file tell_note.go
//msgp:shim word.NodeId as:string using:string/word.NodeId
//msgp:shim word.WorkerId as:string using:string/word.WorkerId

// Reads is what a node, or all but the one that asks, have under way at a reading worker.
type Reads struct {
	Id     word.WorkerId
	Tokens int
	Count  int
}

// ListAsk tells which list a node has, its readings under way, up to where it has heard how
// the workers stand, and, from the node that asks them, how they do.
type ListAsk struct {
	Node   word.NodeId
	Seq    uint64
	Reads  []Reads
	Stood  uint64   `msg:"Stood,omitempty"`
	Stands []Stands `msg:"Stands,omitempty"`
}
