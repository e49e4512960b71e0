// The messages between nodes: orders for a worker's one holder, and beats.

package router

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file order.go
//msgp:shim ids.Version as:uint64 using:uint64/ids.Version
//msgp:shim ids.Role as:string using:string/ids.Role
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID

// OrderAsk is one order. Body is the identity, as the worker will read it. Regime and the
// part that the worker plays are set for governed work alone.
type OrderAsk struct {
	Worker  ids.WorkerID
	Verb    string
	Version ids.Version
	Request string
	Attempt int
	Need    int
	Source  ids.WorkerID
	Body    []byte
	Regime  string   `msg:"Regime,omitempty"`
	Part    ids.Role `msg:"Part,omitempty"`
}

// OrderReply is the worker's answer.
type OrderReply struct {
	Version ids.Version
	Body    []byte
}

// Spent answers an asking for a token of the retry budget.
type Spent struct {
	Ok bool
}
