// The messages of decrees: configurations, zones and drains.

package lore

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file decree.go
//msgp:shim word.Version as:uint64 using:uint64/word.Version
//msgp:shim word.Zone as:string using:string/word.Zone
//msgp:shim word.WorkerId as:string using:string/word.WorkerId

// Vacate empties a zone, or takes that back.
type Vacate struct {
	Zone word.Zone
	Out  bool
}

// Drain keeps new work from a worker, or takes that back.
type Drain struct {
	Worker word.WorkerId
	Out    bool
}

// Ruled is a version with its text.
type Ruled struct {
	Version word.Version
	Text    []byte
}

// Ruling answers a decree.
type Ruling struct {
	Version word.Version
}
