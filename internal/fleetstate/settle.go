// The messages that end a deed, or pass it on.

package fleetstate

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file settle.go
//msgp:shim ids.NodeID as:string using:string/ids.NodeID
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID
//msgp:shim ids.Life as:string using:string/ids.Life
//msgp:shim ids.Fence as:uint64 using:uint64/ids.Fence

// Settle records the one outcome, and of governed work its audit record.
type Settle struct {
	Key   string
	Owner ids.NodeID
	Fate  string
	Out   []byte
	Audit []byte `msg:"Audit,omitempty"`
}

// Bind has an open claim run elsewhere, before it is resumed there.
type Bind struct {
	Key    string
	Owner  ids.NodeID
	Worker ids.WorkerID
	Life   ids.Incarnation
}

// Seize passes a dead node's claim to the holder of the settling duty.
type Seize struct {
	Key   string
	From  ids.NodeID
	To    ids.NodeID
	Fence ids.Fence
}
