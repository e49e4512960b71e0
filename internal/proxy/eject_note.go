// What nodes tell each other of how their sendings to a worker ended.

package proxy

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file eject_note.go
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID
//msgp:tuple Outcomes

// Outcomes are sendings to a worker of late that ended, and those that it failed, both in
// tenths and fading; Nodes is how many nodes saw it fail.
type Outcomes struct {
	ID     ids.WorkerID `msg:"Id"`
	Sent   int
	Failed int
	Nodes  int
}
