// This file keeps version histories. Each version is prepared on top of the latest one, and versions
// become active in order. The configuration and the program sets each have a history.

package fleetstate

import (
	"slices"

	"github.com/tinylib/msgp/msgp"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// versionHistory holds the active version, the prepared versions that follow it, and the numbers of
// superseded versions.
type versionHistory struct {
	active     VersionedText
	prepared   []VersionedText
	superseded supersededVersions
}

// versions returns the active version and the prepared ones, oldest first.
func (l *versionHistory) versions() []VersionedText {
	return append([]VersionedText{l.active}, l.prepared...)
}

// latest returns the newest prepared version, or the active one if none is prepared.
func (l *versionHistory) latest() VersionedText {
	if n := len(l.prepared); n > 0 {
		return l.prepared[n-1]
	}
	return l.active
}

// compress compresses the texts for a snapshot. Texts that are already compressed stay as they are.
func (l *versionHistory) compress() {
	l.active.Text = compress(l.active.Text)
	for i := range l.prepared {
		l.prepared[i].Text = compress(l.prepared[i].Text)
	}
}

func (l *versionHistory) newest() ids.Version { return l.latest().Version }

// prepare adds the next version. If the command carries a delta, it is applied to the latest text.
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

// commit activates a prepared version and drops the versions before it.
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
