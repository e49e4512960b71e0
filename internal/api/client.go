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

// Stagger is how long a silent node is waited for before the next is asked too.
const Stagger = 700 * time.Millisecond

// final reports whether an outcome is certain, so that no other node has to be asked.
func final(err error) bool {
	f, ok := err.(*Fault)
	return err == nil || ok && f.Code < http.StatusInternalServerError
}

// weight ranks the errors of several nodes by what the caller has to know: first that the
// operation may have been carried out, then what a node answered, then that none answered.
func weight(err error) int {
	f, ok := err.(*Fault)
	switch {
	case !ok:
		return 0
	case f.Code == http.StatusGatewayTimeout:
		return 2
	}
	return 1
}

// Put sends a request to the nodes at the addresses doors until one gives a final answer, and
// decodes that into out unless it is nil. The next node is asked as soon as one answers that
// it can't tell, or is silent for Stagger. So several nodes may get the request: an operation
// must carry its own id, by which it has one outcome however often it is sent. Without a final
// answer the error that tells most is returned.
func Put(ctx context.Context, web *http.Client, doors []string, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	type response struct {
		body []byte
		err  error
	}
	got := make(chan response, len(doors))
	last := failure.New(failure.Unavailable, "ask doors", "", "no door is known")
	next, open := 0, 0
	for {
		if next < len(doors) {
			go func(d string) {
				b, err := put(ctx, web, d, method, path, body, in != nil)
				got <- response{b, err}
			}(doors[next])
			next, open = next+1, open+1
		}
		if open == 0 {
			return last
		}
		wait := host.NewTimer(Stagger)
		select {
		case t := <-got:
			open--
			switch {
			case t.err == nil && out != nil:
				return json.Unmarshal(t.body, out)
			case final(t.err):
				return t.err
			}
			if weight(t.err) >= weight(last) {
				last = t.err
			}
		case <-wait.C:
		}
		wait.Stop()
	}
}

// put sends the request to one node. The body is sent only if full is set.
func put(ctx context.Context, web *http.Client, addr, method, path string, body []byte, full bool) ([]byte, error) {
	var in io.Reader
	if full {
		in = bytes.NewReader(body)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, in)
	if err != nil {
		return nil, err
	}
	r, err := web.Do(q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode == http.StatusOK {
		return b, err
	}
	return nil, Refusal(r.StatusCode, b)
}

// Refusal decodes a node's answer with another status than 200.
func Refusal(code int, body []byte) *Fault {
	var v struct{ Error Fault }
	if json.Unmarshal(body, &v); v.Error.Name == "" {
		v.Error.Detail = strings.TrimSpace(string(body))
	}
	v.Error.Code = code
	return &v.Error
}
