// When a worker should change its part. A program may wish for it; whether a worker
// may turn at all (dwell, the last of a part or of its weights, a second zone) was
// decided before, and only those that may can be named.

package routing

import (
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// Turner is a worker of a pool as a program sees it.
type Turner struct {
	ID   ids.WorkerID
	Zone ids.Zone
	Part ids.Part
	Home ids.Part // the part that the catalogue gives it
	Busy int      // starts booked or under way
	Work int      // of these, begun at the worker
	Cap  int
	Free int
	Room int
	May  bool // it may turn now
}

// Pool is all workers of one model. Press, from 0 to 1, is how much of a part's
// starts or room is in use, smoothed over seconds; what is only booked, and waits
// for another worker, does not count.
type Pool struct {
	Model   string
	Press   map[ids.Part]float64
	Workers []Turner
	Since   time.Duration // since the pool's last turn
}

// Wish is for a worker to change to a part.
type Wish struct {
	Worker ids.WorkerID
	To     ids.Part
}

// Other is the part that a worker changes from when it changes to one.
func Other(p ids.Part) ids.Part {
	if p == ids.Prefill {
		return ids.Decode
	}
	return ids.Prefill
}

const (
	pressed = 0.35 // a part is hard pressed above this
	apart   = 2.0  // and so many times more than the other would then be
)

// Turn of the built-in program: a hard pressed part gets the least busy worker of
// the other, if that one is not pressed too, without it.
func (Plain) Turn(p *Pool) (Wish, bool, error) {
	count := map[ids.Part]int{}
	for _, w := range p.Workers {
		count[w.Part]++
	}
	for _, to := range []ids.Part{ids.Prefill, ids.Decode} {
		from := Other(to)
		rest := p.Press[from] * float64(count[from]) / float64(max(count[from]-1, 1))
		if p.Press[to] <= pressed || p.Press[to] <= apart*rest {
			continue
		}
		if w, ok := Idlest(p, to, func(Turner) bool { return true }); ok {
			return w, true, nil
		}
	}
	return Wish{}, false, nil
}

// Idlest names the least busy worker that may change to a part, one that comes home
// by it before others.
func Idlest(p *Pool, to ids.Part, counts func(Turner) bool) (Wish, bool) {
	var best *Turner
	for i, w := range p.Workers {
		if w.Part == to || !w.May || !counts(w) {
			continue
		}
		if best == nil || w.Busy < best.Busy || w.Busy == best.Busy && w.Home == to && best.Home != to {
			best = &p.Workers[i]
		}
	}
	if best == nil {
		return Wish{}, false
	}
	return Wish{best.ID, to}, true
}

// clearWish holds a program's wish against those that may turn.
func clearWish(p *Pool, w Wish) error {
	for _, t := range p.Workers {
		if t.ID == w.Worker && t.May && t.Part == Other(w.To) {
			return nil
		}
	}
	return failure.New(failure.Bad, "turn worker", string(w.Worker), "the program names a worker that may not turn to %q", w.To)
}

// Turn asks the program in charge, else the built-in one.
func (d *Deck) Turn(p *Pool) (Wish, bool) {
	out, ok, _ := Plain{}.Turn(p)
	out, ok, _ = d.Wish(p, out, ok)
	return out, ok
}

// Wish asks the program in charge; where there is none, or it fails, what the built-in
// one gave stays, and it is not ruled. The others that have a turning part are only
// counted.
func (d *Deck) Wish(p *Pool, out Wish, ok bool) (_ Wish, is, ruled bool) {
	type said struct {
		score *Score
		wish  Wish
		ok    bool
	}
	var others []said
	for _, s := range d.slots {
		if !s.prog.Turns() {
			continue
		}
		w, is, err := s.prog.Turn(p)
		if err == nil && is {
			err = clearWish(p, w)
		}
		score := d.scores.Of(s.name)
		score.Asked.Add(1)
		switch {
		case err != nil:
			score.Fallbacks.Add(1)
		case s.turns:
			out, ok, ruled = w, is, true
		default:
			others = append(others, said{score, w, is})
		}
		if err == nil && is {
			score.Wishes.Add(1)
		}
	}
	for _, o := range others {
		if o.ok == ok && (!ok || o.wish.To == out.To) {
			o.score.Agreed.Add(1)
		}
	}
	return out, ok, ruled
}
