// Helpers that change a fleet as an operator does and record the requests and responses, that partition the
// controllers from the routers, and that check the recorded configurations.

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

// newestActivePolicy returns the newest configuration that is active on any running router. It waits up to 3 s
// until that router knows of no newer version, and then returns the newest one found, even if there is none
// and its version is 0.
func newestActivePolicy(c *Cluster) *api.ActivePolicy {
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

// mergedText returns the complete text that results from merging a partial one into the active policy.
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

// applyPartial applies a partial configuration and records whether it was acknowledged or refused because of a
// conflict. It retries under the same operation ID for up to 12 s while the outcome is unknown.
func applyPartial(c *Cluster, op, part string) error {
	state := newestActivePolicy(c)
	text, err := mergedText(state, part)
	if err != nil {
		return err
	}
	start := c.Recorder.Now()
	var got *api.ApplyResponse
	c.WaitUntil(12*time.Second, func() bool {
		got, err = c.Apply(&api.ApplyRequest{Op: op, BaseVersion: state.Version, Partial: true, Source: part})
		var fault *api.Fault
		return err == nil || errors.As(err, &fault) && fault.Code < 500
	})
	var fault *api.Fault
	switch {
	case err == nil:
	case errors.As(err, &fault) && fault.Code == http.StatusConflict:
		c.Recorder.RecordRefused(text)
		return errConflict
	default:
		return err
	}
	c.Recorder.RecordAck(ids.Version(got.Version), text)
	took := c.Recorder.Now() - start
	c.Recorder.RecordApplyTime(took)
	// An apply is slow if it took more than 2 s and ApplySlack, or, without ApplySlack, if the version isn't active
	// in the response. While the controllers are partitioned from all routers, no router can receive the version.
	if (took > 2*time.Second+c.ApplySlack || !got.Active && c.ApplySlack == 0) &&
		!c.Recorder.controllersPartitionedSince(start) {
		c.Recorder.RecordScriptEvent(
			"slow-apply", fmt.Sprintf("version %d took %s, active: %v", got.Version, took, got.Active),
		)
	}
	return nil
}

// changeRetryAfter sets the clients' retry delay. Callers pass a value that no other change uses.
func changeRetryAfter(c *Cluster, op string, ms int) error {
	return applyPartial(c, op, fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, ms))
}

// setEvacuated evacuates or restores a zone, and retries for up to 12 s until a request is acknowledged. It
// records the event for each worker of the zone before the first request.
func setEvacuated(c *Cluster, z ids.Zone, op string, evacuated bool) error {
	kind := "return"
	if evacuated {
		kind = "evacuate"
	}
	for _, p := range c.ProcessesOf("worker") {
		if p.Zone == z {
			c.Recorder.RecordScriptEvent(kind, p.Name)
		}
	}
	var err error
	c.WaitUntil(12*time.Second, func() bool {
		err = c.SetDrained("/v1/zones/"+string(z), op, evacuated)
		return err == nil
	})
	return err
}

// PartitionControllers partitions the controllers from all routers, or removes the partition if on is false.
func (c *Cluster) PartitionControllers(on bool) {
	c.Recorder.RecordScriptEvent(map[bool]string{true: "partition", false: "heal"}[on], "controllers")
	c.World.Partition(addresses(c.ProcessesOf("controller")...), addresses(c.ProcessesOf("router")...), on)
}

// controllersPartitionedSince reports whether the controllers were partitioned from all routers at any time
// after since.
func (r *Recorder) controllersPartitionedSince(since time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	on := false
	for _, m := range r.scriptEvents {
		switch m.Kind {
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

// RecordRefused records the complete text of a configuration that was rejected.
func (r *Recorder) RecordRefused(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = append(r.refused, text)
}

// RecordActive records the configuration that is active on a router.
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

// checkConfigurations compares the acknowledged and refused configurations with all that were recorded as
// active. A version has a single text, which is the acknowledged one if there is one. A refused text is never
// active unless it was also acknowledged. Every running router must get the newest acknowledged version, or a
// newer one, within 5 s. The applies that took too long are reported too.
func (c *Cluster) checkConfigurations() []Violation {
	violations := &violationList{}
	c.Recorder.mu.Lock()
	acks, scriptEvents := c.Recorder.acks, c.Recorder.scriptEvents
	acknowledged := map[string]bool{}
	var newest ids.Version
	for _, a := range acks {
		acknowledged[a.Text] = true
		newest = max(newest, a.Version)
		for text, node := range c.Recorder.active[a.Version] {
			if text != a.Text {
				violations.add(
					ConfigurationLost, "version %d was acknowledged, but a different text was active on %s", a.Version, node,
				)
			}
		}
	}
	for v, texts := range c.Recorder.active {
		if len(texts) > 1 {
			violations.add(ConfigurationLost, "version %d had %d different texts", v, len(texts))
		}
		for _, refused := range c.Recorder.refused {
			if node, ok := texts[refused]; ok && !acknowledged[refused] {
				violations.add(ConfigurationLost, "%s had version %d active, but its text was refused", node, v)
			}
		}
	}
	c.Recorder.mu.Unlock()
	for _, p := range c.ProcessesOf("router") {
		if p.Up && !c.WaitUntil(5*time.Second, func() bool { return ids.Version(p.Node.CurrentPolicy().Version) >= newest }) {
			violations.add(
				ConfigurationLost,
				"%s has version %d, but version %d was acknowledged",
				p.Name,
				p.Node.CurrentPolicy().Version,
				newest,
			)
		}
	}
	for _, m := range scriptEvents {
		if m.Kind == "slow-apply" {
			violations.add(ConfigurationStale, "%s", m.Subject)
		}
	}
	return violations.found
}

// marshalPartial returns a partial configuration as JSON, and panics if it can't be encoded.
func marshalPartial(v map[string]any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(text)
}
