// These tests check partial configurations and large ones.

package fleetstate

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
)

// largeConfiguration returns the JSON of a configuration with n+1 workers and n-1 kinds.
func largeConfiguration(n int) []byte {
	var b strings.Builder
	b.WriteString(`{"zones":["a","b"],"programs":{},"limits":{},"workers":{`)
	for i := range n {
		fmt.Fprintf(
			&b,
			`"w%d":{"part":"%s","model":"m","weights":"w1","room":100,"zone":"a","adapters":["x%d"]},`,
			i,
			[]string{
				"prefill", "decode",
			}[i%2],
			i,
		)
	}
	b.WriteString(`"last":{"part":"decode","model":"m","weights":"w1","room":100,"zone":"a"}},"kinds":{`)
	for i := range n - 2 {
		fmt.Fprintf(&b, `"k%d":{"model":"m","maxTokens":%d},`, i, i+1)
	}
	b.WriteString(`"last":{"model":"m","maxTokens":3}}}`)
	return []byte(b.String())
}

// TestOverlayEqualsFullParse checks that Overlay gives the same result as a full parse of the merged
// configuration, including the rejections.
func TestOverlayEqualsFullParse(t *testing.T) {
	_, complete, err := ParseComplete("w", largeConfiguration(20))
	require.NoError(t, err)
	for _, part := range []string{
		`{limits: queue: 9}`,
		`{workers: w3: room: 7}`,
		`{workers: w4: null}`, `{workers: new: {part: "decode", model: "m", weights: "w2", room: 5, zone: "b"}}`,
		`{kinds: {k1: null, k2: maxTokens: 9, fresh: {model: "m", maxTokens: 3}}}`,
		`{zones: ["a", "b", "c"], switch: false}`,
		`{programs: p: {share: 100, source: "x"}}`, `{limits: null}`, `{}`,
		// These are rejected.
		`{workers: w3: room: 0}`,
		`{workers: w3: zone: "z"}`, `{colour: 3}`, `{workers: null}`, `{kinds: k1: model: "other"}`, `{zones: ["b"]}`,
		`{workers: bare: {}}`,
		`{limits: queue: "x"}`,
		`{programs: p: {share: 40, source: "x"}}`, `{switch: 3}`, `{zones: null}`, `{workers: 5}`,
	} {
		partial, err := CUEToJSON("part", []byte(part))
		require.NoError(t, err, part)
		merged, err := Merge(complete, partial)
		require.NoError(t, err, part)
		_, want, wantErr := ParseComplete("part", merged)
		_, got, gotErr := Overlay("part", complete, partial)
		require.Equal(t, wantErr == nil, gotErr == nil, "%s: %v / %v", part, wantErr, gotErr)
		require.Equal(t, string(want), string(got), part)
	}
}

// TestEntryLimit checks that a configuration with more than maxEntries entries is rejected with their
// number in the error, and that one at the limit is accepted. A much larger text is rejected with the
// limit in the error, before it is validated against the schema.
func TestEntryLimit(t *testing.T) {
	_, complete, err := ParseComplete("w", largeConfiguration(maxEntries/2))
	require.NoError(t, err)
	_, _, err = Overlay("part", complete, []byte(`{"kinds":{"one-more":{"model":"m","maxTokens":3}}}`))
	require.ErrorContains(t, err, "3001 entries")
	_, err = CUEToJSON("huge", largeConfiguration(20000))
	require.ErrorContains(t, err, "over 3000 entries")
	require.True(t, failure.Is(err, failure.InvalidArgument))
}

// BenchmarkOverlay applies one small change to a large configuration with Overlay.
func BenchmarkOverlay(b *testing.B) {
	_, complete, _ := ParseComplete("w", largeConfiguration(maxEntries/2))
	for b.Loop() {
		Overlay("part", complete, []byte(`{"limits":{"queue":9}}`))
	}
}

// BenchmarkParseComplete applies the same change as BenchmarkOverlay with a full parse.
func BenchmarkParseComplete(b *testing.B) {
	_, complete, _ := ParseComplete("w", largeConfiguration(maxEntries/2))
	for b.Loop() {
		merged, _ := Merge(complete, []byte(`{"limits":{"queue":9}}`))
		ParseComplete("part", merged)
	}
}
