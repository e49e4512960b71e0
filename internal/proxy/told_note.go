// What the holder of the list answers.

package proxy

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file told_note.go
//msgp:shim ids.NodeID as:string using:string/ids.NodeID
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID

// ListReply has the rows only where the version differs: all, or as a Delta those that
// changed, and the workers that are Gone. Age is how long ago the platform was asked, and Took
// how long it took to answer, in nanoseconds. Reads and Ends are those of the other nodes;
// Stands, what changed after the number that was asked from, up to Stood. An Early answer has
// the change of the list alone, since it came before the rest was due. Node is who answers:
// at the address of a process that ended another may have started.
type ListReply struct {
	Node    ids.NodeID `msg:"Node,omitempty"`
	Version uint64     `msg:"Seq"`
	Age     int64
	Took    int64 `msg:"Took,omitempty"`
	Rows    []Row
	Delta   bool           `msg:"Delta,omitempty"`
	Gone    []ids.WorkerID `msg:"Gone,omitempty"`
	Reads   []Reads
	Ends    []Outcomes `msg:",omitempty"`
	Stood   uint64     `msg:"Stood,omitempty"`
	Stands  []Stands   `msg:"Stands,omitempty"`
	Early   bool       `msg:"Early,omitempty"`
}
