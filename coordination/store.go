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
	firstLog      = "log-0"
	logPrefix     = "log-"

	// A log counts its rows, a long one as several of rowUnit bytes. One that counts
	// over rowsPerLog gives way to a new snapshot. So a log takes about 4 MiB on disk
	// and as much in memory, however long its rows are: a disk of 64 MB has room for
	// the old log, two snapshots and their sheets, and a restart reads it in a moment.
	rowsPerLog = 8192
	rowUnit    = 512
)

type store struct {
	disk  host.Disk
	log   host.Log
	name  string
	rows  int // in the log, see rowUnit
	stall time.Duration
	busy  atomic.Int32
	saves atomic.Int32
	// The names of the sheets on disk.
	sheets sync.Map
}

// within runs one disk step and gives up waiting, not the step, when it stalls.
func (s *store) within(step string, f func() error) error { return s.inside(s.stall, step, f) }

func (s *store) inside(most time.Duration, step string, f func() error) error {
	done := make(chan error, 1)
	s.busy.Add(1)
	go func() {
		err := f()
		// Before the answer, so that the next step doesn't take this one for stalled.
		s.busy.Add(-1)
		done <- err
	}()
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return failure.New(failure.Lost, step, "disk", "stalled for over %s", most)
	}
}

// load reads snapshot and log into a state that starts empty.
func (s *store) load(r *replicatedState) error {
	if s.log != nil {
		s.log.Close()
		s.log = nil
	}
	if err := s.listSheets(); err != nil {
		return err
	}
	img, err := s.loadSnapshot()
	if err != nil {
		return err
	}
	if img != nil {
		if err := s.restore(r, img, nil); err != nil {
			return err
		}
	}
	rows, err := s.openLog(img)
	if err != nil {
		return err
	}
	if err := replay(r, rows); err != nil {
		return err
	}
	s.rows = countRows(rows)
	return s.sweep()
}

// loadPicture gives the snapshot on disk, or nil if none was taken yet.
func (s *store) loadSnapshot() (*Image, error) {
	body, err := s.disk.Load(snapshotFile)
	if errors.Is(err, host.ErrGone) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	img := &Image{}
	rest, err := img.UnmarshalMsg(body)
	if err != nil {
		return nil, failure.As(err, failure.Bad, "read picture", "disk")
	}
	if len(rest) > 0 || !strings.HasPrefix(img.Log, logPrefix) {
		return nil, failure.New(failure.Bad, "read picture", "disk", "its content is not that of a picture of this version")
	}
	return img, nil
}

// openLog opens the log that belongs to a snapshot. Only a disk with neither
// snapshot nor register may lack it: it is new, and its first log is made.
func (s *store) openLog(img *Image) ([][]byte, error) {
	name := firstLog
	if img != nil {
		name = img.Log
	}
	log, rows, err := s.disk.Open(name)
	if errors.Is(err, host.ErrGone) {
		if err := s.mustBeNew(img, name); err != nil {
			return nil, err
		}
		log, err = s.disk.Create(name)
	}
	if err != nil {
		return nil, err
	}
	s.log, s.name = log, name
	return rows, nil
}

func (s *store) mustBeNew(img *Image, missing string) error {
	_, err := s.disk.Load(registerFile)
	switch {
	case img != nil:
		return failure.New(failure.Bad, "open log", "disk", "%s, which the picture names, is missing: the disk counts as lost", missing)
	case errors.Is(err, host.ErrGone):
		return nil
	case err != nil:
		return err
	}
	return failure.New(failure.Bad, "open log", "disk", "there is a register, but neither a picture nor %s: the disk counts as lost", missing)
}

// replay applies the rows of a log to the state before it.
func replay(r *replicatedState, rows [][]byte) error {
	for _, row := range rows {
		var e Entry
		rest, err := e.UnmarshalMsg(row)
		if err != nil {
			return failure.As(err, failure.Bad, "read log", "disk")
		}
		if len(rest) > 0 {
			return failure.New(failure.Bad, "read log", "disk", "%d bytes stand behind entry %d", len(rest), e.Seq)
		}
		if e.Seq != r.seq+1 {
			return failure.New(failure.Bad, "read log", "disk", "row %d follows %d", e.Seq, r.seq)
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
	for _, row := range rows {
		count += 1 + len(row)/rowUnit
	}
	return count
}

func (s *store) sweep() error {
	names, err := s.disk.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		if strings.HasPrefix(n, logPrefix) && n != s.name {
			if err := s.disk.Drop(n); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *store) append(ents []Entry) error {
	if len(ents) == 0 {
		return nil
	}
	rows := make([][]byte, len(ents))
	for i := range ents {
		rows[i] = Pack(&ents[i])
	}
	s.rows += countRows(rows)
	log := s.log
	return s.within("append log", func() error { return log.Append(rows) })
}

// restore makes a state from a snapshot and the sheets that it names.
func (s *store) restore(r *replicatedState, img *Image, near []Sheet) error {
	if shelf, ok := r.app.(Shelf); ok {
		all, err := s.findSheets(img.Sheets, near)
		if err != nil {
			return err
		}
		shelf.Shelve(all)
	}
	return r.restore(img)
}

// reset puts a snapshot in place of all that was, with a new empty log. Sheets
// that the snapshot names are on disk before it.
func (s *store) reset(img *Image, all []Sheet) error {
	if s.busy.Load() > 0 {
		return failure.New(failure.Lost, "save picture", "disk", "an earlier step still stalls")
	}
	for _, one := range all {
		if err := s.keepSheet(one); err != nil {
			return err
		}
	}
	log, name, err := s.swapLog(img)
	if err != nil {
		return err
	}
	old, oldName := s.log, s.name
	s.log, s.name, s.rows = log, name, 0
	if old != nil {
		old.Close()
	}
	return s.within("drop what the picture replaces", func() error {
		s.dropSheets(img)
		return s.disk.Drop(oldName)
	})
}

// swapLog makes a new log and saves the snapshot that names it. If that fails or
// stalls, the disk may name either log from then on: the store must be loaded
// again before it is used, and the new log is closed once the step has ended.
func (s *store) swapLog(img *Image) (host.Log, string, error) {
	var n int
	fmt.Sscanf(s.name, logPrefix+"%d", &n)
	name := fmt.Sprintf(logPrefix+"%d", n+1)
	copied := *img
	copied.Log = name
	made := make(chan host.Log, 1)
	// A snapshot is large, so it may take longer than a few rows may.
	err := s.inside(4*s.stall, "save picture", func() error {
		log, err := s.disk.Create(name)
		made <- log
		if err != nil {
			return err
		}
		return s.disk.Save(snapshotFile, Pack(&copied))
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
	var b BallotReply
	body, err := s.disk.Load(registerFile)
	if errors.Is(err, host.ErrGone) {
		return register{}, nil
	}
	if err != nil {
		return register{}, err
	}
	rest, err := b.UnmarshalMsg(body)
	if err != nil {
		return register{}, failure.As(err, failure.Bad, "read register", "disk")
	}
	// What is accepted was promised before, and only what was promised is saved.
	if len(rest) > 0 || b.Promised == 0 || b.Promised < b.Accepted.Epoch {
		return register{}, failure.New(failure.Bad, "read register", "disk", "its content is not that of a register: the disk counts as lost")
	}
	return register{Promised: b.Promised, PromisedTo: b.PromisedTo, Accepted: b.Accepted}, nil
}

func (s *store) saveRegister(r register) error {
	if s.saves.Load() > 0 {
		return failure.New(failure.Lost, "save register", "disk", "an earlier save still stalls")
	}
	b := BallotReply{Promised: r.Promised, PromisedTo: r.PromisedTo, Accepted: r.Accepted}
	s.saves.Add(1)
	return s.within("save register", func() error {
		defer s.saves.Add(-1)
		return s.disk.Save(registerFile, Pack(&b))
	})
}
