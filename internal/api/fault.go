package api

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"keelstair.example/failure"
	"keelstair.example/internal/workerclient"
)

// Fault is an error response to a client or an operator, with its HTTP status.
type Fault struct {
	Code int
	workerclient.Rejection
}

// Error returns the error's name, field and detail text.
func (f *Fault) Error() string { return f.Name + " " + f.Field + " " + f.Detail }

// NewFault returns a Fault with the HTTP status code. name identifies the error to programs, field is the
// invalid field of the request or "", and the formatted text is for people.
func NewFault(code int, name, field, format string, args ...any) *Fault {
	return &Fault{code, workerclient.Rejection{Name: name, Field: field, Detail: fmt.Sprintf(format, args...)}}
}

// RetryLater returns a Fault that tells the client to retry after the given delay.
func RetryLater(code int, name string, after time.Duration, format string, args ...any) *Fault {
	f := NewFault(code, name, "", format, args...)
	f.RetryAfterMs = after.Milliseconds()
	return f
}

// errorBody is the body of a response whose status is not 200.
type errorBody struct {
	Error workerclient.Rejection `json:"error"`
}

// defaultRetryAfter is the retry delay sent with an error that does not specify one.
const defaultRetryAfter = time.Second

// WriteError writes an error response. A Fault is written as it is; any other error gets the status that
// corresponds to its kind (see package failure). A retry delay is also sent in the Retry-After header, rounded up
// to whole seconds.
func WriteError(w http.ResponseWriter, err error) {
	var f *Fault
	if !errors.As(err, &f) {
		switch failure.KindOf(err) {
		case failure.InvalidArgument:
			f = NewFault(http.StatusBadRequest, "bad", "", "%v", err)
		case failure.Stale:
			f = NewFault(http.StatusConflict, "stale", "", "%v", err)
		case failure.OutcomeUnknown:
			f = NewFault(http.StatusGatewayTimeout, "unknown-fate", "", "%v", err)
		default:
			f = RetryLater(http.StatusServiceUnavailable, "away", defaultRetryAfter, "%v", err)
		}
	}
	if f.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((f.RetryAfterMs+999)/1000, 10))
	}
	WriteJSON(w, f.Code, errorBody{f.Rejection})
}
