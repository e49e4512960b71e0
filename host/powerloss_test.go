// Tests that simulate a power loss immediately before each sync of the real disk, with
// the different states in which unsynced data may be left.

package host_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/host"
	"keelstair.example/host/simulated"
)

// expectedContent is the last acknowledged content of a file or log, and the content that the
// current operation writes.
type expectedContent struct{ acknowledged, requested string }

func (e expectedContent) allows(got string) bool { return got == e.acknowledged || got == e.requested }

// readBack opens the disk in dir after a power loss and reads its file and its log.
func readBack(t *testing.T, dir string) (file, entries string) {
	disk, err := host.OpenDisk(dir)
	require.NoError(t, err)
	body, err := disk.Load("register")
	if !errors.Is(err, host.ErrNotExist) {
		require.NoError(t, err)
	}
	log, allEntries, err := disk.Open("log-0")
	if errors.Is(err, host.ErrNotExist) {
		return string(body), ""
	}
	require.NoError(t, err)
	require.NoError(t, log.Close())
	unfinished, err := filepath.Glob(filepath.Join(dir, "*.new"))
	require.NoError(t, err)
	require.Empty(t, unfinished, "unfinished files are removed when the disk is opened")
	return string(body), fmt.Sprintf("%s", allEntries)
}

// TestPowerLossAtEachSync checks after a power loss at each sync that a saved file has the old
// or the new content, and that a log holds every acknowledged entry and either all or none of
// the entries being appended.
func TestPowerLossAtEachSync(t *testing.T) {
	root := filepath.Join(t.TempDir(), "data")
	require.NoError(t, os.Mkdir(root, 0o755))
	loss, err := simulated.NewPowerLoss(root, 1)
	require.NoError(t, err)
	defer loss.Close()
	var file, entries expectedContent
	states := 0
	disk, err := host.OpenObservedDisk(root, func(path string) {
		require.NoError(t, loss.BeforeSync(path, func(dir string) {
			states++
			gotFile, gotEntries := readBack(t, dir)
			require.True(t, file.allows(gotFile), "file %q, not %+v", gotFile, file)
			require.True(t, entries.allows(gotEntries), "entries %q, not %+v", gotEntries, entries)
		}))
	})
	require.NoError(t, err)
	save := func(body string) {
		file.requested = body
		require.NoError(t, disk.Save("register", []byte(body)))
		file.acknowledged = body
	}
	save("one")
	entries.acknowledged, entries.requested = "", "[]"
	log, err := disk.Create("log-0")
	require.NoError(t, err)
	entries.acknowledged = "[]"
	var allEntries [][]byte
	for i := range 12 {
		var batch [][]byte
		for j := range 1 + i%3 {
			batch = append(batch, fmt.Appendf(nil, "row %d of batch %d", j, i))
		}
		allEntries = append(allEntries, batch...)
		entries.requested = fmt.Sprintf("%s", allEntries)
		require.NoError(t, log.Append(batch))
		entries.acknowledged = entries.requested
		save(fmt.Sprint("file ", i))
	}
	require.Greater(t, states, 100)
	t.Logf("%d states", states)
}

// TestPowerLossAfterCreate checks that a log survives with its entries once Create has
// returned, and that an older log of the same name never reappears.
func TestPowerLossAfterCreate(t *testing.T) {
	root := t.TempDir()
	loss, err := simulated.NewPowerLoss(root, 1)
	require.NoError(t, err)
	defer loss.Close()
	acknowledged := ""
	disk, err := host.OpenObservedDisk(root, func(path string) {
		require.NoError(t, loss.BeforeSync(path, func(dir string) {
			if acknowledged == "" {
				return
			}
			disk, err := host.OpenDisk(dir)
			require.NoError(t, err)
			_, entries, err := disk.Open("log-0")
			require.NoError(t, err)
			require.Contains(t, []string{acknowledged, "[again]"}, fmt.Sprintf("%s", entries))
		}))
	})
	require.NoError(t, err)
	log, err := disk.Create("log-0")
	require.NoError(t, err)
	acknowledged = "[]"
	require.NoError(t, log.Append([][]byte{[]byte("again")}))
	require.NoError(t, log.Close())
	acknowledged = ""
	log, err = disk.Create("log-0")
	require.NoError(t, err)
	acknowledged = "[]"
	require.NoError(t, log.Append([][]byte{[]byte("again")}))
	require.NoError(t, disk.Save("register", nil))
}

// TestDataDirectorySynced checks that the parents of the data directory and of the directories
// created above it are synced. Otherwise a power loss could remove the whole disk.
func TestDataDirectorySynced(t *testing.T) {
	root := t.TempDir()
	var synced []string
	_, err := host.OpenObservedDisk(filepath.Join(root, "above", "data"), func(path string) {
		synced = append(synced, path)
	})
	require.NoError(t, err)
	require.Equal(t, []string{root, filepath.Join(root, "above")}, synced)
}

// TestMissingSegment checks that a log without its first segment, or without a segment in the
// middle, is not opened as a shorter log.
func TestMissingSegment(t *testing.T) {
	createLog := func() string {
		dir := t.TempDir()
		disk, err := host.OpenDisk(dir)
		require.NoError(t, err)
		log, err := disk.Create("log-0")
		require.NoError(t, err)
		for i := range 4 {
			require.NoError(t, log.Append([][]byte{fmt.Appendf(nil, "row %d", i)}))
		}
		require.NoError(t, log.Close())
		return filepath.Join(dir, "log-0")
	}
	segment := func(first int) string { return fmt.Sprintf("%020d", first) }
	reopen := func(dir string) error {
		_, _, err := reopen(t, filepath.Dir(dir)).Open("log-0")
		return err
	}
	dir := createLog()
	require.NoError(t, os.Rename(filepath.Join(dir, segment(1)), filepath.Join(dir, segment(3))))
	require.ErrorContains(t, reopen(dir), "where record 1 is expected: the disk counts as lost")

	dir = createLog()
	body, err := os.ReadFile(filepath.Join(dir, segment(1)))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, segment(5)), body, 0o644))
	require.NoError(t, reopen(dir), "two complete consecutive segments")
	require.NoError(t, os.Truncate(filepath.Join(dir, segment(1)), int64(len(body)-3)))
	require.ErrorContains(t, reopen(dir),
		"an older segment ends in an incomplete or damaged record: the disk counts as lost")

	dir = createLog()
	require.NoError(t, os.Remove(filepath.Join(dir, segment(1))))
	require.ErrorIs(t, reopen(dir), host.ErrNotExist)
}

// TestPartiallyWrittenBatch checks that a batch of unacknowledged entries is removed if its later
// pages reached the disk before its earlier ones, and that this is not reported as damage.
func TestPartiallyWrittenBatch(t *testing.T) {
	dir := t.TempDir()
	disk, err := host.OpenDisk(dir)
	require.NoError(t, err)
	log, err := disk.Create("log-0")
	require.NoError(t, err)
	require.NoError(t, log.Append([][]byte{[]byte("acknowledged")}))
	path := filepath.Join(dir, "log-0", fmt.Sprintf("%020d", 1))
	before, err := os.Stat(path)
	require.NoError(t, err)
	large := make([]byte, 5000)
	require.NoError(t, log.Append([][]byte{large, large, []byte("last")}))
	body, err := os.ReadFile(path)
	require.NoError(t, err)
	clear(body[before.Size():][:4096])
	require.NoError(t, os.WriteFile(path, body, 0o644))
	_, entries, err := reopen(t, dir).Open("log-0")
	require.NoError(t, err)
	require.Equal(t, "[acknowledged]", fmt.Sprintf("%s", entries))
}

// reopen opens a copy of the directory, because the original is still locked.
func reopen(t *testing.T, dir string) host.Disk {
	copied := t.TempDir()
	require.NoError(t, os.CopyFS(copied, os.DirFS(dir)))
	disk, err := host.OpenDisk(copied)
	require.NoError(t, err)
	return disk
}
