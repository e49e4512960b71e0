// The export of the audit log. Each row is a JSON line and is verified against the row before it. An existing
// export is verified and extended.

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
	File string `arg:"positional" help:"an export file to verify and extend, created if it does not exist; default: print all rows"`
}

// verifyExport verifies the hash chain of an existing export and returns its last row, or nil if it is empty.
func verifyExport(r io.Reader) (*fleetstate.AuditRow, error) {
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

// fetchRows fetches the fleet's rows after the last known row, and writes each row once it is verified.
// It returns the number of rows written.
func fetchRows(last *fleetstate.AuditRow, fetch func(from int) (*api.AuditPage, error), out io.Writer) (int, error) {
	invalid := func(format string, args ...any) error {
		return failure.New(failure.InvalidArgument, "check audit", "", format, args...)
	}
	next := 1
	if last != nil {
		next = last.Index + 1
	}
	for written := 0; ; {
		page, err := fetch(next)
		switch {
		case err != nil:
			return written, err
		case last != nil && page.Count < last.Index:
			return written, invalid(
				"the fleet's audit log ends at row %d, but the export ends at row %d: rows were removed",
				page.Count,
				last.Index,
			)
		case last != nil && page.First > next:
			return written, invalid(
				"the fleet retains rows from row %d on, but the export ends at row %d: the rows in between are lost",
				page.First,
				last.Index,
			)
		case page.Count >= next && len(page.Rows) == 0:
			return written, invalid("row %d is missing", next)
		case len(page.Rows) == 0 && last != nil && page.Head != last.Hash:
			return written, invalid(
				"the fleet's newest row %d is not the one in the export: a row was changed or replaced",
				page.Count,
			)
		case len(page.Rows) == 0:
			return written, nil
		}
		for _, line := range page.Rows {
			row := &fleetstate.AuditRow{}
			if err := json.Unmarshal(line, row); err != nil {
				return written, failure.As(err, failure.InvalidArgument, "check audit", "")
			}
			if err := fleetstate.VerifyChain(last, []fleetstate.AuditRow{*row}); err != nil {
				return written, err
			}
			if _, err := out.Write(append(bytes.Clone(line), '\n')); err != nil {
				return written, err
			}
			last, next, written = row, row.Index+1, written+1
		}
	}
}

func (o *options) audit(c *auditCmd) error {
	var last *fleetstate.AuditRow
	var out io.Writer = os.Stdout
	if c.File != "" {
		file, err := os.OpenFile(c.File, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		if last, err = verifyExport(file); err != nil {
			return err
		}
		out = file
	}
	n, err := fetchRows(last, func(from int) (*api.AuditPage, error) {
		page := &api.AuditPage{}
		return page, o.request(http.MethodGet, fmt.Sprintf("/v1/audit?from=%d", from), nil, page)
	}, out)
	if err == nil {
		fmt.Fprintf(os.Stderr, "%d rows written; the hash chain is intact\n", n)
	}
	return err
}
