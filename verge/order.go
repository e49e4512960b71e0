// The messages between nodes: orders for a worker's one holder, and beats.

package verge

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file order.go
//msgp:shim word.Version as:uint64 using:uint64/word.Version
//msgp:shim word.Part as:string using:string/word.Part
//msgp:shim word.WorkerId as:string using:string/word.WorkerId

// OrderAsk is one order. Body is the identity, as the worker will read it. Regime and the
// part that the worker plays are set for governed work alone.
type OrderAsk struct {
	Worker  word.WorkerId
	Verb    string
	Version word.Version
	Request string
	Attempt int
	Need    int
	Source  word.WorkerId
	Body    []byte
	Regime  string    `msg:"Regime,omitempty"`
	Part    word.Part `msg:"Part,omitempty"`
}

// OrderReply is the worker's answer.
type OrderReply struct {
	Version word.Version
	Body    []byte
}

// Spent answers an asking for a token of the retry budget.
type Spent struct {
	Ok bool
}
