package api

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
)

// unknownFieldPrefix begins the error of encoding/json for a field that the type does not have.
const unknownFieldPrefix = "json: unknown field "

// ReadJSON decodes a request's body into a value: one JSON value with known fields only, of at
// most so many bytes. What is wrong with it comes back as a fault with status 400 or 413.
func ReadJSON(r *http.Request, out any, limit int64) *Fault {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return NewFault(http.StatusBadRequest, "unreadable", "", "%v", err)
	}
	if int64(len(body)) > limit {
		return NewFault(http.StatusRequestEntityTooLarge, "too-large", "", "a body may have %d bytes", limit)
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(out)
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil && decoder.More():
		return NewFault(http.StatusBadRequest, "malformed", "", "more than one value")
	case err == nil:
		return nil
	case errors.As(err, &typeErr):
		return NewFault(http.StatusBadRequest, "wrong-type", typeErr.Field, "%s is no %s", typeErr.Value, typeErr.Type)
	case strings.HasPrefix(err.Error(), unknownFieldPrefix):
		return NewFault(
			http.StatusBadRequest,
			"unknown-field",
			strings.Trim(strings.TrimPrefix(err.Error(), unknownFieldPrefix), `"`),
			"no such field",
		)
	}
	return NewFault(http.StatusBadRequest, "malformed", "", "%v", err)
}

// WriteJSON answers with a status and a JSON value.
func WriteJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}
