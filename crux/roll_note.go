// The messages of membership, duties and news.

package crux

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file roll_note.go
//msgp:shim word.Seq as:uint64 using:uint64/word.Seq
//msgp:shim word.Fence as:uint64 using:uint64/word.Fence
//msgp:shim word.NodeId as:string using:string/word.NodeId
//msgp:shim word.Zone as:string using:string/word.Zone
//msgp:shim word.Key as:string using:string/word.Key

// Member is a node that holds a lease, known under the address it answers on.
type Member struct {
	Node word.NodeId
	Addr string
	Zone word.Zone
}

// Grant says who does the duty of a key, under which fence.
type Grant struct {
	Key   word.Key
	Node  word.NodeId
	Fence word.Fence
}
