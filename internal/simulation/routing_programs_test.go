// Tests of changes of routing programs and weight versions under load.

package simulation

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/router"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/standin"
)

func marshalPrograms(t *testing.T, programs map[string]fleetstate.Program) string {
	body, err := json.Marshal(map[string]any{"programs": programs})
	require.NoError(t, err)
	return string(body)
}

// TestProgramChanges adds, replaces, shadows and removes routing programs under load. It checks that every request
// completes, also while a hostile program is active, which names a worker that may not be a candidate or fails. It
// also checks that the routers' status counts the picks of each program and the fallbacks to the built-in order.
func TestProgramChanges(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", nil, func(t *testing.T, c *Cluster) {
		hostile := "def order(ask, workers):\n    return ['p1']\n"
		rounds := []string{
			marshalPrograms(t, map[string]fleetstate.Program{
				"free":   {Source: routing.ShippedProgram("free"), Share: 50},
				"prefix": {Source: routing.ShippedProgram("prefix"), Share: 50},
			}),
			marshalPrograms(t, map[string]fleetstate.Program{
				"free":    {Source: routing.ShippedProgram("free"), Share: 20},
				"prefix":  {Source: routing.ShippedProgram("prefix"), Share: 30},
				"hostile": {Source: hostile, Share: 50},
			}),
			marshalPrograms(t, map[string]fleetstate.Program{
				"free":    {Source: routing.ShippedProgram("free"), Share: 0, Shadow: true},
				"prefix":  {Source: routing.ShippedProgram("prefix"), Share: 0, Shadow: true},
				"hostile": {Source: "def order(ask, workers):\n    return workers[7]\n", Share: 100},
			}),
			`{"programs": {"hostile": null, "free": null, "prefix": {"share": 100, "shadow": false}}}`,
		}
		done := make(chan error, 1)
		go func() {
			for i, text := range rounds {
				time.Sleep(1500 * time.Millisecond)
				if _, err := c.Apply(&api.ApplyRequest{
					Op:          fmt.Sprint("swap", i),
					BaseVersion: uint64(i + 1),
					Partial:     true,
					Source:      text,
				}); err != nil {
					done <- fmt.Errorf("round %d: %w", i, err)
					return
				}
			}
			done <- nil
		}()
		outcomes := c.Load(50, 9*time.Second, 3)
		require.NoError(t, <-done)
		sum := standin.Summarize(outcomes)
		require.Equal(t, len(outcomes), sum.Ends["complete"], "%+v", sum)
		require.Empty(t, c.Recorder.Check(outcomes))
		picks, fallbacks := map[string]int64{}, map[string]int64{}
		for _, p := range c.ProcessesOf("router") {
			for name, p := range p.Node.Status().(*router.NodeStatus).Programs {
				picks[name] += p["picks"].(int64)
				fallbacks[name] += p["fallbacks"].(int64)
			}
		}
		for _, name := range []string{"plain", "free", "prefix", "hostile"} {
			require.Positive(t, picks[name], "%v", picks)
		}
		require.Positive(t, fallbacks["hostile"])
		require.Zero(t, fallbacks["prefix"])
	})
}

// TestWeightRollout adds workers with a new weight version and then drains those with the old one. It checks
// that no stream mixes versions: each output is that of one of the two.
func TestWeightRollout(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", nil, func(t *testing.T, c *Cluster) {
		site := standin.Sites["almaty"]
		workers := map[string]any{}
		for i, index := range []int{0, 4, 1, 5} {
			w := site.Worker(index)
			w.Weights = "w2"
			id := fmt.Sprintf("n%d", i+1)
			p := c.add(c.Worker(ids.WorkerID(id), w, fmt.Sprintf("10.4.0.%d", i+1)))
			require.True(t, p.Up)
			workers[id] = w
		}
		add, err := json.Marshal(map[string]any{"workers": workers})
		require.NoError(t, err)
		done := make(chan error, 1)
		go func() {
			time.Sleep(2 * time.Second)
			_, err := c.Apply(&api.ApplyRequest{Op: "add", BaseVersion: 1, Partial: true, Source: string(add)})
			time.Sleep(3 * time.Second)
			for _, id := range site.WorkerIDs() {
				if err == nil {
					err = c.SetDrained("/v1/workers/"+string(id), "drain-"+string(id), true)
				}
			}
			done <- err
		}()
		outcomes := c.Load(40, 10*time.Second, 3)
		require.NoError(t, <-done)
		sum := standin.Summarize(outcomes)
		require.Equal(t, len(outcomes), sum.Ends["complete"], "%+v", sum)
		require.Empty(t, c.Recorder.Check(outcomes))
		after := c.Load(40, 3*time.Second, 4)
		require.Equal(t, len(after), standin.Summarize(after).Ends["complete"])
		runs := 0
		for _, p := range c.ProcessesOf("worker") {
			if p.Name[0] == 'n' {
				runs += len(p.Worker.RequestCounts())
			}
			if p.Name[0] == 'd' {
				require.Zero(t, p.Worker.UsedBlocks(), "%s is drained", p.Name)
			}
		}
		require.Positive(t, runs)
	})
}
