// The snapshot of all that the core holds.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file image_note.go
//msgp:shim ids.Seq as:uint64 using:uint64/ids.Seq
//msgp:shim ids.OpID as:string using:string/ids.OpID
//msgp:shim ids.Fence as:uint64 using:uint64/ids.Fence

// Image is a snapshot of all that the core holds.
type Image struct {
	Seq     ids.Seq
	Log     string
	Fence   ids.Fence
	Members []Member
	Grants  []Grant
	Ops     []Past
	Sheets  []string
	App     []byte
	Digest  []byte `msg:"Digest,omitempty"` // of the log up to Seq: see logDigest
}

// Past is the outcome an operation had.
type Past struct {
	Op   ids.OpID
	Seq  ids.Seq
	Body []byte
}
