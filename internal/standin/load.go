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

// Shape is one kind of stream as callers send it.
type Shape struct {
	Kind    string
	Claimed bool
	Share   int // of 100
	Shared  int // prompt tokens that all of the kind share
	Own     int // prompt tokens of the caller's own, at most
	Max     int
	Long    int // the least of the caller's own tokens
	Stems   int // how many shared beginnings there are, if not one
}

// LoadOptions say what to send.
type LoadOptions struct {
	Host     host.Host
	Doors    func(zone ids.Zone) []string // ready ones, those of the caller's zone if it has any
	Zones    []ids.Zone                   // where callers are; none: anywhere
	Shapes   []Shape
	Rate     float64 // arrivals a second
	Duration time.Duration
	Seed     uint64
	Model    string
	Weights  []string // any that may answer
	Retries  int      // how often a bounced caller comes back when told
	Patient  time.Duration
}

// Left is the end of a call whose caller's own patience was over first.
const Left = "left"

// Outcome of one call.
type Outcome struct {
	Kind     string
	Key      string
	At       time.Duration
	First    time.Duration
	Complete time.Duration
	End      string // complete, broken, unknown, bounced, cut, left, wrong
	Detail   string
	Tokens   []int32
	Attempts int
	Node     string // the last that was asked
}

// Summary is what a load comes to.
type Summary struct {
	Sent    int                `json:"sent"`
	Ends    map[string]int     `json:"ends"`
	Kinds   map[string]KindSum `json:"kinds"`
	Details map[string]int     `json:"details,omitempty"`
}

// KindSum is the part of a summary for one kind of stream. Times are in milliseconds from the
// planned arrival: to the first piece, and to the end.
type KindSum struct {
	Sent     int     `json:"sent"`
	Complete int     `json:"complete"`
	FirstP50 float64 `json:"firstP50Ms"`
	FirstP99 float64 `json:"firstP99Ms"`
	WholeP99 float64 `json:"wholeP99Ms"`
}

type call struct {
	at    time.Duration
	shape Shape
	ask   api.StreamRequest
}

func plan(o *LoadOptions) []call {
	rng := rand.New(rand.NewPCG(o.Seed, 7))
	var out []call
	for at, i := time.Duration(0), 0; ; i++ {
		at += time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second))
		if at >= o.Duration {
			return out
		}
		n, sh := rng.IntN(100), o.Shapes[len(o.Shapes)-1]
		for _, s := range o.Shapes {
			if n -= s.Share; n < 0 {
				sh = s
				break
			}
		}
		a := api.StreamRequest{Kind: sh.Kind, MaxTokens: sh.Max, Seed: rng.Uint64() >> 12}
		base := int32(len(sh.Kind) * 1000)
		if sh.Stems > 1 {
			base += int32(rng.IntN(sh.Stems) * 7919)
		}
		for j := range sh.Shared {
			a.PromptIds = append(a.PromptIds, base+int32(j)+1)
		}
		for range max(1, sh.Long) + rng.IntN(sh.Own) {
			a.PromptIds = append(a.PromptIds, 1+rng.Int32N(50000))
		}
		if sh.Claimed {
			a.Key = fmt.Sprintf("c%d-%d", o.Seed, i)
		}
		out = append(out, call{at, sh, a})
	}
}

// Load sends it all and waits for every answer.
func Load(ctx context.Context, o LoadOptions) []Outcome {
	web := rpc.NewHTTPClient(o.Host.Net)
	defer web.CloseIdleConnections()
	if o.Patient == 0 {
		o.Patient = 20 * time.Second
	}
	calls := plan(&o)
	out := make([]Outcome, len(calls))
	start := time.Now()
	var wg sync.WaitGroup
	for i, c := range calls {
		if !host.Sleep(ctx, time.Until(start.Add(c.at))) {
			out = out[:i]
			break
		}
		wg.Go(func() { out[i] = one(ctx, &o, web, &c, start, uint64(i)) })
	}
	wg.Wait()
	return out
}

func one(ctx context.Context, o *LoadOptions, web *http.Client, c *call, start time.Time, n uint64) Outcome {
	rng := rand.New(rand.NewPCG(o.Seed, n+100))
	r := Outcome{Kind: c.ask.Kind, Key: c.ask.Key, At: c.at}
	zone := ids.Zone("")
	if len(o.Zones) > 0 {
		zone = o.Zones[rng.IntN(len(o.Zones))]
	}
	cx, stop := context.WithTimeout(ctx, o.Patient)
	defer stop()
	due := start.Add(c.at)
	for {
		r.Attempts++
		again := knock(cx, o, web, c, &r, due, rng, zone)
		if again <= 0 || r.Attempts > o.Retries || !host.Sleep(cx, again) {
			break
		}
	}
	if r.End == "cut" && cx.Err() != nil && ctx.Err() == nil {
		r.End = Left
	}
	if r.End == api.Complete && !o.complete(c, r.Tokens) {
		r.End, r.Detail = "wrong", fmt.Sprintf("tokens %v", r.Tokens)
	}
	return r
}

// complete holds an answer against the run that never moved.
func (o *LoadOptions) complete(c *call, toks []int32) bool {
	for _, w := range o.Weights {
		solo := Solo(c.ask.PromptIds, c.ask.MaxTokens, c.ask.Seed, c.ask.Temperature, o.Model, w, c.ask.Adapters)
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
	delayAfterReset = time.Second // claimed kinds only
)

// knock asks once; it returns how long to wait before asking again, if at all.
func knock(
	ctx context.Context,
	o *LoadOptions,
	web *http.Client,
	c *call,
	r *Outcome,
	due time.Time,
	rng *rand.Rand,
	zone ids.Zone,
) time.Duration {
	doors := o.Doors(zone)
	if len(doors) == 0 {
		r.End, r.Detail = "bounced", "no door"
		return delayNoNode
	}
	body, _ := json.Marshal(c.ask)
	r.Node = doors[rng.IntN(len(doors))]
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Node+"/v1/streams", bytes.NewReader(body))
	a, err := web.Do(q)
	if err != nil {
		return r.unanswered(err, c)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return r.refused(a.Body, c)
	}
	return r.read(a.Body, c, due)
}

// unanswered notes that a call had no answer at all.
func (r *Outcome) unanswered(err error, c *call) time.Duration {
	if rpc.IsDialError(err) {
		r.End, r.Detail = "bounced", "door is shut"
		return delayNotDialled
	}
	r.End, r.Detail = "cut", "no answer"
	return c.afterReset()
}

// afterReset is when a caller comes back after an answer that was cut: only a request with a
// key may be repeated.
func (c *call) afterReset() time.Duration {
	if c.shape.Claimed {
		return delayAfterReset
	}
	return 0
}

// refused notes a refusal. A caller whose claimed request was surely not run takes a new key.
func (r *Outcome) refused(body io.Reader, c *call) time.Duration {
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
		c.ask.Key += "+"
		r.Key = c.ask.Key
	}
	return time.Duration(f.Error.After) * time.Millisecond
}

// read takes the lines of a stream up to its end.
func (r *Outcome) read(body io.Reader, c *call, due time.Time) time.Duration {
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
			r.Complete = time.Since(due)
			return r.finish(&l, c)
		}
		if len(r.Tokens) == 0 && r.First == 0 {
			r.First = time.Since(due)
		}
		r.Tokens = append(r.Tokens, l.Token)
	}
	return c.afterReset()
}

// finish takes the last line of a stream.
func (r *Outcome) finish(last *api.StreamEvent, c *call) time.Duration {
	r.End, r.Detail = last.End, ""
	if last.Error != nil {
		r.Detail = last.Error.Name
	}
	if last.End == api.Complete && last.Count != len(r.Tokens) {
		r.End = "wrong"
	}
	if last.End == api.Unknown && c.shape.Claimed && last.Error != nil && last.Error.After > 0 {
		return time.Duration(last.Error.After) * time.Millisecond
	}
	return 0
}

// Sum counts outcomes and gives percentiles by kind.
func Sum(all []Outcome) Summary {
	s := Summary{Sent: len(all), Ends: map[string]int{}, Kinds: map[string]KindSum{}, Details: map[string]int{}}
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
			first[o.Kind] = append(first[o.Kind], o.First)
			complete[o.Kind] = append(complete[o.Kind], o.Complete)
		}
		s.Kinds[o.Kind] = k
	}
	for n, k := range s.Kinds {
		k.FirstP50, k.FirstP99, k.WholeP99 = Quantile(first[n], 0.5), Quantile(first[n], 0.99), Quantile(complete[n], 0.99)
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
	Shapes  []Shape
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
		Shapes: []Shape{
			{Kind: "verdict", Claimed: true, Share: 45, Shared: 384, Own: 640, Max: 2},
			{Kind: "clarification", Share: 55, Shared: 96, Own: 48, Max: 24},
		},
	},
	"almaty": {
		Name:    "almaty",
		Zones:   []ids.Zone{"alatau", "medeu", "bostandyk"},
		Nodes:   6,
		Prefill: 4,
		Decode:  5,
		Model:   "scooter-8b",
		Shapes: []Shape{
			{Kind: "ruling", Claimed: true, Share: 45, Shared: 320, Own: 480, Max: 2},
			{Kind: "rider", Share: 55, Shared: 128, Own: 48, Max: 24},
		},
	},
}
