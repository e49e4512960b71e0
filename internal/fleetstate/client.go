// This file has the client calls to the coordination service that read and change the fleet's
// state. Reads return everything that was acknowledged before: the primary replies only once its
// backup has confirmed its epoch, so that a deposed primary returns no old state.

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
	// attemptTimeout bounds one attempt to call the primary. It is longer than a primary takes to
	// replace a silent backup, and short enough for two attempts within a second.
	attemptTimeout = 420 * time.Millisecond
	// attemptTimeoutPerKB is added for each KiB of a command's body: at 10 Mbit/s a kilobyte takes
	// 0.8 ms to the primary, and as long again from there to a backup.
	attemptTimeoutPerKB = 2 * time.Millisecond
)

// ReadState reads the fleet's state from the primary. It retries until ctx ends.
func ReadState(ctx context.Context, caller *rpc.Caller, directory *coordination.Directory) (*EncodedState, error) {
	r, addr, err := coordination.CallPrimary[coordination.WatchRequest, coordination.WatchResponse](
		ctx, caller, directory, attemptTimeout, coordination.WatchMethod, &coordination.WatchRequest{}, nil,
	)
	if err != nil {
		return nil, failure.As(err, failure.Unavailable, "read newest", addr)
	}
	var snapshot coordination.Snapshot
	encoded := &EncodedState{}
	if _, err := snapshot.UnmarshalMsg(r.Snapshot); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read state", addr)
	}
	if _, err := encoded.UnmarshalMsg(snapshot.State); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read state", addr)
	}
	return encoded, nil
}

// ReadNewest reads the newest version, active or prepared, and the evacuated zones from the
// primary. It retries until ctx ends.
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

// NewestVersion returns the newest version, active or prepared, with its text uncompressed.
func (encoded *EncodedState) NewestVersion() VersionedText {
	newest := (&versionHistory{active: encoded.Active, prepared: encoded.Prepared}).latest()
	newest.Text = decompress(newest.Text)
	return newest
}

// ProgramSet returns the newest program set, active or prepared, and whether it is active.
func (encoded *EncodedState) ProgramSet() (VersionedText, bool) {
	return (&versionHistory{
		active:   encoded.Programs,
		prepared: encoded.ProgramsPrepared,
	}).latest(), len(encoded.ProgramsPrepared) == 0
}

// PutConfiguration submits a configuration text that was derived from the version base, as the
// version next (0 stands for the one after base). Repeated calls with the same op have one
// outcome. The kind of the error is Stale if base is not the newest version, InvalidArgument if
// the number next is too low, OutcomeUnknown if the text may have been accepted, and Unavailable
// if it was not. A large text that differs little from the text of base is sent as a delta.
func PutConfiguration(
	ctx context.Context,
	caller *rpc.Caller,
	directory *coordination.Directory,
	op ids.OpID,
	base, next ids.Version,
	text []byte,
) (ids.Version, error) {
	var newest VersionedText
	if base > 0 && len(text) >= minDeltaTextBytes {
		var err error
		if newest, _, err = ReadNewest(ctx, caller, directory); err != nil {
			return 0, err
		}
	}
	return PutConfigurationOver(ctx, caller, directory, op, base, next, text, newest)
}

// PutConfigurationOver is PutConfiguration for a caller that has already read the newest version.
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
	if base > 0 && len(text) >= minDeltaTextBytes && newest.Version == base {
		c.UseDeltaIfSmaller(newest.Text, text)
	}
	return submitForVersion(ctx, caller, directory, &coordination.SubmitRequest{
		Op:   op,
		Kind: PrepareKind,
		Body: coordination.MustMarshal(c),
	})
}

// UseDeltaIfSmaller replaces the command's text by a delta from the previous text if the delta is
// at most half as long and reproduces the text.
func (c *PrepareVersion) UseDeltaIfSmaller(previous, text []byte) {
	d := computeDelta(previous, text)
	body := coordination.MustMarshal(d)
	if 2*len(body) > len(c.Text) {
		return
	}
	if _, err := d.patch(previous); err == nil {
		c.Text, c.Delta = body, true
	}
}

// QueryOutcome returns the version that an earlier operation created. The kind of the error is
// Stale if the operation was never accepted, and OutcomeUnknown if it may have been accepted too
// long ago to be remembered.
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

// ZoneRevision returns how often a zone was evacuated or failed back, and whether it is evacuated.
func (encoded *EncodedState) ZoneRevision(zone ids.Zone) (revision uint64, evacuated bool) {
	for _, z := range encoded.ZoneRevisions {
		if z.Zone == zone {
			revision = z.Count
		}
	}
	return revision, slices.Contains(encoded.EvacuatedZones, string(zone))
}

// SetEvacuated evacuates a zone or fails back to it. It takes effect once for each op.
func SetEvacuated(
	ctx context.Context,
	caller *rpc.Caller,
	directory *coordination.Directory,
	op ids.OpID,
	zone ids.Zone,
	evacuated bool,
) error {
	return submitEvacuate(ctx, caller, directory, op, &Evacuate{Zone: zone, Evacuated: evacuated})
}

// CompareAndSetEvacuated evacuates a zone or fails back to it if the zone's revision is the given
// one. Otherwise the kind of the error is Stale, unless the zone is already in the requested
// state.
func CompareAndSetEvacuated(
	ctx context.Context,
	caller *rpc.Caller,
	directory *coordination.Directory,
	zone ids.Zone,
	evacuated bool,
	revision uint64,
) error {
	op := ids.OpID("mark/" + coordination.NewID())
	return submitEvacuate(ctx, caller, directory, op, &Evacuate{
		Zone:         zone,
		Evacuated:    evacuated,
		Compare:      true,
		BaseRevision: revision,
	})
}

// submitEvacuate submits an Evacuate command under the operation id op.
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

// submitForVersion submits a command and returns the version in its reply. The attempt timeout
// grows with the size of the command.
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
	var reply VersionReply
	_, err = reply.UnmarshalMsg(r.Body)
	return reply.Version, failure.As(err, failure.OutcomeUnknown, "read reply", "core")
}
