// What keelstairctl does with certificates and with the audit record.

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

func lines(n int, tag string) (out []json.RawMessage) {
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

// fleet answers as a fleet that has so many rows and keeps those from a number on.
func fleet(all []json.RawMessage, first int) func(int) (*api.AuditPage, error) {
	return func(from int) (*api.AuditPage, error) {
		got := &api.AuditPage{First: first, Count: len(all)}
		for i := max(from, first); i <= len(all) && len(got.Rows) < 3; i++ {
			got.Rows = append(got.Rows, all[i-1])
		}
		var r fleetstate.AuditRow
		if len(all) > 0 {
			json.Unmarshal(all[len(all)-1], &r)
		}
		got.Head = r.Hash
		return got, nil
	}
}

// TestFollow: an export is added to, and whatever was taken away or changed at either
// end shows.
func TestFollow(t *testing.T) {
	all := lines(10, "a")
	var file bytes.Buffer
	n, err := follow(nil, fleet(all[:7], 1), &file)
	require.NoError(t, err)
	require.Equal(t, 7, n)
	last, err := exported(bytes.NewReader(file.Bytes()))
	require.NoError(t, err)
	n, err = follow(last, fleet(all, 5), &file)
	require.NoError(t, err)
	require.Equal(t, 3, n)
	require.Equal(t, 10, strings.Count(file.String(), "\n"))
	last, err = exported(&file)
	require.NoError(t, err)
	n, err = follow(last, fleet(all, 5), &file)
	require.NoError(t, err)
	require.Zero(t, n)
	var rest bytes.Buffer
	n, err = follow(nil, fleet(all, 5), &rest)
	require.NoError(t, err)
	require.Equal(t, 6, n, "without an export it begins at the first that is kept")
	short := append(append([]json.RawMessage{}, all[:8]...), all[9])
	for says, ask := range map[string]func(int) (*api.AuditPage, error){
		"ends at row 8":          fleet(all[:8], 1),
		"is not the one":         fleet(lines(10, "b"), 1),
		"does not follow row 10": fleet(lines(12, "b"), 1),
		"what lies between":      fleet(lines(20, "a"), 15),
	} {
		_, err = follow(last, ask, &rest)
		require.ErrorContains(t, err, says)
	}
	_, err = follow(nil, fleet(short, 1), &rest)
	require.ErrorContains(t, err, "rows were removed")
	_, err = exported(strings.NewReader(string(all[0]) + "\n" + string(all[2]) + "\n"))
	require.ErrorContains(t, err, "rows were removed")
	_, err = exported(strings.NewReader("hello\n"))
	require.ErrorContains(t, err, "line 1")
}

// TestSigned: certificates that keelstairctl signs hold under the issuer that keelstairctl key prints;
// what cannot be meant is refused before anything is signed.
func TestSigned(t *testing.T) {
	private, text, err := certification.NewKey()
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "key.pem")
	require.NoError(t, os.WriteFile(file, text, 0o600))
	now := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	c := &certifyCmd{
		Key:    file,
		Issuer: "k1",
		Regime: "chair",
		Worker: []string{"p1", "d1"},
		Node:   []string{"v1"},
		Days:   30,
	}
	certs, err := c.signed(now)
	require.NoError(t, err)
	require.Len(t, certs, 3)
	r, err := certification.Compile(
		map[string]certification.Regime{"chair": {Kinds: []string{"verdict"}}},
		map[string]certification.Issuer{"k1": {
			Key:   certification.EncodePublicKey(private),
			From:  "2026-01-01T00:00:00Z",
			Until: "2028-01-01T00:00:00Z",
		}},
		certs,
	)
	require.NoError(t, err)
	require.Empty(t, r.Shortages("chair", 1, certification.ExactTime(now), nil))
	for says, spoil := range map[string]func(c *certifyCmd){
		"is neither":          func(c *certifyCmd) { c.Roles = []string{"both"} },
		"at least one":        func(c *certifyCmd) { c.Worker, c.Node = nil, nil },
		"not after the start": func(c *certifyCmd) { c.Until = "2026-01-01T00:00:00Z" },
		"is past":             func(c *certifyCmd) { c.From, c.Until = "2025-01-01T00:00:00Z", "2026-01-01T00:00:00Z" },
		"is no time":          func(c *certifyCmd) { c.From = "yesterday" },
		"no such file":        func(c *certifyCmd) { c.Key = file + "x" },
		"no PEM file":         func(c *certifyCmd) { c.Key = file + "-bad" },
	} {
		require.NoError(t, os.WriteFile(file+"-bad", []byte("x"), 0o600))
		one := *c
		spoil(&one)
		_, err := one.signed(now)
		require.ErrorContains(t, err, says)
	}
}
