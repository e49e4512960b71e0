// A line of versions: staged one over the other, and put in force in their order. The
// configuration is one, the program sets are another.

package fleetstate

import (
	"slices"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

type line struct {
	active     Ruled
	staged     []Ruled
	superseded supersededVersions
}

// all are the version in force and those that are staged, oldest first.
func (l *line) all() []Ruled { return append([]Ruled{l.active}, l.staged...) }

func (l *line) top() Ruled {
	if n := len(l.staged); n > 0 {
		return l.staged[n-1]
	}
	return l.active
}

// pack makes the texts short, once, for a picture.
func (l *line) pack() {
	l.active.Text = pack(l.active.Text)
	for i := range l.staged {
		l.staged[i].Text = pack(l.staged[i].Text)
	}
}

func (l *line) newest() ids.Version { return l.top().Version }

func (l *line) stage(c *Stage) (msgp.Marshaler, error) {
	if err := l.checkBase(c.Base); err != nil {
		return nil, err
	}
	v := l.newest() + 1
	if c.Next != 0 && c.Next < v {
		return nil, failure.New(failure.InvalidArgument, "apply policy", "", "version %d is not above the current one, %d", c.Next, l.newest())
	}
	v = max(v, c.Next)
	text := c.Text
	if c.Delta {
		var d Delta
		if _, err := d.UnmarshalMsg(c.Text); err != nil {
			return nil, failure.As(err, failure.InvalidArgument, "apply delta", "")
		}
		var err error
		if text, err = d.patch(unpack(l.top().Text)); err != nil {
			return nil, err
		}
	}
	l.superseded.push(c.Base)
	l.staged = append(l.staged, Ruled{v, text})
	return &Ruling{v}, nil
}

func (l *line) activate(v ids.Version) (Ruled, error) {
	for i, r := range l.staged {
		if r.Version == v {
			l.active, l.staged = r, slices.Clone(l.staged[i+1:])
			return r, nil
		}
	}
	return Ruled{}, failure.New(failure.Stale, "activate", "", "version %d is not staged", v)
}
