// Reading back what was acknowledged: the primary answers only once its backup has
// confirmed its epoch, so a deposed one tells nothing old.

package fleetstate

import (
	"context"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// Look asks the core for all that is agreed on, until the context ends.
func Look(ctx context.Context, call *rpc.Caller, book *coordination.Book) (*Image, error) {
	r, addr, err := coordination.Primary[coordination.NewsAsk, coordination.NewsReply](ctx, call, book, time.Second, "crux/news", &coordination.NewsAsk{}, nil)
	if err != nil {
		return nil, failure.As(err, failure.Away, "read newest", addr)
	}
	var img coordination.Image
	own := &Image{}
	if _, err := img.UnmarshalMsg(r.Picture); err != nil {
		return nil, failure.As(err, failure.Bad, "read picture", addr)
	}
	if _, err := own.UnmarshalMsg(img.App); err != nil {
		return nil, failure.As(err, failure.Bad, "read picture", addr)
	}
	return own, nil
}

// Newest asks the core for the newest version, in force or staged, and for the zones
// that are evacuated, until the context ends.
func Newest(ctx context.Context, call *rpc.Caller, book *coordination.Book) (Ruled, []string, error) {
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
func Put(ctx context.Context, call *rpc.Caller, book *coordination.Book, op ids.OpId, base, next ids.Version, text []byte) (ids.Version, error) {
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
	return decide(ctx, call, book, &coordination.SubmitAsk{Op: op, Kind: StageKind, Body: coordination.Pack(c)})
}

// Shorten makes it a delta where that is half as long at most, and gives the same text.
func (c *Stage) Shorten(old, text []byte) {
	d := diff(old, text)
	body := coordination.Pack(d)
	if 2*len(body) > len(c.Text) {
		return
	}
	if _, err := d.patch(old); err == nil {
		c.Text, c.Delta = body, true
	}
}

// Outcome tells the version that an operation made, or Stale if none was taken.
func Outcome(ctx context.Context, call *rpc.Caller, book *coordination.Book, op ids.OpId) (ids.Version, error) {
	return decide(ctx, call, book, &coordination.SubmitAsk{Op: op, Kind: AskKind})
}

// Mark empties a zone of new work, or takes that back.
func Mark(ctx context.Context, call *rpc.Caller, book *coordination.Book, op ids.OpId, zone ids.Zone, out bool) error {
	_, err := decide(ctx, call, book, &coordination.SubmitAsk{Op: op, Kind: VacateKind, Body: coordination.Pack(&Vacate{Zone: zone, Out: out})})
	return err
}

func decide(ctx context.Context, call *rpc.Caller, book *coordination.Book, q *coordination.SubmitAsk) (ids.Version, error) {
	r, err := coordination.Submit(ctx, call, book, q)
	if err != nil {
		return 0, err
	}
	var got Ruling
	_, err = got.UnmarshalMsg(r.Body)
	return got.Version, failure.As(err, failure.Unknown, "read ruling", "core")
}
