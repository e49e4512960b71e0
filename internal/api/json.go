package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
)

// unknownFieldPrefix is the prefix of the encoding/json error for a field that the type does not have.
const unknownFieldPrefix = "json: unknown field "

// ReadJSON decodes a request's body into out. The body must be a JSON value with known fields only, without
// another value after it, of at most limit bytes. An invalid body is returned as a Fault with status 400 or 413.
func ReadJSON(r *http.Request, out any, limit int64) *Fault {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	var tooLarge *http.MaxBytesError
	if err != nil && !errors.As(err, &tooLarge) {
		return NewFault(http.StatusBadRequest, "unreadable", "", "%v", err)
	}
	if err != nil || int64(len(body)) > limit {
		return NewFault(http.StatusRequestEntityTooLarge, "too-large", "", "the body exceeds the limit of %d bytes", limit)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(out)
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil && decoder.More():
		return NewFault(http.StatusBadRequest, "malformed", "", "the body has more than one JSON value")
	case err == nil:
		return nil
	case errors.As(err, &typeErr):
		return NewFault(
			http.StatusBadRequest,
			"wrong-type",
			typeErr.Field,
			"a JSON %s cannot be decoded as %s",
			typeErr.Value,
			typeErr.Type,
		)
	case strings.HasPrefix(err.Error(), unknownFieldPrefix):
		return NewFault(
			http.StatusBadRequest,
			"unknown-field",
			strings.Trim(strings.TrimPrefix(err.Error(), unknownFieldPrefix), `"`),
			"the field does not exist",
		)
	}
	return NewFault(http.StatusBadRequest, "malformed", "", "%v", err)
}

// WriteJSON writes a response with the status code and v as JSON.
func WriteJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}
