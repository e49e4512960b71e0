// Stand-in callers: an open loop whose arrivals are fixed beforehand, so that
// waiting is counted; each answer is held against a run that never moved.

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

// StreamClass is one kind of stream as callers send it.
type StreamClass struct {
	Kind         string
	KeyRequired  bool
	Percent      int // of 100
	SharedPrefix int // prompt tokens that all of the kind share
	MaxSuffix    int // prompt tokens of the caller's own, at most
	MaxTokens    int
	MinSuffix    int // the least of the caller's own tokens
	Prefixes     int // how many shared beginnings there are, if not one
}

// LoadOptions say what to send.
type LoadOptions struct {
	Host     host.Host
	Nodes    func(zone ids.Zone) []string // ready ones, those of the caller's zone if it has any
	Zones    []ids.Zone                   // where callers are; none: anywhere
	Classes  []StreamClass
	Rate     float64 // arrivals a second
	Duration time.Duration
	Seed     uint64
	Model    string
	Weights  []string // any that may answer
	Retries  int      // how often a bounced caller comes back when told
	Timeout  time.Duration
}

// TimedOut is the end of a call whose caller's own patience was over first.
const TimedOut = "left"

// Outcome of one call.
type Outcome struct {
	Kind       string
	Key        string
	At         time.Duration
	FirstToken time.Duration
	Duration   time.Duration
	End        string // complete, broken, unknown, bounced, cut, left, wrong
	Detail     string
	Tokens     []int32
	Attempts   int
	Node       string // the last that was asked
}

// Summary is what a load comes to.
type Summary struct {
	Sent    int                    `json:"sent"`
	Ends    map[string]int         `json:"ends"`
	Kinds   map[string]KindSummary `json:"kinds"`
	Details map[string]int         `json:"details,omitempty"`
}

// KindSummary is the part of a summary for one kind of stream. Times are in milliseconds from the
// planned arrival: to the first piece, and to the end.
type KindSummary struct {
	Sent        int     `json:"sent"`
	Complete    int     `json:"complete"`
	FirstP50    float64 `json:"firstP50Ms"`
	FirstP99    float64 `json:"firstP99Ms"`
	DurationP99 float64 `json:"wholeP99Ms"`
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
		base := int32(len(class.Kind) * 1000)
		if class.Prefixes > 1 {
			base += int32(rng.IntN(class.Prefixes) * 7919)
		}
		for j := range class.SharedPrefix {
			request.PromptIds = append(request.PromptIds, base+int32(j)+1)
		}
		for range max(1, class.MinSuffix) + rng.IntN(class.MaxSuffix) {
			request.PromptIds = append(request.PromptIds, 1+rng.Int32N(50000))
		}
		if class.KeyRequired {
			request.Key = fmt.Sprintf("c%d-%d", o.Seed, i)
		}
		out = append(out, plannedRequest{at, class, request})
	}
}

// Load sends it all and waits for every answer.
func Load(ctx context.Context, o LoadOptions) []Outcome {
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

func sendWithRetries(ctx context.Context, o *LoadOptions, client *http.Client, planned *plannedRequest, start time.Time, index uint64) Outcome {
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
	if outcome.End == api.Complete && !o.matchesReference(planned, outcome.Tokens) {
		outcome.End, outcome.Detail = "wrong", fmt.Sprintf("tokens %v", outcome.Tokens)
	}
	return outcome
}

// matchesReference holds an answer against the run that never moved.
func (o *LoadOptions) matchesReference(planned *plannedRequest, tokens []int32) bool {
	for _, w := range o.Weights {
		reference := ReferenceOutput(planned.request.PromptIds, planned.request.MaxTokens, planned.request.Seed, planned.request.Temperature, o.Model, w, planned.request.Adapters)
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

// Pauses of a caller before it comes back, where no answer said how long.
const (
	delayNoNode     = 500 * time.Millisecond
	delayNotDialled = 300 * time.Millisecond
	delayAfterCut   = time.Second // claimed kinds only
)

// sendOnce asks once; it returns how long to wait before asking again, if at all.
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
		outcome.End, outcome.Detail = "bounced", "no door"
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

// recordNoResponse notes that a call had no answer at all.
func (r *Outcome) recordNoResponse(err error, planned *plannedRequest) time.Duration {
	if rpc.IsDialError(err) {
		r.End, r.Detail = "bounced", "door is shut"
		return delayNotDialled
	}
	r.End, r.Detail = "cut", "no answer"
	return planned.delayAfterCut()
}

// delayAfterCut is when a caller comes back after an answer that was cut: only a request with a
// key may be repeated.
func (c *plannedRequest) delayAfterCut() time.Duration {
	if c.class.KeyRequired {
		return delayAfterCut
	}
	return 0
}

// recordRejection notes a refusal. A caller whose claimed request was surely not run takes a new key.
func (r *Outcome) recordRejection(body io.Reader, planned *plannedRequest) time.Duration {
	var f struct {
		Error struct {
			Name  string
			After int64 `json:"retryAfterMs"`
		}
	}
	b, _ := io.ReadAll(body)
	json.Unmarshal(b, &f)
	r.End, r.Detail = "bounced", f.Error.Name
	if f.Error.Name == "not-run" {
		planned.request.Key += "+"
		r.Key = planned.request.Key
	}
	return time.Duration(f.Error.After) * time.Millisecond
}

// readStream takes the lines of a stream up to its end.
func (r *Outcome) readStream(body io.Reader, planned *plannedRequest, due time.Time) time.Duration {
	r.Tokens, r.End, r.Detail = nil, "cut", "the stream stopped"
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		var event api.StreamEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			r.End, r.Detail = "wrong", "garbage"
			return 0
		}
		if event.Index != len(r.Tokens) {
			r.End, r.Detail = "wrong", fmt.Sprintf("piece %d where %d was due", event.Index, len(r.Tokens))
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
	return planned.delayAfterCut()
}

// recordEnd takes the last line of a stream.
func (r *Outcome) recordEnd(last *api.StreamEvent, planned *plannedRequest) time.Duration {
	r.End, r.Detail = last.End, ""
	if last.Error != nil {
		r.Detail = last.Error.Name
	}
	if last.End == api.Complete && last.Count != len(r.Tokens) {
		r.End = "wrong"
	}
	if last.End == api.Unknown && planned.class.KeyRequired && last.Error != nil && last.Error.After > 0 {
		return time.Duration(last.Error.After) * time.Millisecond
	}
	return 0
}

// Summarize counts outcomes and gives percentiles by kind.
func Summarize(all []Outcome) Summary {
	summary := Summary{Sent: len(all), Ends: map[string]int{}, Kinds: map[string]KindSummary{}, Details: map[string]int{}}
	first, complete := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, o := range all {
		summary.Ends[o.End]++
		if o.End != api.Complete {
			summary.Details[o.End+": "+o.Detail]++
		}
		k := summary.Kinds[o.Kind]
		k.Sent++
		if o.End == api.Complete {
			k.Complete++
			first[o.Kind] = append(first[o.Kind], o.FirstToken)
			complete[o.Kind] = append(complete[o.Kind], o.Duration)
		}
		summary.Kinds[o.Kind] = k
	}
	for n, k := range summary.Kinds {
		k.FirstP50, k.FirstP99, k.DurationP99 = Quantile(first[n], 0.5), Quantile(first[n], 0.99), Quantile(complete[n], 0.99)
		summary.Kinds[n] = k
	}
	return summary
}

// Quantile in milliseconds.
func Quantile(samples []time.Duration, q float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	samples = append([]time.Duration(nil), samples...)
	sort.Slice(samples, func(i, j int) bool { return samples[i] < samples[j] })
	return float64(samples[int(q*float64(len(samples)-1))].Microseconds()) / 1000
}

// Site is one of the two deployments, in the sizes of today.
type Site struct {
	Name    string
	Zones   []ids.Zone
	Nodes   int // machines without a disk
	Prefill int
	Decode  int
	Model   string
	Classes []StreamClass
}

// Sites are the two.
var Sites = map[string]Site{
	"vatuloa": {
		Name:    "vatuloa",
		Zones:   []ids.Zone{"hall-a", "hall-b", "hall-c"},
		Nodes:   7,
		Prefill: 6,
		Decode:  6,
		Model:   "bridge-8b",
		Classes: []StreamClass{
			{Kind: "verdict", KeyRequired: true, Percent: 45, SharedPrefix: 384, MaxSuffix: 640, MaxTokens: 2},
			{Kind: "clarification", Percent: 55, SharedPrefix: 96, MaxSuffix: 48, MaxTokens: 24},
		},
	},
	"almaty": {
		Name:    "almaty",
		Zones:   []ids.Zone{"alatau", "medeu", "bostandyk"},
		Nodes:   6,
		Prefill: 4,
		Decode:  5,
		Model:   "scooter-8b",
		Classes: []StreamClass{
			{Kind: "ruling", KeyRequired: true, Percent: 45, SharedPrefix: 320, MaxSuffix: 480, MaxTokens: 2},
			{Kind: "rider", Percent: 55, SharedPrefix: 128, MaxSuffix: 48, MaxTokens: 24},
		},
	},
}
