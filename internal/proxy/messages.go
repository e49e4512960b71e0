// Messages between nodes. Their MessagePack encodings are part of the protocol between releases: a
// renamed field keeps its encoded name by a msg tag, and a new field is omitted while it is empty.
// TestEncodings checks the encodings.

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

// RPC method names. They are part of the protocol between releases.
const (
	faultMethod = "relay/alarm"
	listMethod  = "relay/list"
	pingMethod  = "relay/alive"
	usageMethod = "relay/usage"
)

// FaultNotice names a worker that did not answer the sender's health check.
type FaultNotice struct {
	Worker ids.WorkerID
}

// Ack is an empty message: the answer to a FaultNotice, and the request and answer of a ping.
type Ack struct{}

// Outcomes counts the recent completed attempts at a worker (Sent) and those that it failed, both in
// tenths of an attempt and decaying with time. Nodes is the number of nodes that saw it fail.
type Outcomes struct {
	ID     ids.WorkerID `msg:"Id"`
	Sent   int
	Failed int
	Nodes  int
}

// WorkerRow is one worker of the list. SlowStart is the rest of its slow start in nanoseconds, as of
// the response.
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

// PrefillLoad is the prompt tokens and the number of prefills that a node, or all nodes but the
// requester, have running at a prefill worker.
type PrefillLoad struct {
	ID     ids.WorkerID `msg:"Id"`
	Tokens int
	Count  int
}

// WorkerLoad is the reported load of one worker: its index in the list, its memory in blocks and its
// requests. A Capacity of 0 means that the worker sent no report.
type WorkerLoad struct {
	Index    int `msg:"Place"`
	Used     int
	Capacity int `msg:"Room"`
	Running  int
	Waiting  int
}

// ServiceLoads has the loads of a service's workers that changed. Age is how long ago the reports of
// all its workers were requested, in milliseconds.
type ServiceLoads struct {
	Service string
	Age     int
	Rows    []WorkerLoad
}

// ListRequest reports the list version that a node has, its running prefills and the outcomes of its
// attempts. LoadSeq is the sequence number up to which it has received worker loads; Loads has those
// of the services whose workers it queries itself. Deltas means that the node can apply deltas, and
// MaxWait is for how many nanoseconds the response may wait for a change. Prefills includes those of
// the node's subtree in the list tree, and SubtreeOutcomes has the outcomes that its subtree saw.
type ListRequest struct {
	Node            ids.NodeID
	Version         uint64         `msg:"Seq"`
	Prefills        []PrefillLoad  `msg:"Reads"`
	Outcomes        []Outcomes     `msg:"Ends,omitempty"` // of the node's own attempts
	SubtreeOutcomes []Outcomes     `msg:"Below,omitempty"`
	LoadSeq         uint64         `msg:"Stood,omitempty"`
	Loads           []ServiceLoads `msg:"Stands,omitempty"`
	Deltas          bool           `msg:"Deltas,omitempty"`
	MaxWait         int64          `msg:"Hold,omitempty"`
}

// ListResponse has rows only if the requester's version differs: all rows, or, if Delta is set, the
// changed ones and the IDs of the Removed workers. Age is how long ago the list was requested from
// the platform, and Latency is how long the platform took to answer, both in nanoseconds. Prefills
// and Outcomes are those of the other nodes. Loads has the loads that changed after the requested
// sequence number, up to LoadSeq. An Early response contains only the list change, since it was sent
// before the rest was due. Node is the responder, since a new process may have started at the
// address of one that ended.
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

// UsageRow is the number of a tenant's requests that a node has seen start in a window so far.
type UsageRow struct {
	Window uint64
	Tenant string
	Count  int
}

// UsageRequest sends a node's counts to the owner of the metering duty. StartWindow is the window in
// which the node started. OwnTime is the time by the node's own clock, and EstimatedTime is its
// estimate of the fleet's time, both in nanoseconds since 1970. Rows has the counts that the owner
// has not acknowledged; to the owner's successor, the owner sends all its counts.
type UsageRequest struct {
	Node          ids.NodeID
	StartWindow   uint64 `msg:"Since"`
	OwnTime       int64  `msg:"Own"`
	EstimatedTime int64  `msg:"Now"`
	Rows          []UsageRow
}

// UsageResponse has the time by the median of all nodes' clocks, in nanoseconds since 1970.
type UsageResponse struct {
	Time int64
}

// UsageCount is the number of a tenant's requests that started in a window.
type UsageCount struct {
	Tenant string
	Count  int
}

// UsageContent is the content of a usage report, sorted by tenant name.
type UsageContent struct {
	Rows []UsageCount
}
