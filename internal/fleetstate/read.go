// Reading back what was acknowledged: the primary answers only once its backup has
// confirmed its epoch, so a deposed one tells nothing old.

package fleetstate

import (
	"context"
	"slices"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

const (
	// attemptTimeout is for one attempt at the primary. It is longer than a primary takes to
	// replace a silent backup, and short enough for two attempts within a second.
	attemptTimeout = 420 * time.Millisecond
	// attemptPerKB is added for a command's body: at 10 Mbit/s a kilobyte takes 0.8 ms to the
	// primary, and as long from there to a backup.
	attemptPerKB = 2 * time.Millisecond
)

// Look asks the core for all that is agreed on, until the context ends.
func Look(ctx context.Context, call *rpc.Caller, book *coordination.Directory) (*Image, error) {
	r, addr, err := coordination.CallPrimary[coordination.WatchRequest, coordination.WatchResponse](ctx, call, book, attemptTimeout, coordination.WatchMethod, &coordination.WatchRequest{}, nil)
	if err != nil {
		return nil, failure.As(err, failure.Unavailable, "read newest", addr)
	}
	var img coordination.Snapshot
	own := &Image{}
	if _, err := img.UnmarshalMsg(r.Snapshot); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read picture", addr)
	}
	if _, err := own.UnmarshalMsg(img.State); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read picture", addr)
	}
	return own, nil
}

// Newest asks the core for the newest version, in force or staged, and for the zones
// that are evacuated, until the context ends.
func Newest(ctx context.Context, call *rpc.Caller, book *coordination.Directory) (Ruled, []string, error) {
	img, err := Look(ctx, call, book)
	if err != nil {
		return Ruled{}, nil, err
	}
	return img.Newest(), img.Zones, nil
}

// Newest gives the newest version, in force or staged, with its text as it was put.
func (img *Image) Newest() Ruled {
	top := (&line{active: img.Active, staged: img.Staged}).top()
	top.Text = unpack(top.Text)
	return top
}

// Set gives the newest program set, in force or staged, and whether it is in force.
func (img *Image) Set() (Ruled, bool) {
	return (&line{active: img.Programs, staged: img.ProgramsPending}).top(), len(img.ProgramsPending) == 0
}

// Put asks the core for a text as the version next (0: the one after base), made over
// base. Asked again under the same op, it gives the one outcome. Errors: Stale where
// another version is the newest, Bad where the number is too low, Unknown where it may
// have been taken, Away where it was not. A large text that differs little from the one
// it was made over goes as a delta.
func Put(ctx context.Context, call *rpc.Caller, book *coordination.Directory, op ids.OpID, base, next ids.Version, text []byte) (ids.Version, error) {
	var newest Ruled
	if base > 0 && len(text) >= deltaFrom {
		var err error
		if newest, _, err = Newest(ctx, call, book); err != nil {
			return 0, err
		}
	}
	return PutOver(ctx, call, book, op, base, next, text, newest)
}

// PutOver is Put for a caller that has read the newest version already.
func PutOver(ctx context.Context, call *rpc.Caller, book *coordination.Directory, op ids.OpID, base, next ids.Version, text []byte, newest Ruled) (ids.Version, error) {
	c := &Stage{Base: base, Text: pack(text), Next: next}
	if base > 0 && len(text) >= deltaFrom && newest.Version == base {
		c.Shorten(newest.Text, text)
	}
	return decide(ctx, call, book, &coordination.SubmitRequest{Op: op, Kind: StageKind, Body: coordination.MustMarshal(c)})
}

// Shorten makes it a delta where that is half as long at most, and gives the same text.
func (c *Stage) Shorten(old, text []byte) {
	d := diff(old, text)
	body := coordination.MustMarshal(d)
	if 2*len(body) > len(c.Text) {
		return
	}
	if _, err := d.patch(old); err == nil {
		c.Text, c.Delta = body, true
	}
}

// Outcome tells the version that an operation made. Errors: Stale where none was taken,
// Unknown where one may have been, too long ago to tell.
func Outcome(ctx context.Context, call *rpc.Caller, book *coordination.Directory, op ids.OpID, q OutcomeAsk) (ids.Version, error) {
	return decide(ctx, call, book, &coordination.SubmitRequest{Op: op, Kind: AskKind, Body: coordination.MustMarshal(&q)})
}

// ZoneRevision tells how often a zone has changed, and whether it is evacuated.
func (img *Image) ZoneRevision(zone ids.Zone) (revision uint64, out bool) {
	for _, z := range img.ZoneRevisions {
		if z.Zone == zone {
			revision = z.Count
		}
	}
	return revision, slices.Contains(img.Zones, string(zone))
}

// Mark empties a zone of new work, or takes that back, once for an operation's id.
func Mark(ctx context.Context, call *rpc.Caller, book *coordination.Directory, op ids.OpID, zone ids.Zone, out bool) error {
	return vacate(ctx, call, book, op, &Vacate{Zone: zone, Out: out})
}

// MarkOver empties a zone of new work, or takes that back, if the zone has changed so many
// times as revision says. Else it is Stale, unless the zone already is as asked.
func MarkOver(ctx context.Context, call *rpc.Caller, book *coordination.Directory, zone ids.Zone, out bool, revision uint64) error {
	op := ids.OpID("mark/" + coordination.NewID())
	return vacate(ctx, call, book, op, &Vacate{Zone: zone, Out: out, Compare: true, Base: revision})
}

func vacate(ctx context.Context, call *rpc.Caller, book *coordination.Directory, op ids.OpID, c *Vacate) error {
	_, err := decide(ctx, call, book, &coordination.SubmitRequest{Op: op, Kind: VacateKind, Body: coordination.MustMarshal(c)})
	return err
}

// decide submits a decree, and gives the version that it ruled.
func decide(ctx context.Context, call *rpc.Caller, book *coordination.Directory, q *coordination.SubmitRequest) (ids.Version, error) {
	attempt := attemptTimeout + time.Duration(len(q.Body)/1024)*attemptPerKB
	r, err := coordination.SubmitWithin(ctx, call, book, attempt, q)
	if err != nil {
		return 0, err
	}
	var got Ruling
	_, err = got.UnmarshalMsg(r.Body)
	return got.Version, failure.As(err, failure.OutcomeUnknown, "read ruling", "core")
}
