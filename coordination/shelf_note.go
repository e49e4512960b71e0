// The messages that carry pictures and sheets from one disk machine to another.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file shelf_note.go
//msgp:shim ids.Epoch as:uint64 using:uint64/ids.Epoch

type PictureAsk struct {
	Epoch ids.Epoch
	From  Seat
	Body  []byte
}

// SheetAsk brings a sheet, or, without a body, asks for the one at a place.
type SheetAsk struct {
	Epoch ids.Epoch
	At    int
	Name  string
	Body  []byte
}

type SheetReply struct {
	Ok    bool
	Count int
	Name  string
	Body  []byte
}
