// The picture of all that the core holds.

package crux

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file image_note.go
//msgp:shim word.Seq as:uint64 using:uint64/word.Seq
//msgp:shim word.OpId as:string using:string/word.OpId
//msgp:shim word.Fence as:uint64 using:uint64/word.Fence

// Image is a picture of all that the core holds.
type Image struct {
	Seq     word.Seq
	Log     string
	Fence   word.Fence
	Members []Member
	Grants  []Grant
	Ops     []Past
	Sheets  []string
	App     []byte
}

// Past is the outcome an operation had.
type Past struct {
	Op   word.OpId
	Seq  word.Seq
	Body []byte
}
