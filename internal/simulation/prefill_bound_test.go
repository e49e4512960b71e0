// A model of prefill workers that estimates which share of requests can meet their latency target at best.
// Each worker prefills one prompt at a time, without preemption. A router that knows every queue and every cached
// prefix is compared, on the same arrivals, with routers that know less. make compare prints the results.

package simulation

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

// boundSize is a log-normal distribution of sizes in tokens, clamped to the range from 1 to Max. Spread is the
// standard deviation of the logarithm.
type boundSize struct{ Mean, Spread, Max float64 }

func (s boundSize) draw(r *rand.Rand) float64 {
	mu := math.Log(s.Mean) - s.Spread*s.Spread/2
	return math.Max(1, math.Min(s.Max, math.Exp(mu+s.Spread*r.NormFloat64())))
}

// boundKind is a kind of request with its arrival rate, latency target and distributions of sizes.
type boundKind struct {
	Name                string
	PerSecond, TargetMs float64
	OwnTokens           boundSize
	Shared              []struct {
		Tokens boundSize
		Count  int
	}
}

// boundModel is the content of the model's configuration file, testdata/prefill_bound.json.
type boundModel struct {
	Workers              int `json:"Readers"`
	TokensPerMs, FixedMs float64
	Seconds, WarmSeconds float64
	Kinds                []boundKind
}

func readBoundModel(t *testing.T) *boundModel {
	body, err := os.ReadFile("testdata/prefill_bound.json")
	require.NoError(t, err)
	var m boundModel
	require.NoError(t, json.Unmarshal(body, &m))
	require.True(t, m.Workers > 0 && m.TokensPerMs > 0 && m.Seconds > m.WarmSeconds && len(m.Kinds) > 0)
	for _, k := range m.Kinds {
		require.True(t, k.PerSecond > 0 && k.TargetMs > 0 && k.OwnTokens.Mean > 0, k.Name)
	}
	return &m
}

// boundRequest is an arrival: the hashes of its shared prefixes, and the number of tokens that it shares with no
// other request.
type boundRequest struct {
	kind         int
	arrivalMs    float64
	prefixes     []uint64
	prefixTokens []float64 // of each prefix
	ownTokens    float64
}

// arrivals generates the arrivals of one run from a seed.
func (m *boundModel) arrivals(seed uint64) []boundRequest {
	r := rand.New(rand.NewPCG(seed, 1))
	total := 0.0
	for _, k := range m.Kinds {
		total += k.PerSecond
	}
	sizes := map[uint64]float64{}
	var out []boundRequest
	for at := 0.0; ; {
		if at += r.ExpFloat64() / total * 1000; at > 1000*m.Seconds {
			return out
		}
		request := boundRequest{arrivalMs: at}
		for position := r.Float64() * total; position > m.Kinds[request.kind].PerSecond; request.kind++ {
			position -= m.Kinds[request.kind].PerSecond
		}
		kind := m.Kinds[request.kind]
		hash := ids.Mix(uint64(request.kind + 1))
		for _, prefix := range kind.Shared {
			hash = ids.Mix(hash ^ uint64(r.IntN(prefix.Count)+1))
			if sizes[hash] == 0 {
				sizes[hash] = prefix.Tokens.draw(r)
			}
			request.prefixes, request.prefixTokens = append(request.prefixes, hash), append(request.prefixTokens, sizes[hash])
		}
		request.ownTokens = kind.OwnTokens.draw(r)
		out = append(out, request)
	}
}

// boundWorker is a prefill worker: the time until which it is busy, and the prefixes that it has cached.
type boundWorker struct {
	busyUntil float64
	cached    map[uint64]bool
}

// uncachedTokens returns how many tokens of a request the worker has not cached.
func (w *boundWorker) uncachedTokens(request *boundRequest) float64 {
	tokens := request.ownTokens
	for i, prefix := range request.prefixes {
		if !w.cached[prefix] {
			tokens += request.prefixTokens[i]
		}
	}
	return tokens
}

// boundPolicy picks a worker for a request. It is given the state of all workers.
type boundPolicy func(m *boundModel, request *boundRequest, workers []boundWorker, r *rand.Rand) int

// pickByPrefix sends all requests with the same shared prefixes to one worker, chosen by rendezvous hashing,
// regardless of its queue.
func pickByPrefix(m *boundModel, request *boundRequest, workers []boundWorker, _ *rand.Rand) int {
	best, highest := -1, uint64(0)
	for i := range workers {
		if h := ids.Mix(request.prefixes[len(request.prefixes)-1] ^ ids.Mix(uint64(i))); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	return best
}

// pickRandom picks a worker at random.
func pickRandom(_ *boundModel, _ *boundRequest, workers []boundWorker, r *rand.Rand) int {
	return r.IntN(len(workers))
}

// pickCheapest returns a policy that knows all queues and cached prefixes and picks the worker with the lowest sum
// of the waiting time and the weighted prefill time.
func pickCheapest(weight float64) boundPolicy {
	return func(m *boundModel, request *boundRequest, workers []boundWorker, _ *rand.Rand) int {
		best, least := 0, math.Inf(1)
		for i := range workers {
			wait := math.Max(0, workers[i].busyUntil-request.arrivalMs)
			if cost := wait + weight*workers[i].uncachedTokens(request)/m.TokensPerMs; cost < least {
				best, least = i, cost
			}
		}
		return best
	}
}

// onTimeShares simulates one run and returns, for each kind, the share of requests that met the target: among all
// requests, and among those that arrived after the warm-up.
func (m *boundModel) onTimeShares(policy boundPolicy, seed uint64) (complete, afterWarmUp []float64) {
	r := rand.New(rand.NewPCG(seed, 2))
	workers := make([]boundWorker, m.Workers)
	for i := range workers {
		workers[i].cached = map[uint64]bool{}
	}
	var all, met [2][]float64
	for period := range all {
		all[period], met[period] = make([]float64, len(m.Kinds)), make([]float64, len(m.Kinds))
	}
	for _, request := range m.arrivals(seed) {
		w := &workers[policy(m, &request, workers, r)]
		w.busyUntil = math.Max(w.busyUntil, request.arrivalMs) + w.uncachedTokens(&request)/m.TokensPerMs
		for _, prefix := range request.prefixes {
			w.cached[prefix] = true
		}
		late := w.busyUntil-request.arrivalMs+m.FixedMs > m.Kinds[request.kind].TargetMs
		for period, from := range []float64{0, 1000 * m.WarmSeconds} {
			if request.arrivalMs >= from {
				all[period][request.kind]++
				if !late {
					met[period][request.kind]++
				}
			}
		}
	}
	for period := range all {
		for kind := range met[period] {
			met[period][kind] /= all[period][kind]
		}
	}
	return met[0], met[1]
}

// TestPrefillBound checks that routing with full knowledge meets more targets than routing by prefix, which in turn
// meets more than random routing. make compare prints the shares with their standard errors.
func TestPrefillBound(t *testing.T) {
	m := readBoundModel(t)
	policies := []struct {
		name string
		pick boundPolicy
	}{
		{"random", pickRandom}, {"prefix home", pickByPrefix},
		{"full knowledge, weight 1", pickCheapest(1)},
		{"full knowledge, weight 2", pickCheapest(2)},
		{"full knowledge, weight 4", pickCheapest(4)},
	}
	const seeds = 5
	meanShares := map[string]float64{}
	for _, p := range policies {
		line := "| " + p.name + " |"
		for kind, k := range m.Kinds {
			var sums, squares [2]float64
			for seed := range uint64(seeds) {
				complete, afterWarmUp := m.onTimeShares(p.pick, seed+1)
				for period, v := range []float64{complete[kind], afterWarmUp[kind]} {
					sums[period] += v
					squares[period] += v * v
				}
			}
			for period, periodName := range []string{"complete run", "after warm-up"} {
				mean := sums[period] / seeds
				standardError := math.Sqrt(math.Max(0, squares[period]/seeds-mean*mean) / (seeds - 1))
				line += fmt.Sprintf(" %s, %s %.3f +- %.3f |", k.Name, periodName, mean, standardError)
				if period == 0 {
					meanShares[p.name] += mean
				}
			}
		}
		if os.Getenv("KEELSTAIR_COMPARE") != "" {
			fmt.Println(line)
		}
	}
	require.Greater(t, meanShares["full knowledge, weight 2"], meanShares["prefix home"])
	require.Greater(t, meanShares["prefix home"], meanShares["random"])
}
