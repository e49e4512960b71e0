// Client requests that are sent to the frontend of a given router.

package simulation

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"keelstair.example/internal/api"
)

// startStream sends a request in the background. The channel receives the events once the stream has ended, or
// nil if the request failed.
func (c *Cluster) startStream(p *Process, request api.StreamRequest) <-chan []api.StreamEvent {
	done := make(chan []api.StreamEvent, 1)
	go func() {
		got, _ := c.stream(p, request)
		done <- got
	}()
	return done
}

// stream sends a request to one frontend and returns the events of its stream, or an *api.Fault if the status is
// not 200. If the stream breaks, it returns the events received until then without an error.
func (c *Cluster) stream(p *Process, request api.StreamRequest) ([]api.StreamEvent, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(c.ctx, 20*time.Second)
	defer stop()
	post, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+p.FrontendAddr+"/v1/streams", strings.NewReader(string(body)),
	)
	if err != nil {
		return nil, err
	}
	response, err := c.httpClient.Do(post)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return nil, api.DecodeFault(response.StatusCode, text)
	}
	var out []api.StreamEvent
	for decoder := json.NewDecoder(response.Body); ; {
		var event api.StreamEvent
		if decoder.Decode(&event) != nil {
			return out, nil
		}
		out = append(out, event)
	}
}
