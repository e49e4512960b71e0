// Messages between nodes: orders for a worker's one duty holder, heartbeats, and tokens of the
// retry budget. Their MessagePack forms are part of the protocol between releases: a field
// that is renamed keeps its name there by a msg tag, and a new one is omitted while it is
// empty. TestEncodings holds the forms.

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
	// OrderMethod takes an OrderRequest at the holder of a worker's duty.
	OrderMethod = "verge/order"
	// SpendMethod asks the holder of the retry budget for a token.
	SpendMethod     = "verge/spend"
	heartbeatMethod = "verge/beat"
)

// OrderRequest is one order. Body is the identity, as the worker will read it. Regime and the
// part that the worker plays are set for governed work alone.
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

// OrderResponse is the worker's answer.
type OrderResponse struct {
	Version ids.Version
	Body    []byte
}

// RetryTokenResponse answers an asking for a token of the retry budget.
type RetryTokenResponse struct {
	OK bool `msg:"Ok"`
}

// Heartbeat says which version a node has heard of, how long ago the core confirmed
// it, how the workers stand whose ledgers it keeps, and which workers leave by the
// platform's list, if that was had lately.
type Heartbeat struct {
	Node           ids.NodeID
	Version        ids.Version
	SinceConfirmed int64 `msg:"Fresh"`
	Workers        []WorkerStatus
	Leaving        []ids.WorkerID
}

// WorkerStatus is one ledger's state.
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
