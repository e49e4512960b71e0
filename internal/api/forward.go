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

// Pass forwards an origin's request unchanged to the node at addr, on a path that nodes use
// among themselves, and puts every line of its answer to out. It returns how many lines were
// put. A refusal comes back as the Fault that the node answered with; a node that is silent
// for the given time is given up. The request is sent once.
func Pass(
	ctx context.Context,
	web *http.Client,
	addr, path string,
	ask *StreamRequest,
	silent time.Duration,
	out Sink,
) (int, error) {
	body, err := json.Marshal(ask)
	if err != nil {
		return 0, failure.As(err, failure.InvalidArgument, "pass on", addr)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, failure.As(err, failure.InvalidArgument, "pass on", addr)
	}
	watch := time.AfterFunc(silent, stop)
	defer watch.Stop()
	r, err := web.Do(q)
	if err != nil {
		return 0, failure.As(err, failure.OutcomeUnknown, "pass on", addr)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return 0, failure.As(err, failure.OutcomeUnknown, "pass on", addr)
		}
		return 0, Refusal(r.StatusCode, b)
	}
	rows := json.NewDecoder(r.Body)
	for n := 0; ; n++ {
		var l StreamEvent
		if err := rows.Decode(&l); err != nil {
			if errors.Is(err, io.EOF) {
				err = failure.New(failure.DataLost, "pass on", addr, "it stopped without an end")
			}
			return n, failure.As(err, failure.DataLost, "pass on", addr)
		}
		watch.Reset(silent)
		if err := out.Put(l); err != nil || l.End != "" {
			return n + 1, err
		}
	}
}
