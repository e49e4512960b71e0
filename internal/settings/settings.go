// Package settings reads the settings of a program from flags and an optional JSON file, and checks them.
// Flags take precedence over the file, and the file over the defaults.
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

// Settings is implemented by a program's settings struct. File returns the path of the JSON file, or "" if
// there is none. Check returns an error that names the first invalid field.
type Settings interface {
	File() string
	Check() error
}

// ParseOrExit fills s from the arguments and the JSON file. It exits with code 0 after printing the help for
// --help, and with code 2 after printing an error on one line if the settings are invalid.
func ParseOrExit(s Settings, program, about string, args []string) {
	if err := Parse(s, program, about, args); err != nil {
		if errors.Is(err, errHelp) {
			os.Exit(0)
		}
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(2)
	}
}

var errHelp = errors.New("help was requested")

// Parse is like ParseOrExit, but returns an error instead of exiting. It prints the help for --help and returns
// an error for that, too.
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
		// The flags are parsed a second time, without defaults, to take precedence over the file.
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

// InvalidField returns an InvalidArgument error that names the field. The formatted text describes what is
// wrong with the field.
func InvalidField(field, format string, args ...any) error {
	return failure.New(failure.InvalidArgument, "check settings", field, format, args...)
}

// CheckAddr checks that an address consists of an IP address and a port.
func CheckAddr(field, addr string) error {
	if addr == "" {
		return InvalidField(field, "a value is required")
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return InvalidField(field, "%q is not an IP address with a port", addr)
	}
	return nil
}

// CheckSeeds checks that there are three valid seed addresses.
func CheckSeeds(field string, seeds []string) error {
	if len(seeds) != 3 {
		return InvalidField(field, "three addresses are required, but %d are given", len(seeds))
	}
	for i, a := range seeds {
		if err := CheckAddr(fmt.Sprintf("%s[%d]", field, i), a); err != nil {
			return err
		}
	}
	return nil
}

// FirstError returns the first error that is not nil, or nil if there is none. Check methods use it to combine
// checks.
func FirstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
