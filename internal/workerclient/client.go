package workerclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/rpc"
)

// Time limits of the calls, where the caller's context has no deadline. Prefill computes
// before it answers, and resume waits for the KV to arrive; the others answer at once.
const (
	prefillTimeout  = 10 * time.Second
	resumeTimeout   = 5 * time.Second
	transferTimeout = 2 * time.Second // export and import
	orderTimeout    = time.Second     // cancel and change of part
	readTimeout     = 800 * time.Millisecond
)

// Bounds on what is read of an answer, in bytes.
const (
	maxResponseBytes  = 32 << 20
	maxEventBytes     = 1 << 20 // one line of a stream
	initialLineBuffer = 4096    // of a line, grown as needed
)

// Client calls workers and the platform. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client that dials through the host's network.
func New(n host.Net) *Client { return &Client{http: rpc.NewHTTPClient(n)} }

// Close closes the connections that are idle. Calls under way are not affected.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Rejection is the body of a refusal, of a worker or of a node: a name for programs, the field
// that is at fault if any, a text for people, and After, in how many milliseconds to come
// back (0: not said).
type Rejection struct {
	Name   string `json:"name"`
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail,omitempty"`
	After  int64  `json:"retryAfterMs,omitempty"`
}

// statusKind returns what a worker's HTTP status tells of the order.
func statusKind(code int) failure.Kind {
	switch code {
	case http.StatusPreconditionFailed:
		return failure.Stale
	case http.StatusInsufficientStorage, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusConflict:
		return failure.NotExecuted
	case http.StatusGone, http.StatusNotFound:
		return failure.DataLost
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return failure.InvalidArgument
	}
	return failure.OutcomeUnknown
}

// call makes one call and decodes its answer into out, unless that is nil. timeout counts
// where the context has no deadline.
func (c *Client) call(ctx context.Context, method, addr, path string, in, out any, timeout time.Duration) error {
	if _, ok := ctx.Deadline(); !ok {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, timeout)
		defer stop()
	}
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return failure.As(err, failure.InvalidArgument, path, addr)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return failure.As(err, failure.InvalidArgument, path, addr)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return failure.As(err, sendErrorKind(err), path, addr)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return failure.As(err, failure.OutcomeUnknown, path, addr)
	}
	if resp.StatusCode != http.StatusOK {
		var rejection Rejection
		json.Unmarshal(b, &rejection)
		return failure.New(statusKind(resp.StatusCode), path, addr, "%d %s %s", resp.StatusCode, rejection.Name, rejection.Detail)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return failure.As(err, failure.OutcomeUnknown, path+" gave garbage", addr)
	}
	return nil
}

// sendErrorKind returns the kind of an error of the transport: an order for which no connection was
// made was certainly not taken.
func sendErrorKind(err error) failure.Kind {
	if rpc.IsDialError(err) {
		return failure.NotExecuted
	}
	return failure.OutcomeUnknown
}

func (c *Client) postOrder(ctx context.Context, addr, path string, in any, timeout time.Duration) (*OrderResponse, error) {
	out := &OrderResponse{}
	return out, c.call(ctx, http.MethodPost, addr, path, in, out, timeout)
}

// Prefill has a worker compute the KV of a request. It returns after the computation.
func (c *Client) Prefill(ctx context.Context, addr string, q *PrefillRequest) (*OrderResponse, error) {
	return c.postOrder(ctx, addr, "/prefill", q, prefillTimeout)
}

// Export has a worker keep the KV of an attempt ready to be fetched. Its answer has the
// request's identity with the length and digest of that KV, and the tokens made so far.
func (c *Client) Export(ctx context.Context, addr string, q *ExportRequest) (*OrderResponse, error) {
	return c.postOrder(ctx, addr, "/export", q, transferTimeout)
}

// Import has a worker reserve room and begin to fetch the KV. Without room it is refused with
// kind Bounced.
func (c *Client) Import(ctx context.Context, addr string, q *ImportRequest) (*OrderResponse, error) {
	return c.postOrder(ctx, addr, "/import", q, transferTimeout)
}

// Resume has a worker run an attempt that was imported, once its KV has arrived whole.
func (c *Client) Resume(ctx context.Context, addr string, q *IDRequest) (*OrderResponse, error) {
	return c.postOrder(ctx, addr, "/resume", q, resumeTimeout)
}

// Cancel ends an attempt and all earlier ones of its request for good: none can start or go on
// afterwards. The answer has the request's fate at this worker.
// Where the connection is refused no process is left that could go on with it, so the kind is
// Lost, which says more than Bounced.
func (c *Client) Cancel(ctx context.Context, addr string, q *IDRequest) (*OrderResponse, error) {
	resp, err := c.postOrder(ctx, addr, "/cancel", q, orderTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		err = failure.As(err, failure.DataLost, "cancel", addr)
	}
	return resp, err
}

// SetRole has a worker change its part.
func (c *Client) SetRole(ctx context.Context, addr string, q *RoleRequest) (*OrderResponse, error) {
	return c.postOrder(ctx, addr, "/part", q, orderTimeout)
}

// Report asks a worker for its report.
func (c *Client) Report(ctx context.Context, addr string) (*Report, error) {
	out := &Report{}
	return out, c.call(ctx, http.MethodGet, addr, "/report", nil, out, readTimeout)
}

// Workers asks the platform for its list of workers.
func (c *Client) Workers(ctx context.Context, addr string) ([]ListedWorker, error) {
	var out []ListedWorker
	return out, c.call(ctx, http.MethodGet, addr, "/workers", nil, &out, readTimeout)
}

// Stream calls put with the pieces of a resumed attempt from index from on, until it has
// ended; an error of put ends it, and is returned as it is. Other errors are mostly of kind
// Lost. The worker writes at least once every pulse, if only an empty line; a longer silence
// counts as its loss.
func (c *Client) Stream(
	ctx context.Context,
	addr string,
	id ID,
	from int,
	maxSilence time.Duration,
	handle func(TokenEvent) error,
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	path := fmt.Sprintf("/stream?request=%s&attempt=%d&from=%d", id.Request, id.Attempt, from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return failure.As(err, failure.InvalidArgument, "stream", addr)
	}
	silenceTimer := time.AfterFunc(maxSilence, cancel)
	defer silenceTimer.Stop()
	resp, err := c.http.Do(req)
	if err != nil {
		return failure.As(err, failure.DataLost, "stream", addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return failure.New(statusKind(resp.StatusCode), "stream", addr, "%d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, initialLineBuffer), maxEventBytes)
	for lines.Scan() {
		silenceTimer.Reset(maxSilence)
		if len(lines.Bytes()) == 0 {
			continue
		}
		var event TokenEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return failure.As(err, failure.DataLost, "stream gave garbage", addr)
		}
		if err := handle(event); err != nil {
			return err
		}
		if event.End != "" {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return failure.As(err, failure.DataLost, "stream", addr)
	}
	return failure.New(failure.DataLost, "stream", addr, "it stopped without an end")
}
