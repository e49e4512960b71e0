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

// Timeouts of the calls, used if the caller's context has no deadline. A worker responds to prefill after the
// computation and to resume after the KV cache has arrived; to the other calls it responds at once.
const (
	prefillTimeout  = 10 * time.Second
	resumeTimeout   = 5 * time.Second
	transferTimeout = 2 * time.Second // export and import
	orderTimeout    = time.Second     // cancel and role change
	readTimeout     = 800 * time.Millisecond
)

// Limits on the size of responses, in bytes.
const (
	maxResponseBytes  = 32 << 20
	maxEventBytes     = 1 << 20 // one line of a stream
	initialLineBuffer = 4096    // initial buffer for a line, grown as needed
)

// Client calls workers and the platform. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client that dials through the host's network.
func New(n host.Net) *Client { return &Client{http: rpc.NewHTTPClient(n)} }

// Close closes idle connections. Calls in progress are not affected.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Rejection is the body of an error response of a worker or a node. Name identifies the error to programs, Field
// is the invalid field of the request if any, Detail is a text for people, and After is the retry delay in
// milliseconds, or 0 if there is none.
type Rejection struct {
	Name         string `json:"name"`
	Field        string `json:"field,omitempty"`
	Detail       string `json:"detail,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

// statusKind returns the failure kind that corresponds to a worker's HTTP status.
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

// call makes one call and decodes its response into out, unless out is nil. timeout applies if the context has
// no deadline.
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
		return failure.New(
			statusKind(resp.StatusCode), path, addr, "%d %s %s", resp.StatusCode, rejection.Name, rejection.Detail,
		)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return failure.As(err, failure.OutcomeUnknown, path+" gave garbage", addr)
	}
	return nil
}

// sendErrorKind returns the failure kind of a transport error. If no connection was established, the order was
// certainly not executed.
func sendErrorKind(err error) failure.Kind {
	if rpc.IsDialError(err) {
		return failure.NotExecuted
	}
	return failure.OutcomeUnknown
}

// postOrder sends an order and returns the worker's response.
func (c *Client) postOrder(
	ctx context.Context,
	addr, path string,
	in any,
	timeout time.Duration,
) (*OrderResponse, error) {
	out := &OrderResponse{}
	return out, c.call(ctx, http.MethodPost, addr, path, in, out, timeout)
}

// Prefill makes a worker compute the KV cache of a request. It returns after the computation.
func (c *Client) Prefill(ctx context.Context, addr string, req *PrefillRequest) (*OrderResponse, error) {
	return c.postOrder(ctx, addr, "/prefill", req, prefillTimeout)
}

// Export makes a worker stage the KV cache of an attempt, to be fetched by another worker. The response contains
// the request's identity with the length and digest of that KV cache, and the tokens generated so far.
func (c *Client) Export(ctx context.Context, addr string, req *ExportRequest) (*OrderResponse, error) {
	return c.postOrder(ctx, addr, "/export", req, transferTimeout)
}

// Import makes a worker reserve cache blocks and start to fetch the KV cache. Without enough free blocks it fails
// with kind NotExecuted.
func (c *Client) Import(ctx context.Context, addr string, req *ImportRequest) (*OrderResponse, error) {
	return c.postOrder(ctx, addr, "/import", req, transferTimeout)
}

// Resume makes a worker decode an imported attempt, once its KV cache has arrived completely.
func (c *Client) Resume(ctx context.Context, addr string, req *IDRequest) (*OrderResponse, error) {
	return c.postOrder(ctx, addr, "/resume", req, resumeTimeout)
}

// Cancel permanently stops an attempt and all earlier attempts of its request: none of them can start or continue
// afterwards. The response contains the request's outcome on this worker. If the connection is refused, no process
// is left that could continue the attempt, so the error has kind DataLost, which is more specific than
// NotExecuted.
func (c *Client) Cancel(ctx context.Context, addr string, req *IDRequest) (*OrderResponse, error) {
	resp, err := c.postOrder(ctx, addr, "/cancel", req, orderTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		err = failure.As(err, failure.DataLost, "cancel", addr)
	}
	return resp, err
}

// SetRole makes a worker change its role.
func (c *Client) SetRole(ctx context.Context, addr string, req *RoleRequest) (*OrderResponse, error) {
	return c.postOrder(ctx, addr, "/part", req, orderTimeout)
}

// Report requests a worker's report.
func (c *Client) Report(ctx context.Context, addr string) (*Report, error) {
	out := &Report{}
	return out, c.call(ctx, http.MethodGet, addr, "/report", nil, out, readTimeout)
}

// Workers requests the platform's list of workers.
func (c *Client) Workers(ctx context.Context, addr string) ([]ListedWorker, error) {
	var out []ListedWorker
	return out, c.call(ctx, http.MethodGet, addr, "/workers", nil, &out, readTimeout)
}

// Stream calls handle for each token event of a resumed attempt, starting at index from, until the attempt has
// ended. An error of handle stops the stream and is returned unchanged. Most other errors have kind DataLost. The
// worker writes at least one line, possibly empty, per maxSilence; after a longer silence it is considered lost.
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
	return failure.New(failure.DataLost, "stream", addr, "the stream ended without an end event")
}
