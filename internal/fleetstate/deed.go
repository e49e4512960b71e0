// The messages of deeds: a claim before anything runs, one outcome after.

package fleetstate

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file deed.go
//msgp:shim ids.NodeID as:string using:string/ids.NodeID
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID
//msgp:shim ids.Life as:string using:string/ids.Life

// Deed is one ruling or verdict by its caller's key. It runs at no other worker, and
// in no other life of that one, than it names.
type Deed struct {
	Key    string
	Owner  ids.NodeID
	Worker ids.WorkerID
	Life   ids.Incarnation
	Digest string
	Fate   string
	Out    []byte
	// Aged: only the fate is known any more, and the digest if it is the asker's.
	Aged bool
}

// Fates of a deed. Once it is not Claimed any more it never changes.
const (
	Claimed = "claimed"
	Done    = "done"
	NotRun  = "notrun"
	Unsure  = "unknown"
)

// Claim takes a key for a node, to run at a worker in its present life; the answer says whether it is fresh, and the
// deed as it stands.
type Claim struct {
	Key    string
	Owner  ids.NodeID
	Worker ids.WorkerID
	Life   ids.Incarnation
	Digest string
}

type ClaimReply struct {
	Fresh bool
	Deed  Deed
}
