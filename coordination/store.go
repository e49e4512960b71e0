// A core (one replica) stores on disk its identity, its register (the promised epoch and the accepted
// record), a snapshot, its chunks, and the log that follows the snapshot. The snapshot names its log, so
// that saving a new snapshot replaces both in one rename. A log is synced before anything that depends
// on it, so a missing log means that the disk is damaged. Writes of a running core have a time limit,
// and a primary whose write exceeds it steps down; loading has no limit.

package coordination

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
)

const (
	// File names. They are part of the disk format of earlier releases, so some differ from the names here.
	snapshotFile  = "picture"
	registerFile  = "register"
	identityFile  = "identity"
	directoryFile = "book"
	firstLogName  = "log-0"
	logPrefix     = "log-"

	// The length of a log is counted in units: each entry counts as one, plus one for every
	// entryUnitBytes bytes of it. A log of more than compactionThreshold units is replaced by a new
	// snapshot. A log thus takes about 4 MiB on disk and in memory, however long its entries are:
	// a disk of 64 MB has room for the old log, two snapshots and their chunks, and a restart
	// reads the log quickly.
	compactionThreshold = 8192
	entryUnitBytes      = 512
)

// store reads and writes a core's files.
type store struct {
	disk                 host.Disk
	log                  host.Log
	logName              string
	logUnits             int // length of the log: one unit per entry, plus one per entryUnitBytes bytes of it
	timeout              time.Duration
	pendingSteps         atomic.Int32
	pendingRegisterSaves atomic.Int32
	chunks               sync.Map // the names of the chunks on disk
}

// runStep runs one disk operation with the store's time limit. If the limit is exceeded, runStep returns
// an error of kind DataLost, since a stalled disk is treated as lost, while the operation goes on.
func (s *store) runStep(step string, f func() error) error {
	return s.runStepWithin(s.timeout, step, f)
}

// runStepWithin is runStep with the given time limit.
func (s *store) runStepWithin(limit time.Duration, step string, f func() error) error {
	done := make(chan error, 1)
	s.pendingSteps.Add(1)
	go func() {
		err := f()
		// Decremented before the result is sent. Otherwise the next step would consider this one stalled.
		s.pendingSteps.Add(-1)
		done <- err
	}()
	t := host.NewTimer(limit)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return failure.New(failure.DataLost, step, "disk", "stalled for over %s", limit)
	}
}

// load reads the snapshot and the log into an empty state.
func (s *store) load(r *replicatedState) error {
	if s.log != nil {
		s.log.Close()
		s.log = nil
	}
	if err := s.listChunks(); err != nil {
		return err
	}
	snapshot, err := s.loadSnapshot()
	if err != nil {
		return err
	}
	if snapshot != nil {
		if err := s.restore(r, snapshot, nil); err != nil {
			return err
		}
	}
	entries, err := s.openLog(snapshot)
	if err != nil {
		return err
	}
	if err := replay(r, entries); err != nil {
		return err
	}
	s.logUnits = countLogUnits(entries)
	return s.removeUnusedLogs()
}

// loadSnapshot returns the snapshot on disk, or nil if there is none yet.
func (s *store) loadSnapshot() (*Snapshot, error) {
	body, err := s.disk.Load(snapshotFile)
	if errors.Is(err, host.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	snapshot := &Snapshot{}
	rest, err := snapshot.UnmarshalMsg(body)
	if err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read snapshot", "disk")
	}
	if len(rest) > 0 || !strings.HasPrefix(snapshot.LogName, logPrefix) {
		return nil, failure.New(
			failure.InvalidArgument,
			"read snapshot",
			"disk",
			"the content is not that of a snapshot of this version",
		)
	}
	return snapshot, nil
}

// openLog opens the log that a snapshot names and returns its encoded entries. The log may be missing
// only on a new disk, which has neither a snapshot nor a register; openLog then creates the first log.
func (s *store) openLog(snapshot *Snapshot) ([][]byte, error) {
	name := firstLogName
	if snapshot != nil {
		name = snapshot.LogName
	}
	log, entries, err := s.disk.Open(name)
	if errors.Is(err, host.ErrNotExist) {
		if err := s.requireNewDisk(snapshot, name); err != nil {
			return nil, err
		}
		log, err = s.disk.Create(name)
	}
	if err != nil {
		return nil, err
	}
	s.log, s.logName = log, name
	return entries, nil
}

// requireNewDisk returns an error unless the disk has neither a snapshot nor a register. missing is the
// name of the log that does not exist.
func (s *store) requireNewDisk(snapshot *Snapshot, missing string) error {
	_, err := s.disk.Load(registerFile)
	switch {
	case snapshot != nil:
		return failure.New(
			failure.InvalidArgument,
			"open log",
			"disk",
			"%s, which the snapshot names, is missing: the disk counts as lost",
			missing,
		)
	case errors.Is(err, host.ErrNotExist):
		return nil
	case err != nil:
		return err
	}
	return failure.New(
		failure.InvalidArgument,
		"open log",
		"disk",
		"there is a register, but neither a snapshot nor %s: the disk counts as lost",
		missing,
	)
}

// replay applies the encoded entries of a log to the state that precedes it.
func replay(r *replicatedState, entries [][]byte) error {
	for _, entry := range entries {
		var e Entry
		rest, err := e.UnmarshalMsg(entry)
		if err != nil {
			return failure.As(err, failure.InvalidArgument, "read log", "disk")
		}
		if len(rest) > 0 {
			return failure.New(
				failure.InvalidArgument, "read log", "disk", "%d trailing bytes after entry %d", len(rest), e.Seq,
			)
		}
		if e.Seq != r.seq+1 {
			return failure.New(failure.InvalidArgument, "read log", "disk", "entry %d follows entry %d", e.Seq, r.seq)
		}
		if _, err := r.apply(&e); err != nil {
			return failure.Wrap(err, "replay log", "disk")
		}
	}
	return nil
}

// countLogUnits returns the length of encoded entries in units: see entryUnitBytes.
func countLogUnits(entries [][]byte) int {
	count := 0
	for _, entry := range entries {
		count += 1 + len(entry)/entryUnitBytes
	}
	return count
}

// removeUnusedLogs removes all logs but the one in use.
func (s *store) removeUnusedLogs() error {
	names, err := s.disk.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		if strings.HasPrefix(n, logPrefix) && n != s.logName {
			if err := s.disk.Remove(n); err != nil {
				return err
			}
		}
	}
	return nil
}

// append writes entries to the log and syncs them.
func (s *store) append(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	encoded := make([][]byte, len(entries))
	for i := range entries {
		encoded[i] = MustMarshal(&entries[i])
	}
	s.logUnits += countLogUnits(encoded)
	log := s.log
	return s.runStep("append log", func() error { return log.Append(encoded) })
}

// restore replaces a state by that of a snapshot and the chunks that it names. Chunks in cached are not
// read from disk.
func (s *store) restore(r *replicatedState, snapshot *Snapshot, cached []Chunk) error {
	if machine, ok := r.machine.(ChunkStore); ok {
		chunks, err := s.loadChunks(snapshot.Chunks, cached)
		if err != nil {
			return err
		}
		machine.RestoreChunks(chunks)
	}
	return r.restore(snapshot)
}

// compact replaces the snapshot and the log by a new snapshot and an empty log. The chunks that the
// snapshot names are saved before it.
func (s *store) compact(snapshot *Snapshot, chunks []Chunk) error {
	if s.pendingSteps.Load() > 0 {
		return failure.New(failure.DataLost, "save snapshot", "disk", "an earlier step is still stalled")
	}
	for _, chunk := range chunks {
		if err := s.saveChunk(chunk); err != nil {
			return err
		}
	}
	log, name, err := s.saveSnapshotWithNewLog(snapshot)
	if err != nil {
		return err
	}
	previous, previousName := s.log, s.logName
	s.log, s.logName, s.logUnits = log, name, 0
	if previous != nil {
		previous.Close()
	}
	return s.runStep("remove old log and chunks", func() error {
		s.dropChunks(snapshot)
		return s.disk.Remove(previousName)
	})
}

// saveSnapshotWithNewLog creates a new log and saves the snapshot that names it. If that fails or stalls,
// the snapshot on disk may name either log. The store must then be loaded again before it is used; the
// new log is closed once it has been created.
func (s *store) saveSnapshotWithNewLog(snapshot *Snapshot) (host.Log, string, error) {
	var n int
	fmt.Sscanf(s.logName, logPrefix+"%d", &n)
	name := fmt.Sprintf(logPrefix+"%d", n+1)
	named := *snapshot
	named.LogName = name
	created := make(chan host.Log, 1)
	// A snapshot is large, so it may take longer than appending a few entries.
	err := s.runStepWithin(4*s.timeout, "save snapshot", func() error {
		log, err := s.disk.Create(name)
		created <- log
		if err != nil {
			return err
		}
		return s.disk.Save(snapshotFile, MustMarshal(&named))
	})
	if err != nil {
		go closeWhenCreated(created)
		return nil, "", err
	}
	return <-created, name, nil
}

// closeWhenCreated waits until a log has been created and closes it.
func closeWhenCreated(created <-chan host.Log) {
	if log := <-created; log != nil {
		log.Close()
	}
}

// loadRegister returns the register on disk, or an empty one if there is none yet. The file contains a
// BallotResponse.
func (s *store) loadRegister() (register, error) {
	var b BallotResponse
	body, err := s.disk.Load(registerFile)
	if errors.Is(err, host.ErrNotExist) {
		return register{}, nil
	}
	if err != nil {
		return register{}, err
	}
	rest, err := b.UnmarshalMsg(body)
	if err != nil {
		return register{}, failure.As(err, failure.InvalidArgument, "read register", "disk")
	}
	// Every saved register has a promised epoch, and its accepted epoch is never above the promised one.
	if len(rest) > 0 || b.Promised == 0 || b.Promised < b.Accepted.Epoch {
		return register{}, failure.New(
			failure.InvalidArgument,
			"read register",
			"disk",
			"the content is not that of a register: the disk counts as lost",
		)
	}
	return register{Promised: b.Promised, PromisedTo: b.PromisedTo, Accepted: b.Accepted}, nil
}

// saveRegister writes the register to disk, encoded as a BallotResponse.
func (s *store) saveRegister(r register) error {
	if s.pendingRegisterSaves.Load() > 0 {
		return failure.New(failure.DataLost, "save register", "disk", "an earlier save is still stalled")
	}
	b := BallotResponse{Promised: r.Promised, PromisedTo: r.PromisedTo, Accepted: r.Accepted}
	s.pendingRegisterSaves.Add(1)
	return s.runStep("save register", func() error {
		defer s.pendingRegisterSaves.Add(-1)
		return s.disk.Save(registerFile, MustMarshal(&b))
	})
}
