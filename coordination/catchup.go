// Catching up: how a backup is made ready for an epoch. One whose log stands at the very place
// of the proposer's needs nothing; one that is behind by few entries gets these; any other
// gets the whole state, and the sheets that it lacks before that.

package coordination

import (
	"bytes"
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// A message that readies a backup may take bringWait, and longer by its size: slowLink bytes a
// second are what a link of 10 Mbit/s carries besides other traffic.
const (
	bringWait = 2 * time.Second
	slowLink  = 250_000
)

// sendTime is how long the sending of so many bytes to a replica may take.
func sendTime(bytes int) time.Duration {
	return bringWait + time.Duration(bytes)*time.Second/slowLink
}

// stateCopy is a proposer's state at one place in the log. The whole of it is packed only if
// some backup needs it.
type stateCopy struct {
	core   *Core
	locked bool // the caller holds dataMu
	state  *replicatedState
	seq    ids.Seq
	digest []byte
	body   []byte
	sheets []Sheet
}

// copyState notes the state as of now. Nothing changes it from here on but a newer epoch.
func (c *Core) copyState(locked bool) *stateCopy {
	if !locked {
		c.dataMu.Lock()
		defer c.dataMu.Unlock()
	}
	return &stateCopy{core: c, locked: locked, state: c.state, seq: c.state.seq, digest: c.state.digest}
}

// use runs a function on the state, unless that has changed.
func (s *stateCopy) use(f func()) error {
	if !s.locked {
		s.core.dataMu.Lock()
		defer s.core.dataMu.Unlock()
	}
	if s.core.state != s.state || s.state.seq != s.seq {
		return failure.New(failure.Stale, "copy state", s.core.me.Addr, "the state has changed meanwhile")
	}
	f()
	return nil
}

// after gives the entries that a replica at this place lacks.
func (s *stateCopy) after(seq ids.Seq, digest []byte) (entries []Entry, ok bool) {
	err := s.use(func() { entries, ok = s.state.history.after(seq, digest) })
	return entries, ok && err == nil
}

// whole gives all of the state.
func (s *stateCopy) whole() ([]byte, []Sheet, error) {
	if s.body != nil {
		return s.body, s.sheets, nil
	}
	err := s.use(func() { s.body, s.sheets = Pack(s.state.snapshot(false)), sheets(s.state.app) })
	return s.body, s.sheets, err
}

// bring makes a backup-to-be ready for an epoch.
func (c *Core) bring(ctx context.Context, e ids.Epoch, to Replica, state *stateCopy) error {
	ask := &SnapshotAsk{Epoch: e, From: c.me, Seq: state.seq, Digest: state.digest}
	r, err := c.sendState(ctx, to, ask)
	if err == nil && r.Behind {
		if entries, ok := state.after(r.Last, r.Digest); ok {
			ask.Entries = entries
			r, err = c.sendState(ctx, to, ask)
		}
	}
	if err == nil && !r.Behind || err != nil && !failure.Is(err, failure.Bad) {
		return refused(r, err, to)
	}
	body, all, err := state.whole()
	if err != nil {
		return err
	}
	return c.bringWhole(ctx, e, to, body, all)
}

// bringWhole sends the whole state, and first the sheets that the other lacks.
func (c *Core) bringWhole(ctx context.Context, e ids.Epoch, to Replica, body []byte, all []Sheet) error {
	c.copies.Add(1)
	c.opt.Ring.Info().Str("to", to.Addr).Int("bytes", len(body)).Msg("sends its whole state")
	ask := &SnapshotAsk{Epoch: e, From: c.me, Body: body}
	r, err := c.sendState(ctx, to, ask)
	if err == nil && len(r.Lacks) > 0 {
		if err = c.lend(ctx, e, to, r.Lacks, all); err == nil {
			r, err = c.sendState(ctx, to, ask)
		}
	}
	return refused(r, err, to)
}

func (c *Core) sendState(ctx context.Context, to Replica, ask *SnapshotAsk) (*AppendReply, error) {
	ctx, stop := context.WithTimeout(ctx, sendTime(ask.Msgsize()))
	defer stop()
	return rpc.Call[SnapshotAsk, AppendReply](ctx, c.call, c.directory.Addr(to), "crux/picture", ask)
}

// refused makes a refusal an error.
func refused(r *AppendReply, err error, by Replica) error {
	if err == nil && !r.Ok {
		return failure.New(failure.Stale, "send picture", by.Addr, "refused, promised %d", r.Promised)
	}
	return err
}

// snapshot readies this core as a backup, synced. Only the one that this register has promised
// the epoch to may ask for that.
func (c *Core) snapshot(_ context.Context, q *SnapshotAsk) (*AppendReply, error) {
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	c.regMu.Lock()
	reg := c.reg
	c.regMu.Unlock()
	if reg.Promised != q.Epoch || reg.Accepted.Epoch >= q.Epoch || c.Leads() || reg.PromisedTo != "" && reg.PromisedTo != q.From.Disk && q.Epoch > firstEpoch {
		return &AppendReply{Promised: reg.Promised}, nil
	}
	if len(q.Body) == 0 && q.Digest != nil {
		return c.followOn(q)
	}
	return c.restore(q, reg.Promised)
}

// followOn takes the entries that this core lacks, if it stands right before them.
func (c *Core) followOn(q *SnapshotAsk) (*AppendReply, error) {
	if c.mustReload {
		return &AppendReply{Promised: q.Epoch, Behind: true}, nil
	}
	if len(q.Entries) > 0 && follow(q.Entries, c.state.seq) {
		if err := c.store.append(q.Entries); err != nil {
			c.mustReload = true
			return nil, err
		}
		if err := c.applyAll(q.Entries); err != nil {
			return nil, failure.Wrap(err, "apply entry", q.From.Addr)
		}
	}
	if c.state.seq != q.Seq || !bytes.Equal(c.state.digest, q.Digest) {
		return &AppendReply{Promised: q.Epoch, Behind: true, Last: c.state.seq, Digest: c.state.digest}, nil
	}
	c.ready.Store(uint64(q.Epoch))
	return &AppendReply{Ok: true, Last: c.state.seq, Promised: q.Epoch}, nil
}

// follow tells whether entries bear the numbers that come after seq.
func follow(entries []Entry, seq ids.Seq) bool {
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
			c.mustReload = true
			return err
		}
	}
	return nil
}

// restore replaces all data with the proposer's.
func (c *Core) restore(q *SnapshotAsk, promised ids.Epoch) (*AppendReply, error) {
	var img Image
	if _, err := img.UnmarshalMsg(q.Body); err != nil {
		return nil, failure.As(err, failure.Bad, "read picture", q.From.Addr)
	}
	near := sheets(c.state.app)
	known := map[string]bool{}
	for _, one := range near {
		known[one.Name] = true
	}
	var lacks []string
	for _, n := range img.Sheets {
		if !known[n] && !c.store.hasSheet(n) {
			lacks = append(lacks, n)
		}
	}
	if len(lacks) > 0 {
		return &AppendReply{Promised: promised, Lacks: lacks}, nil
	}
	fresh := newReplicatedState(c.opt.Machine())
	if err := c.store.restore(fresh, &img, near); err != nil {
		return nil, err
	}
	if err := c.store.reset(&img, sheets(fresh.app)); err != nil {
		c.mustReload = true
		return nil, err
	}
	c.state, c.mustReload = fresh, false
	c.ready.Store(uint64(q.Epoch))
	return &AppendReply{Ok: true, Last: img.Seq, Promised: promised}, nil
}
