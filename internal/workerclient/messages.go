package workerclient

import (
	"slices"

	"keelstair.example/ids"
)

// ID identifies one attempt to hand a request over to a decode worker. Attempts are numbered from 1.
type ID struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// Params are a request's sampling parameters. All of them are passed on to every worker that continues the
// request, so that each worker generates the same tokens.
type Params struct {
	MaxTokens   int     `json:"maxTokens"`
	Temperature float64 `json:"temperature,omitempty"`
	Seed        uint64  `json:"seed,omitempty"`
}

// Model identifies a model, the version of its weights and the adapters. All three must be the same on every
// worker that continues a request.
type Model struct {
	Name     string   `json:"model"`
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters,omitempty"`
}

// Serves reports whether a worker with m can run a request for o: model and weights are the same, and m has every
// adapter of o.
func (m Model) Serves(o Model) bool {
	for _, a := range o.Adapters {
		if !slices.Contains(m.Adapters, a) {
			return false
		}
	}
	return m.Name == o.Name && m.Weights == o.Weights
}

// Identity is the complete state of a request as it is handed from one worker to another. Computed is the number
// of tokens whose KV cache exists; Length (bytes) and Digest describe that KV cache. The IDs of cache blocks are
// local to a worker and not included.
type Identity struct {
	ID       ID      `json:"id"`
	Prompt   []int32 `json:"prompt"`
	Output   []int32 `json:"output"`
	Computed int     `json:"numComputedTokens"`
	Params   Params  `json:"params"`
	Model    Model   `json:"on"`
	Length   int64   `json:"kvLength"`
	Digest   string  `json:"kvDigest"`
}

// OrderHeader is part of every order: the fencing token of the sender's lease, and the newest configuration
// version that the sender knows. A worker rejects a fencing token that is smaller than one it has seen.
type OrderHeader struct {
	Fence   ids.Fence   `json:"fence"`
	Version ids.Version `json:"version"`
}

// PrefillRequest orders a prefill worker to process a request's prompt and the output generated so far.
type PrefillRequest struct {
	OrderHeader
	Identity Identity `json:"identity"`
}

// ExportRequest orders a worker to stage a request's KV cache for the decode worker.
type ExportRequest struct {
	OrderHeader
	ID ID `json:"id"`
}

// ImportRequest orders a decode worker to reserve cache blocks for a request and to fetch its KV cache from the
// worker at address Source.
type ImportRequest struct {
	OrderHeader
	Identity Identity `json:"identity"`
	Source   string   `json:"source"`
}

// IDRequest orders a worker to resume or to cancel one attempt.
type IDRequest struct {
	OrderHeader
	ID ID `json:"id"`
}

// RoleRequest orders a worker to change its role.
type RoleRequest struct {
	OrderHeader
	Role ids.Role `json:"part"`
}

// OrderResponse is a worker's response to any order. Texts are the texts of the tokens in Output, or in the output
// of Identity if that is set. Fate is one of the constants below, or empty, and Done states that the request ran
// to completion. Incarnation differs after every start of the worker, so that a restarted process is not mistaken
// for one that still has its state.
type OrderResponse struct {
	Version     ids.Version     `json:"version"`
	Identity    *Identity       `json:"identity,omitempty"`
	Fate        string          `json:"fate,omitempty"`
	Output      []int32         `json:"output,omitempty"`
	Texts       []string        `json:"texts,omitempty"`
	Done        bool            `json:"done,omitempty"`
	Incarnation ids.Incarnation `json:"life"`
}

// Values of OrderResponse.Fate: the state of a request on its decode worker.
const (
	FateNotStarted = "never"    // has not run on this worker; after a cancel, the cancelled attempts never will
	FateStopped    = "stopped"  // ran partially and was stopped
	FateFinished   = "finished" // ran to completion
	FateRunning    = "running"  // is running
)

// Running is a request on a worker, with the number of cache blocks that it holds. Reserved is the number of
// further blocks that are reserved for its growth.
type Running struct {
	ID       ID  `json:"id"`
	Blocks   int `json:"blocks"`
	Reserved int `json:"room"`
}

// Report is a worker's report of its state, which may be out of date. Used and Capacity are numbers of cache
// blocks, which hold BlockSize tokens each; Queue is the number of waiting requests.
type Report struct {
	Role        ids.Role        `json:"part"`
	Model       Model           `json:"on"`
	Used        int             `json:"cacheUsed"`
	Capacity    int             `json:"cacheCapacity"`
	BlockSize   int             `json:"blockSize"`
	Queue       int             `json:"queue"`
	Version     ids.Version     `json:"version"`
	Running     []Running       `json:"running"`
	Incarnation ids.Incarnation `json:"life"`
}

// TokenEvent is one line of a worker's stream: the token at Index of the output or, if End is set, the end of
// the stream after Count tokens.
type TokenEvent struct {
	Index int    `json:"index"`
	Token int32  `json:"token"`
	Text  string `json:"text,omitempty"`
	End   string `json:"end,omitempty"`
	Count int    `json:"count,omitempty"`
}

// ListedWorker is a worker on the platform's list. Leaving states that it will shut down soon.
type ListedWorker struct {
	ID      ids.WorkerID `json:"id"`
	Addr    string       `json:"addr"`
	Zone    ids.Zone     `json:"zone"`
	Leaving bool         `json:"leaving,omitempty"`
}
