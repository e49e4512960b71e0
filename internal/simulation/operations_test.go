// What operators do to a fleet, written down as they are told of it: whole texts of
// configurations that were acknowledged or refused, and zones from the moment at
// which their emptying was asked for.

package simulation

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
)

// latestShown gives the newest that any node has in force, once nothing newer is on its way
// there.
func latestShown(c *Cluster) *api.Shown {
	state := &api.Shown{}
	c.WaitUntil(3*time.Second, func() bool {
		for _, p := range running(c, "router") {
			if s := p.Node.Show(); s.Version >= state.Version {
				state = s
			}
		}
		return state.Version > 0 && state.Version == state.Newest
	})
	return state
}

// mergedText is the whole text that a partial one over what is shown comes to.
func mergedText(state *api.Shown, part string) (string, error) {
	src, err := fleetstate.CUEToJSON("part", []byte(part))
	if err != nil {
		return "", err
	}
	text, err := fleetstate.Merge(state.Policy, src)
	if err != nil {
		return "", err
	}
	_, complete, err := fleetstate.ParseComplete("part", text)
	return string(complete), err
}

var errConflict = errors.New("another operator was first")

// applyPartial applies a partial configuration, asking again under the one operation while
// its fate is not known, and notes what it was told.
func applyPartial(c *Cluster, op, part string) error {
	state := latestShown(c)
	text, err := mergedText(state, part)
	if err != nil {
		return err
	}
	start := c.Recorder.Now()
	var got *api.ApplyResponse
	c.WaitUntil(12*time.Second, func() bool {
		got, err = c.Apply(&api.ApplyRequest{Op: op, Base: state.Version, Partial: true, Source: part})
		var r *api.Fault
		return err == nil || errors.As(err, &r) && r.Code < 500
	})
	var r *api.Fault
	switch {
	case err == nil:
	case errors.As(err, &r) && r.Code == http.StatusConflict:
		c.Recorder.RecordRefused(text)
		return errConflict
	default:
		return err
	}
	c.Recorder.RecordAck(ids.Version(got.Version), text)
	took := c.Recorder.Now() - start
	c.Recorder.RecordApplyTime(took)
	// While no node can reach the core, none can learn what it took.
	if (took > 2*time.Second+c.ApplySlack || !got.Active && c.ApplySlack == 0) && !c.Recorder.corePartitionedSince(start) {
		c.Recorder.RecordMark("slow-apply", fmt.Sprintf("version %d took %s, in force: %v", got.Version, took, got.Active))
	}
	return nil
}

// changeRetryAfter applies a small change that is told from all others.
func changeRetryAfter(c *Cluster, op string, ms int) error {
	return applyPartial(c, op, fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, ms))
}

// setEvacuated evacuates a zone or takes that back, until it is answered; the time counts
// from the asking.
func setEvacuated(c *Cluster, z ids.Zone, op string, out bool) error {
	what := "return"
	if out {
		what = "evacuate"
	}
	for _, p := range c.Of("worker") {
		if p.Zone == z {
			c.Recorder.RecordMark(what, p.Name)
		}
	}
	var err error
	c.WaitUntil(12*time.Second, func() bool {
		err = c.Mark("/v1/zones/"+string(z), op, out)
		return err == nil
	})
	return err
}

// PartitionCore cuts the core from all nodes, or joins them again.
func (c *Cluster) PartitionCore(on bool) {
	c.Recorder.RecordMark(map[bool]string{true: "apart", false: "joined"}[on], "core")
	c.World.Partition(addresses(c.Of("controller")...), addresses(c.Of("router")...), on)
}

// corePartitionedSince tells whether the core was cut from all nodes at any time since a moment.
func (r *Recorder) corePartitionedSince(since time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	on := false
	for _, m := range r.marks {
		switch m.What {
		case "apart":
			on = true
		case "joined":
			if m.At >= since {
				return true
			}
			on = false
		}
	}
	return on
}

// RecordRefused notes a text that an operator was told is not taken.
func (r *Recorder) RecordRefused(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = append(r.refused, text)
}

// RecordActive notes what a node has in force.
func (r *Recorder) RecordActive(node string, v ids.Version, text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[v] == nil {
		r.active[v] = map[string]string{}
	}
	if _, ok := r.active[v][string(text)]; !ok {
		r.active[v][string(text)] = node
	}
}

// checkConfigurations holds what was acknowledged and refused against all that was ever in force
// anywhere: one text for a version, each acknowledged one with its own text, none
// that was refused; and at the end every node has the newest.
func (c *Cluster) checkConfigurations() []Violation {
	f := &violationList{}
	c.Recorder.mu.Lock()
	acks, marks := c.Recorder.acks, c.Recorder.marks
	taken := map[string]bool{}
	var last ids.Version
	for _, a := range acks {
		taken[a.Text] = true
		last = max(last, a.Version)
		for text, node := range c.Recorder.active[a.Version] {
			if text != a.Text {
				f.add(ConfigurationLost, "version %d was acknowledged, but %s had another text in force", a.Version, node)
			}
		}
	}
	for v, texts := range c.Recorder.active {
		if len(texts) > 1 {
			f.add(ConfigurationLost, "version %d had %d texts", v, len(texts))
		}
		for _, no := range c.Recorder.refused {
			if node, ok := texts[no]; ok && !taken[no] {
				f.add(ConfigurationLost, "%s had version %d in force, whose text was refused", node, v)
			}
		}
	}
	c.Recorder.mu.Unlock()
	for _, p := range c.Of("router") {
		if p.Up && !c.WaitUntil(5*time.Second, func() bool { return ids.Version(p.Node.Show().Version) >= last }) {
			f.add(ConfigurationLost, "%s has version %d, version %d was acknowledged", p.Name, p.Node.Show().Version, last)
		}
	}
	for _, m := range marks {
		if m.What == "slow-apply" {
			f.add(ConfigurationSlow, "%s", m.Name)
		}
	}
	return f.found
}

// marshalPartial writes a partial configuration.
func marshalPartial(v map[string]any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(text)
}
