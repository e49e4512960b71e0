// Keelstairctl's reading of the audit record: rows as JSON lines, each held against the one
// before, also over what an earlier export has.

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"keelstair.example/failure"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
)

type auditCmd struct {
	File string `arg:"positional" help:"an export: it is checked, and what it lacks is added; else all rows are printed"`
}

// exported checks an earlier export and gives its last row.
func exported(r io.Reader) (*fleetstate.AuditRow, error) {
	var last *fleetstate.AuditRow
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 8<<20)
	for n := 1; lines.Scan(); n++ {
		row := &fleetstate.AuditRow{}
		if err := json.Unmarshal(lines.Bytes(), row); err != nil {
			return nil, failure.As(err, failure.InvalidArgument, "check audit", fmt.Sprint("line ", n))
		}
		if err := fleetstate.VerifyChain(last, []fleetstate.AuditRow{*row}); err != nil {
			return nil, err
		}
		last = row
	}
	return last, lines.Err()
}

// follow reads the fleet's rows after the last one that is known, and writes each once
// it is checked. It gives how many there were.
func follow(last *fleetstate.AuditRow, ask func(from int) (*api.AuditPage, error), out io.Writer) (int, error) {
	bad := func(form string, args ...any) error {
		return failure.New(failure.InvalidArgument, "check audit", "", form, args...)
	}
	next := 1
	if last != nil {
		next = last.Index + 1
	}
	for wrote := 0; ; {
		got, err := ask(next)
		switch {
		case err != nil:
			return wrote, err
		case last != nil && got.Count < last.Index:
			return wrote, bad(
				"the fleet's record ends at row %d, the export at row %d: rows were removed",
				got.Count,
				last.Index,
			)
		case last != nil && got.First > next:
			return wrote, bad(
				"the fleet keeps rows from %d on, the export ends at row %d: what lies between is gone",
				got.First,
				last.Index,
			)
		case got.Count >= next && len(got.Rows) == 0:
			return wrote, bad("row %d is missing", next)
		case len(got.Rows) == 0 && last != nil && got.Head != last.Hash:
			return wrote, bad(
				"the fleet's newest row %d is not the one that follows here: one was changed or replaced",
				got.Count,
			)
		case len(got.Rows) == 0:
			return wrote, nil
		}
		for _, line := range got.Rows {
			row := &fleetstate.AuditRow{}
			if err := json.Unmarshal(line, row); err != nil {
				return wrote, failure.As(err, failure.InvalidArgument, "check audit", "")
			}
			if err := fleetstate.VerifyChain(last, []fleetstate.AuditRow{*row}); err != nil {
				return wrote, err
			}
			if _, err := out.Write(append(bytes.Clone(line), '\n')); err != nil {
				return wrote, err
			}
			last, next, wrote = row, row.Index+1, wrote+1
		}
	}
}

func (s *options) audit(c *auditCmd) error {
	var last *fleetstate.AuditRow
	var out io.Writer = os.Stdout
	if c.File != "" {
		file, err := os.OpenFile(c.File, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		if last, err = exported(file); err != nil {
			return err
		}
		out = file
	}
	n, err := follow(last, func(from int) (*api.AuditPage, error) {
		got := &api.AuditPage{}
		return got, s.ask(http.MethodGet, fmt.Sprintf("/v1/audit?from=%d", from), nil, got)
	}, out)
	if err == nil {
		fmt.Fprintf(os.Stderr, "%d rows, the chain is whole\n", n)
	}
	return err
}
