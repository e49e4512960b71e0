// The messages by which a version comes and is put in force.

package lore

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file stage.go
//msgp:shim word.Version as:uint64 using:uint64/word.Version

// Stage brings a whole, checked policy, made over the version Base.
// Next is the number it gets; 0 is the one after Base. With Delta, Text is a Delta from
// the text of Base.
type Stage struct {
	Base  word.Version
	Text  []byte
	Next  word.Version
	Delta bool
}

// Activate puts a staged version in force.
type Activate struct {
	Version word.Version
}
