// The messages that end a deed, or pass it on.

package lore

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file settle.go
//msgp:shim word.NodeId as:string using:string/word.NodeId
//msgp:shim word.WorkerId as:string using:string/word.WorkerId
//msgp:shim word.Life as:string using:string/word.Life
//msgp:shim word.Fence as:uint64 using:uint64/word.Fence

// Settle records the one outcome, and of governed work its audit record.
type Settle struct {
	Key   string
	Owner word.NodeId
	Fate  string
	Out   []byte
	Audit []byte `msg:"Audit,omitempty"`
}

// Bind has an open claim run elsewhere, before it is resumed there.
type Bind struct {
	Key    string
	Owner  word.NodeId
	Worker word.WorkerId
	Life   word.Life
}

// Seize passes a dead node's claim to the holder of the settling duty.
type Seize struct {
	Key   string
	From  word.NodeId
	To    word.NodeId
	Fence word.Fence
}
