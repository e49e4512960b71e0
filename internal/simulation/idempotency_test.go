// Idempotency of keyed requests: the same key sent to every router, and routers that die at each
// step of a hand-off.

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

// TestSameKey: a key that is sent to every router at once, and again later, runs once and leaves
// one record. Another request body under the same key is refused.
func TestSameKey(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", nil, func(t *testing.T, c *Cluster) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		complete, running := 0, 0
		for _, p := range c.ProcessesOfKind("router") {
			wg.Go(func() {
				got, err := c.stream(p, verdictRequest)
				mu.Lock()
				defer mu.Unlock()
				if r, ok := err.(*api.Fault); ok && r.Name == "running" {
					running++
				} else if err == nil && got[len(got)-1].End == api.EndComplete {
					complete++
				}
			})
		}
		wg.Wait()
		require.Equal(t, len(c.ProcessesOfKind("router")), complete+running)
		require.Positive(t, complete)
		first, err := c.stream(c.ProcessesOfKind("router")[0], verdictRequest)
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
		_, err = c.stream(c.ProcessesOfKind("router")[1], other)
		require.Equal(t, "key-reused", err.(*api.Fault).Name)
	})
}

// TestRouterKilledDuringHandoff: a router is killed at different points of a hand-off and another router settles
// its claim. The key then returns the record, or reports that it was not run or may have run. It
// never runs twice, and a key that is reported as not run has a tombstone and no run.
func TestRouterKilledDuringHandoff(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", nil, func(t *testing.T, c *Cluster) {
		outcomes := map[string]int{}
		for i := range 12 {
			request := verdictRequest
			request.Kind, request.Key = "ruling", "dead"+string(rune('a'+i))
			p := c.ProcessesOfKind("router")[i%len(c.ProcessesOfKind("router"))]
			done := make(chan struct{})
			go func() { c.stream(p, request); close(done) }()
			time.Sleep(time.Duration(2+i*4) * time.Millisecond)
			c.Kill(p)
			<-done
			require.NoError(t, c.Start(p))
			var outcome string
			ok := c.WaitUntil(12*time.Second, func() bool {
				for _, o := range c.ProcessesOfKind("router") {
					if o == p {
						continue
					}
					got, err := c.stream(o, request)
					if r, is := err.(*api.Fault); is {
						outcome = r.Name
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

// TestRunLostWithRouterAndWorker: the router and the worker of a running request lose power together,
// and the worker restarts as a new incarnation without any state. The outcome of the run is unknown,
// so it must not be reported as not run.
func TestRunLostWithRouterAndWorker(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", nil, func(t *testing.T, c *Cluster) {
		request := verdictRequest
		request.MaxTokens = 60
		p := c.ProcessesOfKind("router")[2]
		go c.stream(p, request)
		var w *Process
		require.True(t, c.WaitUntil(3*time.Second, func() bool {
			for _, o := range c.ProcessesOfKind("worker") {
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
			_, err := c.stream(c.ProcessesOfKind("router")[0], request)
			if r, ok := err.(*api.Fault); ok {
				outcome = r.Name
			}
			return outcome == "not-run" || outcome == "may-have-run"
		}), outcome)
		require.Equal(t, "may-have-run", outcome)
	})
}
