// Catch-up brings a backup to the proposer's state before the epoch in which it serves. A backup whose
// log equals the proposer's receives no data; one that is a few entries behind receives those entries;
// any other receives a full snapshot, preceded by the chunks (named pieces of the state machine's data)
// that it is missing.

package coordination

import (
	"bytes"
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// A catch-up call may take minCatchUpTimeout plus the size of its message divided by slowLinkRate, which
// is in bytes per second: a fifth of a 10 Mbit/s link, which carries other traffic, too.
const (
	minCatchUpTimeout = 2 * time.Second
	slowLinkRate      = 250_000
)

// catchUpCallTimeout returns the timeout of a call that sends a message of the given size in bytes,
// including the time that the receiver takes to write it to disk.
func catchUpCallTimeout(size int) time.Duration {
	return minCatchUpTimeout + time.Duration(size)*time.Second/slowLinkRate
}

// capturedState refers to a proposer's state at one position in the log, without a copy of it. The full
// snapshot is encoded only if a backup needs it.
type capturedState struct {
	core     *Core
	locked   bool // the caller of catchUp holds dataMu
	state    *replicatedState
	seq      ids.Seq
	digest   []byte
	snapshot []byte
	chunks   []Chunk
}

// captureState captures the current state. If a newer epoch changes the core's state later, withState
// returns an error. If locked is true, the caller holds dataMu until the last use of the capture.
func (c *Core) captureState(locked bool) *capturedState {
	if !locked {
		c.dataMu.Lock()
		defer c.dataMu.Unlock()
	}
	return &capturedState{core: c, locked: locked, state: c.state, seq: c.state.seq, digest: c.state.digest}
}

// withState calls f with dataMu held, or returns an error if the state has changed since its capture.
func (s *capturedState) withState(f func()) error {
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
func (s *capturedState) entriesAfter(seq ids.Seq, digest []byte) (entries []Entry, ok bool) {
	err := s.withState(func() { entries, ok = s.state.history.entriesAfter(seq, digest) })
	return entries, ok && err == nil
}

// encodedSnapshot returns the encoded snapshot and its chunks.
func (s *capturedState) encodedSnapshot() ([]byte, []Chunk, error) {
	if s.snapshot != nil {
		return s.snapshot, s.chunks, nil
	}
	err := s.withState(func() { s.snapshot, s.chunks = MustMarshal(s.state.snapshot(false)), chunksOf(s.state.machine) })
	return s.snapshot, s.chunks, err
}

// catchUp brings a replica to the captured state, so that it can be a backup in an epoch. It first sends
// only the position and digest of the log. If the replica is behind, it sends the missing entries, or
// else the full snapshot.
func (c *Core) catchUp(ctx context.Context, e ids.Epoch, to Replica, captured *capturedState) error {
	request := &CatchUpRequest{Epoch: e, From: c.self, Seq: captured.seq, Digest: captured.digest}
	r, err := c.sendCatchUp(ctx, to, request)
	if err == nil && r.Behind {
		if entries, ok := captured.entriesAfter(r.LastSeq, r.Digest); ok {
			request.Entries = entries
			r, err = c.sendCatchUp(ctx, to, request)
		}
	}
	// InvalidArgument comes from a replica that cannot apply the entries, or whose release requires a
	// snapshot in every request. It may still be able to use a snapshot.
	if err == nil && !r.Behind || err != nil && !failure.Is(err, failure.InvalidArgument) {
		return refusalError(r, err, to)
	}
	body, chunks, err := captured.encodedSnapshot()
	if err != nil {
		return err
	}
	return c.sendSnapshot(ctx, e, to, body, chunks)
}

// sendSnapshot sends the full snapshot, preceded by the chunks that the replica is missing.
func (c *Core) sendSnapshot(ctx context.Context, e ids.Epoch, to Replica, body []byte, chunks []Chunk) error {
	c.snapshotsSent.Add(1)
	c.options.Ring.Info().Str("peer", to.Addr).Int("bytes", len(body)).Msg("sending snapshot")
	request := &CatchUpRequest{Epoch: e, From: c.self, State: body}
	r, err := c.sendCatchUp(ctx, to, request)
	if err == nil && len(r.MissingChunks) > 0 {
		if err = c.sendChunks(ctx, e, to, r.MissingChunks, chunks); err == nil {
			r, err = c.sendCatchUp(ctx, to, request)
		}
	}
	return refusalError(r, err, to)
}

func (c *Core) sendCatchUp(ctx context.Context, to Replica, request *CatchUpRequest) (*AppendResponse, error) {
	ctx, stop := context.WithTimeout(ctx, catchUpCallTimeout(request.Msgsize()))
	defer stop()
	return rpc.Call[CatchUpRequest, AppendResponse](ctx, c.caller, c.directory.Addr(to), catchUpMethod, request)
}

// refusalError returns err, or an error if the replica refused a catch-up request.
func refusalError(r *AppendResponse, err error, by Replica) error {
	if err == nil && !r.OK {
		return failure.New(failure.Stale, "send snapshot", by.Addr, "the replica refused; it has promised epoch %d", r.Promised)
	}
	return err
}

// handleCatchUp brings this core to the state of a proposer, so that it can be a backup in the proposer's
// epoch. The data is on disk before it answers. Only the proposer to which this register has promised
// the epoch may request it. The proposer's disk id is not checked in firstEpoch, which needs no promise,
// or if the register does not name the proposer.
func (c *Core) handleCatchUp(_ context.Context, request *CatchUpRequest) (*AppendResponse, error) {
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
func (c *Core) appendMissing(request *CatchUpRequest) (*AppendResponse, error) {
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

// restore replaces all data with the proposer's snapshot. If chunks that the snapshot names are missing,
// it changes nothing and returns their names.
func (c *Core) restore(request *CatchUpRequest, promised ids.Epoch) (*AppendResponse, error) {
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
