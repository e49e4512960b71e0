// What share of prompts can be in time at all: a model of reading workers, each of which reads one
// prompt at a time to its end, with the same arrivals for a router that knows every queue and every
// kept part at once, and for ones that know less. The figures are those of make compare.

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

// boundSize is a size in tokens, spread as a lognormal of this mean.
type boundSize struct{ Mean, Spread, Max float64 }

func (s boundSize) draw(r *rand.Rand) float64 {
	mu := math.Log(s.Mean) - s.Spread*s.Spread/2
	return math.Max(1, math.Min(s.Max, math.Exp(mu+s.Spread*r.NormFloat64())))
}

// boundKind is one kind of request.
type boundKind struct {
	Name                string
	PerSecond, TargetMs float64
	OwnTokens           boundSize
	Shared              []struct {
		Tokens boundSize
		Count  int
	}
}

// boundModel is the configuration file of the model.
type boundModel struct {
	Readers              int
	TokensPerMs, FixedMs float64
	Seconds, WarmSeconds float64
	Kinds                []boundKind
}

func readBoundModel(t *testing.T) *boundModel {
	body, err := os.ReadFile("testdata/prefill_bound.json")
	require.NoError(t, err)
	var m boundModel
	require.NoError(t, json.Unmarshal(body, &m))
	require.True(t, m.Readers > 0 && m.TokensPerMs > 0 && m.Seconds > m.WarmSeconds && len(m.Kinds) > 0)
	for _, k := range m.Kinds {
		require.True(t, k.PerSecond > 0 && k.TargetMs > 0 && k.OwnTokens.Mean > 0, k.Name)
	}
	return &m
}

// boundRequest is one arrival: its shared parts by their chain of ids, and its own tokens.
type boundRequest struct {
	kind   int
	at     float64 // ms
	chain  []uint64
	tokens []float64 // of each part of the chain
	own    float64
}

// arrivals draws one day; the same seed gives the same one.
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
		request := boundRequest{at: at}
		for x := r.Float64() * total; x > m.Kinds[request.kind].PerSecond; request.kind++ {
			x -= m.Kinds[request.kind].PerSecond
		}
		kind := m.Kinds[request.kind]
		hash := ids.Mix(uint64(request.kind + 1))
		for _, part := range kind.Shared {
			hash = ids.Mix(hash ^ uint64(r.IntN(part.Count)+1))
			if sizes[hash] == 0 {
				sizes[hash] = part.Tokens.draw(r)
			}
			request.chain, request.tokens = append(request.chain, hash), append(request.tokens, sizes[hash])
		}
		request.own = kind.OwnTokens.draw(r)
		out = append(out, request)
	}
}

// boundWorker is one worker: until when it reads, and what it has read.
type boundWorker struct {
	busyUntil float64
	cached    map[uint64]bool
}

// uncachedTokens is what the worker has yet to read of a request.
func (w *boundWorker) uncachedTokens(request *boundRequest) float64 {
	need := request.own
	for i, prefix := range request.chain {
		if !w.cached[prefix] {
			need += request.tokens[i]
		}
	}
	return need
}

// boundPolicy picks a reader; it may know all of them.
type boundPolicy func(m *boundModel, request *boundRequest, readers []boundWorker, r *rand.Rand) int

// pickHome sends a beginning to one reader, whatever waits there.
func pickHome(m *boundModel, request *boundRequest, workers []boundWorker, _ *rand.Rand) int {
	best, highest := -1, uint64(0)
	for i := range workers {
		if h := ids.Mix(request.chain[len(request.chain)-1] ^ ids.Mix(uint64(i))); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	return best
}

// pickRandom knows nothing.
func pickRandom(_ *boundModel, _ *boundRequest, workers []boundWorker, r *rand.Rand) int {
	return r.IntN(len(workers))
}

// pickCheapest weighs what is to be read against the wait, with all queues and kept parts known.
func pickCheapest(weight float64) boundPolicy {
	return func(m *boundModel, request *boundRequest, workers []boundWorker, _ *rand.Rand) int {
		best, least := 0, math.Inf(1)
		for i := range workers {
			wait := math.Max(0, workers[i].busyUntil-request.at)
			if cost := wait + weight*workers[i].uncachedTokens(request)/m.TokensPerMs; cost < least {
				best, least = i, cost
			}
		}
		return best
	}
}

// onTimeShares plays a day and gives each kind's share in time, of the whole day and after the warm-up.
func (m *boundModel) onTimeShares(policy boundPolicy, seed uint64) (day, warm []float64) {
	r := rand.New(rand.NewPCG(seed, 2))
	workers := make([]boundWorker, m.Readers)
	for i := range workers {
		workers[i].cached = map[uint64]bool{}
	}
	var all, good [2][]float64
	for span := range all {
		all[span], good[span] = make([]float64, len(m.Kinds)), make([]float64, len(m.Kinds))
	}
	for _, request := range m.arrivals(seed) {
		w := &workers[policy(m, &request, workers, r)]
		w.busyUntil = math.Max(w.busyUntil, request.at) + w.uncachedTokens(&request)/m.TokensPerMs
		for _, part := range request.chain {
			w.cached[part] = true
		}
		late := w.busyUntil-request.at+m.FixedMs > m.Kinds[request.kind].TargetMs
		for span, from := range []float64{0, 1000 * m.WarmSeconds} {
			if request.at >= from {
				all[span][request.kind]++
				if !late {
					good[span][request.kind]++
				}
			}
		}
	}
	for span := range all {
		for kind := range good[span] {
			good[span][kind] /= all[span][kind]
		}
	}
	return good[0], good[1]
}

// TestPrefillBound: a router that knows everything is better than one that keeps to homes, and that
// one better than chance; with make compare each one's shares are printed with their errors.
func TestPrefillBound(t *testing.T) {
	m := readBoundModel(t)
	policies := []struct {
		name string
		pick boundPolicy
	}{
		{"by chance", pickRandom}, {"at home", pickHome},
		{"knows all, weight 1", pickCheapest(1)}, {"knows all, weight 2", pickCheapest(2)}, {"knows all, weight 4", pickCheapest(4)},
	}
	const seeds = 5
	meanShares := map[string]float64{}
	for _, p := range policies {
		line := "| " + p.name + " |"
		for kind, k := range m.Kinds {
			var sums, squares [2]float64
			for seed := range uint64(seeds) {
				day, warm := m.onTimeShares(p.pick, seed+1)
				for span, v := range []float64{day[kind], warm[kind]} {
					sums[span] += v
					squares[span] += v * v
				}
			}
			for span, what := range []string{"day", "warm"} {
				mean := sums[span] / seeds
				spread := math.Sqrt(math.Max(0, squares[span]/seeds-mean*mean) / (seeds - 1))
				line += fmt.Sprintf(" %s, %s %.3f +- %.3f |", k.Name, what, mean, spread)
				if span == 0 {
					meanShares[p.name] += mean
				}
			}
		}
		if os.Getenv("KEELSTAIR_COMPARE") != "" {
			fmt.Println(line)
		}
	}
	require.Greater(t, meanShares["knows all, weight 2"], meanShares["at home"])
	require.Greater(t, meanShares["at home"], meanShares["by chance"])
}
