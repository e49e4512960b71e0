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
	// attemptTimeoutPerKB is added for a command's body: at 10 Mbit/s a kilobyte takes 0.8 ms to the
	// primary, and as long from there to a backup.
	attemptTimeoutPerKB = 2 * time.Millisecond
)

// ReadState asks the core for all that is agreed on, until the context ends.
func ReadState(ctx context.Context, caller *rpc.Caller, directory *coordination.Directory) (*EncodedState, error) {
	r, addr, err := coordination.CallPrimary[coordination.WatchRequest, coordination.WatchResponse](
		ctx, caller, directory, attemptTimeout, coordination.WatchMethod, &coordination.WatchRequest{}, nil,
	)
	if err != nil {
		return nil, failure.As(err, failure.Unavailable, "read newest", addr)
	}
	var encoded coordination.Snapshot
	own := &EncodedState{}
	if _, err := encoded.UnmarshalMsg(r.Snapshot); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read picture", addr)
	}
	if _, err := own.UnmarshalMsg(encoded.State); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read picture", addr)
	}
	return own, nil
}

// ReadNewest asks the core for the newest version, in force or prepared, and for the zones
// that are evacuated, until the context ends.
func ReadNewest(
	ctx context.Context,
	caller *rpc.Caller,
	directory *coordination.Directory,
) (VersionedText, []string, error) {
	encoded, err := ReadState(ctx, caller, directory)
	if err != nil {
		return VersionedText{}, nil, err
	}
	return encoded.NewestVersion(), encoded.EvacuatedZones, nil
}

// NewestVersion gives the newest version, in force or prepared, with its text as it was put.
func (encoded *EncodedState) NewestVersion() VersionedText {
	top := (&versionHistory{active: encoded.Active, prepared: encoded.Prepared}).latest()
	top.Text = decompress(top.Text)
	return top
}

// ProgramSet gives the newest program set, in force or prepared, and whether it is in force.
func (encoded *EncodedState) ProgramSet() (VersionedText, bool) {
	return (&versionHistory{
		active:   encoded.Programs,
		prepared: encoded.ProgramsPrepared,
	}).latest(), len(encoded.ProgramsPrepared) == 0
}

// PutConfiguration asks the core for a text as the version next (0: the one after base), made over
// base. Asked again under the same op, it gives the one outcome. Errors: Stale where
// another version is the newest, Bad where the number is too low, Unknown where it may
// have been taken, Away where it was not. A large text that differs little from the one
// it was made over goes as a delta.
func PutConfiguration(
	ctx context.Context,
	caller *rpc.Caller,
	directory *coordination.Directory,
	op ids.OpID,
	base, next ids.Version,
	text []byte,
) (ids.Version, error) {
	var newest VersionedText
	if base > 0 && len(text) >= deltaFrom {
		var err error
		if newest, _, err = ReadNewest(ctx, caller, directory); err != nil {
			return 0, err
		}
	}
	return PutConfigurationOver(ctx, caller, directory, op, base, next, text, newest)
}

// PutConfigurationOver is Put for a caller that has read the newest version already.
func PutConfigurationOver(
	ctx context.Context,
	caller *rpc.Caller,
	directory *coordination.Directory,
	op ids.OpID,
	base, next ids.Version,
	text []byte,
	newest VersionedText,
) (ids.Version, error) {
	c := &PrepareVersion{Base: base, Text: compress(text), Next: next}
	if base > 0 && len(text) >= deltaFrom && newest.Version == base {
		c.UseDeltaIfSmaller(newest.Text, text)
	}
	return submitForVersion(ctx, caller, directory, &coordination.SubmitRequest{
		Op:   op,
		Kind: PrepareKind,
		Body: coordination.MustMarshal(c),
	})
}

// UseDeltaIfSmaller makes it a delta where that is half as long at most, and gives the same text.
func (c *PrepareVersion) UseDeltaIfSmaller(previous, text []byte) {
	d := diff(previous, text)
	body := coordination.MustMarshal(d)
	if 2*len(body) > len(c.Text) {
		return
	}
	if _, err := d.patch(previous); err == nil {
		c.Text, c.Delta = body, true
	}
}

// QueryOutcome tells the version that an operation made. Errors: Stale where none was taken,
// Unknown where one may have been, too long ago to tell.
func QueryOutcome(
	ctx context.Context,
	caller *rpc.Caller,
	directory *coordination.Directory,
	op ids.OpID,
	request OutcomeQuery,
) (ids.Version, error) {
	return submitForVersion(ctx, caller, directory, &coordination.SubmitRequest{
		Op:   op,
		Kind: QueryKind,
		Body: coordination.MustMarshal(&request),
	})
}

// ZoneRevision tells how often a zone has changed, and whether it is evacuated.
func (encoded *EncodedState) ZoneRevision(zone ids.Zone) (revision uint64, out bool) {
	for _, z := range encoded.ZoneRevisions {
		if z.Zone == zone {
			revision = z.Count
		}
	}
	return revision, slices.Contains(encoded.EvacuatedZones, string(zone))
}

// SetEvacuated empties a zone of new work, or takes that back, once for an operation's id.
func SetEvacuated(
	ctx context.Context,
	caller *rpc.Caller,
	directory *coordination.Directory,
	op ids.OpID,
	zone ids.Zone,
	out bool,
) error {
	return submitEvacuate(ctx, caller, directory, op, &Evacuate{Zone: zone, Evacuated: out})
}

// CompareAndSetEvacuated empties a zone of new work, or takes that back, if the zone has changed so many
// times as revision says. Else it is Stale, unless the zone already is as asked.
func CompareAndSetEvacuated(
	ctx context.Context,
	caller *rpc.Caller,
	directory *coordination.Directory,
	zone ids.Zone,
	out bool,
	revision uint64,
) error {
	op := ids.OpID("mark/" + coordination.NewID())
	return submitEvacuate(ctx, caller, directory, op, &Evacuate{
		Zone:         zone,
		Evacuated:    out,
		Compare:      true,
		BaseRevision: revision,
	})
}

func submitEvacuate(
	ctx context.Context,
	caller *rpc.Caller,
	directory *coordination.Directory,
	op ids.OpID,
	c *Evacuate,
) error {
	_, err := submitForVersion(ctx, caller, directory, &coordination.SubmitRequest{
		Op:   op,
		Kind: EvacuateKind,
		Body: coordination.MustMarshal(c),
	})
	return err
}

// submitForVersion submits a decree, and gives the version that it ruled.
func submitForVersion(
	ctx context.Context,
	caller *rpc.Caller,
	directory *coordination.Directory,
	request *coordination.SubmitRequest,
) (ids.Version, error) {
	attempt := attemptTimeout + time.Duration(len(request.Body)/1024)*attemptTimeoutPerKB
	r, err := coordination.SubmitWithin(ctx, caller, directory, attempt, request)
	if err != nil {
		return 0, err
	}
	var got VersionReply
	_, err = got.UnmarshalMsg(r.Body)
	return got.Version, failure.As(err, failure.OutcomeUnknown, "read ruling", "core")
}
