// What a core keeps on disk: its identity, its register, a snapshot (snapshot), and
// the log that follows the snapshot. The snapshot names its log, so that taking a
// new one swaps both in one rename. A log is on disk before anything that counts
// on it, so one that is missing means damage. Every disk step is watched: one that
// takes longer than the stall limit makes its holder stand down.

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
	snapshotFile  = "picture"
	registerFile  = "register"
	identityFile  = "identity"
	directoryFile = "book"
	firstLogName  = "log-0"
	logPrefix     = "log-"

	// A log counts its rows, a long one as several of rowUnit bytes. One that counts
	// over compactionThreshold gives way to a new snapshot. So a log takes about 4 MiB on disk
	// and as much in memory, however long its rows are: a disk of 64 MB has room for
	// the old log, two snapshots and their chunks, and a restart reads it in a moment.
	compactionThreshold = 8192
	rowUnit             = 512
)

type store struct {
	disk         host.Disk
	log          host.Log
	logName      string
	logUnits     int // in the log, see rowUnit
	timeout      time.Duration
	pendingSteps atomic.Int32
	pendingSaves atomic.Int32
	// The names of the chunks on disk.
	chunks sync.Map
}

// runStep runs one disk step and gives up waiting, not the step, when it stalls.
func (s *store) runStep(step string, f func() error) error { return s.timedWithin(s.timeout, step, f) }

func (s *store) timedWithin(limit time.Duration, step string, f func() error) error {
	done := make(chan error, 1)
	s.pendingSteps.Add(1)
	go func() {
		err := f()
		// Before the answer, so that the next step doesn't take this one for stalled.
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

// load reads snapshot and log into a state that starts empty.
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
	rows, err := s.openLog(snapshot)
	if err != nil {
		return err
	}
	if err := replay(r, rows); err != nil {
		return err
	}
	s.logUnits = countRows(rows)
	return s.removeUnusedLogs()
}

// loadSnapshot gives the snapshot on disk, or nil if none was taken yet.
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
			"its content is not that of a snapshot of this version",
		)
	}
	return snapshot, nil
}

// openLog opens the log that belongs to a snapshot. Only a disk with neither
// snapshot nor register may lack it: it is new, and its first log is made.
func (s *store) openLog(snapshot *Snapshot) ([][]byte, error) {
	name := firstLogName
	if snapshot != nil {
		name = snapshot.LogName
	}
	log, rows, err := s.disk.Open(name)
	if errors.Is(err, host.ErrNotExist) {
		if err := s.checkNew(snapshot, name); err != nil {
			return nil, err
		}
		log, err = s.disk.Create(name)
	}
	if err != nil {
		return nil, err
	}
	s.log, s.logName = log, name
	return rows, nil
}

func (s *store) checkNew(snapshot *Snapshot, missing string) error {
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

// replay applies the rows of a log to the state before it.
func replay(r *replicatedState, rows [][]byte) error {
	for _, list := range rows {
		var e Entry
		rest, err := e.UnmarshalMsg(list)
		if err != nil {
			return failure.As(err, failure.InvalidArgument, "read log", "disk")
		}
		if len(rest) > 0 {
			return failure.New(
				failure.InvalidArgument, "read log", "disk", "%d bytes stand behind entry %d", len(rest), e.Seq,
			)
		}
		if e.Seq != r.seq+1 {
			return failure.New(failure.InvalidArgument, "read log", "disk", "row %d follows %d", e.Seq, r.seq)
		}
		if _, err := r.apply(&e); err != nil {
			return failure.Wrap(err, "replay log", "disk")
		}
	}
	return nil
}

// countRows counts rows for the bound of a log, long ones as several.
func countRows(rows [][]byte) int {
	count := 0
	for _, list := range rows {
		count += 1 + len(list)/rowUnit
	}
	return count
}

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

func (s *store) append(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	rows := make([][]byte, len(entries))
	for i := range entries {
		rows[i] = MustMarshal(&entries[i])
	}
	s.logUnits += countRows(rows)
	log := s.log
	return s.runStep("append log", func() error { return log.Append(rows) })
}

// restore makes a state from a snapshot and the chunks that it names.
func (s *store) restore(r *replicatedState, snapshot *Snapshot, near []Chunk) error {
	if chunks, ok := r.machine.(ChunkStore); ok {
		all, err := s.loadChunks(snapshot.Chunks, near)
		if err != nil {
			return err
		}
		chunks.RestoreChunks(all)
	}
	return r.restore(snapshot)
}

// compact puts a snapshot in place of all that was, with a new empty log. Sheets
// that the snapshot names are on disk before it.
func (s *store) compact(snapshot *Snapshot, all []Chunk) error {
	if s.pendingSteps.Load() > 0 {
		return failure.New(failure.DataLost, "save snapshot", "disk", "an earlier step still stalls")
	}
	for _, one := range all {
		if err := s.saveChunk(one); err != nil {
			return err
		}
	}
	log, name, err := s.swapLog(snapshot)
	if err != nil {
		return err
	}
	previous, previousName := s.log, s.logName
	s.log, s.logName, s.logUnits = log, name, 0
	if previous != nil {
		previous.Close()
	}
	return s.runStep("drop what the snapshot replaces", func() error {
		s.dropChunks(snapshot)
		return s.disk.Remove(previousName)
	})
}

// swapLog makes a new log and saves the snapshot that names it. If that fails or
// stalls, the disk may name either log from then on: the store must be loaded
// again before it is used, and the new log is closed once the step has ended.
func (s *store) swapLog(snapshot *Snapshot) (host.Log, string, error) {
	var n int
	fmt.Sscanf(s.logName, logPrefix+"%d", &n)
	name := fmt.Sprintf(logPrefix+"%d", n+1)
	named := *snapshot
	named.LogName = name
	made := make(chan host.Log, 1)
	// A snapshot is large, so it may take longer than a few rows may.
	err := s.timedWithin(4*s.timeout, "save snapshot", func() error {
		log, err := s.disk.Create(name)
		made <- log
		if err != nil {
			return err
		}
		return s.disk.Save(snapshotFile, MustMarshal(&named))
	})
	if err != nil {
		go closeLog(made)
		return nil, "", err
	}
	return <-made, name, nil
}

func closeLog(made <-chan host.Log) {
	if log := <-made; log != nil {
		log.Close()
	}
}

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
	// What is accepted was promised before, and only what was promised is saved.
	if len(rest) > 0 || b.Promised == 0 || b.Promised < b.Accepted.Epoch {
		return register{}, failure.New(
			failure.InvalidArgument,
			"read register",
			"disk",
			"its content is not that of a register: the disk counts as lost",
		)
	}
	return register{Promised: b.Promised, PromisedTo: b.PromisedTo, Accepted: b.Accepted}, nil
}

func (s *store) saveRegister(r register) error {
	if s.pendingSaves.Load() > 0 {
		return failure.New(failure.DataLost, "save register", "disk", "an earlier save still stalls")
	}
	b := BallotResponse{Promised: r.Promised, PromisedTo: r.PromisedTo, Accepted: r.Accepted}
	s.pendingSaves.Add(1)
	return s.runStep("save register", func() error {
		defer s.pendingSaves.Add(-1)
		return s.disk.Save(registerFile, MustMarshal(&b))
	})
}
