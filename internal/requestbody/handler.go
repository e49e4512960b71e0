package requestbody

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// Handler reads the bodies of requests into a memory that they share before another handler gets the requests, so that
// many large ones at the same time do not exceed the memory of the process. A body is held until the response ends, or
// until the other handler closes it.
type Handler struct {
	Next     http.Handler
	Memory   *Memory
	MaxBytes int64         // of a body
	SkipUpTo int64         // bodies that state a length up to this are passed on without being read
	Wait     time.Duration // how long a body may wait for memory
	Timeout  time.Duration // how long reading a body may take
	// Reject answers a request whose body was not read because of ErrFull or ErrTooSlow.
	Reject func(http.ResponseWriter, error)
}

// ServeHTTP reads the body and calls the next handler. A body that is invalid, or longer than MaxBytes, gives the next
// handler the error of reading it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch {
	case request.ContentLength >= 0 && request.ContentLength <= h.SkipUpTo:
		h.Next.ServeHTTP(w, request)
	case request.ContentLength > h.MaxBytes:
		w.Header().Set("Connection", "close")
		request.Body = readerOf(nil, &http.MaxBytesError{Limit: h.MaxBytes})
		h.Next.ServeHTTP(w, request)
	default:
		h.readAndServe(w, request)
	}
}

// readAndServe reads a body that is not known to be too long and calls the next handler.
func (h *Handler) readAndServe(w http.ResponseWriter, request *http.Request) {
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(time.Now().Add(h.Timeout))
	src := http.MaxBytesReader(w, request.Body, h.MaxBytes)
	body, err := h.Memory.Read(request.Context(), Source{
		Reader:    src,
		Length:    request.ContentLength,
		Timeout:   h.Timeout,
		Interrupt: func() { controller.SetReadDeadline(time.Now()) },
	}, h.Wait)
	switch {
	case errors.Is(err, ErrFull):
		RespondUnread(w, request, src, func() { h.Reject(w, err) })
		return
	case errors.Is(err, ErrTooSlow):
		RespondUnread(w, request, nil, func() { h.Reject(w, err) })
		return
	}
	controller.SetReadDeadline(time.Time{})
	reader := readerOf(body, err)
	defer reader.Close()
	body.Release() // once the reader is closed
	request.Body = reader
	h.Next.ServeHTTP(w, request)
}

// UnreadTimeout limits for how long the rest of a body is read and dropped after the response to its request.
const UnreadTimeout = 3 * time.Second

// RespondUnread sends the response to a request whose body has not been read completely at once. If the client sends
// the body all the same, the rest of it is read and dropped for up to UnreadTimeout, because a connection that is closed
// with unread bytes is reset, and the client might lose the response. After that, the connection is closed. A nil rest
// means that nothing more is expected.
func RespondUnread(w http.ResponseWriter, request *http.Request, rest io.Reader, respond func()) {
	controller := http.NewResponseController(w)
	bodyComes := rest != nil && request.Header.Get("Expect") == ""
	if bodyComes && controller.EnableFullDuplex() == nil {
		respond()
		controller.Flush()
		controller.SetReadDeadline(time.Now().Add(UnreadTimeout))
		dropRest(rest)
		return
	}
	w.Header().Set("Connection", "close")
	respond()
	controller.SetReadDeadline(time.Now()) // the server must not wait for the rest of the body
}

// dropRest reads the rest of a body. If it does not end, it aborts the handler, so that what follows is not taken for
// another request. The server itself closes the connection after a body that is too long.
func dropRest(rest io.Reader) {
	_, err := io.Copy(io.Discard, rest)
	var tooLarge *http.MaxBytesError
	if err != nil && !errors.As(err, &tooLarge) {
		panic(http.ErrAbortHandler)
	}
}

// readerOf returns a reader of a body that has been read, or of the error that reading ended with.
func readerOf(body *Body, err error) io.ReadCloser {
	if err != nil {
		return io.NopCloser(failingReader{err})
	}
	if body == nil {
		return io.NopCloser(bytes.NewReader(nil))
	}
	reader, err := body.NewReader()
	if err != nil {
		return io.NopCloser(failingReader{err})
	}
	return reader
}

// failingReader returns an error from every Read.
type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }
