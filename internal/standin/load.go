// This file contains the load generator. It is open-loop: arrival times are planned in advance, so that measured
// latencies include queueing delays. Every output is compared with that of a run on a single worker.

package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/rpc"
)

// StreamClass is a class of requests that the load generator sends.
type StreamClass struct {
	Kind               string
	KeyRequired        bool
	Percent            int // percentage of the requests
	SharedPrefixTokens int // number of prompt tokens that all requests with the same prefix share
	SuffixTokensRange  int // the suffix has max(1, MinSuffixTokens) tokens plus a random number below this one
	MaxTokens          int
	MinSuffixTokens    int // minimum number of tokens of the suffix; 0 means 1
	Prefixes           int // number of different shared prefixes; 0 means 1
}

// LoadOptions are the options of RunLoad.
type LoadOptions struct {
	Host     host.Host
	Nodes    func(zone ids.Zone) []string // returns the addresses of ready nodes, preferably in the zone
	Zones    []ids.Zone                   // zones of the clients; empty for clients without a zone
	Classes  []StreamClass
	Rate     float64 // arrivals per second
	Duration time.Duration
	Seed     uint64
	Model    string
	Weights  []string      // model weights whose outputs are accepted
	Retries  int           // maximum number of retries of a request
	Timeout  time.Duration // time limit of a request including its retries; 0 means 20s
}

// TimedOut replaces "cut" as the end of a request whose timeout has expired (see Outcome).
const TimedOut = "left"

// Outcome is the outcome of one request. FirstToken and Duration are measured from At, the planned arrival, and At
// from the start of the load. End is the End of the last event, TimedOut, "bounced" (rejected or not sent), "cut" (no
// response, or no end event) or "wrong" (an invalid event, or not the reference output).
type Outcome struct {
	Kind       string
	Key        string
	At         time.Duration
	FirstToken time.Duration
	Duration   time.Duration
	End        string
	Detail     string
	Tokens     []int32
	Attempts   int
	Node       string // the node of the last attempt
}

// Summary summarizes the outcomes of a load.
type Summary struct {
	Sent    int                    `json:"sent"`
	Ends    map[string]int         `json:"ends"`
	Kinds   map[string]KindSummary `json:"kinds"`
	Details map[string]int         `json:"details,omitempty"`
}

// KindSummary summarizes the outcomes of one kind of request. Times are of complete requests only, in milliseconds
// from the planned arrival to the first token, and to the end of the stream.
type KindSummary struct {
	Sent          int     `json:"sent"`
	Complete      int     `json:"complete"`
	FirstTokenP50 float64 `json:"firstP50Ms"`
	FirstTokenP99 float64 `json:"firstP99Ms"`
	DurationP99   float64 `json:"wholeP99Ms"`
}

type plannedRequest struct {
	at      time.Duration
	class   StreamClass
	request api.StreamRequest
}

func planRequests(o *LoadOptions) []plannedRequest {
	rng := rand.New(rand.NewPCG(o.Seed, 7))
	var out []plannedRequest
	for at, i := time.Duration(0), 0; ; i++ {
		at += time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second))
		if at >= o.Duration {
			return out
		}
		draw, class := rng.IntN(100), o.Classes[len(o.Classes)-1]
		for _, candidate := range o.Classes {
			if draw -= candidate.Percent; draw < 0 {
				class = candidate
				break
			}
		}
		request := api.StreamRequest{Kind: class.Kind, MaxTokens: class.MaxTokens, Seed: rng.Uint64() >> 12}
		prefixStart := int32(len(class.Kind) * 1000) // the token IDs of the shared prefix are the next ones
		if class.Prefixes > 1 {
			prefixStart += int32(rng.IntN(class.Prefixes) * 7919)
		}
		for j := range class.SharedPrefixTokens {
			request.PromptIDs = append(request.PromptIDs, prefixStart+int32(j)+1)
		}
		for range max(1, class.MinSuffixTokens) + rng.IntN(class.SuffixTokensRange) {
			request.PromptIDs = append(request.PromptIDs, 1+rng.Int32N(50000))
		}
		if class.KeyRequired {
			request.Key = fmt.Sprintf("c%d-%d", o.Seed, i)
		}
		out = append(out, plannedRequest{at, class, request})
	}
}

// RunLoad sends all requests at their planned times and returns their outcomes. If ctx is cancelled, it sends no
// further requests and returns the outcomes of those already sent.
func RunLoad(ctx context.Context, o LoadOptions) []Outcome {
	client := rpc.NewHTTPClient(o.Host.Net)
	defer client.CloseIdleConnections()
	if o.Timeout == 0 {
		o.Timeout = 20 * time.Second
	}
	planned := planRequests(&o)
	out := make([]Outcome, len(planned))
	start := time.Now()
	var wg sync.WaitGroup
	for i, c := range planned {
		if !host.Sleep(ctx, time.Until(start.Add(c.at))) {
			out = out[:i]
			break
		}
		wg.Go(func() { out[i] = sendWithRetries(ctx, &o, client, &c, start, uint64(i)) })
	}
	wg.Wait()
	return out
}

// sendWithRetries sends a request, retries it as configured, and checks its output.
func sendWithRetries(
	ctx context.Context,
	o *LoadOptions,
	client *http.Client,
	planned *plannedRequest,
	start time.Time,
	index uint64,
) Outcome {
	rng := rand.New(rand.NewPCG(o.Seed, index+100))
	outcome := Outcome{Kind: planned.request.Kind, Key: planned.request.Key, At: planned.at}
	zone := ids.Zone("")
	if len(o.Zones) > 0 {
		zone = o.Zones[rng.IntN(len(o.Zones))]
	}
	callCtx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	due := start.Add(planned.at)
	for {
		outcome.Attempts++
		delay := sendOnce(callCtx, o, client, planned, &outcome, due, rng, zone)
		if delay <= 0 || outcome.Attempts > o.Retries || !host.Sleep(callCtx, delay) {
			break
		}
	}
	if outcome.End == "cut" && callCtx.Err() != nil && ctx.Err() == nil {
		outcome.End = TimedOut
	}
	if outcome.End == api.EndComplete && !o.matchesReference(planned, outcome.Tokens) {
		outcome.End, outcome.Detail = "wrong", fmt.Sprintf("tokens %v", outcome.Tokens)
	}
	return outcome
}

// matchesReference reports whether the tokens are the output of a run on a single worker with any of the accepted
// weights.
func (o *LoadOptions) matchesReference(planned *plannedRequest, tokens []int32) bool {
	for _, w := range o.Weights {
		reference := ReferenceOutput(
			planned.request.PromptIDs, planned.request.MaxTokens, planned.request.Seed, planned.request.Temperature,
			o.Model, w, planned.request.Adapters,
		)
		if len(reference) == len(tokens) {
			same := true
			for i := range reference {
				same = same && reference[i] == tokens[i]
			}
			if same {
				return true
			}
		}
	}
	return false
}

// Retry delays after attempts without a complete response.
const (
	delayNoNode            = 500 * time.Millisecond
	delayAfterDialError    = 300 * time.Millisecond
	delayAfterInterruption = time.Second // only for requests with a key
)

// sendOnce sends a request once. It returns the delay before the next attempt, or 0 if the request must not be
// retried.
func sendOnce(
	ctx context.Context,
	o *LoadOptions,
	client *http.Client,
	planned *plannedRequest,
	outcome *Outcome,
	due time.Time,
	rng *rand.Rand,
	zone ids.Zone,
) time.Duration {
	addrs := o.Nodes(zone)
	if len(addrs) == 0 {
		outcome.End, outcome.Detail = "bounced", "no ready node"
		return delayNoNode
	}
	body, _ := json.Marshal(planned.request)
	outcome.Node = addrs[rng.IntN(len(addrs))]
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+outcome.Node+"/v1/streams", bytes.NewReader(body))
	resp, err := client.Do(req)
	if err != nil {
		return outcome.recordNoResponse(err, planned)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return outcome.recordRejection(resp.Body, planned)
	}
	return outcome.readStream(resp.Body, planned, due)
}

// recordNoResponse records that an attempt got no response.
func (r *Outcome) recordNoResponse(err error, planned *plannedRequest) time.Duration {
	if rpc.IsDialError(err) {
		r.End, r.Detail = "bounced", "no connection"
		return delayAfterDialError
	}
	r.End, r.Detail = "cut", "no response"
	return planned.retryDelayIfKeyed()
}

// retryDelayIfKeyed returns the retry delay after an attempt whose outcome is unknown, or 0 if the request has no
// key: only a request with a key may be retried in that case.
func (p *plannedRequest) retryDelayIfKeyed() time.Duration {
	if p.class.KeyRequired {
		return delayAfterInterruption
	}
	return 0
}

// recordRejection records an error response. If the response states that a request with a key did not run, the
// retry uses a new key.
func (r *Outcome) recordRejection(body io.Reader, planned *plannedRequest) time.Duration {
	var response struct {
		Error struct {
			Name         string
			RetryAfterMs int64 `json:"retryAfterMs"`
		}
	}
	b, _ := io.ReadAll(body)
	json.Unmarshal(b, &response)
	r.End, r.Detail = "bounced", response.Error.Name
	if response.Error.Name == "not-run" {
		planned.request.Key += "+"
		r.Key = planned.request.Key
	}
	return time.Duration(response.Error.RetryAfterMs) * time.Millisecond
}

// readStream reads the events of a stream up to its end. It returns the retry delay, or 0 if the request must not be
// retried.
func (r *Outcome) readStream(body io.Reader, planned *plannedRequest, due time.Time) time.Duration {
	r.Tokens, r.End, r.Detail = nil, "cut", "the stream stopped"
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		var event api.StreamEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			r.End, r.Detail = "wrong", "invalid event"
			return 0
		}
		if event.Index != len(r.Tokens) {
			r.End, r.Detail = "wrong", fmt.Sprintf("token %d where %d was expected", event.Index, len(r.Tokens))
			return 0
		}
		if event.End != "" {
			r.Duration = time.Since(due)
			return r.recordEnd(&event, planned)
		}
		if len(r.Tokens) == 0 && r.FirstToken == 0 {
			r.FirstToken = time.Since(due)
		}
		r.Tokens = append(r.Tokens, event.Token)
	}
	return planned.retryDelayIfKeyed()
}

// recordEnd records the last event of a stream and returns the retry delay, or 0 if the request must not be retried.
func (r *Outcome) recordEnd(last *api.StreamEvent, planned *plannedRequest) time.Duration {
	r.End, r.Detail = last.End, ""
	if last.Error != nil {
		r.Detail = last.Error.Name
	}
	if last.End == api.EndComplete && last.Count != len(r.Tokens) {
		r.End = "wrong"
	}
	if last.End == api.EndUnknown && planned.class.KeyRequired && last.Error != nil && last.Error.RetryAfterMs > 0 {
		return time.Duration(last.Error.RetryAfterMs) * time.Millisecond
	}
	return 0
}

// Summarize counts the outcomes and computes latency percentiles by kind.
func Summarize(all []Outcome) Summary {
	summary := Summary{Sent: len(all), Ends: map[string]int{}, Kinds: map[string]KindSummary{}, Details: map[string]int{}}
	first, complete := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, o := range all {
		summary.Ends[o.End]++
		if o.End != api.EndComplete {
			summary.Details[o.End+": "+o.Detail]++
		}
		k := summary.Kinds[o.Kind]
		k.Sent++
		if o.End == api.EndComplete {
			k.Complete++
			first[o.Kind] = append(first[o.Kind], o.FirstToken)
			complete[o.Kind] = append(complete[o.Kind], o.Duration)
		}
		summary.Kinds[o.Kind] = k
	}
	for n, k := range summary.Kinds {
		k.FirstTokenP50, k.FirstTokenP99, k.DurationP99 = Quantile(first[n], 0.5), Quantile(first[n], 0.99), Quantile(complete[n], 0.99)
		summary.Kinds[n] = k
	}
	return summary
}

// Quantile returns the q-quantile of the samples in milliseconds, or 0 if there are none.
func Quantile(samples []time.Duration, q float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	samples = append([]time.Duration(nil), samples...)
	sort.Slice(samples, func(i, j int) bool { return samples[i] < samples[j] })
	return float64(samples[int(q*float64(len(samples)-1))].Microseconds()) / 1000
}

// Site describes a deployment: its size and the classes of its requests.
type Site struct {
	Name           string
	Zones          []ids.Zone
	Nodes          int // number of router nodes
	PrefillWorkers int
	DecodeWorkers  int
	Model          string
	Classes        []StreamClass
}

// Sites contains the two sites by name.
var Sites = map[string]Site{
	"vatuloa": {
		Name:           "vatuloa",
		Zones:          []ids.Zone{"hall-a", "hall-b", "hall-c"},
		Nodes:          7,
		PrefillWorkers: 6,
		DecodeWorkers:  6,
		Model:          "bridge-8b",
		Classes: []StreamClass{
			{Kind: "verdict", KeyRequired: true, Percent: 45, SharedPrefixTokens: 384, SuffixTokensRange: 640, MaxTokens: 2},
			{Kind: "clarification", Percent: 55, SharedPrefixTokens: 96, SuffixTokensRange: 48, MaxTokens: 24},
		},
	},
	"almaty": {
		Name:           "almaty",
		Zones:          []ids.Zone{"alatau", "medeu", "bostandyk"},
		Nodes:          6,
		PrefillWorkers: 4,
		DecodeWorkers:  5,
		Model:          "scooter-8b",
		Classes: []StreamClass{
			{Kind: "ruling", KeyRequired: true, Percent: 45, SharedPrefixTokens: 320, SuffixTokensRange: 480, MaxTokens: 2},
			{Kind: "rider", Percent: 55, SharedPrefixTokens: 128, SuffixTokensRange: 48, MaxTokens: 24},
		},
	},
}
