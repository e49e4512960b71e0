// The messages by which one node's list of workers reaches the others.

package relay

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file list_note.go
//msgp:shim word.WorkerId as:string using:string/word.WorkerId
//msgp:shim word.Zone as:string using:string/word.Zone
//msgp:shim word.Part as:string using:string/word.Part

// Row is one worker of the list; Cold is in nanoseconds from the asking on.
type Row struct {
	Id      word.WorkerId
	Service string
	Addr    string
	Zone    word.Zone
	Part    word.Part
	Slots   int
	Leaving bool
	Cold    int64
}
