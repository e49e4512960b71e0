// This file defines the RPC messages between nodes: orders for the holder of a worker's key,
// heartbeats, and requests for retry tokens. Their MessagePack encodings are part of the protocol
// between releases: a renamed field keeps its encoded name through a msg tag, and a new field is
// omitted while it is empty. TestEncodings checks the encodings.

package router

import (
	"keelstair.example/ids"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file messages.go
//msgp:shim ids.Fence as:uint64 using:uint64/ids.Fence
//msgp:shim ids.Incarnation as:string using:string/ids.Incarnation
//msgp:shim ids.NodeID as:string using:string/ids.NodeID
//msgp:shim ids.Role as:string using:string/ids.Role
//msgp:shim ids.Version as:uint64 using:uint64/ids.Version
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID

// Names of the RPC methods. They are part of the protocol between releases.
const (
	// OrderMethod is the RPC that sends an OrderRequest to the node that holds the worker's key.
	OrderMethod = "verge/order"
	// SpendMethod is the RPC that takes a token from the retry budget. It is sent to the node that
	// holds the budget's key.
	SpendMethod     = "verge/spend"
	heartbeatMethod = "verge/beat"
)

// OrderRequest is one order for a worker. Body is the JSON encoding of the request's identity, or
// the new role in a role change. Regime and Role are set only if a regime governs the request. In a
// reservation Blocks is the number of memory blocks; in a "done" order a positive value says that
// the worker itself reported that it holds no more memory for the attempt.
type OrderRequest struct {
	Worker  ids.WorkerID
	Verb    string
	Version ids.Version
	Request string
	Attempt int
	Blocks  int `msg:"Need"`
	Source  ids.WorkerID
	Body    []byte
	Regime  string   `msg:"Regime,omitempty"`
	Role    ids.Role `msg:"Part,omitempty"`
}

// OrderResponse is the worker's response in JSON and the highest version that the holder knows.
type OrderResponse struct {
	Version ids.Version
	Body    []byte
}

// RetryTokenResponse says whether the retry budget granted a retry.
type RetryTokenResponse struct {
	OK bool `msg:"Ok"`
}

// Heartbeat describes a node to its peers: the highest version that it knows, the nanoseconds since
// it sent the last lease renewal that the coordination service confirmed, the status of the workers
// whose keys it holds, and the workers that the platform lists as leaving, if the list is at most
// one second old.
type Heartbeat struct {
	Node           ids.NodeID
	Version        ids.Version
	SinceConfirmed int64 `msg:"Fresh"`
	Workers        []WorkerStatus
	Leaving        []ids.WorkerID
}

// WorkerStatus is the state of one worker's memory ledger. Capacity, Free and Used count blocks.
// InFlight counts reserved and running requests; Started counts those that have begun at the
// worker, including ones that this holder did not order.
type WorkerStatus struct {
	ID            ids.WorkerID `msg:"Id" json:"Id"`
	Fence         ids.Fence
	Role          ids.Role `msg:"Part" json:"Part"`
	Ready         bool
	Free          int
	Capacity      int `msg:"Room" json:"Room"`
	InFlight      int `msg:"Busy" json:"Busy"`
	Started       int `msg:"Work" json:"Work"`
	Used          int
	MaxConcurrent int `msg:"Cap" json:"Cap"`
	Block         int
	Incarnation   ids.Incarnation `msg:"Life" json:"Life"`
}
