// What nodes tell each other of the readings that they have under way.

package proxy

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file reads_note.go
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID

// Reads is what a node, or all but the one that asks, have under way at a reading worker.
type Reads struct {
	ID     ids.WorkerID `msg:"Id"`
	Tokens int
	Count  int
}
