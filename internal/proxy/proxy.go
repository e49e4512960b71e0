// Package proxy is the data plane for opaque requests: it carries each from the door to
// a worker that reads its prompt and on to one that emits the answer, and keeps the
// hand-over's promises though it never looks into a body. This file has what the door
// and the workers' adapter must bring, and what they get.
package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"keelstair.example/ids"
)

// PromptSegment is one piece of a prompt; requests that begin with the same parts share them.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Request is one try of a caller's. The id is the try's own.
type Request struct {
	ID          string
	Method      string
	Target      string // path and query as they came
	Path        string
	Host        string
	Header      http.Header // what is passed on, without what concerns one connection
	Body        []byte
	Key         string // of the tenant; never passed on
	Tenant      string // whose key it bears; empty until that is known
	LastEventID string // the id of the last event that the caller has
	Model       string
	Segments    []PromptSegment
	Prompt      int           // tokens in
	MaxTokens   int           // tokens out at most
	Timeout     time.Duration // how long the caller waits; 0 if it does not say
	At          ids.Tick      // when it came
}

// Worker is one line of the platform's list.
type Worker struct {
	ID          ids.WorkerID // of this life
	Service     string
	Addr        string
	Zone        ids.Zone
	Role        ids.Role // Prefill, Decode, or empty where the service knows no parts
	Concurrency int
	Leaving     bool
	SlowStart   time.Duration // how much longer it is cold
}

// Load is what a worker says of itself with an answer.
type Load struct {
	Running, Waiting, Concurrency int
}

// PrefillResult is a worker's word that it has read a prompt and keeps the memory.
type PrefillResult struct {
	Handle string
	Tokens int
	Load   *Load
}

// Source names memory to be fetched by the emitting worker.
type Source struct {
	Worker Worker
	Handle string
}

// Response is a worker's answer as it begins.
type Response struct {
	Status     int
	Header     http.Header // as it is passed to the caller
	FromWorker bool        // it carries the worker's own stamp
	Events     bool
	Length     int64 // -1 if it is not told
	Body       io.ReadCloser
	Load       *Load
}

// Report is what a worker tells of itself when asked, some moments old.
type Report struct {
	Role         ids.Role
	RoleChanging bool // an order is under way
	Orders       int  // taken in this life
	Waiting      int
	Running      int
	Used         int // tokens of memory that cannot give way
	Capacity     int
}

// RoleOrder changes the part that a worker plays. Only the holder of the service's duty
// sends one.
type RoleOrder struct {
	To       ids.Role
	Owner    ids.NodeID
	Fence    ids.Fence
	Expected int // orders that the worker is expected to have taken
}

// Backend reaches workers. Errors are breakdowns: Bounced where the request was surely
// not run, Stale where another life has the address, Lost where the memory cannot be
// had and nothing was run, Unknown where it may have been run, and Bad where a reading was
// answered by running the request, or a report's asking by word that the worker is ill.
type Backend interface {
	List(ctx context.Context) ([]Worker, error)
	Prefill(ctx context.Context, w Worker, r *Request, left time.Duration, urgency int) (*PrefillResult, error)
	Decode(ctx context.Context, w Worker, r *Request, source *Source, from string, left time.Duration, urgency int) (*Response, error)
	Free(ctx context.Context, w Worker, handle string) error
	Report(ctx context.Context, w Worker) (*Report, error)
	Order(ctx context.Context, w Worker, o *RoleOrder) error
	Close()
}

// Sink takes the answer to the caller. Head is called once at most.
type Sink interface {
	Head(status int, h http.Header, length int64) error
	Write(p []byte) error // passed on at once
}

// RejectedError ends a request that was not run and never will be.
type RejectedError struct {
	Code       int
	RetryAfter time.Duration // when to come back
	Early      bool          // before it was offered to any worker, since it would have come late
	Reason     string
}

// Error returns the reason.
func (r *RejectedError) Error() string { return r.Reason }

// AbortedError ends a request that may have been run. Begun tells that the caller has a part
// of the answer, so that the connection must be cut.
type AbortedError struct {
	Code     int
	HeadSent bool
	Reason   string
}

// Error returns the reason.
func (b *AbortedError) Error() string { return b.Reason }
