package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
)

// HedgeDelay is how long Send waits for a node's response before it also sends the request to the next node.
const HedgeDelay = 700 * time.Millisecond

// isFinal reports whether err states the outcome of the operation, so that no other node has to be tried: the
// operation succeeded, or a node rejected it with a status below 500.
func isFinal(err error) bool {
	f, ok := err.(*Fault)
	return err == nil || ok && f.Code < http.StatusInternalServerError
}

// errorPrecedence ranks the errors of several nodes by their importance to the caller. A response with the
// status of an operation that may have been executed ranks highest, then any other response of a node, then the
// lack of a response.
func errorPrecedence(err error) int {
	f, ok := err.(*Fault)
	switch {
	case !ok:
		return 0
	case f.Code == http.StatusGatewayTimeout:
		return 2
	}
	return 1
}

// Send sends a request to the nodes at addrs until one returns a final result, and decodes a successful result
// into out unless out is nil. It tries the next node when a node returns an error that is not final or has not
// responded within HedgeDelay. Since several nodes may receive the request, an operation must carry an ID that
// makes it idempotent. Without a final result, Send returns the error of the highest precedence.
func Send(ctx context.Context, client *http.Client, addrs []string, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type response struct {
		body []byte
		err  error
	}
	responses := make(chan response, len(addrs))
	lastErr := failure.New(failure.Unavailable, "ask doors", "", "no node address is known")
	next, pending := 0, 0
	for {
		if next < len(addrs) {
			go func(addr string) {
				b, err := sendTo(ctx, client, addr, method, path, body, in != nil)
				responses <- response{b, err}
			}(addrs[next])
			next, pending = next+1, pending+1
		}
		if pending == 0 {
			return lastErr
		}
		timer := host.NewTimer(HedgeDelay)
		select {
		case resp := <-responses:
			pending--
			switch {
			case resp.err == nil && out != nil:
				return json.Unmarshal(resp.body, out)
			case isFinal(resp.err):
				return resp.err
			}
			if errorPrecedence(resp.err) >= errorPrecedence(lastErr) {
				lastErr = resp.err
			}
		case <-timer.C:
		}
		timer.Stop()
	}
}

// sendTo sends the request to one node. The body is sent only if hasBody is set.
func sendTo(
	ctx context.Context,
	client *http.Client,
	addr, method, path string,
	body []byte,
	hasBody bool,
) ([]byte, error) {
	var reader io.Reader
	if hasBody {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, reader)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK {
		return b, err
	}
	return nil, DecodeFault(resp.StatusCode, b)
}

// DecodeFault decodes a node's response whose status is not 200. A body that is not a JSON error becomes the
// detail text.
func DecodeFault(code int, body []byte) *Fault {
	var v struct{ Error Fault }
	if json.Unmarshal(body, &v); v.Error.Name == "" {
		v.Error.Detail = strings.TrimSpace(string(body))
	}
	v.Error.Code = code
	return &v.Error
}
