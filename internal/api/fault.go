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

// Fault is a refusal that an origin or an operator gets, with its HTTP status.
type Fault struct {
	Code int
	workerclient.Rejection
}

// Error returns the refusal's name, field and text.
func (f *Fault) Error() string { return f.Name + " " + f.Field + " " + f.Detail }

// NewFault returns a refusal with a status. name is for programs, field the one at fault or "", and
// the formatted text for people.
func NewFault(code int, name, field, format string, args ...any) *Fault {
	return &Fault{code, workerclient.Rejection{Name: name, Field: field, Detail: fmt.Sprintf(format, args...)}}
}

// RetryLater returns a refusal that also says after how long to come back.
func RetryLater(code int, name string, after time.Duration, format string, args ...any) *Fault {
	f := NewFault(code, name, "", format, args...)
	f.After = after.Milliseconds()
	return f
}

// errorBody is the body of an answer other than 200.
type errorBody struct {
	Error workerclient.Rejection `json:"error"`
}

// defaultRetryAfter is when to come back where an error doesn't say it.
const defaultRetryAfter = time.Second

// WriteError answers with an error: a Fault as it is, and others with the status for their kind of
// package failure. A time to come back is also given as Retry-After, in full seconds.
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
	if f.After > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((f.After+999)/1000, 10))
	}
	WriteJSON(w, f.Code, errorBody{f.Rejection})
}
