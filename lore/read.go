// Reading back what was acknowledged: the primary answers only once its backup has
// confirmed its epoch, so a deposed one tells nothing old.

package lore

import (
	"context"
	"time"

	"keelstair.example/breakdown"
	"keelstair.example/crux"
	"keelstair.example/wire"
	"keelstair.example/word"
)

// Look asks the core for all that is agreed on, until the context ends.
func Look(ctx context.Context, call *wire.Caller, book *crux.Book) (*Image, error) {
	r, addr, err := crux.Primary[crux.NewsAsk, crux.NewsReply](ctx, call, book, time.Second, "crux/news", &crux.NewsAsk{}, nil)
	if err != nil {
		return nil, breakdown.As(err, breakdown.Away, "read newest", addr)
	}
	var img crux.Image
	own := &Image{}
	if _, err := img.UnmarshalMsg(r.Picture); err != nil {
		return nil, breakdown.As(err, breakdown.Bad, "read picture", addr)
	}
	if _, err := own.UnmarshalMsg(img.App); err != nil {
		return nil, breakdown.As(err, breakdown.Bad, "read picture", addr)
	}
	return own, nil
}

// Newest asks the core for the newest version, in force or staged, and for the zones
// that are evacuated, until the context ends.
func Newest(ctx context.Context, call *wire.Caller, book *crux.Book) (Ruled, []string, error) {
	img, err := Look(ctx, call, book)
	if err != nil {
		return Ruled{}, nil, err
	}
	top := (&line{img.Active, img.Staged}).top()
	top.Text = unpack(top.Text)
	return top, img.Zones, nil
}

// Set gives the newest program set, in force or staged, and whether it is in force.
func (img *Image) Set() (Ruled, bool) {
	return (&line{img.Programs, img.ProgramsPending}).top(), len(img.ProgramsPending) == 0
}

// Put asks the core for a text as the version next (0: the one after base), made over
// base. Asked again under the same op, it gives the one outcome. Errors: Stale where
// another version is the newest, Bad where the number is too low, Unknown where it may
// have been taken, Away where it was not. A large text that differs little from the one
// it was made over goes as a delta.
func Put(ctx context.Context, call *wire.Caller, book *crux.Book, op word.OpId, base, next word.Version, text []byte) (word.Version, error) {
	c := &Stage{Base: base, Text: pack(text), Next: next}
	if base > 0 && len(text) >= deltaFrom {
		top, _, err := Newest(ctx, call, book)
		if err != nil {
			return 0, err
		}
		if top.Version == base {
			c.Shorten(top.Text, text)
		}
	}
	return decide(ctx, call, book, &crux.SubmitAsk{Op: op, Kind: StageKind, Body: crux.Pack(c)})
}

// Shorten makes it a delta where that is half as long at most, and gives the same text.
func (c *Stage) Shorten(old, text []byte) {
	d := diff(old, text)
	body := crux.Pack(d)
	if 2*len(body) > len(c.Text) {
		return
	}
	if _, err := d.patch(old); err == nil {
		c.Text, c.Delta = body, true
	}
}

// Outcome tells the version that an operation made, or Stale if none was taken.
func Outcome(ctx context.Context, call *wire.Caller, book *crux.Book, op word.OpId) (word.Version, error) {
	return decide(ctx, call, book, &crux.SubmitAsk{Op: op, Kind: AskKind})
}

// Mark empties a zone of new work, or takes that back.
func Mark(ctx context.Context, call *wire.Caller, book *crux.Book, op word.OpId, zone word.Zone, out bool) error {
	_, err := decide(ctx, call, book, &crux.SubmitAsk{Op: op, Kind: VacateKind, Body: crux.Pack(&Vacate{Zone: zone, Out: out})})
	return err
}

func decide(ctx context.Context, call *wire.Caller, book *crux.Book, q *crux.SubmitAsk) (word.Version, error) {
	r, err := crux.Submit(ctx, call, book, q)
	if err != nil {
		return 0, err
	}
	var got Ruling
	_, err = got.UnmarshalMsg(r.Body)
	return got.Version, breakdown.As(err, breakdown.Unknown, "read ruling", "core")
}
