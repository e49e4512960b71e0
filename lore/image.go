// The picture of all that is agreed on.

package lore

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file image.go
//msgp:shim word.Fence as:uint64 using:uint64/word.Fence

type Image struct {
	Active  Ruled
	Staged  []Ruled
	Zones   []string
	Drained []string
	Turning []Turn
	// Zones taken back of late, and how many times one ever was.
	Failbacks []Failback
	Returns   uint64
	Fence     word.Fence
	Deeds     []Deed
	// The program set in force, and those that are staged.
	Programs        Ruled
	ProgramsPending []Ruled
	// Rows of the open leaf, and how many deeds there are in all.
	Rows  []byte
	Count int
	Governed
}
