// Founding anew: what an operator may order when two of three register holders are
// lost for good. One disk that carries the data goes on, with two empty machines, in
// an epoch far above all that were. It is refused where it could harm: while another
// holder is heard, on a disk that is behind, or on one that carries no data.

package coordination

import (
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
)

const (
	anewListen = 6 * time.Second // for holders that may live after all
	anewWait   = 2 * time.Minute // for two empty machines
	anewJump   = 1_000_000       // over epochs, fences and numbers that this disk may not know
)

func (c *Core) anew(ctx context.Context) error {
	rec, _ := c.accepted()
	switch {
	case rec.Founding == "":
		return c.notAnew("this disk belongs to no fleet")
	case !c.named(rec):
		return c.notAnew("this disk holds a register and no data; one of %s and %s has it", rec.Primary.Addr, rec.Backup.Addr)
	}
	spare, err := c.listen(ctx, rec)
	if err != nil {
		return err
	}
	seq, img, shelf, err := c.jump()
	if err != nil {
		return err
	}
	next := rec
	next.Epoch += anewJump
	next.Before = nil
	next.Primary, next.Holders = c.me, append([]Replica{c.me}, spare...)
	next.follow(spare[:rec.losses()])
	if !c.begin(ctx, next, Pack(img), shelf) {
		return c.notAnew("the empty machines at %s and %s did not agree; order it again", spare[0].Addr, spare[1].Addr)
	}
	c.opt.Ring.Warn().Uint64("epoch", uint64(next.Epoch)).Uint64("seq", uint64(seq)).
		Msg("founded anew from this disk alone; what was acknowledged after this number, if anything, is lost")
	return nil
}

func (c *Core) notAnew(form string, args ...any) error {
	return failure.New(failure.Bad, "found anew", c.me.Addr, form, args...)
}

// listen waits for empty machines, as many as are needed, and for holders that may live after
// all: then the founding is refused.
func (c *Core) listen(ctx context.Context, rec Record) ([]Replica, error) {
	need := 2 * rec.losses()
	from := c.opt.Host.Clock.Now()
	for now := from; ; now = c.opt.Host.Clock.Now() {
		c.directory.Ask(ctx, 8)
		if f := c.directory.Foreign(); f != "" {
			return nil, c.notAnew("the seeds lead to another fleet, %s", f)
		}
		if known := c.directory.Record(); known.Epoch > rec.Epoch {
			return nil, c.notAnew("this disk is behind: it knows epoch %d, others know %d with the data at %s and %s", rec.Epoch, known.Epoch, known.Primary.Addr, known.Backup.Addr)
		}
		all, _ := c.directory.heard(2 * time.Second)
		for _, s := range all {
			if holds(rec.Holders, s.Disk) {
				return nil, c.notAnew("the holder at %s lives; the core will be back when two of three are", s.Addr)
			}
		}
		if now.Past(from, anewListen) && len(all) >= need {
			return all[:need], nil
		}
		if now.Past(from, anewWait) {
			return nil, c.notAnew("%d empty machines were met, %d are needed", len(all), need)
		}
		if !host.Sleep(ctx, 200*time.Millisecond) {
			return nil, ctx.Err()
		}
	}
}

// jump puts fences and numbers above all that others may have seen, on disk. It gives the
// number that this disk had reached.
func (c *Core) jump() (ids.Seq, *Image, []Sheet, error) {
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	seq := c.state.seq
	c.state.fence += anewJump
	c.state.seq += anewJump
	// Who holds what may have changed beyond this disk's knowledge: all is dealt anew.
	c.state.grants = map[ids.Key]Grant{}
	c.state.digest, c.state.history = stateDigest(c.state.seq, []byte(Name())), history{}
	img, shelf := c.state.snapshot(false), sheets(c.state.app)
	return seq, img, shelf, c.store.reset(img, shelf)
}

// begin makes a first record with those who hold nothing yet: all promise, the
// backup takes the snapshot, and the backup accepts first.
func (c *Core) begin(ctx context.Context, rec Record, body []byte, shelf []Sheet) bool {
	ask := &BallotAsk{Epoch: rec.Epoch, From: c.me, Record: rec}
	if _, yes := c.poll(ctx, ask, rec.Holders, nil); len(yes) < len(rec.Holders) {
		if _, promised := c.accepted(); promised != rec.Epoch {
			return false
		}
	}
	order := rec.backups()
	for _, s := range order {
		if c.bringWhole(ctx, rec.Epoch, s, body, shelf) != nil {
			return false
		}
	}
	ask.Accept = true
	for _, s := range rec.Holders {
		if rec.rank(s.Disk) < 0 && s.Disk != c.me.Disk {
			order = append(order, s)
		}
	}
	for _, s := range append(order, c.me) {
		if _, yes := c.poll(ctx, ask, []Replica{s}, nil); len(yes) < 1 {
			return false
		}
	}
	return true
}
