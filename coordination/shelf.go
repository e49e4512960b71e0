// The shelf holds what a machine will never change again, in sheets of a fixed
// content. A snapshot names its sheets and does not contain them, so neither a
// takeover nor a compaction grows with all that was ever agreed on: a sheet is
// saved once and sent only to a machine that lacks it. Register holders that
// carry no data fetch sheets beforehand, so that they can become the backup soon.

package coordination

import (
	"context"
	"strings"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// Sheet is a sealed part of a machine's state. Its name is that of its content.
type Sheet struct {
	Name string
	Body []byte
}

// Seal names a content.
func Seal(body []byte) Sheet { return Sheet{Short(string(body)), body} }

// Shelf is what a Machine may be too. Sheets lists what its snapshots leave out, in
// an order that every copy has; Shelve gives them back before Restore.
type Shelf interface {
	Sheets() []Sheet
	Shelve(all []Sheet)
}

const sheetFile = "sheet-"

func sheets(m Machine) []Sheet {
	if s, ok := m.(Shelf); ok {
		return s.Sheets()
	}
	return nil
}

// keepSheet saves a sheet unless it is on disk already.
func (s *store) keepSheet(one Sheet) error {
	if s.hasSheet(one.Name) {
		return nil
	}
	err := s.inside(4*s.stall, "save sheet", func() error { return s.disk.Save(sheetFile+one.Name, one.Body) })
	if err == nil {
		s.sheets.Store(one.Name, true)
	}
	return err
}

func (s *store) hasSheet(name string) bool { _, ok := s.sheets.Load(name); return ok }

// findSheets gives the sheets that a snapshot names: those in memory, else those on
// disk, each held against its name.
func (s *store) findSheets(names []string, near []Sheet) ([]Sheet, error) {
	had := map[string]Sheet{}
	for _, one := range near {
		had[one.Name] = one
	}
	out := make([]Sheet, len(names))
	for i, n := range names {
		if one, ok := had[n]; ok {
			out[i] = one
			continue
		}
		body, err := s.disk.Load(sheetFile + n)
		if err != nil {
			return nil, failure.As(err, failure.Bad, "read sheet "+n, "disk")
		}
		if out[i] = Seal(body); out[i].Name != n {
			return nil, failure.New(failure.Bad, "read sheet "+n, "disk", "its content is that of %s", out[i].Name)
		}
	}
	return out, nil
}

// listSheets learns which sheets the disk holds.
func (s *store) listSheets() error {
	names, err := s.disk.List()
	for _, n := range names {
		if after, ok := strings.CutPrefix(n, sheetFile); ok {
			s.sheets.Store(after, true)
		}
	}
	return err
}

// dropSheets drops those that no snapshot here names any more.
func (s *store) dropSheets(img *Image) {
	named := map[string]bool{}
	for _, n := range img.Sheets {
		named[n] = true
	}
	s.sheets.Range(func(k, _ any) bool {
		if n := k.(string); !named[n] && s.disk.Drop(sheetFile+n) == nil {
			s.sheets.Delete(n)
		}
		return true
	})
}

// sheet takes a sheet from a proposer that this register has promised to, or gives
// one to a holder that collects them.
func (c *Core) sheet(_ context.Context, q *SheetAsk) (*SheetReply, error) {
	if q.Body != nil {
		if _, promised := c.accepted(); promised != q.Epoch {
			return &SheetReply{}, nil
		}
		return &SheetReply{Ok: true}, c.shelve(Sheet{q.Name, q.Body}, "proposer")
	}
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	all := sheets(c.state.app)
	r := &SheetReply{Ok: c.Leads(), Count: len(all)}
	if r.Ok && q.At < len(all) {
		r.Name, r.Body = all[q.At].Name, all[q.At].Body
	}
	return r, nil
}

func (c *Core) shelve(one Sheet, near string) error {
	if Seal(one.Body).Name != one.Name {
		return failure.New(failure.Bad, "take sheet", near, "the content of %s does not fit its name", one.Name)
	}
	return c.store.keepSheet(one)
}

// lend sends the sheets that a backup-to-be said it lacks.
func (c *Core) lend(ctx context.Context, e ids.Epoch, to Replica, lacks []string, all []Sheet) error {
	want := map[string]bool{}
	for _, n := range lacks {
		want[n] = true
	}
	for _, one := range all {
		if !want[one.Name] {
			continue
		}
		cx, stop := context.WithTimeout(ctx, sendTime(len(one.Body)))
		r, err := rpc.Call[SheetAsk, SheetReply](cx, c.call, c.directory.Addr(to), "crux/sheet", &SheetAsk{Epoch: e, Name: one.Name, Body: one.Body})
		stop()
		if err != nil {
			return err
		}
		if !r.Ok {
			return failure.New(failure.Stale, "send sheet", to.Addr, "refused")
		}
	}
	return nil
}

// collect fetches sheets from the primary while this machine holds a register and
// no data, one at a time.
func (c *Core) collect(ctx context.Context) {
	at, of := 0, ""
	for wait := time.Second; host.Sleep(ctx, wait); {
		wait = time.Second
		rec, _ := c.accepted()
		if rec.Founding == "" || c.named(rec) || !holds(rec.Holders, c.me.Disk) {
			continue
		}
		if of != rec.Founding {
			at, of = 0, rec.Founding
		}
		cx, stop := context.WithTimeout(ctx, 2*time.Second)
		r, err := rpc.Call[SheetAsk, SheetReply](cx, c.call, c.directory.Addr(rec.Primary), "crux/sheet", &SheetAsk{At: at})
		stop()
		if err != nil || !r.Ok || r.Body == nil {
			continue
		}
		if err := c.shelve(Sheet{r.Name, r.Body}, rec.Primary.Addr); err != nil {
			c.opt.Ring.Warn().AnErr("cause", err).Msg("a sheet cannot be kept")
			continue
		}
		if at++; at < r.Count {
			wait = 20 * time.Millisecond
		}
	}
}
