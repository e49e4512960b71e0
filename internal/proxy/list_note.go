// The messages by which one node's list of workers reaches the others.

package proxy

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file list_note.go
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID
//msgp:shim ids.Zone as:string using:string/ids.Zone
//msgp:shim ids.Role as:string using:string/ids.Role

// Row is one worker of the list; Cold is in nanoseconds from the asking on.
type Row struct {
	ID      ids.WorkerID `msg:"Id"`
	Service string
	Addr    string
	Zone    ids.Zone
	Part    ids.Role
	Slots   int
	Leaving bool
	Cold    int64
}
