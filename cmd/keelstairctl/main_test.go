// Tests of the export of the audit log and of signing certificates.

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
)

// auditLines returns n rows of an audit log with an intact hash chain. Their records contain the tag.
func auditLines(n int, tag string) (out []json.RawMessage) {
	prev := ""
	for i := range n {
		r := fleetstate.AuditRow{
			Index:  i + 1,
			Prev:   prev,
			Record: json.RawMessage(fmt.Sprintf(`{"request":"%s%d"}`, tag, i+1)),
		}
		sum := sha256.Sum256([]byte(fmt.Sprintf("%s\n%d\n%s", r.Prev, r.Index, r.Record)))
		r.Hash = hex.EncodeToString(sum[:])
		prev = r.Hash
		b, err := json.Marshal(r)
		if err != nil {
			panic(err)
		}
		out = append(out, b)
	}
	return out
}

// fetchFrom returns a function that serves pages of up to 3 rows of an audit log, like a fleet that
// retains the rows from first on.
func fetchFrom(rows []json.RawMessage, first int) func(int) (*api.AuditPage, error) {
	return func(from int) (*api.AuditPage, error) {
		page := &api.AuditPage{First: first, Count: len(rows)}
		for i := max(from, first); i <= len(rows) && len(page.Rows) < 3; i++ {
			page.Rows = append(page.Rows, rows[i-1])
		}
		var r fleetstate.AuditRow
		if len(rows) > 0 {
			json.Unmarshal(rows[len(rows)-1], &r)
		}
		page.Head = r.Hash
		return page, nil
	}
}

// TestFetchRows checks that an export is extended with the missing rows, and that removed or changed rows in
// the export or in the fleet's audit log are detected.
func TestFetchRows(t *testing.T) {
	rows := auditLines(10, "a")
	var file bytes.Buffer
	n, err := fetchRows(nil, fetchFrom(rows[:7], 1), &file)
	require.NoError(t, err)
	require.Equal(t, 7, n)
	last, err := verifyExport(bytes.NewReader(file.Bytes()))
	require.NoError(t, err)
	n, err = fetchRows(last, fetchFrom(rows, 5), &file)
	require.NoError(t, err)
	require.Equal(t, 3, n)
	require.Equal(t, 10, strings.Count(file.String(), "\n"))
	last, err = verifyExport(&file)
	require.NoError(t, err)
	n, err = fetchRows(last, fetchFrom(rows, 5), &file)
	require.NoError(t, err)
	require.Zero(t, n)
	var rest bytes.Buffer
	n, err = fetchRows(nil, fetchFrom(rows, 5), &rest)
	require.NoError(t, err)
	require.Equal(t, 6, n, "without an export, it starts at the oldest row retained")
	withGap := append(append([]json.RawMessage{}, rows[:8]...), rows[9])
	for want, fetch := range map[string]func(int) (*api.AuditPage, error){
		"ends at row 8":          fetchFrom(rows[:8], 1),
		"is not the one":         fetchFrom(auditLines(10, "b"), 1),
		"does not follow row 10": fetchFrom(auditLines(12, "b"), 1),
		"the rows in between":    fetchFrom(auditLines(20, "a"), 15),
	} {
		_, err = fetchRows(last, fetch, &rest)
		require.ErrorContains(t, err, want)
	}
	_, err = fetchRows(nil, fetchFrom(withGap, 1), &rest)
	require.ErrorContains(t, err, "rows were removed")
	_, err = verifyExport(strings.NewReader(string(rows[0]) + "\n" + string(rows[2]) + "\n"))
	require.ErrorContains(t, err, "rows were removed")
	_, err = verifyExport(strings.NewReader("hello\n"))
	require.ErrorContains(t, err, "line 1")
}

// TestSign checks that the signed certificates are valid for the issuer of the key, and that invalid
// arguments are rejected.
func TestSign(t *testing.T) {
	privateKey, text, err := certification.NewKey()
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "key.pem")
	require.NoError(t, os.WriteFile(file, text, 0o600))
	now := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	c := &certifyCmd{
		KeyFile: file,
		Issuer:  "k1",
		Regime:  "chair",
		Workers: []string{"p1", "d1"},
		Nodes:   []string{"v1"},
		Days:    30,
	}
	certs, err := c.sign(now)
	require.NoError(t, err)
	require.Len(t, certs, 3)
	r, err := certification.Compile(
		map[string]certification.Regime{"chair": {Kinds: []string{"verdict"}}},
		map[string]certification.Issuer{"k1": {
			Key:   certification.EncodePublicKey(privateKey),
			From:  "2026-01-01T00:00:00Z",
			Until: "2028-01-01T00:00:00Z",
		}},
		certs,
	)
	require.NoError(t, err)
	require.Empty(t, r.Shortages("chair", 1, certification.ExactTime(now), nil))
	for want, alter := range map[string]func(c *certifyCmd){
		"is neither":              func(c *certifyCmd) { c.Roles = []string{"both"} },
		"at least one":            func(c *certifyCmd) { c.Workers, c.Nodes = nil, nil },
		"not after the start":     func(c *certifyCmd) { c.Until = "2026-01-01T00:00:00Z" },
		"is in the past":          func(c *certifyCmd) { c.From, c.Until = "2025-01-01T00:00:00Z", "2026-01-01T00:00:00Z" },
		"is not an RFC 3339 time": func(c *certifyCmd) { c.From = "yesterday" },
		"no such file":            func(c *certifyCmd) { c.KeyFile = file + "x" },
		"no PEM file":             func(c *certifyCmd) { c.KeyFile = file + "-bad" },
	} {
		require.NoError(t, os.WriteFile(file+"-bad", []byte("x"), 0o600))
		altered := *c
		alter(&altered)
		_, err := altered.sign(now)
		require.ErrorContains(t, err, want)
	}
}
