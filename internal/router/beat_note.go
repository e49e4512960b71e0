// The messages of beats, by which neighbours tell each other what they know.

package router

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file beat_note.go
//msgp:shim ids.Version as:uint64 using:uint64/ids.Version
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID
//msgp:shim ids.NodeID as:string using:string/ids.NodeID
//msgp:shim ids.Fence as:uint64 using:uint64/ids.Fence
//msgp:shim ids.Incarnation as:string using:string/ids.Incarnation
//msgp:shim ids.Role as:string using:string/ids.Role

// Beat says which version a node has heard of, how long ago the core confirmed
// it, how the workers stand whose ledgers it keeps, and which workers leave by the
// platform's list, if that was had lately.
type Beat struct {
	Node    ids.NodeID
	Version ids.Version
	Fresh   int64
	Workers []Stand
	Leaving []ids.WorkerID
}

// Stand is one ledger's state.
type Stand struct {
	ID    ids.WorkerID `msg:"Id"`
	Fence ids.Fence
	Part  ids.Role
	Ready bool
	Free  int
	Room  int
	Busy  int
	Work  int
	Used  int
	Cap   int
	Block int
	Life  ids.Incarnation
}
