// Requests of the operators' programs to the frontends of nodes. Failed requests are mapped to exit codes.

package cli

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"keelstair.example/internal/api"
	"keelstair.example/internal/settings"
	"keelstair.example/rpc"
)

// ExitError is the error of a failed request with the exit code for operators: 3 for a conflict, 4 for an
// unavailable service, 5 for an operation that may have been executed, and 2 for any other error response.
type ExitError struct {
	Code int
	text string
}

// Error returns the message for the operator.
func (e *ExitError) Error() string { return e.text }

// CheckEndpoints checks a list of frontend addresses. A single element is first split at commas.
func CheckEndpoints(endpoints *[]string) error {
	if len(*endpoints) == 1 {
		*endpoints = strings.Split((*endpoints)[0], ",")
	}
	if len(*endpoints) == 0 {
		return settings.InvalidField("doors", "at least one address is required (--doors or KEELSTAIR_DOORS)")
	}
	for _, endpoint := range *endpoints {
		if err := settings.CheckAddr("doors", endpoint); err != nil {
			return err
		}
	}
	return nil
}

// Request sends a request to the endpoints until one returns a final result, for at most 10 s, and decodes
// the result into out. It returns an ExitError for an error response, and for a failed POST that may have been
// executed.
func Request(endpoints []string, method, path string, in, out any) error {
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	err := api.Send(ctx, &http.Client{}, endpoints, method, path, in, out)
	var fault *api.Fault
	if !errors.As(err, &fault) {
		if err != nil && method == http.MethodPost && !rpc.IsDialError(err) {
			return &ExitError{5, err.Error()}
		}
		return err
	}
	exitErr := &ExitError{2, strings.TrimSpace(fault.Name + " " + fault.Field + ": " + fault.Detail)}
	switch fault.Code {
	case http.StatusServiceUnavailable:
		exitErr.Code = 4
	case http.StatusConflict:
		exitErr.Code = 3
	case http.StatusGatewayTimeout:
		exitErr.Code = 5
	}
	return exitErr
}
