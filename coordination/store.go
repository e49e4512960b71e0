// What a tenet keeps on disk: its identity, its register, a picture, and the
// log that follows the picture. The picture names its log, so that taking a new
// picture swaps both in one rename. Every disk step is watched: one that takes
// longer than the stall limit makes its holder stand down.

package coordination

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/failure"
	"keelstair.example/seam"
)

const (
	pictureFile  = "picture"
	registerFile = "register"
	identityFile = "identity"
	bookFile     = "book"
	rowsPerLog   = 8192
)

type store struct {
	disk  seam.Disk
	log   seam.Log
	name  string
	rows  int
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
	go func() { defer s.busy.Add(-1); done <- f() }()
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return failure.New(failure.Lost, step, "disk", "stalled for over %s", most)
	}
}

// load reads picture and log into a roll that starts empty.
func (s *store) load(r *roll) error {
	if s.log != nil {
		s.log.Close()
		s.log = nil
	}
	if err := s.listSheets(); err != nil {
		return err
	}
	var img Image
	body, err := s.disk.Load(pictureFile)
	switch {
	case errors.Is(err, seam.ErrGone):
		img.Log = "log-0"
	case err != nil:
		return err
	default:
		if _, err := img.UnmarshalMsg(body); err != nil {
			return failure.As(err, failure.Bad, "read picture", "disk")
		}
		if err := s.restore(r, &img, nil); err != nil {
			return err
		}
	}
	log, rows, err := s.disk.Open(img.Log)
	if err != nil {
		return err
	}
	s.log, s.name, s.rows = log, img.Log, len(rows)
	for _, row := range rows {
		var e Entry
		if _, err := e.UnmarshalMsg(row); err != nil {
			return failure.As(err, failure.Bad, "read log", "disk")
		}
		if e.Seq != r.seq+1 {
			return failure.New(failure.Bad, "read log", "disk", "row %d follows %d", e.Seq, r.seq)
		}
		if _, err := r.apply(&e); err != nil {
			return failure.Wrap(err, "replay log", "disk")
		}
	}
	return s.sweep()
}

func (s *store) sweep() error {
	names, err := s.disk.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		if strings.HasPrefix(n, "log-") && n != s.name {
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
	s.rows += len(ents)
	log := s.log
	return s.within("append log", func() error { return log.Append(rows) })
}

// restore makes a roll from a picture and the sheets that it names.
func (s *store) restore(r *roll, img *Image, near []Sheet) error {
	if shelf, ok := r.app.(Shelf); ok {
		all, err := s.findSheets(img.Sheets, near)
		if err != nil {
			return err
		}
		shelf.Shelve(all)
	}
	return r.restore(img)
}

// reset puts a picture in place of all that was, with a new empty log. Sheets
// that the picture names are on disk before it.
func (s *store) reset(img *Image, all []Sheet) error {
	if s.busy.Load() > 0 {
		return failure.New(failure.Lost, "save picture", "disk", "an earlier step still stalls")
	}
	for _, one := range all {
		if err := s.keepSheet(one); err != nil {
			return err
		}
	}
	var n int
	fmt.Sscanf(s.name, "log-%d", &n)
	name := fmt.Sprintf("log-%d", n+1)
	old, oldName := s.log, s.name
	var log seam.Log
	// A picture is large, so it may take longer than a few rows may.
	err := s.inside(4*s.stall, "save picture", func() error {
		if err := s.disk.Drop(name); err != nil {
			return err
		}
		var err error
		if log, _, err = s.disk.Open(name); err != nil {
			return err
		}
		cop := *img
		cop.Log = name
		return s.disk.Save(pictureFile, Pack(&cop))
	})
	if err != nil {
		return err
	}
	s.log, s.name, s.rows = log, name, 0
	if old != nil {
		old.Close()
	}
	return s.within("drop old log", func() error { return s.disk.Drop(oldName) })
}

func (s *store) loadRegister() (register, error) {
	var b BallotReply
	body, err := s.disk.Load(registerFile)
	if errors.Is(err, seam.ErrGone) {
		return register{}, nil
	}
	if err != nil {
		return register{}, err
	}
	if _, err := b.UnmarshalMsg(body); err != nil {
		return register{}, failure.As(err, failure.Bad, "read register", "disk")
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
