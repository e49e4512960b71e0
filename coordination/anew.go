// Founding anew: what an operator may order when two of three register holders are
// lost for good. One disk that carries the data goes on, with two empty machines, in
// an epoch far above all that were. It is refused where it could harm: while another
// holder is heard, on a disk that is behind, or on one that carries no data.

package coordination

import (
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/seam"
)

const (
	anewListen = 6 * time.Second // for holders that may live after all
	anewWait   = 2 * time.Minute // for two empty machines
	anewJump   = 1_000_000       // over epochs, fences and numbers that this disk may not know
)

func (c *Core) anew(ctx context.Context) error {
	no := func(form string, args ...any) error {
		return failure.New(failure.Bad, "found anew", c.me.Addr, form, args...)
	}
	rec, _ := c.accepted()
	switch {
	case rec.Founding == "":
		return no("this disk belongs to no fleet")
	case !c.named(rec):
		return no("this disk holds a register and no data; one of %s and %s has it", rec.Primary.Addr, rec.Backup.Addr)
	}
	from := c.opt.Host.Clock.Now()
	var spare []Seat
	for now := from; ; now = c.opt.Host.Clock.Now() {
		c.book.Ask(ctx, 8)
		if f := c.book.Foreign(); f != "" {
			return no("the seeds lead to another fleet, %s", f)
		}
		if known := c.book.Record(); known.Epoch > rec.Epoch {
			return no("this disk is behind: it knows epoch %d, others know %d with the data at %s and %s", rec.Epoch, known.Epoch, known.Primary.Addr, known.Backup.Addr)
		}
		all, _ := c.book.heard(2 * time.Second)
		for _, s := range all {
			if holds(rec.Holders, s.Disk) {
				return no("the holder at %s lives; the core will be back when two of three are", s.Addr)
			}
		}
		need := 2 * rec.losses()
		if now.Past(from, anewListen) && len(all) >= need {
			spare = all[:need]
			break
		}
		if now.Past(from, anewWait) {
			return no("%d empty machines were met, %d are needed", len(all), need)
		}
		if !seam.Sleep(ctx, 200*time.Millisecond) {
			return ctx.Err()
		}
	}
	c.dataMu.Lock()
	seq := c.roll.seq
	c.roll.fence += anewJump
	c.roll.seq += anewJump
	// Who holds what may have changed beyond this disk's knowledge: all is dealt anew.
	c.roll.grants = map[ids.Key]Grant{}
	c.roll.digest, c.roll.history = stateDigest(c.roll.seq, []byte(Name())), history{}
	img, shelf := c.roll.picture(false), sheets(c.roll.app)
	err := c.store.reset(img, shelf)
	c.dataMu.Unlock()
	if err != nil {
		return err
	}
	next := rec
	next.Epoch += anewJump
	next.Before = nil
	next.Primary, next.Holders = c.me, append([]Seat{c.me}, spare...)
	next.follow(spare[:rec.losses()])
	if !c.begin(ctx, next, Pack(img), shelf) {
		return no("the empty machines at %s and %s did not agree; order it again", spare[0].Addr, spare[1].Addr)
	}
	c.opt.Ring.Warn().Uint64("epoch", uint64(next.Epoch)).Uint64("seq", uint64(seq)).
		Msg("founded anew from this disk alone; what was acknowledged after this number, if anything, is lost")
	return nil
}

// begin makes a first record with those who hold nothing yet: all promise, the
// backup takes the picture, and the backup accepts first.
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
		if _, yes := c.poll(ctx, ask, []Seat{s}, nil); len(yes) < 1 {
			return false
		}
	}
	return true
}
