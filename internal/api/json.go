package api

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
)

// unknownField begins the error of encoding/json for a field that the type does not have.
const unknownField = "json: unknown field "

// Read decodes a request's body into a value: one JSON value with known fields only, of at
// most so many bytes. What is wrong with it comes back as a fault with status 400 or 413.
func Read(r *http.Request, into any, limit int64) *Fault {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return WriteFault(http.StatusBadRequest, "unreadable", "", "%v", err)
	}
	if int64(len(body)) > limit {
		return WriteFault(http.StatusRequestEntityTooLarge, "too-large", "", "a body may have %d bytes", limit)
	}
	rows := json.NewDecoder(strings.NewReader(string(body)))
	rows.DisallowUnknownFields()
	err = rows.Decode(into)
	var kind *json.UnmarshalTypeError
	switch {
	case err == nil && rows.More():
		return WriteFault(http.StatusBadRequest, "malformed", "", "more than one value")
	case err == nil:
		return nil
	case errors.As(err, &kind):
		return WriteFault(http.StatusBadRequest, "wrong-type", kind.Field, "%s is no %s", kind.Value, kind.Type)
	case strings.HasPrefix(err.Error(), unknownField):
		return WriteFault(
			http.StatusBadRequest,
			"unknown-field",
			strings.Trim(strings.TrimPrefix(err.Error(), unknownField), `"`),
			"no such field",
		)
	}
	return WriteFault(http.StatusBadRequest, "malformed", "", "%v", err)
}

// Write answers with a status and a JSON value.
func Write(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}
