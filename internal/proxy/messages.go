// Messages between nodes. Their MessagePack forms are part of the protocol between releases: a
// field that is renamed keeps its name there by a msg tag, and a new one is omitted while it
// is empty. TestEncodings holds the forms.

package proxy

import (
	"keelstair.example/ids"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file messages.go
//msgp:shim ids.NodeID as:string using:string/ids.NodeID
//msgp:shim ids.Role as:string using:string/ids.Role
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID
//msgp:shim ids.Zone as:string using:string/ids.Zone
//msgp:tuple Outcomes
//msgp:tuple WorkerLoad
//msgp:tuple ServiceLoads
//msgp:tuple UsageRow
//msgp:tuple UsageCount

// Names of the RPC methods. They are part of the protocol between releases.
const (
	faultMethod = "relay/alarm"
	listMethod  = "relay/list"
	pingMethod  = "relay/alive"
	usageMethod = "relay/usage"
)

// FaultNotice names a worker that the sender got no answer from.
type FaultNotice struct {
	Worker ids.WorkerID
}

// Ack answers it.
type Ack struct{}

// Outcomes are sendings to a worker of late that ended, and those that it failed, both in
// tenths and fading; Nodes is how many nodes saw it fail.
type Outcomes struct {
	ID     ids.WorkerID `msg:"Id"`
	Sent   int
	Failed int
	Nodes  int
}

// WorkerRow is one worker of the list; SlowStart is in nanoseconds from the asking on.
type WorkerRow struct {
	ID          ids.WorkerID `msg:"Id"`
	Service     string
	Addr        string
	Zone        ids.Zone
	Role        ids.Role `msg:"Part"`
	Concurrency int      `msg:"Slots"`
	Leaving     bool
	SlowStart   int64 `msg:"Cold"`
}

// PrefillLoad is what a node, or all but the one that asks, have under way at a reading worker.
type PrefillLoad struct {
	ID     ids.WorkerID `msg:"Id"`
	Tokens int
	Count  int
}

// WorkerLoad is how one worker stood: its place in the list, memory in blocks, requests. Without
// room, it told nothing.
type WorkerLoad struct {
	Index    int `msg:"Place"`
	Used     int
	Capacity int `msg:"Room"`
	Running  int
	Waiting  int
}

// ServiceLoads are the workers of a service that changed, and how many ms ago all were asked.
type ServiceLoads struct {
	Service string
	Age     int
	Rows    []WorkerLoad
}

// ListRequest tells which version of the list a node has, its readings under way, up to where it
// has heard how the workers stand, and, from the node that asks them, how they do. Deltas
// tells that it can put in changes, and MaxWait for how many ns the answer may wait for one. Of
// a node with others below it, Prefills counts theirs too, and SubtreeOutcomes is what those saw.
type ListRequest struct {
	Node            ids.NodeID
	Version         uint64         `msg:"Seq"`
	Prefills        []PrefillLoad  `msg:"Reads"`
	Outcomes        []Outcomes     `msg:"Ends,omitempty"` // how sendings ended
	SubtreeOutcomes []Outcomes     `msg:"Below,omitempty"`
	LoadSeq         uint64         `msg:"Stood,omitempty"`
	Loads           []ServiceLoads `msg:"Stands,omitempty"`
	Deltas          bool           `msg:"Deltas,omitempty"`
	MaxWait         int64          `msg:"Hold,omitempty"`
}

// ListResponse has the rows only where the version differs: all, or as a Delta those that
// changed, and the workers that are Removed. Age is how long ago the platform was asked, and Latency
// how long it took to answer, in nanoseconds. Prefills and Outcomes are those of the other nodes;
// Loads, what changed after the number that was asked from, up to LoadSeq. An Early answer has
// the change of the list alone, since it came before the rest was due. Node is who answers:
// at the address of a process that ended another may have started.
type ListResponse struct {
	Node     ids.NodeID `msg:"Node,omitempty"`
	Version  uint64     `msg:"Seq"`
	Age      int64
	Latency  int64 `msg:"Took,omitempty"`
	Rows     []WorkerRow
	Delta    bool           `msg:"Delta,omitempty"`
	Removed  []ids.WorkerID `msg:"Gone,omitempty"`
	Prefills []PrefillLoad  `msg:"Reads"`
	Outcomes []Outcomes     `msg:"Ends,omitempty"`
	LoadSeq  uint64         `msg:"Stood,omitempty"`
	Loads    []ServiceLoads `msg:"Stands,omitempty"`
	Early    bool           `msg:"Early,omitempty"`
}

// UsageRow is how many requests of a tenant a node has seen begin in a window so far.
type UsageRow struct {
	Window uint64
	Tenant string
	Count  int
}

// UsageRequest tells the holder of the metering duty the counts that it has not heard. Since is
// the window in which the node started; Own is the time by its own clock, and Now its estimate
// of the time, both in nanoseconds since 1970.
type UsageRequest struct {
	Node          ids.NodeID
	StartWindow   uint64 `msg:"Since"`
	OwnTime       int64  `msg:"Own"`
	EstimatedTime int64  `msg:"Now"`
	Rows          []UsageRow
}

// UsageResponse tells the time by the middle of all nodes' clocks.
type UsageResponse struct {
	Time int64
}

// UsageCount is how many requests of a tenant began in a window.
type UsageCount struct {
	Tenant string
	Count  int
}

// UsageContent is the content of a usage report, in the order of the tenants' names.
type UsageContent struct {
	Rows []UsageCount
}
