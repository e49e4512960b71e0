package ratchet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	entries, err := Parse("# why\n\n b c \na\n")
	require.NoError(t, err)
	require.Equal(t, []string{"b c", "a"}, entries)
	_, err = Parse("a\nb\na\n")
	require.EqualError(t, err, `line 3: "a" is listed twice`)
}

func TestCompare(t *testing.T) {
	unlisted, stale := Compare([]string{"a", "d", "c"}, []string{"e", "a", "b", "e"})
	require.Equal(t, []string{"b", "e"}, unlisted)
	require.Equal(t, []string{"c", "d"}, stale)
}
