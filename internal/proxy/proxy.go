// Package proxy is the data plane for opaque requests. It relays each request from the frontend to a
// worker that prefills its prompt and to one that decodes the answer, and keeps the guarantees of the
// handoff protocol without parsing request bodies. This file defines the types and interfaces that the
// frontend and the workers' backend adapter use or implement.
package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/requestbody"
)

// PromptSegment is one part of a prompt. Requests whose prompts begin with the same segments can share
// the KV cache of these segments.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Request is one request of a caller. If the caller retries, the retry is a new Request with its own id.
type Request struct {
	ID          string
	Method      string
	Target      string // path and query as received
	Path        string
	Host        string
	Header      http.Header // the headers to forward, without hop-by-hop headers
	Body        *requestbody.Body
	Key         string // the tenant's key; never forwarded
	Tenant      string // owner of the key; empty until authenticated
	LastEventID string // id of the last event that the caller has received
	Model       string
	Segments    []PromptSegment
	Prompt      int           // prompt tokens
	MaxTokens   int           // maximum number of output tokens
	Timeout     time.Duration // how long the caller waits; 0 if unspecified
	At          ids.Tick      // when the request arrived
}

// Worker is one entry of the platform's worker list.
type Worker struct {
	ID          ids.WorkerID // of this incarnation
	Service     string
	Addr        string
	Zone        ids.Zone
	Role        ids.Role // Prefill, Decode, or empty if the service has no roles
	Concurrency int
	Leaving     bool
	SlowStart   time.Duration // remaining time for which it is cold
}

// Load is the load that a worker reports with an answer.
type Load struct {
	Running, Waiting, Concurrency int
}

// PrefillResult is a worker's confirmation that it has prefilled a prompt and keeps the memory.
type PrefillResult struct {
	Handle       string
	Tokens       int
	ModelVersion string // version of the weights that it was read with; empty if the worker names none
	Load         *Load
}

// Source identifies the prompt memory that the decode worker fetches.
type Source struct {
	Worker       Worker
	Handle       string
	ModelVersion string // version of the weights that the memory was made with; empty if unknown
}

// Received is what the caller has of an answer that another worker is to continue.
type Received struct {
	LastEventID  string // id of its last event; empty without one
	ModelVersion string // version of the weights that it must go on with; empty if any will do
}

// Response is the beginning of a worker's answer, with its body to be read.
type Response struct {
	Status     int
	Header     http.Header // as forwarded to the caller
	FromWorker bool        // it has the header that identifies the worker
	Events     bool        // the body is an event stream
	Length     int64       // -1 if unknown
	Framing    Framing
	Body       io.ReadCloser
	// ModelVersion is the version of the weights that the answer begins with; empty if the worker names none.
	ModelVersion string
	// ModelVersionField is the name of the field by which an event's first line tells a new version.
	ModelVersionField string
	Load              *Load
}

// Report is a worker's answer to a report request; its data may be some moments old.
type Report struct {
	Role         ids.Role
	RoleChanging bool // a role order is in progress
	Orders       int  // role orders accepted by this incarnation
	Waiting      int
	Running      int
	Used         int // tokens of memory that cannot be evicted
	Capacity     int
}

// RoleOrder tells a worker to change its role. Only the owner of the service's duty sends one.
type RoleOrder struct {
	To       ids.Role
	Owner    ids.NodeID
	Fence    ids.Fence
	Expected int // number of orders that the worker is expected to have accepted before
}

// Backend sends requests to workers. Its errors are failures of these kinds: NotExecuted if the request
// was certainly not run (with the step VersionStep if the worker's weights have another version), Stale
// if another incarnation has the address, DataLost if the prompt's memory is unavailable and nothing was
// run, OutcomeUnknown if the request may have been run, and InvalidArgument if a worker answered a prefill
// by running the request, or a report request by saying that it is unhealthy.
type Backend interface {
	List(ctx context.Context) ([]Worker, error)
	Prefill(ctx context.Context, w Worker, r *Request, timeout time.Duration, urgency int) (*PrefillResult, error)
	Decode(ctx context.Context, w Worker, r *Request, source *Source, received Received, timeout time.Duration, urgency int) (*Response, error)
	Free(ctx context.Context, w Worker, handle string) error
	Report(ctx context.Context, w Worker) (*Report, error)
	Order(ctx context.Context, w Worker, o *RoleOrder) error
	// CheckAlive returns nil if this incarnation of the worker answered a health check at the path, and a Stale error if
	// it is gone. An answer that names no worker confirms none.
	CheckAlive(ctx context.Context, w Worker, path string) error
	Close()
}

// Sink sends the answer to the caller. Head is called at most once.
type Sink interface {
	Head(status int, h http.Header, length int64) error
	Write(p []byte) error // sent without buffering
}

// RejectedError is the error of a request that was not run and never will be.
type RejectedError struct {
	Code       int
	RetryAfter time.Duration // delay before the caller should retry
	Early      bool          // rejected before any worker was offered it, since it would have been late
	Reason     string
}

// Error returns the reason.
func (r *RejectedError) Error() string { return r.Reason }

// AbortedError is the error of a request that may have been run. HeadSent means that the caller has a
// part of the answer, so that the connection must be closed.
type AbortedError struct {
	Code     int
	HeadSent bool
	Reason   string
}

// Error returns the reason.
func (b *AbortedError) Error() string { return b.Reason }
