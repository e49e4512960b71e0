// Invalid input at the frontend, repeated operations, and readiness.

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

// withCluster runs f with a site's fleet that serves requests.
func withCluster(t *testing.T, site string, tune func(*Cluster), f func(t *testing.T, c *Cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := Build(1, standin.Sites[site], tune)
		defer c.Close()
		require.NoError(t, c.Bootstrap())
		f(t, c)
	})
}

func faultFields(t *testing.T, err error) (int, string, string) {
	var r *api.Fault
	require.True(t, errors.As(err, &r), "%v", err)
	return r.Code, r.Name, r.Detail
}

// TestInvalidRequests: each invalid request is refused with a named error, and no worker runs anything.
func TestInvalidRequests(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", nil, func(t *testing.T, c *Cluster) {
		big := make([]int32, 40000)
		for i := range big {
			big[i] = 1
		}
		for _, k := range []struct {
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
			{api.StreamRequest{Kind: "clarification", PromptIDs: big}, http.StatusRequestEntityTooLarge, "too-large"},
			{
				api.StreamRequest{Kind: "clarification", Prompt: strings.Repeat("a ", 3<<20)},
				http.StatusRequestEntityTooLarge,
				"too-large",
			},
		} {
			got, name, _ := faultFields(t, c.PostTo(c.Of("router")[0], "/v1/streams", k.request, nil))
			require.Equal(t, k.code, got, "%v", k.name)
			require.Equal(t, k.name, name)
		}
		for _, w := range c.Of("worker") {
			require.Empty(t, w.Worker.RequestCounts())
		}
	})
}

// TestInvalidPolicies: an invalid policy is refused entirely, with the position and the reason, and the
// policy in force stays.
func TestInvalidPolicies(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", nil, func(t *testing.T, c *Cluster) {
		for _, k := range []struct {
			a    api.ApplyRequest
			code int
			text string
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
			_, err := c.Apply(&k.a)
			got, name, text := faultFields(t, err)
			require.Equal(t, k.code, got, "%s %s %s", k.a.Op, name, text)
			require.Contains(t, text, k.text, k.a.Op)
		}
		require.Equal(t, uint64(1), c.Of("router")[0].Node.CurrentPolicy().Newest)
		got, _, _ := faultFields(t, c.Mark("/v1/zones/moon", "z", true))
		require.Equal(t, 404, got)
	})
}

// TestOperationIds: an operation that is repeated under its ID returns its first outcome, even after
// the leader was lost. An operation with another ID on the outdated base version is refused.
func TestOperationIds(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", nil, func(t *testing.T, c *Cluster) {
		a := &api.ApplyRequest{Op: "once", BaseVersion: 1, Partial: true, Source: `{limits: {queue: 9}}`}
		one, err := c.Apply(a)
		require.NoError(t, err)
		c.PowerOff(c.Leader())
		time.Sleep(4 * time.Second)
		two, err := c.Apply(a)
		require.NoError(t, err, "the base is outdated only because of this operation")
		require.Equal(t, one.Version, two.Version)
		a.Partial, a.Source = false, string(c.Of("router")[0].Node.CurrentPolicy().Policy)
		two, err = c.Apply(a)
		require.NoError(t, err, "the same holds for a complete policy")
		require.Equal(t, one.Version, two.Version)
		for _, partial := range []bool{true, false} {
			_, err = c.Apply(&api.ApplyRequest{Op: "other", BaseVersion: 1, Partial: partial, Source: a.Source})
			got, _, _ := faultFields(t, err)
			require.Equal(t, 409, got)
		}
		require.Equal(t, one.Version, c.Of("router")[0].Node.CurrentPolicy().Newest)
	})
}

// TestReady: a router is ready only while it can serve new requests. A router that is shutting down
// accepts none, but completes the streams that it serves.
func TestReady(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", nil, func(t *testing.T, c *Cluster) {
		p := c.Of("router")[0]
		ready := func(want bool) func() bool {
			return func() bool { ok, _ := p.Node.Ready(); return ok == want }
		}
		require.NoError(t, c.Mark("/v1/zones/"+string(p.Zone), "out", true))
		require.True(t, c.WaitUntil(2*time.Second, ready(false)))
		_, err := c.stream(p, verdictRequest)
		got, name, _ := faultFields(t, err)
		require.Equal(t, []any{503, "not-ready"}, []any{got, name})
		require.NoError(t, c.Mark("/v1/zones/"+string(p.Zone), "back", false))
		require.True(t, c.WaitUntil(4*time.Second, ready(true)))
		long := api.StreamRequest{Kind: "clarification", Prompt: "what was the last point", MaxTokens: 40, Seed: 11}
		lines := make(chan []api.StreamEvent, 1)
		go func() { l, _ := c.stream(p, long); lines <- l }()
		time.Sleep(150 * time.Millisecond)
		p.Shutdown()
		require.True(t, c.WaitUntil(time.Second, ready(false)))
		all := <-lines
		require.NotEmpty(t, all)
		require.Equal(t, api.EndComplete, all[len(all)-1].End)
		// A router that shuts down announces it, so its keys move before its lease would expire.
		self := p.Node.Self().Node
		require.True(t, c.WaitUntil(1500*time.Millisecond, func() bool {
			for _, m := range c.Of("router")[1].Node.Status().(*router.NodeStatus).Members {
				if m.Node == self {
					return false
				}
			}
			return true
		}))
	})
}
