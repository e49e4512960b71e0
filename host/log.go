// Logs on the real disk, kept by tidwall/wal as one segment file each, since a
// segment begun later would have to be synced into its folder. Each record
// carries a checksum. Rows that are appended together are one record, because
// unsynced pages may reach the disk in any order. A record torn by lost power is
// cut off; a bad record before good ones is damage to acknowledged data, and the
// disk then counts as lost.

package host

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"sort"
	"strconv"

	"github.com/tidwall/wal"

	"keelstair.example/failure"
)

const (
	// segmentSize is beyond any log's size, so that a log never begins a second one.
	segmentSize     = 1 << 30
	segmentNameSize = 20
)

type realLog struct {
	disk *realDisk
	dir  string
	log  *wal.Log
	next uint64
}

func openWAL(dir string) (*wal.Log, error) {
	// Appending syncs by itself, see Append.
	return wal.Open(dir, &wal.Options{SegmentSize: segmentSize, SegmentCacheSize: 2, NoSync: true, NoCopy: true})
}

// Create makes an empty log, in place of one that was left over, and syncs the
// folders that name it and its segment.
func (d *realDisk) Create(name string) (Log, error) {
	dir := filepath.Join(d.dir, name)
	if err := os.RemoveAll(dir); err != nil {
		return nil, failure.As(err, failure.DataLost, "create log", name)
	}
	log, err := openWAL(dir)
	if err != nil {
		return nil, failure.As(err, failure.DataLost, "create log", name)
	}
	for _, folder := range []string{dir, d.dir} {
		if err := d.syncFolder(folder); err != nil {
			log.Close()
			return nil, failure.As(err, failure.DataLost, "create log", name)
		}
	}
	return &realLog{disk: d, dir: dir, log: log, next: 1}, nil
}

// Open opens a log that is there and gives its rows.
func (d *realDisk) Open(name string) (Log, [][]byte, error) {
	dir := filepath.Join(d.dir, name)
	records, err := d.checkSegments(dir)
	if err != nil {
		return nil, nil, err
	}
	log, err := openWAL(dir)
	if err != nil {
		return nil, nil, failure.As(err, failure.DataLost, "open log", name)
	}
	rows, err := readRows(log, records)
	if err != nil {
		log.Close()
		return nil, nil, err
	}
	return &realLog{disk: d, dir: dir, log: log, next: records + 1}, rows, nil
}

func readRows(log *wal.Log, records uint64) ([][]byte, error) {
	last, err := log.LastIndex()
	if err != nil {
		return nil, failure.As(err, failure.DataLost, "read log", "disk")
	}
	if last != records {
		return nil, failure.New(
			failure.InvalidArgument,
			"read log",
			"disk",
			"it ends at record %d instead of %d: the disk counts as lost",
			last,
			records,
		)
	}
	var rows [][]byte
	for i := uint64(1); i <= last; i++ {
		record, err := log.Read(i)
		if err != nil {
			return nil, failure.As(err, failure.DataLost, "read log", "disk")
		}
		some, ok := openRecord(record)
		if !ok {
			return nil, failure.New(
				failure.InvalidArgument,
				"read log",
				"disk",
				"record %d of %d is damaged: the disk counts as lost",
				i,
				last,
			)
		}
		rows = append(rows, some...)
	}
	return rows, nil
}

// Append writes rows as one record and returns once it is synced.
func (l *realLog) Append(rows [][]byte) error {
	if len(rows) == 0 {
		return nil
	}
	if err := l.log.Write(l.next, makeRecord(rows)); err != nil {
		return failure.As(err, failure.DataLost, "append log", "disk")
	}
	l.next++
	l.disk.beforeSync(filepath.Join(l.dir, segmentName(1)))
	return failure.As(l.log.Sync(), failure.DataLost, "append log", "disk")
}

func (l *realLog) Close() error { return l.log.Close() }

func segmentName(first uint64) string {
	digits := strconv.FormatUint(first, 10)
	return "00000000000000000000"[len(digits):] + digits
}

// makeRecord seals a single row as it is. Several rows stand in one record, each
// after its length, under the inverted checksum.
func makeRecord(rows [][]byte) []byte {
	if len(rows) == 1 {
		return Seal(rows[0])
	}
	var body []byte
	for _, row := range rows {
		body = binary.AppendUvarint(body, uint64(len(row)))
		body = append(body, row...)
	}
	record := Seal(body)
	binary.LittleEndian.PutUint32(record, ^binary.LittleEndian.Uint32(record))
	return record
}

// openRecord gives the rows of a record, or false if it is damaged.
func openRecord(record []byte) ([][]byte, bool) {
	if row, ok := Unseal(record); ok {
		return [][]byte{row}, true
	}
	if len(record) < 4 || binary.LittleEndian.Uint32(record) != ^crc32.Checksum(record[4:], castagnoli) {
		return nil, false
	}
	var rows [][]byte
	for rest := record[4:]; len(rest) > 0; {
		size, width := binary.Uvarint(rest)
		if width <= 0 || size > uint64(len(rest)-width) {
			return nil, false
		}
		rest = rest[width:]
		rows = append(rows, rest[:size:size])
		rest = rest[size:]
	}
	return rows, true
}

// checkSegments sees that no segment and no record is missing in the middle, cuts
// a torn record off the newest segment, and counts the records. (Versions before
// this one began a new segment every 4 MB.)
func (d *realDisk) checkSegments(dir string) (uint64, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, failure.As(err, failure.DataLost, "open log", dir)
	}
	var names []string
	for _, entry := range entries {
		if len(entry.Name()) == segmentNameSize {
			names = append(names, entry.Name())
		}
	}
	if len(names) == 0 {
		return 0, failure.As(ErrNotExist, failure.DataLost, "open log", dir)
	}
	sort.Strings(names)
	records := uint64(0)
	for i, name := range names {
		if name != segmentName(records+1) {
			return 0, failure.New(
				failure.InvalidArgument,
				"check log",
				dir,
				"segment %s stands where record %d is due: the disk counts as lost",
				name,
				records+1,
			)
		}
		count, err := d.checkSegment(filepath.Join(dir, name), i == len(names)-1)
		if err != nil {
			return 0, err
		}
		records += count
	}
	return records, nil
}

// checkSegment counts the records of a segment (each a uvarint length and a body,
// as tidwall/wal writes them). Only the newest may end in a torn record.
func (d *realDisk) checkSegment(path string, newest bool) (uint64, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return 0, failure.As(err, failure.DataLost, "read log segment", path)
	}
	records, good, bad := uint64(0), 0, false
	for at := 0; at < len(body); {
		size, width := binary.Uvarint(body[at:])
		if width <= 0 || size > uint64(len(body)-at-width) {
			break
		}
		_, ok := openRecord(body[at+width : at+width+int(size)])
		at += width + int(size)
		if !ok {
			bad = true
			continue
		}
		if bad {
			return 0, failure.New(
				failure.InvalidArgument,
				"check log",
				path,
				"a damaged record stands before good ones: the disk counts as lost",
			)
		}
		good = at
		records++
	}
	if good == len(body) {
		return records, nil
	}
	if !newest {
		return 0, failure.New(
			failure.InvalidArgument, "check log", path, "an older segment is cut short: the disk counts as lost",
		)
	}
	return records, d.truncate(path, int64(good))
}

func (d *realDisk) truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0o644)
	if err != nil {
		return failure.As(err, failure.DataLost, "cut log tail", path)
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return failure.As(err, failure.DataLost, "cut log tail", path)
	}
	d.beforeSync(path)
	return failure.As(f.Sync(), failure.DataLost, "cut log tail", path)
}
