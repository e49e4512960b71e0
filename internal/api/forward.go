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

// Forward forwards an origin's request unchanged to the node at addr, on a path that nodes use
// among themselves, and puts every line of its answer to out. It returns how many lines were
// put. A refusal comes back as the Fault that the node answered with; a node that is silent
// for the given time is given up. The request is sent once.
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
				err = failure.New(failure.DataLost, "pass on", addr, "it stopped without an end")
			}
			return n, failure.As(err, failure.DataLost, "pass on", addr)
		}
		idleTimer.Reset(idleTimeout)
		if err := out.Put(event); err != nil || event.End != "" {
			return n + 1, err
		}
	}
}
