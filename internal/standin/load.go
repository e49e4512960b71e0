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
		n, sh := rng.IntN(100), o.Classes[len(o.Classes)-1]
		for _, s := range o.Classes {
			if n -= s.Percent; n < 0 {
				sh = s
				break
			}
		}
		a := api.StreamRequest{Kind: sh.Kind, MaxTokens: sh.MaxTokens, Seed: rng.Uint64() >> 12}
		base := int32(len(sh.Kind) * 1000)
		if sh.Prefixes > 1 {
			base += int32(rng.IntN(sh.Prefixes) * 7919)
		}
		for j := range sh.SharedPrefix {
			a.PromptIds = append(a.PromptIds, base+int32(j)+1)
		}
		for range max(1, sh.MinSuffix) + rng.IntN(sh.MaxSuffix) {
			a.PromptIds = append(a.PromptIds, 1+rng.Int32N(50000))
		}
		if sh.KeyRequired {
			a.Key = fmt.Sprintf("c%d-%d", o.Seed, i)
		}
		out = append(out, plannedRequest{at, sh, a})
	}
}

// Load sends it all and waits for every answer.
func Load(ctx context.Context, o LoadOptions) []Outcome {
	web := rpc.NewHTTPClient(o.Host.Net)
	defer web.CloseIdleConnections()
	if o.Timeout == 0 {
		o.Timeout = 20 * time.Second
	}
	calls := planRequests(&o)
	out := make([]Outcome, len(calls))
	start := time.Now()
	var wg sync.WaitGroup
	for i, c := range calls {
		if !host.Sleep(ctx, time.Until(start.Add(c.at))) {
			out = out[:i]
			break
		}
		wg.Go(func() { out[i] = sendWithRetries(ctx, &o, web, &c, start, uint64(i)) })
	}
	wg.Wait()
	return out
}

func sendWithRetries(ctx context.Context, o *LoadOptions, web *http.Client, c *plannedRequest, start time.Time, n uint64) Outcome {
	rng := rand.New(rand.NewPCG(o.Seed, n+100))
	r := Outcome{Kind: c.request.Kind, Key: c.request.Key, At: c.at}
	zone := ids.Zone("")
	if len(o.Zones) > 0 {
		zone = o.Zones[rng.IntN(len(o.Zones))]
	}
	cx, stop := context.WithTimeout(ctx, o.Timeout)
	defer stop()
	due := start.Add(c.at)
	for {
		r.Attempts++
		again := sendOnce(cx, o, web, c, &r, due, rng, zone)
		if again <= 0 || r.Attempts > o.Retries || !host.Sleep(cx, again) {
			break
		}
	}
	if r.End == "cut" && cx.Err() != nil && ctx.Err() == nil {
		r.End = TimedOut
	}
	if r.End == api.Complete && !o.matchesReference(c, r.Tokens) {
		r.End, r.Detail = "wrong", fmt.Sprintf("tokens %v", r.Tokens)
	}
	return r
}

// matchesReference holds an answer against the run that never moved.
func (o *LoadOptions) matchesReference(c *plannedRequest, toks []int32) bool {
	for _, w := range o.Weights {
		solo := ReferenceOutput(c.request.PromptIds, c.request.MaxTokens, c.request.Seed, c.request.Temperature, o.Model, w, c.request.Adapters)
		if len(solo) == len(toks) {
			same := true
			for i := range solo {
				same = same && solo[i] == toks[i]
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
	web *http.Client,
	c *plannedRequest,
	r *Outcome,
	due time.Time,
	rng *rand.Rand,
	zone ids.Zone,
) time.Duration {
	doors := o.Nodes(zone)
	if len(doors) == 0 {
		r.End, r.Detail = "bounced", "no door"
		return delayNoNode
	}
	body, _ := json.Marshal(c.request)
	r.Node = doors[rng.IntN(len(doors))]
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Node+"/v1/streams", bytes.NewReader(body))
	a, err := web.Do(q)
	if err != nil {
		return r.recordNoResponse(err, c)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return r.recordRejection(a.Body, c)
	}
	return r.readStream(a.Body, c, due)
}

// recordNoResponse notes that a call had no answer at all.
func (r *Outcome) recordNoResponse(err error, c *plannedRequest) time.Duration {
	if rpc.IsDialError(err) {
		r.End, r.Detail = "bounced", "door is shut"
		return delayNotDialled
	}
	r.End, r.Detail = "cut", "no answer"
	return c.delayAfterCut()
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
func (r *Outcome) recordRejection(body io.Reader, c *plannedRequest) time.Duration {
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
		c.request.Key += "+"
		r.Key = c.request.Key
	}
	return time.Duration(f.Error.After) * time.Millisecond
}

// readStream takes the lines of a stream up to its end.
func (r *Outcome) readStream(body io.Reader, c *plannedRequest, due time.Time) time.Duration {
	r.Tokens, r.End, r.Detail = nil, "cut", "the stream stopped"
	rows := bufio.NewScanner(body)
	for rows.Scan() {
		var l api.StreamEvent
		if err := json.Unmarshal(rows.Bytes(), &l); err != nil {
			r.End, r.Detail = "wrong", "garbage"
			return 0
		}
		if l.Index != len(r.Tokens) {
			r.End, r.Detail = "wrong", fmt.Sprintf("piece %d where %d was due", l.Index, len(r.Tokens))
			return 0
		}
		if l.End != "" {
			r.Duration = time.Since(due)
			return r.recordEnd(&l, c)
		}
		if len(r.Tokens) == 0 && r.FirstToken == 0 {
			r.FirstToken = time.Since(due)
		}
		r.Tokens = append(r.Tokens, l.Token)
	}
	return c.delayAfterCut()
}

// recordEnd takes the last line of a stream.
func (r *Outcome) recordEnd(last *api.StreamEvent, c *plannedRequest) time.Duration {
	r.End, r.Detail = last.End, ""
	if last.Error != nil {
		r.Detail = last.Error.Name
	}
	if last.End == api.Complete && last.Count != len(r.Tokens) {
		r.End = "wrong"
	}
	if last.End == api.Unknown && c.class.KeyRequired && last.Error != nil && last.Error.After > 0 {
		return time.Duration(last.Error.After) * time.Millisecond
	}
	return 0
}

// Summarize counts outcomes and gives percentiles by kind.
func Summarize(all []Outcome) Summary {
	s := Summary{Sent: len(all), Ends: map[string]int{}, Kinds: map[string]KindSummary{}, Details: map[string]int{}}
	first, complete := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, o := range all {
		s.Ends[o.End]++
		if o.End != api.Complete {
			s.Details[o.End+": "+o.Detail]++
		}
		k := s.Kinds[o.Kind]
		k.Sent++
		if o.End == api.Complete {
			k.Complete++
			first[o.Kind] = append(first[o.Kind], o.FirstToken)
			complete[o.Kind] = append(complete[o.Kind], o.Duration)
		}
		s.Kinds[o.Kind] = k
	}
	for n, k := range s.Kinds {
		k.FirstP50, k.FirstP99, k.DurationP99 = Quantile(first[n], 0.5), Quantile(first[n], 0.99), Quantile(complete[n], 0.99)
		s.Kinds[n] = k
	}
	return s
}

// Quantile in milliseconds.
func Quantile(row []time.Duration, q float64) float64 {
	if len(row) == 0 {
		return 0
	}
	row = append([]time.Duration(nil), row...)
	sort.Slice(row, func(i, j int) bool { return row[i] < row[j] })
	return float64(row[int(q*float64(len(row)-1))].Microseconds()) / 1000
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
