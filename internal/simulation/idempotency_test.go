// Tests that a request with an idempotency key runs at most once, even if the key is sent to every router or a
// router is killed during a handoff.

package simulation

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/api"
	"keelstair.example/internal/router"
	"keelstair.example/internal/standin"
)

// countRuns returns how often requests with the key were run, and how often they finished, on all workers.
func countRuns(c *Cluster, key string) (runs, finished int) {
	c.Recorder.mu.Lock()
	defer c.Recorder.mu.Unlock()
	for _, w := range c.Recorder.workers {
		t := w.RequestCounts()[router.RequestIDForKey(key)]
		runs, finished = runs+t.Runs, finished+t.Finished
	}
	return runs, finished
}

var verdictRequest = api.StreamRequest{
	Kind:      "verdict",
	Key:       "q1",
	Prompt:    "was the binding resolution carried by the chairs present",
	MaxTokens: 3,
	Seed:      5,
}

// TestSameKey checks that a request that is sent to every router at once, and again later, runs and finishes once.
// The later one gets the recorded output. A different request body with the same key is refused.
func TestSameKey(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", nil, func(t *testing.T, c *Cluster) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		complete, running := 0, 0
		for _, p := range c.ProcessesOf("router") {
			wg.Go(func() {
				got, err := c.stream(p, verdictRequest)
				mu.Lock()
				defer mu.Unlock()
				if fault, ok := err.(*api.Fault); ok && fault.Name == "running" {
					running++
				} else if err == nil && got[len(got)-1].End == api.EndComplete {
					complete++
				}
			})
		}
		wg.Wait()
		require.Equal(t, len(c.ProcessesOf("router")), complete+running)
		require.Positive(t, complete)
		first, err := c.stream(c.ProcessesOf("router")[0], verdictRequest)
		require.NoError(t, err)
		reference := standin.ReferenceOutput(verdictRequest.PromptTokens(), 3, 5, 0, c.Site.Model, standin.SiteWeights, nil)
		require.Len(t, first, len(reference)+1)
		for i, tok := range reference {
			require.Equal(t, tok, first[i].Token)
			require.True(t, first[i].Replay)
		}
		runs, finished := countRuns(c, "verdict/q1")
		require.Equal(t, []int{1, 1}, []int{runs, finished})
		other := verdictRequest
		other.Seed++
		_, err = c.stream(c.ProcessesOf("router")[1], other)
		require.Equal(t, "key-reused", err.(*api.Fault).Name)
	})
}

// TestRouterKilledDuringHandoff kills a router 2 to 46 ms after a request with a key is sent to it. Another router
// must then return the complete stream, or report that the request was not run or may have run. The request must not
// run twice, and not at all if it is reported as not run. At least two of these outcomes must occur.
func TestRouterKilledDuringHandoff(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", nil, func(t *testing.T, c *Cluster) {
		outcomes := map[string]int{}
		for i := range 12 {
			request := verdictRequest
			request.Kind, request.Key = "ruling", "dead"+string(rune('a'+i))
			p := c.ProcessesOf("router")[i%len(c.ProcessesOf("router"))]
			done := make(chan struct{})
			go func() { c.stream(p, request); close(done) }()
			time.Sleep(time.Duration(2+i*4) * time.Millisecond)
			c.Kill(p)
			<-done
			require.NoError(t, c.Start(p))
			var outcome string
			ok := c.WaitUntil(12*time.Second, func() bool {
				for _, o := range c.ProcessesOf("router") {
					if o == p {
						continue
					}
					got, err := c.stream(o, request)
					if fault, ok := err.(*api.Fault); ok {
						outcome = fault.Name
					} else if err == nil && len(got) > 0 {
						outcome = got[len(got)-1].End
					}
					return outcome == api.EndComplete || outcome == "not-run" || outcome == "may-have-run"
				}
				return false
			})
			require.True(t, ok, "round %d has no final outcome: %s", i, outcome)
			outcomes[outcome]++
			runs, finished := countRuns(c, "ruling/"+request.Key)
			require.LessOrEqual(t, runs, 1)
			require.LessOrEqual(t, finished, 1)
			if outcome == "not-run" {
				require.Zero(t, runs, "reported as not run")
			}
		}
		t.Logf("%v", outcomes)
		require.Greater(t, len(outcomes), 1)
	})
}

// TestRunLostWithRouterAndWorker cuts the power of the router and the worker of a running request, and restarts the
// worker, which has lost its state. The outcome of the run is unknown, so the request must be reported as one that
// may have run, not as one that was not run.
func TestRunLostWithRouterAndWorker(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", nil, func(t *testing.T, c *Cluster) {
		request := verdictRequest
		request.MaxTokens = 60
		p := c.ProcessesOf("router")[2]
		go c.stream(p, request)
		var w *Process
		require.True(t, c.WaitUntil(3*time.Second, func() bool {
			for _, o := range c.ProcessesOf("worker") {
				if o.Worker.RequestCounts()[router.RequestIDForKey("verdict/q1")].Runs > 0 {
					w = o
				}
			}
			return w != nil
		}))
		c.PowerOff(w)
		c.PowerOff(p)
		require.NoError(t, c.Start(w))
		var outcome string
		require.True(t, c.WaitUntil(12*time.Second, func() bool {
			_, err := c.stream(c.ProcessesOf("router")[0], request)
			if fault, ok := err.(*api.Fault); ok {
				outcome = fault.Name
			}
			return outcome == "not-run" || outcome == "may-have-run"
		}), outcome)
		require.Equal(t, "may-have-run", outcome)
	})
}
