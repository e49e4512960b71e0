// A line of versions: prepared one over the other, and put in force in their order. The
// configuration is one, the program sets are another.

package fleetstate

import (
	"slices"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

type versionHistory struct {
	active     VersionedText
	prepared   []VersionedText
	superseded supersededVersions
}

// all are the version in force and those that are prepared, oldest first.
func (l *versionHistory) all() []VersionedText {
	return append([]VersionedText{l.active}, l.prepared...)
}

func (l *versionHistory) latest() VersionedText {
	if n := len(l.prepared); n > 0 {
		return l.prepared[n-1]
	}
	return l.active
}

// compress makes the texts short, once, for a snapshot.
func (l *versionHistory) compress() {
	l.active.Text = compress(l.active.Text)
	for i := range l.prepared {
		l.prepared[i].Text = compress(l.prepared[i].Text)
	}
}

func (l *versionHistory) newest() ids.Version { return l.latest().Version }

func (l *versionHistory) prepare(c *PrepareVersion) (msgp.Marshaler, error) {
	if err := l.checkBaseVersion(c.Base); err != nil {
		return nil, err
	}
	v := l.newest() + 1
	if c.Next != 0 && c.Next < v {
		return nil, failure.New(
			failure.InvalidArgument,
			"apply policy",
			"",
			"version %d is not above the current one, %d",
			c.Next,
			l.newest(),
		)
	}
	v = max(v, c.Next)
	text := c.Text
	if c.Delta {
		var d Delta
		if _, err := d.UnmarshalMsg(c.Text); err != nil {
			return nil, failure.As(err, failure.InvalidArgument, "apply delta", "")
		}
		var err error
		if text, err = d.patch(decompress(l.latest().Text)); err != nil {
			return nil, err
		}
	}
	l.superseded.push(c.Base)
	l.prepared = append(l.prepared, VersionedText{v, text})
	return &VersionReply{v}, nil
}

func (l *versionHistory) commit(v ids.Version) (VersionedText, error) {
	for i, r := range l.prepared {
		if r.Version == v {
			l.active, l.prepared = r, slices.Clone(l.prepared[i+1:])
			return r, nil
		}
	}
	return VersionedText{}, failure.New(failure.Stale, "commit", "", "version %d is not prepared", v)
}

func (c *PrepareVersion) apply(s *State) (msgp.Marshaler, error) { return s.prepare(c) }

func (c *CommitVersion) apply(s *State) (msgp.Marshaler, error) {
	r, err := s.commit(c.Version)
	if err == nil {
		s.activate(r)
	}
	return &VersionReply{c.Version}, err
}
