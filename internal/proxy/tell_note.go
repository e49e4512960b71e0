// The messages by which nodes tell the holder of the list what they have under way.

package proxy

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file tell_note.go
//msgp:shim ids.NodeID as:string using:string/ids.NodeID

// ListAsk tells which version of the list a node has, its readings under way, up to where it
// has heard how the workers stand, and, from the node that asks them, how they do. Deltas
// tells that it can put in changes, and Hold for how many ns the answer may wait for one. Of
// a node with others below it, Reads counts theirs too, and Below is what those saw.
type ListAsk struct {
	Node    ids.NodeID
	Version uint64 `msg:"Seq"`
	Reads   []Reads
	Ends    []Outcomes `msg:",omitempty"` // how sendings ended
	Below   []Outcomes `msg:",omitempty"`
	Stood   uint64     `msg:"Stood,omitempty"`
	Stands  []Stands   `msg:"Stands,omitempty"`
	Deltas  bool       `msg:"Deltas,omitempty"`
	Hold    int64      `msg:"Hold,omitempty"`
}
