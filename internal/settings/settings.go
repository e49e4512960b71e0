// Package settings reads settings: a JSON file first, flags over it, and then a
// check that names the field that is off.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/alexflint/go-arg"

	"keelstair.example/failure"
)

// Settings is what a program's settings struct must do.
type Settings interface {
	File() string
	Check() error
}

// Read fills s from the arguments. It ends the process for --help, and with
// one clear line and code 2 where something is off.
func Read(s Settings, program, about string, args []string) {
	if err := Parse(s, program, about, args); err != nil {
		if errors.Is(err, errHelp) {
			os.Exit(0)
		}
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(2)
	}
}

var errHelp = errors.New("help was asked for")

// Parse is Read without ending the process.
func Parse(s Settings, program, about string, args []string) error {
	p, err := arg.NewParser(arg.Config{Program: program}, s)
	if err != nil {
		return failure.As(err, failure.InvalidArgument, "read flags", program)
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		fmt.Printf("%s\n\n", about)
		p.WriteHelp(os.Stdout)
		return errHelp
	case err != nil:
		return failure.As(err, failure.InvalidArgument, "read flags", program)
	}
	if path := s.File(); path != "" {
		if err := loadFile(path, s); err != nil {
			return err
		}
		// Flags stand over the file, and the file over the defaults.
		if p, err = arg.NewParser(arg.Config{Program: program, IgnoreDefault: true}, s); err != nil {
			return failure.As(err, failure.InvalidArgument, "read flags", program)
		}
		if err := p.Parse(args); err != nil {
			return failure.As(err, failure.InvalidArgument, "read flags", program)
		}
	}
	return s.Check()
}

func loadFile(path string, s Settings) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return failure.As(err, failure.InvalidArgument, "read settings", path)
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	return failure.As(decoder.Decode(s), failure.InvalidArgument, "read settings", path)
}

// Invalid names a field that is off.
func Invalid(field, format string, args ...any) error {
	return failure.New(failure.InvalidArgument, "check settings", field, format, args...)
}

// Addr checks an address by IP number and port.
func Addr(field, addr string) error {
	if addr == "" {
		return Invalid(field, "it is missing")
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return Invalid(field, "%q is no IP number with a port", addr)
	}
	return nil
}

// Seeds checks the three seed addresses.
func Seeds(field string, seeds []string) error {
	if len(seeds) != 3 {
		return Invalid(field, "three are needed, %d given", len(seeds))
	}
	for i, a := range seeds {
		if err := Addr(fmt.Sprintf("%s[%d]", field, i), a); err != nil {
			return err
		}
	}
	return nil
}

// FirstError gives the first error of several checks.
func FirstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
