// One origin's call at one door, line by line.

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

// startStream asks one door in the background; the lines come once the stream has ended.
func (c *Cluster) startStream(b *Process, ask api.StreamRequest) <-chan []api.StreamEvent {
	done := make(chan []api.StreamEvent, 1)
	go func() {
		got, _ := c.stream(b, ask)
		done <- got
	}()
	return done
}

// stream asks one door and gives the lines, or the refusal.
func (c *Cluster) stream(b *Process, ask api.StreamRequest) ([]api.StreamEvent, error) {
	body, err := json.Marshal(ask)
	if err != nil {
		return nil, err
	}
	cx, stop := context.WithTimeout(c.ctx, 20*time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(
		cx, http.MethodPost, "http://"+b.FrontendAddr+"/v1/streams", strings.NewReader(string(body)),
	)
	if err != nil {
		return nil, err
	}
	r, err := c.httpClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(r.Body)
		return nil, api.Refusal(r.StatusCode, b)
	}
	var out []api.StreamEvent
	for rows := json.NewDecoder(r.Body); ; {
		var l api.StreamEvent
		if rows.Decode(&l) != nil {
			return out, nil
		}
		out = append(out, l)
	}
}
