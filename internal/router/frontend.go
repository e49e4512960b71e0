// This file assembles the handlers for clients and operators, and limits the memory for the bodies of requests. A body
// is held until it has been decoded. What a stream needs of it after that is limited by the configuration, which
// bounds the number of streams and the length of a prompt.

package router

import (
	"errors"
	"net/http"
	"time"

	"keelstair.example/internal/api"
	"keelstair.example/internal/requestbody"
)

const (
	bodyWait    = 250 * time.Millisecond // for memory; a client that is rejected after that can try another node
	bodyTimeout = 30 * time.Second       // for the reading of a body, over a slow link
)

// faultNoMemory is the name of the error response to a request whose body found no memory.
const faultNoMemory = "no-memory"

// FrontendHandler returns the handler for clients and operators.
func (n *Node) FrontendHandler() http.Handler {
	mux := http.NewServeMux()
	api.RegisterClientAPI(mux, n)
	api.RegisterOperatorAPI(mux, n)
	return n.limitBodies(mux)
}

// limitBodies makes the bodies of a handler's requests share the memory for bodies.
func (n *Node) limitBodies(next http.Handler) http.Handler {
	return &requestbody.Handler{
		Next:     next,
		Memory:   n.bodies,
		MaxBytes: api.MaxBodyBytes,
		Wait:     bodyWait,
		Timeout:  bodyTimeout,
		Reject:   n.rejectBody,
	}
}

// rejectBody answers a request whose body has not been read.
func (n *Node) rejectBody(w http.ResponseWriter, err error) {
	n.counts.Requests.Add(1)
	code, name := http.StatusServiceUnavailable, faultNoMemory
	if errors.Is(err, requestbody.ErrTooSlow) {
		code, name = http.StatusRequestTimeout, "slow-body"
	}
	api.WriteError(w, n.rejectForCapacity(code, name, "%v", err))
}
