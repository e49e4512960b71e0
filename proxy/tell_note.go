// The messages by which nodes tell the holder of the list what they have under way.

package proxy

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file tell_note.go
//msgp:shim ids.NodeId as:string using:string/ids.NodeId

// ListAsk tells which list a node has, its readings under way, up to where it has heard how
// the workers stand, and, from the node that asks them, how they do.
type ListAsk struct {
	Node   ids.NodeId
	Seq    uint64
	Reads  []Reads
	Ends   []Outcomes `msg:",omitempty"` // how sendings ended
	Stood  uint64     `msg:"Stood,omitempty"`
	Stands []Stands   `msg:"Stands,omitempty"`
}
