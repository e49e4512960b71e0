// The messages by which a version comes and is put in force.

package fleetstate

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file stage.go
//msgp:shim ids.Version as:uint64 using:uint64/ids.Version

// Stage brings a whole, checked policy, made over the version Base.
// Next is the number it gets; 0 is the one after Base. With Delta, Text is a Delta from
// the text of Base.
type Stage struct {
	Base  ids.Version
	Text  []byte
	Next  ids.Version
	Delta bool
}

// Activate puts a staged version in force.
type Activate struct {
	Version ids.Version
}
