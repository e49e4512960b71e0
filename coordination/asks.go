// The messages between the core and those who live by it: submitting a
// command, asking where the core is.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file asks.go
//msgp:shim ids.OpID as:string using:string/ids.OpID
//msgp:shim ids.Seq as:uint64 using:uint64/ids.Seq

// SubmitAsk asks for one command. Asking again with the same Op gives the
// outcome that the first asking had.
type SubmitAsk struct {
	Op   ids.OpID
	Kind string
	Body []byte
}

// SubmitReply is the outcome of a command: its number in the log, and what Apply gave.
type SubmitReply struct {
	Seq  ids.Seq
	Body []byte
	Code string
	Why  string
}

// WhereAsk is asked of anyone by anyone; both sides learn.
type WhereAsk struct {
	Me      Replica
	Blank   bool
	Record  Record
	Seats   []Replica
	Members []Member
	Seq     ids.Seq // of the log, that the members are as of
	Leaving bool    `msg:"Leaving,omitempty"` // it is about to end and takes on nothing new
}

// Empty is a message that says nothing.
type Empty struct{}
