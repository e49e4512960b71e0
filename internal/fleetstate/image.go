// The picture of all that is agreed on.

package fleetstate

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file image.go
//msgp:shim ids.Fence as:uint64 using:uint64/ids.Fence

type Image struct {
	Active  Ruled
	Staged  []Ruled
	Zones   []string
	Drained []string
	Turning []Turn
	// Zones taken back of late, and how many times one ever was.
	Failbacks []Failback
	Returns   uint64
	Fence     ids.Fence
	Deeds     []Deed
	// The program set in force, and those that are staged.
	Programs        Ruled
	ProgramsPending []Ruled
	// Rows of the open leaf, and how many deeds there are in all.
	Rows  []byte
	Count int
	Governed
	OrderMemory
}
