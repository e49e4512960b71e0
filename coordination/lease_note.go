// The messages by which a lease is renewed and keys are given back.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file lease_note.go
//msgp:shim ids.Seq as:uint64 using:uint64/ids.Seq
//msgp:shim ids.Fence as:uint64 using:uint64/ids.Fence
//msgp:shim ids.NodeID as:string using:string/ids.NodeID
//msgp:shim ids.Zone as:string using:string/ids.Zone
//msgp:shim ids.Key as:string using:string/ids.Key

// RenewAsk renews a lease, says how far the node has folded the news, and
// gives back keys it no longer acts under.
type RenewAsk struct {
	Me   Member
	Seen ids.Seq
	Done []Grant
	Bye  bool
	Time int64 `msg:"Time,omitempty"` // the machine's is no lower, as the node counts
}

// RenewReply lists the keys that the node should give back. Time is the machine's, if
// it keeps one: see Timekeeper.
type RenewReply struct {
	Seq  ids.Seq
	Drop []Grant
	Time int64 `msg:"Time,omitempty"`
}

// Deal hands keys to nodes; the fences are set as it is applied.
type Deal struct {
	Grants []Grant
}
