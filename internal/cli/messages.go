package cli

import (
	"cmp"
	"net/http"
	"time"

	"keelstair.example/internal/requestbody"
	"keelstair.example/rpc"
)

const (
	// messageMemoryShare: 1/messageMemoryShare of the process's memory is for large messages from other processes while
	// they are handled. A message takes several times its length while it is decoded.
	messageMemoryShare = 16
	// defaultMessageMemory is for large messages, in bytes, if the process's memory has no limit.
	defaultMessageMemory = 64 << 20
	// smallMessage is the largest size in bytes of a message that is not large. What such messages hold is bounded by the
	// number of connections.
	smallMessage   = 64 << 10
	messageWait    = 500 * time.Millisecond // for memory
	messageTimeout = 10 * time.Second       // for the reading of a message
)

// LimitMessages returns a handler for the messages that a mux handles, of which large ones share a part of the process's
// memory, and for all other requests, which go to next. A limit of 0 means no limit.
func LimitMessages(messages *http.ServeMux, next http.Handler, memoryLimit int64) http.Handler {
	limited := &requestbody.Handler{
		Next:     messages,
		Memory:   requestbody.NewMemory(cmp.Or(memoryLimit/messageMemoryShare, defaultMessageMemory)),
		MaxBytes: rpc.MaxMessageBytes,
		SkipUpTo: smallMessage,
		Wait:     messageWait,
		Timeout:  messageTimeout,
		Reject:   rejectMessage,
	}
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if _, pattern := messages.Handler(request); pattern != "" {
			limited.ServeHTTP(w, request)
			return
		}
		next.ServeHTTP(w, request)
	})
}

// rejectMessage answers a message for which there was no memory, or which came too slowly.
func rejectMessage(w http.ResponseWriter, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
