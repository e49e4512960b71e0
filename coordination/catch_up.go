// Catching up: how a backup is made ready for an epoch. One whose log stands at the very place
// of the proposer's needs nothing; one that is behind by few entries gets these; any other
// gets the whole state, and the chunks that it lacks before that.

package coordination

import (
	"bytes"
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// A message that readies a backup may take catchUpWait, and longer by its size: slowLinkRate bytes a
// second are what a link of 10 Mbit/s carries besides other traffic.
const (
	catchUpWait  = 2 * time.Second
	slowLinkRate = 250_000
)

// sendTime is how long the sending of so many bytes to a replica may take.
func sendTime(bytes int) time.Duration {
	return catchUpWait + time.Duration(bytes)*time.Second/slowLinkRate
}

// stateAtSeq is a proposer's state at one place in the log. The whole of it is packed only if
// some backup needs it.
type stateAtSeq struct {
	core   *Core
	locked bool // the caller holds dataMu
	state  *replicatedState
	seq    ids.Seq
	digest []byte
	body   []byte
	chunks []Chunk
}

// captureState notes the state as of now. Nothing changes it from here on but a newer epoch.
func (c *Core) captureState(locked bool) *stateAtSeq {
	if !locked {
		c.dataMu.Lock()
		defer c.dataMu.Unlock()
	}
	return &stateAtSeq{core: c, locked: locked, state: c.state, seq: c.state.seq, digest: c.state.digest}
}

// withState runs a function on the state, unless that has changed.
func (s *stateAtSeq) withState(f func()) error {
	if !s.locked {
		s.core.dataMu.Lock()
		defer s.core.dataMu.Unlock()
	}
	if s.core.state != s.state || s.state.seq != s.seq {
		return failure.New(failure.Stale, "copy state", s.core.self.Addr, "the state has changed meanwhile")
	}
	f()
	return nil
}

// entriesAfter gives the entries that a replica at this place lacks.
func (s *stateAtSeq) entriesAfter(seq ids.Seq, digest []byte) (entries []Entry, ok bool) {
	err := s.withState(func() { entries, ok = s.state.history.after(seq, digest) })
	return entries, ok && err == nil
}

// full gives all of the state.
func (s *stateAtSeq) full() ([]byte, []Chunk, error) {
	if s.body != nil {
		return s.body, s.chunks, nil
	}
	err := s.withState(func() { s.body, s.chunks = MustMarshal(s.state.snapshot(false)), chunksOf(s.state.machine) })
	return s.body, s.chunks, err
}

// catchUp makes a backup-to-be ready for an epoch.
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
	body, all, err := state.full()
	if err != nil {
		return err
	}
	return c.sendSnapshot(ctx, e, to, body, all)
}

// sendSnapshot sends the whole state, and first the chunks that the other lacks.
func (c *Core) sendSnapshot(ctx context.Context, e ids.Epoch, to Replica, body []byte, all []Chunk) error {
	c.snapshotsSent.Add(1)
	c.options.Ring.Info().Str("peer", to.Addr).Int("bytes", len(body)).Msg("sending snapshot")
	request := &SnapshotRequest{Epoch: e, From: c.self, State: body}
	r, err := c.sendCatchUp(ctx, to, request)
	if err == nil && len(r.MissingChunks) > 0 {
		if err = c.sendChunks(ctx, e, to, r.MissingChunks, all); err == nil {
			r, err = c.sendCatchUp(ctx, to, request)
		}
	}
	return refusalError(r, err, to)
}

func (c *Core) sendCatchUp(ctx context.Context, to Replica, request *SnapshotRequest) (*AppendResponse, error) {
	ctx, stop := context.WithTimeout(ctx, sendTime(request.Msgsize()))
	defer stop()
	return rpc.Call[SnapshotRequest, AppendResponse](ctx, c.caller, c.directory.Addr(to), snapshotMethod, request)
}

// refusalError makes a refusal an error.
func refusalError(r *AppendResponse, err error, by Replica) error {
	if err == nil && !r.OK {
		return failure.New(failure.Stale, "send snapshot", by.Addr, "refused, promised %d", r.Promised)
	}
	return err
}

// handleSnapshot readies this core as a backup, synced. Only the one that this register has promised
// the epoch to may ask for that.
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

// appendMissing takes the entries that this core lacks, if it stands right before them.
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

// consecutive tells whether entries bear the numbers that come after seq.
func consecutive(entries []Entry, seq ids.Seq) bool {
	for i := range entries {
		if entries[i].Seq != seq+1+ids.Seq(i) {
			return false
		}
	}
	return true
}

// applyAll applies entries that are on disk already; the data is read again from there
// before it is used if one cannot be applied.
func (c *Core) applyAll(entries []Entry) error {
	for i := range entries {
		if _, err := c.state.apply(&entries[i]); err != nil {
			c.reloadNeeded = true
			return err
		}
	}
	return nil
}

// restore replaces all data with the proposer's.
func (c *Core) restore(request *SnapshotRequest, promised ids.Epoch) (*AppendResponse, error) {
	var snapshot Snapshot
	if _, err := snapshot.UnmarshalMsg(request.State); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read snapshot", request.From.Addr)
	}
	near := chunksOf(c.state.machine)
	known := map[string]bool{}
	for _, one := range near {
		known[one.Name] = true
	}
	var lacks []string
	for _, n := range snapshot.Chunks {
		if !known[n] && !c.store.hasChunk(n) {
			lacks = append(lacks, n)
		}
	}
	if len(lacks) > 0 {
		return &AppendResponse{Promised: promised, MissingChunks: lacks}, nil
	}
	fresh := newReplicatedState(c.options.Machine())
	if err := c.store.restore(fresh, &snapshot, near); err != nil {
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
