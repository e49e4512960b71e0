// The real disk: small files replaced whole by rename, and logs kept by
// tidwall/wal. Every row carries its own checksum. A tail torn by lost power is
// cut back to the last whole row; a bad row with good ones behind it means
// damage to acknowledged data, and the disk then counts as lost.

package seam

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"syscall"

	"github.com/tidwall/wal"

	"keelstair.example/failure"
)

var table = crc32.MakeTable(crc32.Castagnoli)

// ErrGone says that a file is not there.
var ErrGone = fs.ErrNotExist

type realDisk struct {
	dir  string
	lock *os.File
}

// OpenDisk makes the folder if need be and locks it against a second process.
func OpenDisk(dir string) (Disk, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, failure.As(err, failure.Bad, "open data folder", dir)
	}
	f, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, failure.As(err, failure.Bad, "open data folder", dir)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, failure.As(err, failure.Bad, "lock data folder, is another process using it?", dir)
	}
	return &realDisk{dir: dir, lock: f}, nil
}

// Seal puts a checksum before a body; Unseal checks and strips it.
func Seal(body []byte) []byte {
	out := make([]byte, 4, 4+len(body))
	binary.LittleEndian.PutUint32(out, crc32.Checksum(body, table))
	return append(out, body...)
}

func Unseal(row []byte) ([]byte, bool) {
	if len(row) < 4 {
		return nil, false
	}
	body := row[4:]
	return body, binary.LittleEndian.Uint32(row) == crc32.Checksum(body, table)
}

func (d *realDisk) Save(name string, body []byte) error {
	path := filepath.Join(d.dir, name)
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return failure.As(err, failure.Lost, "save file", name)
	}
	_, err = f.Write(Seal(body))
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err == nil {
		err = syncDir(d.dir)
	}
	return failure.As(err, failure.Lost, "save file", name)
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d *realDisk) Load(name string) ([]byte, error) {
	row, err := os.ReadFile(filepath.Join(d.dir, name))
	if err != nil {
		return nil, failure.As(err, failure.Lost, "load file", name)
	}
	body, ok := Unseal(row)
	if !ok {
		return nil, failure.New(failure.Bad, "load file", name, "checksum does not fit: the disk counts as lost")
	}
	return body, nil
}

func (d *realDisk) Drop(name string) error {
	if err := os.RemoveAll(filepath.Join(d.dir, name)); err != nil {
		return failure.As(err, failure.Lost, "drop", name)
	}
	return nil
}

func (d *realDisk) List() ([]string, error) {
	ents, err := os.ReadDir(d.dir)
	if err != nil {
		return nil, failure.As(err, failure.Lost, "list", d.dir)
	}
	var out []string
	for _, e := range ents {
		if e.Name() != "lock" && !strings.HasSuffix(e.Name(), ".new") {
			out = append(out, e.Name())
		}
	}
	return out, nil
}

type realLog struct {
	log  *wal.Log
	next uint64
}

func (d *realDisk) Open(name string) (Log, [][]byte, error) {
	dir := filepath.Join(d.dir, name)
	if err := cutTail(dir); err != nil {
		return nil, nil, err
	}
	log, err := wal.Open(dir, &wal.Options{SegmentSize: 4 << 20, SegmentCacheSize: 2})
	if err != nil {
		return nil, nil, failure.As(err, failure.Lost, "open log", name)
	}
	if err := syncDir(d.dir); err != nil {
		return nil, nil, failure.As(err, failure.Lost, "open log", name)
	}
	last, err := log.LastIndex()
	if err != nil {
		return nil, nil, failure.As(err, failure.Lost, "open log", name)
	}
	var rows [][]byte
	for i := uint64(1); i <= last; i++ {
		row, err := log.Read(i)
		if err != nil {
			return nil, nil, failure.As(err, failure.Lost, "read log", name)
		}
		body, ok := Unseal(row)
		if !ok {
			return nil, nil, failure.New(failure.Bad, "read log", name, "row %d of %d is damaged: the disk counts as lost", i, last)
		}
		rows = append(rows, body)
	}
	return &realLog{log: log, next: last + 1}, rows, nil
}

func (l *realLog) Append(rows [][]byte) error {
	var batch wal.Batch
	for i, row := range rows {
		batch.Write(l.next+uint64(i), Seal(row))
	}
	if err := l.log.WriteBatch(&batch); err != nil {
		return failure.As(err, failure.Lost, "append log", "disk")
	}
	l.next += uint64(len(rows))
	return nil
}

func (l *realLog) Close() error { return l.log.Close() }

// cutTail walks the newest segment (rows of uvarint length and body, as
// tidwall/wal writes them) and cuts what stands behind the last whole row.
// Whole rows found behind a bad one are damage, not a torn tail.
func cutTail(dir string) error {
	ents, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) || len(ents) == 0 {
		return nil
	}
	if err != nil {
		return failure.As(err, failure.Lost, "read log folder", dir)
	}
	var segs []string
	for _, e := range ents {
		if len(e.Name()) == 20 {
			segs = append(segs, e.Name())
		}
	}
	if len(segs) == 0 {
		return nil
	}
	sort.Strings(segs)
	path := filepath.Join(dir, segs[len(segs)-1])
	body, err := os.ReadFile(path)
	if err != nil {
		return failure.As(err, failure.Lost, "read log segment", path)
	}
	good, bad := 0, false
	for at := 0; at < len(body); {
		n, w := binary.Uvarint(body[at:])
		if w <= 0 || n > uint64(len(body)-at-w) {
			break
		}
		_, ok := Unseal(body[at+w : at+w+int(n)])
		at += w + int(n)
		if !ok {
			bad = true
			continue
		}
		if bad {
			return failure.New(failure.Bad, "check log", path, "a damaged row stands before good ones: the disk counts as lost")
		}
		good = at
	}
	if good == len(body) {
		return nil
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0o644)
	if err != nil {
		return failure.As(err, failure.Lost, "cut log tail", path)
	}
	defer f.Close()
	if err := f.Truncate(int64(good)); err != nil {
		return failure.As(err, failure.Lost, "cut log tail", path)
	}
	return failure.As(f.Sync(), failure.Lost, "cut log tail", path)
}
