// Tests of the real disk: incomplete records at the end of a log, damaged records, and atomic
// file replacement.

package host

import (
	"errors"
	"os"
	"path/filepath"
	"sort"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
)

// newestSegmentPath returns the path of the newest segment file of log-0.
func newestSegmentPath(t *testing.T, dir string) string {
	files, err := os.ReadDir(filepath.Join(dir, "log-0"))
	require.NoError(t, err)
	var names []string
	for _, e := range files {
		names = append(names, e.Name())
	}
	sort.Strings(names)
	return filepath.Join(dir, "log-0", names[len(names)-1])
}

func appendEntries(t *testing.T, dir string, entries ...string) {
	d, err := OpenDisk(dir)
	require.NoError(t, err)
	defer d.(*realDisk).lockFile.Close()
	l, _, err := d.Open("log-0")
	if errors.Is(err, ErrNotExist) {
		l, err = d.Create("log-0")
	}
	require.NoError(t, err)
	for _, entry := range entries {
		require.NoError(t, l.Append([][]byte{[]byte(entry)}))
	}
	require.NoError(t, l.Close())
}

func readLog(t *testing.T, dir string) ([][]byte, error) {
	d, err := OpenDisk(dir)
	require.NoError(t, err)
	defer d.(*realDisk).lockFile.Close()
	_, entries, err := d.Open("log-0")
	return entries, err
}

// TestTornTail truncates the file of a log by different numbers of bytes, as a power loss during a
// write may do, and checks that every complete entry and nothing else remains and that the log can
// be appended to.
func TestTornTail(t *testing.T) {
	for removedBytes := 1; removedBytes <= 12; removedBytes++ {
		dir := t.TempDir()
		appendEntries(t, dir, "first", "second", "third")
		path := newestSegmentPath(t, dir)
		st, err := os.Stat(path)
		require.NoError(t, err)
		require.NoError(t, os.Truncate(path, st.Size()-int64(removedBytes)))
		entries, err := readLog(t, dir)
		require.NoError(t, err)
		want := 2
		if removedBytes > 10 {
			want = 1 // the third entry takes ten bytes
		}
		require.Len(t, entries, want, "truncated by %d bytes", removedBytes)
		appendEntries(t, dir, "again")
		entries, err = readLog(t, dir)
		require.NoError(t, err)
		require.Equal(t, "again", string(entries[len(entries)-1]))
	}
}

// TestCorruptTail checks that a last entry of full length but with wrong bytes is removed as well.
// A write of which only a part reached the disk may leave such an entry.
func TestCorruptTail(t *testing.T) {
	dir := t.TempDir()
	appendEntries(t, dir, "first", "second")
	path := newestSegmentPath(t, dir)
	body, err := os.ReadFile(path)
	require.NoError(t, err)
	body[len(body)-2] ^= 0x40
	require.NoError(t, os.WriteFile(path, body, 0o644))
	entries, err := readLog(t, dir)
	require.NoError(t, err)
	require.Equal(t, [][]byte{[]byte("first")}, entries)
}

// TestDamagedRecordBeforeIntactOnes checks that a log does not open if a record before intact ones
// is damaged. That record was acknowledged, so the log must not be truncated there.
func TestDamagedRecordBeforeIntactOnes(t *testing.T) {
	dir := t.TempDir()
	appendEntries(t, dir, "first", "second", "third")
	path := newestSegmentPath(t, dir)
	body, err := os.ReadFile(path)
	require.NoError(t, err)
	body[6] ^= 0x40
	require.NoError(t, os.WriteFile(path, body, 0o644))
	_, err = readLog(t, dir)
	require.Error(t, err)
	require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
	require.Contains(t, err.Error(), "counts as lost")
}

// TestFiles checks that a saved file replaces the previous one, that its checksum is verified on
// load, and that a second process cannot open the directory.
func TestFiles(t *testing.T) {
	dir := t.TempDir()
	d, err := OpenDisk(dir)
	require.NoError(t, err)
	_, err = OpenDisk(dir)
	require.Error(t, err, "a second process must not share the directory")
	_, err = d.Load("register")
	require.ErrorIs(t, err, ErrNotExist)
	require.NoError(t, d.Save("register", []byte("one")))
	require.NoError(t, d.Save("register", []byte("two")))
	got, err := d.Load("register")
	require.NoError(t, err)
	require.Equal(t, "two", string(got))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "register"), []byte("xxxxtwo"), 0o644))
	_, err = d.Load("register")
	require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
}
