package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"keelstair.example/failure"
)

// Forward sends a client's request unchanged to the node at addr, on a path that is internal to the fleet, and
// writes every event of the response stream to out. It returns the number of events passed to out. An error
// response is returned as the Fault that the node sent. The call fails if no complete event arrives for
// idleTimeout. The request is sent once, without retries.
func Forward(
	ctx context.Context,
	client *http.Client,
	addr, path string,
	request *StreamRequest,
	idleTimeout time.Duration,
	out Sink,
) (int, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return 0, failure.As(err, failure.InvalidArgument, "pass on", addr)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, failure.As(err, failure.InvalidArgument, "pass on", addr)
	}
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	resp, err := client.Do(req)
	if err != nil {
		return 0, failure.As(err, failure.OutcomeUnknown, "pass on", addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			return 0, failure.As(err, failure.OutcomeUnknown, "pass on", addr)
		}
		return 0, DecodeFault(resp.StatusCode, b)
	}
	decoder := json.NewDecoder(resp.Body)
	for n := 0; ; n++ {
		var event StreamEvent
		if err := decoder.Decode(&event); err != nil {
			if errors.Is(err, io.EOF) {
				err = failure.New(failure.DataLost, "pass on", addr, "the stream ended without an end event")
			}
			return n, failure.As(err, failure.DataLost, "pass on", addr)
		}
		idleTimer.Reset(idleTimeout)
		if err := out.Put(event); err != nil || event.End != "" {
			return n + 1, err
		}
	}
}
