// Catch-up prepares a backup for an epoch. A backup whose log equals the proposer's receives
// nothing; one that is a few entries behind receives those entries; any other receives a full
// snapshot, preceded by the chunks that it is missing.

package coordination

import (
	"bytes"
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// A catch-up message may take catchUpTimeout plus its size divided by slowLinkRate, which is what a
// link of 10 Mbit/s carries beside other traffic, in bytes per second.
const (
	catchUpTimeout = 2 * time.Second
	slowLinkRate   = 250_000
)

// sendTimeout returns the timeout for sending a message of the given size to a replica.
func sendTimeout(bytes int) time.Duration {
	return catchUpTimeout + time.Duration(bytes)*time.Second/slowLinkRate
}

// stateAtSeq is a proposer's state at one position in the log. The full snapshot is encoded only if
// a backup needs it.
type stateAtSeq struct {
	core     *Core
	locked   bool // the caller holds dataMu
	state    *replicatedState
	seq      ids.Seq
	digest   []byte
	snapshot []byte
	chunks   []Chunk
}

// captureState captures the current state. From here on only a newer epoch changes it.
func (c *Core) captureState(locked bool) *stateAtSeq {
	if !locked {
		c.dataMu.Lock()
		defer c.dataMu.Unlock()
	}
	return &stateAtSeq{core: c, locked: locked, state: c.state, seq: c.state.seq, digest: c.state.digest}
}

// withState calls f with dataMu held, or returns an error if the state has changed since its capture.
func (s *stateAtSeq) withState(f func()) error {
	if !s.locked {
		s.core.dataMu.Lock()
		defer s.core.dataMu.Unlock()
	}
	if s.core.state != s.state || s.state.seq != s.seq {
		return failure.New(failure.Stale, "copy state", s.core.self.Addr, "the state has changed since it was captured")
	}
	f()
	return nil
}

// entriesAfter returns the entries that a replica with this sequence number and log digest is missing.
func (s *stateAtSeq) entriesAfter(seq ids.Seq, digest []byte) (entries []Entry, ok bool) {
	err := s.withState(func() { entries, ok = s.state.history.entriesAfter(seq, digest) })
	return entries, ok && err == nil
}

// encodedSnapshot returns the encoded snapshot and its chunks.
func (s *stateAtSeq) encodedSnapshot() ([]byte, []Chunk, error) {
	if s.snapshot != nil {
		return s.snapshot, s.chunks, nil
	}
	err := s.withState(func() { s.snapshot, s.chunks = MustMarshal(s.state.snapshot(false)), chunksOf(s.state.machine) })
	return s.snapshot, s.chunks, err
}

// catchUp prepares a replica to be a backup in an epoch.
func (c *Core) catchUp(ctx context.Context, e ids.Epoch, to Replica, state *stateAtSeq) error {
	request := &SnapshotRequest{Epoch: e, From: c.self, Seq: state.seq, Digest: state.digest}
	r, err := c.sendCatchUp(ctx, to, request)
	if err == nil && r.Behind {
		if entries, ok := state.entriesAfter(r.LastSeq, r.Digest); ok {
			request.Entries = entries
			r, err = c.sendCatchUp(ctx, to, request)
		}
	}
	if err == nil && !r.Behind || err != nil && !failure.Is(err, failure.InvalidArgument) {
		return refusalError(r, err, to)
	}
	body, chunks, err := state.encodedSnapshot()
	if err != nil {
		return err
	}
	return c.sendSnapshot(ctx, e, to, body, chunks)
}

// sendSnapshot sends the full snapshot, preceded by the chunks that the replica is missing.
func (c *Core) sendSnapshot(ctx context.Context, e ids.Epoch, to Replica, body []byte, chunks []Chunk) error {
	c.snapshotsSent.Add(1)
	c.options.Ring.Info().Str("peer", to.Addr).Int("bytes", len(body)).Msg("sending snapshot")
	request := &SnapshotRequest{Epoch: e, From: c.self, State: body}
	r, err := c.sendCatchUp(ctx, to, request)
	if err == nil && len(r.MissingChunks) > 0 {
		if err = c.sendChunks(ctx, e, to, r.MissingChunks, chunks); err == nil {
			r, err = c.sendCatchUp(ctx, to, request)
		}
	}
	return refusalError(r, err, to)
}

func (c *Core) sendCatchUp(ctx context.Context, to Replica, request *SnapshotRequest) (*AppendResponse, error) {
	ctx, stop := context.WithTimeout(ctx, sendTimeout(request.Msgsize()))
	defer stop()
	return rpc.Call[SnapshotRequest, AppendResponse](ctx, c.caller, c.directory.Addr(to), snapshotMethod, request)
}

// refusalError returns err, or an error if the replica refused the request.
func refusalError(r *AppendResponse, err error, by Replica) error {
	if err == nil && !r.OK {
		return failure.New(failure.Stale, "send snapshot", by.Addr, "refused, promised %d", r.Promised)
	}
	return err
}

// handleSnapshot prepares this core to be a backup and syncs the data before it answers. Only the
// proposer to which this register has promised the epoch may request it.
func (c *Core) handleSnapshot(_ context.Context, request *SnapshotRequest) (*AppendResponse, error) {
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	c.registerMu.Lock()
	reg := c.register
	c.registerMu.Unlock()
	if reg.Promised != request.Epoch || reg.Accepted.Epoch >= request.Epoch || c.Leads() ||
		reg.PromisedTo != "" && reg.PromisedTo != request.From.Disk && request.Epoch > firstEpoch {
		return &AppendResponse{Promised: reg.Promised}, nil
	}
	if len(request.State) == 0 && request.Digest != nil {
		return c.appendMissing(request)
	}
	return c.restore(request, reg.Promised)
}

// appendMissing appends the entries that this core is missing, if they directly follow its log.
func (c *Core) appendMissing(request *SnapshotRequest) (*AppendResponse, error) {
	if c.reloadNeeded {
		return &AppendResponse{Promised: request.Epoch, Behind: true}, nil
	}
	if len(request.Entries) > 0 && consecutive(request.Entries, c.state.seq) {
		if err := c.store.append(request.Entries); err != nil {
			c.reloadNeeded = true
			return nil, err
		}
		if err := c.applyAll(request.Entries); err != nil {
			return nil, failure.Wrap(err, "apply entry", request.From.Addr)
		}
	}
	if c.state.seq != request.Seq || !bytes.Equal(c.state.digest, request.Digest) {
		return &AppendResponse{Promised: request.Epoch, Behind: true, LastSeq: c.state.seq, Digest: c.state.digest}, nil
	}
	c.readyEpoch.Store(uint64(request.Epoch))
	return &AppendResponse{OK: true, LastSeq: c.state.seq, Promised: request.Epoch}, nil
}

// consecutive reports whether the entries have the sequence numbers that directly follow seq.
func consecutive(entries []Entry, seq ids.Seq) bool {
	for i := range entries {
		if entries[i].Seq != seq+1+ids.Seq(i) {
			return false
		}
	}
	return true
}

// applyAll applies entries that are already on disk. If one cannot be applied, the state is reloaded
// from disk before its next use.
func (c *Core) applyAll(entries []Entry) error {
	for i := range entries {
		if _, err := c.state.apply(&entries[i]); err != nil {
			c.reloadNeeded = true
			return err
		}
	}
	return nil
}

// restore replaces all data with the proposer's snapshot, or returns the names of the missing chunks.
func (c *Core) restore(request *SnapshotRequest, promised ids.Epoch) (*AppendResponse, error) {
	var snapshot Snapshot
	if _, err := snapshot.UnmarshalMsg(request.State); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read snapshot", request.From.Addr)
	}
	local := chunksOf(c.state.machine)
	known := map[string]bool{}
	for _, chunk := range local {
		known[chunk.Name] = true
	}
	var missing []string
	for _, n := range snapshot.Chunks {
		if !known[n] && !c.store.hasChunk(n) {
			missing = append(missing, n)
		}
	}
	if len(missing) > 0 {
		return &AppendResponse{Promised: promised, MissingChunks: missing}, nil
	}
	fresh := newReplicatedState(c.options.Machine())
	if err := c.store.restore(fresh, &snapshot, local); err != nil {
		return nil, err
	}
	if err := c.store.compact(&snapshot, chunksOf(fresh.machine)); err != nil {
		c.reloadNeeded = true
		return nil, err
	}
	c.state, c.reloadNeeded = fresh, false
	c.readyEpoch.Store(uint64(request.Epoch))
	return &AppendResponse{OK: true, LastSeq: snapshot.Seq, Promised: promised}, nil
}
