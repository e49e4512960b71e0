// Reading back what was acknowledged: the primary answers only once its backup has
// confirmed its epoch, so a deposed one tells nothing old.

package lore

import (
	"context"
	"math/rand/v2"
	"time"

	"keelstair.example/breakdown"
	"keelstair.example/crux"
	"keelstair.example/seam"
	"keelstair.example/wire"
	"keelstair.example/word"
)

// Newest asks the core for the newest version, in force or staged, and for the zones
// that are evacuated, until the context ends.
func Newest(ctx context.Context, call *wire.Caller, book *crux.Book) (Ruled, []string, error) {
	for {
		cx, stop := context.WithTimeout(ctx, time.Second)
		addr := book.Addr(book.Record().Primary)
		r, err := wire.Call[crux.NewsAsk, crux.NewsReply](cx, call, addr, "crux/news", &crux.NewsAsk{})
		stop()
		if err == nil {
			var img crux.Image
			var own Image
			if _, err := img.UnmarshalMsg(r.Picture); err != nil {
				return Ruled{}, nil, breakdown.As(err, breakdown.Bad, "read picture", addr)
			}
			if _, err := own.UnmarshalMsg(img.App); err != nil {
				return Ruled{}, nil, breakdown.As(err, breakdown.Bad, "read picture", addr)
			}
			top := own.Active
			if n := len(own.Staged); n > 0 {
				top = own.Staged[n-1]
			}
			top.Text = unpack(top.Text)
			return top, own.Zones, nil
		}
		book.Ask(ctx, 3)
		if !seam.Sleep(ctx, 30*time.Millisecond+rand.N(60*time.Millisecond)) {
			return Ruled{}, nil, breakdown.As(err, breakdown.Away, "read newest", addr)
		}
	}
}

// Put asks the core for a text as the version next (0: the one after base), made over
// base. Asked again under the same op, it gives the one outcome. Errors: Stale where
// another version is the newest, Bad where the number is too low, Unknown where it may
// have been taken, Away where it was not.
func Put(ctx context.Context, call *wire.Caller, book *crux.Book, op word.OpId, base, next word.Version, text []byte) (word.Version, error) {
	return decide(ctx, call, book, &crux.SubmitAsk{Op: op, Kind: StageKind, Body: crux.Pack(&Stage{Base: base, Text: pack(text), Next: next})})
}

// Outcome tells the version that an operation made, or Stale if none was taken.
func Outcome(ctx context.Context, call *wire.Caller, book *crux.Book, op word.OpId) (word.Version, error) {
	return decide(ctx, call, book, &crux.SubmitAsk{Op: op, Kind: AskKind})
}

// Mark empties a zone of new work, or takes that back.
func Mark(ctx context.Context, call *wire.Caller, book *crux.Book, zone word.Zone, out bool) error {
	_, err := decide(ctx, call, book, &crux.SubmitAsk{Op: word.OpId("mark/" + crux.Name()), Kind: VacateKind, Body: crux.Pack(&Vacate{Zone: zone, Out: out})})
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
