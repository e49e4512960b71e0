// The messages of membership, duties and news.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file state_note.go
//msgp:shim ids.Seq as:uint64 using:uint64/ids.Seq
//msgp:shim ids.Fence as:uint64 using:uint64/ids.Fence
//msgp:shim ids.NodeID as:string using:string/ids.NodeID
//msgp:shim ids.Zone as:string using:string/ids.Zone
//msgp:shim ids.Key as:string using:string/ids.Key

// Member is a node that holds a lease, known under the address it answers on.
type Member struct {
	Node ids.NodeID
	Addr string
	Zone ids.Zone
}

// Grant says who does the duty of a key, under which fence.
type Grant struct {
	Key   ids.Key
	Node  ids.NodeID
	Fence ids.Fence
}
