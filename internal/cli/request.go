// How operators' programs ask a door: any of several, until one answers for
// good; each kind of no has an exit code of its own.

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

// ExitError is a door's no; its number is the exit code that operators know.
type ExitError struct {
	Code int
	text string
}

// Error returns the text that operators read.
func (t *ExitError) Error() string { return t.text }

// CheckEndpoints checks a list of doors, given one by one or with commas.
func CheckEndpoints(endpoints *[]string) error {
	if len(*endpoints) == 1 {
		*endpoints = strings.Split((*endpoints)[0], ",")
	}
	if len(*endpoints) == 0 {
		return settings.Invalid("doors", "at least one is needed (--doors or KEELSTAIR_DOORS)")
	}
	for _, endpoint := range *endpoints {
		if err := settings.Addr("doors", endpoint); err != nil {
			return err
		}
	}
	return nil
}

// Request asks doors until one answers for good; a no carries its exit code.
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
