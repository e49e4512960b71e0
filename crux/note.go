// The messages of the register, of replication and of finding one another.

package crux

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file note.go
//msgp:shim word.Epoch as:uint64 using:uint64/word.Epoch
//msgp:shim word.Seq as:uint64 using:uint64/word.Seq
//msgp:shim word.DiskId as:string using:string/word.DiskId
//msgp:shim word.Zone as:string using:string/word.Zone

// Seat is a disk machine: its identity and where it listens now.
type Seat struct {
	Disk word.DiskId
	Addr string
	Zone word.Zone
}
