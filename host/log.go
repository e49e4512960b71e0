// A log on the real disk is a tidwall/wal log. New logs have a single segment file, because
// starting another one would require a sync of its directory. Each record has a checksum.
// Entries that are appended together form one record: unsynced pages may reach the disk in any
// order, so with separate records a later one could be intact while an earlier one is damaged,
// which would look like damage to acknowledged data.
//
// On opening a log, a record at its end that a power loss left incomplete is removed. A record
// with a wrong checksum before an intact record means that acknowledged data is damaged. Opening
// the log then fails with an error saying that the disk counts as lost: its data must not be
// used. A damaged length prefix in the newest segment is not detected as damage: the records from
// there on usually can't be decoded, and are removed like an incomplete record.

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
	// segmentSize is larger than any expected log, so that a log does not start a second segment.
	// Append does not check that a log stays below it.
	segmentSize       = 1 << 30
	segmentNameLength = 20
)

type realLog struct {
	disk      *realDisk
	dir       string
	log       *wal.Log
	nextIndex uint64
}

func openWAL(dir string) (*wal.Log, error) {
	// NoSync is set because realLog.Append syncs each record itself.
	return wal.Open(dir, &wal.Options{SegmentSize: segmentSize, SegmentCacheSize: 2, NoSync: true, NoCopy: true})
}

// Create creates an empty log, replaces an existing one of that name, and syncs the
// directories that contain the log and its segment.
func (d *realDisk) Create(name string) (Log, error) {
	dir := filepath.Join(d.dir, name)
	if err := os.RemoveAll(dir); err != nil {
		return nil, failure.As(err, failure.DataLost, "create log", name)
	}
	log, err := openWAL(dir)
	if err != nil {
		return nil, failure.As(err, failure.DataLost, "create log", name)
	}
	for _, directory := range []string{dir, d.dir} {
		if err := d.syncDirectory(directory); err != nil {
			log.Close()
			return nil, failure.As(err, failure.DataLost, "create log", name)
		}
	}
	return &realLog{disk: d, dir: dir, log: log, nextIndex: 1}, nil
}

// Open opens an existing log and returns its entries.
func (d *realDisk) Open(name string) (Log, [][]byte, error) {
	dir := filepath.Join(d.dir, name)
	records, err := d.verifySegments(dir)
	if err != nil {
		return nil, nil, err
	}
	log, err := openWAL(dir)
	if err != nil {
		return nil, nil, failure.As(err, failure.DataLost, "open log", name)
	}
	entries, err := readEntries(log, records)
	if err != nil {
		log.Close()
		return nil, nil, err
	}
	return &realLog{disk: d, dir: dir, log: log, nextIndex: records + 1}, entries, nil
}

func readEntries(log *wal.Log, records uint64) ([][]byte, error) {
	last, err := log.LastIndex()
	if err != nil {
		return nil, failure.As(err, failure.DataLost, "read log", "disk")
	}
	if last != records {
		return nil, failure.New(
			failure.InvalidArgument,
			"read log",
			"disk",
			"the log ends at record %d instead of %d: the disk counts as lost",
			last,
			records,
		)
	}
	var entries [][]byte
	for i := uint64(1); i <= last; i++ {
		record, err := log.Read(i)
		if err != nil {
			return nil, failure.As(err, failure.DataLost, "read log", "disk")
		}
		recordEntries, ok := decodeRecord(record)
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
		entries = append(entries, recordEntries...)
	}
	return entries, nil
}

// Append writes entries as one record and returns once it is synced.
func (l *realLog) Append(entries [][]byte) error {
	if len(entries) == 0 {
		return nil
	}
	if err := l.log.Write(l.nextIndex, encodeRecord(entries)); err != nil {
		return failure.As(err, failure.DataLost, "append log", "disk")
	}
	l.nextIndex++
	l.disk.beforeSync(filepath.Join(l.dir, segmentName(1)))
	return failure.As(l.log.Sync(), failure.DataLost, "append log", "disk")
}

func (l *realLog) Close() error { return l.log.Close() }

// segmentName returns the file name of the segment whose first record has the given index.
func segmentName(firstIndex uint64) string {
	digits := strconv.FormatUint(firstIndex, 10)
	return "00000000000000000000"[len(digits):] + digits
}

// encodeRecord encodes entries as one record. A single entry follows its checksum
// directly. Several entries are each preceded by their length, and the checksum at the
// start of the record is inverted, which marks a record of several entries.
func encodeRecord(entries [][]byte) []byte {
	if len(entries) == 1 {
		return AddChecksum(entries[0])
	}
	var body []byte
	for _, entry := range entries {
		body = binary.AppendUvarint(body, uint64(len(entry)))
		body = append(body, entry...)
	}
	record := AddChecksum(body)
	binary.LittleEndian.PutUint32(record, ^binary.LittleEndian.Uint32(record))
	return record
}

// decodeRecord returns the entries of a record, or false if it is damaged.
func decodeRecord(record []byte) ([][]byte, bool) {
	if entry, ok := VerifyChecksum(record); ok {
		return [][]byte{entry}, true
	}
	if len(record) < 4 || binary.LittleEndian.Uint32(record) != ^crc32.Checksum(record[4:], castagnoli) {
		return nil, false
	}
	var entries [][]byte
	for rest := record[4:]; len(rest) > 0; {
		size, width := binary.Uvarint(rest)
		if width <= 0 || size > uint64(len(rest)-width) {
			return nil, false
		}
		rest = rest[width:]
		entries = append(entries, rest[:size:size])
		rest = rest[size:]
	}
	return entries, true
}

// verifySegments checks that no segment or record is missing in the middle, removes an
// incomplete or damaged record from the end of the newest segment, and returns the number
// of records. Logs of earlier releases may have several segments: those releases started a
// new segment every 4 MB.
func (d *realDisk) verifySegments(dir string) (uint64, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, failure.As(err, failure.DataLost, "open log", dir)
	}
	var names []string
	for _, entry := range entries {
		if len(entry.Name()) == segmentNameLength {
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
				"found segment %s where record %d is expected: the disk counts as lost",
				name,
				records+1,
			)
		}
		count, err := d.verifySegment(filepath.Join(dir, name), i == len(names)-1)
		if err != nil {
			return 0, err
		}
		records += count
	}
	return records, nil
}

// verifySegment returns the number of intact records in a segment. tidwall/wal writes each
// as a uvarint length and a body. Only the newest segment may end in an incomplete or damaged
// record, which is removed.
func (d *realDisk) verifySegment(path string, newest bool) (uint64, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return 0, failure.As(err, failure.DataLost, "read log segment", path)
	}
	records, intactSize, damaged := uint64(0), 0, false
	for offset := 0; offset < len(body); {
		size, width := binary.Uvarint(body[offset:])
		if width <= 0 || size > uint64(len(body)-offset-width) {
			break
		}
		_, ok := decodeRecord(body[offset+width : offset+width+int(size)])
		offset += width + int(size)
		if !ok {
			damaged = true
			continue
		}
		if damaged {
			return 0, failure.New(
				failure.InvalidArgument,
				"check log",
				path,
				"a damaged record precedes intact ones: the disk counts as lost",
			)
		}
		intactSize = offset
		records++
	}
	if intactSize == len(body) {
		return records, nil
	}
	if !newest {
		return 0, failure.New(
			failure.InvalidArgument,
			"check log",
			path,
			"an older segment ends in an incomplete or damaged record: the disk counts as lost",
		)
	}
	return records, d.truncate(path, int64(intactSize))
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
