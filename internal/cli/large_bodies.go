package cli

import (
	"cmp"
	"net/http"
	"time"

	"keelstair.example/internal/connguard"
	"keelstair.example/internal/requestbody"
	"keelstair.example/rpc"
)

const (
	// largeBodyShare: 1/largeBodyShare of the process's memory is for large bodies. A message or a document takes several
	// times its length while it is decoded.
	largeBodyShare = 16
	// largestBodyShare: no body is larger than 1/largestBodyShare of the process's memory.
	largestBodyShare = 8
	// smallMessage is the largest size in bytes of a message that is not large. What such messages hold is bounded by the
	// number of connections.
	smallMessage   = 64 << 10
	messageWait    = 500 * time.Millisecond // for memory
	messageTimeout = 10 * time.Second       // for the reading of a message
)

// LargeBodies is the memory that large messages from other processes and the documents of operators share until they
// are answered.
type LargeBodies struct {
	Memory   *requestbody.Memory
	maxBytes int64 // of one body
}

// NewLargeBodies returns the memory for large bodies of a process whose memory has a limit in bytes; 0 means no limit.
func NewLargeBodies(memoryLimit int64) *LargeBodies {
	memoryLimit = cmp.Or(memoryLimit, connguard.DefaultMemory)
	return &LargeBodies{
		Memory:   requestbody.NewMemory(memoryLimit / largeBodyShare),
		maxBytes: memoryLimit / largestBodyShare,
	}
}

// MaxBytes returns the largest size of a body of a kind that has a limit of its own.
func (b *LargeBodies) MaxBytes(limit int64) int64 { return min(limit, b.maxBytes) }

// LimitMessages returns a handler for the messages that a mux handles, of which large ones share the memory, and for all
// other requests, which go to next.
func (b *LargeBodies) LimitMessages(messages *http.ServeMux, next http.Handler) http.Handler {
	limited := &requestbody.Handler{
		Next:     messages,
		Memory:   b.Memory,
		MaxBytes: b.MaxBytes(rpc.MaxMessageBytes),
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
