// Tests of invalid input at the frontend, of repeated operations and of readiness.

package simulation

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/api"
	"keelstair.example/internal/router"
	"keelstair.example/internal/standin"
)

// withCluster runs f with a site's fleet, seed 1, after Bootstrap.
func withCluster(t *testing.T, site string, tune func(*Cluster), f func(t *testing.T, c *Cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := Build(1, standin.Sites[site], tune)
		defer c.Close()
		require.NoError(t, c.Bootstrap())
		f(t, c)
	})
}

// faultFields returns the code, name and detail of an *api.Fault.
func faultFields(t *testing.T, err error) (int, string, string) {
	var fault *api.Fault
	require.True(t, errors.As(err, &fault), "%v", err)
	return fault.Code, fault.Name, fault.Detail
}

// TestInvalidRequests checks that each invalid request is refused with a named error, and that no worker has counted
// a request.
func TestInvalidRequests(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", nil, func(t *testing.T, c *Cluster) {
		tooManyTokens := make([]int32, 40000)
		for i := range tooManyTokens {
			tooManyTokens[i] = 1
		}
		for _, tc := range []struct {
			request any
			code    int
			name    string
		}{
			{"text", http.StatusBadRequest, "wrong-type"},
			{map[string]any{"kind": "clarification", "colour": 1}, http.StatusBadRequest, "unknown-field"},
			{map[string]any{"kind": "clarification", "maxTokens": "x"}, http.StatusBadRequest, "wrong-type"},
			{api.StreamRequest{Kind: "sermon", Prompt: "a"}, http.StatusBadRequest, "unknown"},
			{api.StreamRequest{Kind: "clarification", Model: "other", Prompt: "a"}, http.StatusBadRequest, "unknown"},
			{
				api.StreamRequest{Kind: "clarification", Adapters: []string{"x"}, Prompt: "a"},
				http.StatusBadRequest,
				"unknown",
			},
			{api.StreamRequest{Kind: "clarification"}, http.StatusBadRequest, "missing"},
			{api.StreamRequest{Kind: "verdict", Prompt: "a"}, http.StatusBadRequest, "missing"},
			{
				api.StreamRequest{Kind: "clarification", Prompt: "a", MaxTokens: 1000},
				http.StatusBadRequest,
				"out-of-range",
			},
			{
				api.StreamRequest{Kind: "clarification", PromptIDs: tooManyTokens},
				http.StatusRequestEntityTooLarge,
				"too-large",
			},
			{
				api.StreamRequest{Kind: "clarification", Prompt: strings.Repeat("a ", 3<<20)},
				http.StatusRequestEntityTooLarge,
				"too-large",
			},
		} {
			got, name, _ := faultFields(t, c.PostTo(c.ProcessesOf("router")[0], "/v1/streams", tc.request, nil))
			require.Equal(t, tc.code, got, "%v", tc.name)
			require.Equal(t, tc.name, name)
		}
		for _, w := range c.ProcessesOf("worker") {
			require.Empty(t, w.Worker.RequestCounts())
		}
	})
}

// TestInvalidPolicies checks that each invalid policy, and one with an outdated base version, is refused, that the
// error has the listed position or reason, and that no new version results. An unknown zone can't be evacuated.
func TestInvalidPolicies(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", nil, func(t *testing.T, c *Cluster) {
		for _, tc := range []struct {
			request api.ApplyRequest
			code    int
			text    string
		}{
			{api.ApplyRequest{Op: "a", BaseVersion: 1, Source: "{workers: {"}, 400, "policy:1"},
			{
				api.ApplyRequest{Op: "b", BaseVersion: 1, Partial: true, Source: "{workers: {\n  p1: {room: -4}}}"},
				400,
				"policy:2:14: workers.p1.room",
			},
			{api.ApplyRequest{Op: "c", BaseVersion: 1, Partial: true, Source: `{workers: {p1: {zone: "moon"}}}`}, 400, "moon"},
			{
				api.ApplyRequest{Op: "d", BaseVersion: 1, Source: "{\"workers\": {\"p1\": {},\n\"p1\": {}}}"},
				400,
				"p1 stands twice",
			},
			{api.ApplyRequest{Op: "e", BaseVersion: 1, Partial: true, Source: `{colour: 3}`}, 400, "colour"},
			{
				api.ApplyRequest{
					Op:          "f",
					BaseVersion: 1,
					Partial:     true,
					Source:      `{programs: {x: {share: 100, source: "def order(a, b):\n  retrun b"}}}`,
				},
				400,
				"x.star:2",
			},
			{
				api.ApplyRequest{
					Op:          "g",
					BaseVersion: 1,
					Partial:     true,
					Source:      `{programs: {x: {share: 40, source: "def order(a, b):\n  return []"}}}`,
				},
				400,
				"40, not to 100",
			},
			{api.ApplyRequest{Op: "h", BaseVersion: 1, Partial: true, Source: `{workers: null}`}, 400, ""},
			{api.ApplyRequest{Op: "i", BaseVersion: 0, Partial: true, Source: `{limits: {queue: 3}}`}, 409, "newest is 1"},
			{api.ApplyRequest{Op: "", BaseVersion: 1, Source: `{}`}, 400, "id of its own"},
		} {
			_, err := c.Apply(&tc.request)
			got, name, text := faultFields(t, err)
			require.Equal(t, tc.code, got, "%s %s %s", tc.request.Op, name, text)
			require.Contains(t, text, tc.text, tc.request.Op)
		}
		require.Equal(t, uint64(1), c.ProcessesOf("router")[0].Node.CurrentPolicy().Newest)
		got, _, _ := faultFields(t, c.SetDrained("/v1/zones/moon", "z", true))
		require.Equal(t, 404, got)
	})
}

// TestOperationIds checks that an operation that is repeated under its ID returns its first outcome, even after the
// loss of the leader. An operation with another ID on the outdated base version must be refused.
func TestOperationIds(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", nil, func(t *testing.T, c *Cluster) {
		apply := &api.ApplyRequest{Op: "once", BaseVersion: 1, Partial: true, Source: `{limits: {queue: 9}}`}
		first, err := c.Apply(apply)
		require.NoError(t, err)
		c.PowerOff(c.Leader())
		time.Sleep(4 * time.Second)
		repeated, err := c.Apply(apply)
		require.NoError(t, err, "the base is outdated only because of this operation")
		require.Equal(t, first.Version, repeated.Version)
		apply.Partial, apply.Source = false, string(c.ProcessesOf("router")[0].Node.CurrentPolicy().Policy)
		repeated, err = c.Apply(apply)
		require.NoError(t, err, "the same holds for a complete policy")
		require.Equal(t, first.Version, repeated.Version)
		for _, partial := range []bool{true, false} {
			_, err = c.Apply(&api.ApplyRequest{Op: "other", BaseVersion: 1, Partial: partial, Source: apply.Source})
			got, _, _ := faultFields(t, err)
			require.Equal(t, 409, got)
		}
		require.Equal(t, first.Version, c.ProcessesOf("router")[0].Node.CurrentPolicy().Newest)
	})
}

// TestReady checks that a router isn't ready while its zone is evacuated, and refuses requests then. A router that is
// shutting down isn't ready either, but completes the streams that it serves.
func TestReady(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", nil, func(t *testing.T, c *Cluster) {
		p := c.ProcessesOf("router")[0]
		ready := func(want bool) func() bool {
			return func() bool { ok, _ := p.Node.Ready(); return ok == want }
		}
		require.NoError(t, c.SetDrained("/v1/zones/"+string(p.Zone), "out", true))
		require.True(t, c.WaitUntil(2*time.Second, ready(false)))
		_, err := c.stream(p, verdictRequest)
		got, name, _ := faultFields(t, err)
		require.Equal(t, []any{503, "not-ready"}, []any{got, name})
		require.NoError(t, c.SetDrained("/v1/zones/"+string(p.Zone), "back", false))
		require.True(t, c.WaitUntil(4*time.Second, ready(true)))
		long := api.StreamRequest{Kind: "clarification", Prompt: "what was the last point", MaxTokens: 40, Seed: 11}
		events := make(chan []api.StreamEvent, 1)
		go func() { l, _ := c.stream(p, long); events <- l }()
		time.Sleep(150 * time.Millisecond)
		p.Shutdown()
		require.True(t, c.WaitUntil(time.Second, ready(false)))
		all := <-events
		require.NotEmpty(t, all)
		require.Equal(t, api.EndComplete, all[len(all)-1].End)
		// A router that shuts down announces this, so it is removed from the members before its lease would expire.
		self := p.Node.Self().Node
		require.True(t, c.WaitUntil(1500*time.Millisecond, func() bool {
			for _, m := range c.ProcessesOf("router")[1].Node.Status().(*router.NodeStatus).Members {
				if m.Node == self {
					return false
				}
			}
			return true
		}))
	})
}
