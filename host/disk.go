// The real disk stores small files, each with a checksum, and replaces them
// atomically by rename. After a power loss, every file that was created, renamed or
// removed without a sync of its directory may independently be present or missing.
// Data that must survive is therefore synced together with its directory. Logs are
// in log.go.

package host

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"keelstair.example/failure"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrNotExist reports that a file or log does not exist.
var ErrNotExist = fs.ErrNotExist

// unfinishedSuffix marks a file that is being written and has not been renamed yet.
const unfinishedSuffix = ".new"

type realDisk struct {
	dir        string
	lockFile   *os.File
	beforeSync func(path string)
}

// OpenDisk creates the directory if necessary, locks it against use by a second
// process, and removes unfinished files left by an earlier process.
func OpenDisk(dir string) (Disk, error) { return OpenObservedDisk(dir, func(string) {}) }

// OpenObservedDisk is like OpenDisk, but calls beforeSync with the path of each file or
// directory immediately before syncing it. It exists for power loss tests.
func OpenObservedDisk(dir string, beforeSync func(path string)) (Disk, error) {
	if err := createDirectory(dir, beforeSync); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "open data folder", dir)
	}
	f, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "open data folder", dir)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, failure.As(err, failure.InvalidArgument, "lock data folder, is another process using it?", dir)
	}
	d := &realDisk{dir: dir, lockFile: f, beforeSync: beforeSync}
	if err := d.removeUnfinishedFiles(); err != nil {
		f.Close()
		return nil, failure.As(err, failure.DataLost, "remove unfinished files", dir)
	}
	return d, nil
}

// createDirectory creates dir and its missing parents, and syncs the parent of each new directory.
func createDirectory(dir string, beforeSync func(path string)) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	parent := filepath.Dir(dir)
	if err := createDirectory(parent, beforeSync); err != nil {
		return err
	}
	if err := os.Mkdir(dir, 0o755); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	beforeSync(parent)
	return syncDirectory(parent)
}

// removeUnfinishedFiles deletes files that were never renamed. It needs no sync: a file
// that reappears is removed at the next start.
func (d *realDisk) removeUnfinishedFiles() error {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), unfinishedSuffix) {
			continue
		}
		if err := os.Remove(filepath.Join(d.dir, entry.Name())); err != nil {
			return err
		}
	}
	return nil
}

// AddChecksum returns body prefixed with its CRC-32C checksum.
func AddChecksum(body []byte) []byte {
	out := make([]byte, 4, 4+len(body))
	binary.LittleEndian.PutUint32(out, crc32.Checksum(body, castagnoli))
	return append(out, body...)
}

// VerifyChecksum returns the body of content, which AddChecksum has made, without its checksum. It
// returns false if the checksum does not match.
func VerifyChecksum(content []byte) ([]byte, bool) {
	if len(content) < 4 {
		return nil, false
	}
	body := content[4:]
	return body, binary.LittleEndian.Uint32(content) == crc32.Checksum(body, castagnoli)
}

func (d *realDisk) Save(name string, body []byte) error {
	path := filepath.Join(d.dir, name)
	f, err := os.OpenFile(path+unfinishedSuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return failure.As(err, failure.DataLost, "save file", name)
	}
	_, err = f.Write(AddChecksum(body))
	if err == nil {
		d.beforeSync(f.Name())
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(path+unfinishedSuffix, path)
	}
	if err == nil {
		err = d.syncDirectory(d.dir)
	}
	return failure.As(err, failure.DataLost, "save file", name)
}

func (d *realDisk) syncDirectory(dir string) error {
	d.beforeSync(dir)
	return syncDirectory(dir)
}

func syncDirectory(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d *realDisk) Load(name string) ([]byte, error) {
	content, err := os.ReadFile(filepath.Join(d.dir, name))
	if err != nil {
		return nil, failure.As(err, failure.DataLost, "load file", name)
	}
	body, ok := VerifyChecksum(content)
	if !ok {
		return nil, failure.New(
			failure.InvalidArgument, "load file", name, "checksum mismatch: the disk counts as lost",
		)
	}
	return body, nil
}

// Remove removes a file or log without a sync, so it may reappear after a power loss;
// a log may reappear partially. Callers remove only what nothing references any more,
// and remove it again at the next start.
func (d *realDisk) Remove(name string) error {
	if err := os.RemoveAll(filepath.Join(d.dir, name)); err != nil {
		return failure.As(err, failure.DataLost, "drop", name)
	}
	return nil
}

func (d *realDisk) List() ([]string, error) {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return nil, failure.As(err, failure.DataLost, "list", d.dir)
	}
	var out []string
	for _, e := range entries {
		if e.Name() != "lock" && !strings.HasSuffix(e.Name(), unfinishedSuffix) {
			out = append(out, e.Name())
		}
	}
	return out, nil
}
