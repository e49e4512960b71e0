package workerclient

import (
	"slices"

	"keelstair.example/ids"
)

// ID names one attempt at handing one request over to a decode worker. Attempts count from 1.
type ID struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// Params are a request's sampling parameters. They are passed on whole, so that any worker
// generates the same tokens.
type Params struct {
	MaxTokens   int     `json:"maxTokens"`
	Temperature float64 `json:"temperature,omitempty"`
	Seed        uint64  `json:"seed,omitempty"`
}

// Model names what a request runs on: a model, the version of its weights, and adapters. All
// three must be the same wherever a request continues.
type Model struct {
	Name     string   `json:"model"`
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters,omitempty"`
}

// Serves reports whether a worker with m can run a request for o: model and weights are the
// same, and m has every adapter of o.
func (m Model) Serves(o Model) bool {
	for _, a := range o.Adapters {
		if !slices.Contains(m.Adapters, a) {
			return false
		}
	}
	return m.Name == o.Name && m.Weights == o.Weights
}

// Identity is the whole state of a request as it is handed from worker to worker. Computed
// counts the tokens whose KV is there; Length (bytes) and Digest are those of that KV.
// The ids of cache blocks are local to a worker and no part of it.
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

// OrderHeader is part of every order: the fence of the lease under which it is given, and the newest
// configuration that its giver knows. A worker refuses a smaller fence than it has seen.
type OrderHeader struct {
	Fence   ids.Fence   `json:"fence"`
	Version ids.Version `json:"version"`
}

// PrefillRequest orders a prefill worker to read a request's prompt and output so far.
type PrefillRequest struct {
	OrderHeader
	Identity Identity `json:"identity"`
}

// ExportRequest orders a prefill worker to keep a request's KV ready for the decode worker.
type ExportRequest struct {
	OrderHeader
	ID ID `json:"id"`
}

// ImportRequest orders a decode worker to reserve room for a request and to fetch its KV from the
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

// RoleRequest orders a worker to change its part.
type RoleRequest struct {
	OrderHeader
	Role ids.Role `json:"part"`
}

// OrderResponse is a worker's answer to any order. Texts are those of the tokens in Output, and Fate
// is one of the constants below. Life is another one after every start of the worker, so
// that a fresh process is not taken for one that remembers.
type OrderResponse struct {
	Version     ids.Version     `json:"version"`
	Identity    *Identity       `json:"identity,omitempty"`
	Fate        string          `json:"fate,omitempty"`
	Output      []int32         `json:"output,omitempty"`
	Texts       []string        `json:"texts,omitempty"`
	Done        bool            `json:"done,omitempty"`
	Incarnation ids.Incarnation `json:"life"`
}

// The fates of an attempt, as its decode worker knows them.
const (
	FateNotStarted = "never"    // never came to run here, and never will
	FateStopped    = "stopped"  // ran in part, and was stopped
	FateFinished   = "finished" // ran to its end
	FateRunning    = "running"  // runs now
)

// Running is one request on a worker: the cache blocks that it holds, and Reserved, how many more
// it may come to need.
type Running struct {
	ID       ID  `json:"id"`
	Blocks   int `json:"blocks"`
	Reserved int `json:"room"`
}

// Report is a worker's account of itself, which may lag behind its state. Used and Capacity
// count cache blocks of Block tokens each; Queue counts requests that wait.
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

// TokenEvent is one line of a worker's stream: the token at Index of the output or, where End is
// set, the end of the stream after Count tokens.
type TokenEvent struct {
	Index int    `json:"index"`
	Token int32  `json:"token"`
	Text  string `json:"text,omitempty"`
	End   string `json:"end,omitempty"`
	Count int    `json:"count,omitempty"`
}

// ListedWorker is one worker on the platform's list. Leaving tells that it ends soon.
type ListedWorker struct {
	ID      ids.WorkerID `json:"id"`
	Addr    string       `json:"addr"`
	Zone    ids.Zone     `json:"zone"`
	Leaving bool         `json:"leaving,omitempty"`
}
