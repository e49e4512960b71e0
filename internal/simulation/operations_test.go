// Operators' changes to a fleet, recorded with the responses: the complete texts of configurations
// that were acknowledged or refused, and evacuations from the time at which they were requested.

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

// latestShown returns the newest configuration that is in force at any router. It waits up to 3 s
// until that router knows of no newer version.
func latestShown(c *Cluster) *api.ActivePolicy {
	state := &api.ActivePolicy{}
	c.WaitUntil(3*time.Second, func() bool {
		for _, p := range running(c, "router") {
			if s := p.Node.CurrentPolicy(); s.Version >= state.Version {
				state = s
			}
		}
		return state.Version > 0 && state.Version == state.Newest
	})
	return state
}

// mergedText returns the complete text that results from merging a partial one into the shown policy.
func mergedText(state *api.ActivePolicy, part string) (string, error) {
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

var errConflict = errors.New("another operator's change was applied first")

// applyPartial applies a partial configuration and records the response. It retries under the same
// operation ID while the outcome is unknown.
func applyPartial(c *Cluster, op, part string) error {
	state := latestShown(c)
	text, err := mergedText(state, part)
	if err != nil {
		return err
	}
	start := c.Recorder.Now()
	var got *api.ApplyResponse
	c.WaitUntil(12*time.Second, func() bool {
		got, err = c.Apply(&api.ApplyRequest{Op: op, BaseVersion: state.Version, Partial: true, Source: part})
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
	// While the core is partitioned from all routers, none of them can receive the version.
	if (took > 2*time.Second+c.ApplySlack || !got.Active && c.ApplySlack == 0) && !c.Recorder.corePartitionedSince(start) {
		c.Recorder.RecordMark(
			"slow-apply", fmt.Sprintf("version %d took %s, in force: %v", got.Version, took, got.Active),
		)
	}
	return nil
}

// changeRetryAfter sets the clients' retry delay. Callers pass a value that no other change uses.
func changeRetryAfter(c *Cluster, op string, ms int) error {
	return applyPartial(c, op, fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, ms))
}

// setEvacuated evacuates or restores a zone, and retries until that is acknowledged. The recorded
// time is that of the first request.
func setEvacuated(c *Cluster, z ids.Zone, op string, evacuated bool) error {
	what := "return"
	if evacuated {
		what = "evacuate"
	}
	for _, p := range c.Of("worker") {
		if p.Zone == z {
			c.Recorder.RecordMark(what, p.Name)
		}
	}
	var err error
	c.WaitUntil(12*time.Second, func() bool {
		err = c.Mark("/v1/zones/"+string(z), op, evacuated)
		return err == nil
	})
	return err
}

// PartitionCore partitions the core from all routers, or removes the partition.
func (c *Cluster) PartitionCore(on bool) {
	c.Recorder.RecordMark(map[bool]string{true: "partition", false: "heal"}[on], "core")
	c.World.Partition(addresses(c.Of("controller")...), addresses(c.Of("router")...), on)
}

// corePartitionedSince reports whether the core was partitioned from all routers at any time since then.
func (r *Recorder) corePartitionedSince(since time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	on := false
	for _, m := range r.marks {
		switch m.What {
		case "partition":
			on = true
		case "heal":
			if m.At >= since {
				return true
			}
			on = false
		}
	}
	return on
}

// RecordRefused records a configuration that was refused to an operator.
func (r *Recorder) RecordRefused(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = append(r.refused, text)
}

// RecordActive records the configuration that is in force at a router.
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

// checkConfigurations compares the acknowledged and refused configurations with all that were in
// force at any router. A version has a single text, which is the acknowledged one if there is one; a
// refused text is never in force unless it was also acknowledged; and within 5 s every running router
// has the newest acknowledged version.
func (c *Cluster) checkConfigurations() []Violation {
	f := &violationList{}
	c.Recorder.mu.Lock()
	acks, marks := c.Recorder.acks, c.Recorder.marks
	accepted := map[string]bool{}
	var last ids.Version
	for _, a := range acks {
		accepted[a.Text] = true
		last = max(last, a.Version)
		for text, node := range c.Recorder.active[a.Version] {
			if text != a.Text {
				f.add(ConfigurationLost, "version %d was acknowledged, but %s had a different text in force", a.Version, node)
			}
		}
	}
	for v, texts := range c.Recorder.active {
		if len(texts) > 1 {
			f.add(ConfigurationLost, "version %d had %d different texts", v, len(texts))
		}
		for _, refused := range c.Recorder.refused {
			if node, ok := texts[refused]; ok && !accepted[refused] {
				f.add(ConfigurationLost, "%s had version %d in force, but its text was refused", node, v)
			}
		}
	}
	c.Recorder.mu.Unlock()
	for _, p := range c.Of("router") {
		if p.Up && !c.WaitUntil(5*time.Second, func() bool { return ids.Version(p.Node.CurrentPolicy().Version) >= last }) {
			f.add(ConfigurationLost, "%s has version %d, but version %d was acknowledged", p.Name, p.Node.CurrentPolicy().Version, last)
		}
	}
	for _, m := range marks {
		if m.What == "slow-apply" {
			f.add(ConfigurationSlow, "%s", m.Name)
		}
	}
	return f.found
}

// marshalPartial encodes a partial configuration.
func marshalPartial(v map[string]any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(text)
}
