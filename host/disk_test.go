// The real disk: torn tails, damage, and files that are whole or not there.

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

// The newest segment of a log on the real disk.
func segment(t *testing.T, dir string) string {
	ents, err := os.ReadDir(filepath.Join(dir, "log-0"))
	require.NoError(t, err)
	var names []string
	for _, e := range ents {
		names = append(names, e.Name())
	}
	sort.Strings(names)
	return filepath.Join(dir, "log-0", names[len(names)-1])
}

func fill(t *testing.T, dir string, rows ...string) {
	d, err := OpenDisk(dir)
	require.NoError(t, err)
	defer d.(*realDisk).lock.Close()
	l, _, err := d.Open("log-0")
	if errors.Is(err, ErrNotExist) {
		l, err = d.Create("log-0")
	}
	require.NoError(t, err)
	for _, r := range rows {
		require.NoError(t, l.Append([][]byte{[]byte(r)}))
	}
	require.NoError(t, l.Close())
}

func open(t *testing.T, dir string) ([][]byte, error) {
	d, err := OpenDisk(dir)
	require.NoError(t, err)
	defer d.(*realDisk).lock.Close()
	_, rows, err := d.Open("log-0")
	return rows, err
}

// TestTornTail: power lost in the middle of a write leaves every whole row and
// nothing else, at whatever byte the write stopped.
func TestTornTail(t *testing.T) {
	for cut := 1; cut <= 12; cut++ {
		dir := t.TempDir()
		fill(t, dir, "first", "second", "third")
		path := segment(t, dir)
		st, err := os.Stat(path)
		require.NoError(t, err)
		require.NoError(t, os.Truncate(path, st.Size()-int64(cut)))
		rows, err := open(t, dir)
		require.NoError(t, err)
		want := 2
		if cut > 10 {
			want = 1 // the third row takes ten bytes
		}
		require.Len(t, rows, want, "cut by %d", cut)
		fill(t, dir, "again")
		rows, err = open(t, dir)
		require.NoError(t, err)
		require.Equal(t, "again", string(rows[len(rows)-1]))
	}
}

// TestCorruptTail: the last row's bytes are there but wrong, as after a torn
// write of a whole sector; it is cut as well.
func TestCorruptTail(t *testing.T) {
	dir := t.TempDir()
	fill(t, dir, "first", "second")
	path := segment(t, dir)
	body, err := os.ReadFile(path)
	require.NoError(t, err)
	body[len(body)-2] ^= 0x40
	require.NoError(t, os.WriteFile(path, body, 0o644))
	rows, err := open(t, dir)
	require.NoError(t, err)
	require.Equal(t, [][]byte{[]byte("first")}, rows)
}

// TestDamage: a bad row before good ones was acknowledged once. The disk is
// called lost instead of being cut.
func TestDamage(t *testing.T) {
	dir := t.TempDir()
	fill(t, dir, "first", "second", "third")
	path := segment(t, dir)
	body, err := os.ReadFile(path)
	require.NoError(t, err)
	body[6] ^= 0x40
	require.NoError(t, os.WriteFile(path, body, 0o644))
	_, err = open(t, dir)
	require.Error(t, err)
	require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
	require.Contains(t, err.Error(), "counts as lost")
}

// TestFiles: saved whole or not at all, checked when read, and one process only.
func TestFiles(t *testing.T) {
	dir := t.TempDir()
	d, err := OpenDisk(dir)
	require.NoError(t, err)
	_, err = OpenDisk(dir)
	require.Error(t, err, "a second process must not share the folder")
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
