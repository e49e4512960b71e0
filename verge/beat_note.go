// The messages of beats, by which neighbours tell each other what they know.

package verge

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file beat_note.go
//msgp:shim word.Version as:uint64 using:uint64/word.Version
//msgp:shim word.WorkerId as:string using:string/word.WorkerId
//msgp:shim word.NodeId as:string using:string/word.NodeId
//msgp:shim word.Fence as:uint64 using:uint64/word.Fence
//msgp:shim word.Life as:string using:string/word.Life
//msgp:shim word.Part as:string using:string/word.Part

// Beat says which version a node has heard of, how long ago the core confirmed
// it, how the workers stand whose ledgers it keeps, and which workers leave by the
// platform's list, if that was had lately.
type Beat struct {
	Node    word.NodeId
	Version word.Version
	Fresh   int64
	Workers []Stand
	Leaving []word.WorkerId
}

// Stand is one ledger's state.
type Stand struct {
	Id    word.WorkerId
	Fence word.Fence
	Part  word.Part
	Ready bool
	Free  int
	Room  int
	Busy  int
	Work  int
	Used  int
	Cap   int
	Block int
	Life  word.Life
}
