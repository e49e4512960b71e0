// The stand-in worker, held against what the hand-over paper's own tests prove and
// what the paper leaves open: arrival, lost memory, orphans, fences.

package standin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/internal/workerclient"
	"keelstair.example/rpc"
)

// pairOf runs a prefill and a decode worker and gives a client to drive them.
type pairOf struct {
	p, d   *Worker
	pa, da string
	r      *workerclient.Client
	ctx    context.Context
}

func twin(t *testing.T, room int, f func(*pairOf)) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated.NewWorld(1)
		ctx, stop := context.WithCancel(context.Background())
		x := &pairOf{pa: "10.0.0.1:90", da: "10.0.0.2:90", ctx: ctx}
		for i, part := range []ids.Role{ids.Prefill, ids.Decode} {
			host := w.Machine(fmt.Sprintf("10.0.0.%d", i+1)).Start().Host()
			addr := fmt.Sprintf("10.0.0.%d:90", i+1)
			k := NewWorker(WorkerOptions{
				ID:       ids.WorkerID(part),
				Addr:     addr,
				Role:     part,
				Capacity: room,
				Host:     host,
				Model:    workerclient.Model{Name: "m", Weights: "w1"},
			})
			l, err := host.Net.Listen(addr)
			require.NoError(t, err)
			go rpc.Serve(ctx, l, k.Handler())
			go k.Run(ctx)
			if part == ids.Prefill {
				x.p = k
			} else {
				x.d = k
			}
		}
		me := w.Machine("10.0.0.9").Start()
		x.r = workerclient.New(me.Host().Net)
		defer func() {
			stop()
			x.r.Close()
			me.Kill()
			for i := range 2 {
				w.Machine(fmt.Sprintf("10.0.0.%d", i+1)).PowerOff()
			}
			time.Sleep(10 * time.Second) // simulated: what is under way runs out
		}()
		f(x)
	})
}

func (x *pairOf) identity(name string, prompt, max int) workerclient.Identity {
	m := workerclient.Identity{
		ID:     workerclient.ID{Request: name, Attempt: 1},
		Params: workerclient.Params{MaxTokens: max, Seed: 7},
		Model:  workerclient.Model{Name: "m", Weights: "w1"},
	}
	for i := range prompt {
		m.Prompt = append(m.Prompt, int32(i*31%997+len(name)))
	}
	return m
}

func (x *pairOf) read(t *testing.T, m workerclient.Identity) workerclient.Identity {
	_, err := x.r.Prefill(x.ctx, x.pa, &workerclient.PrefillRequest{
		OrderHeader: workerclient.OrderHeader{Fence: 1},
		Identity:    m,
	})
	require.NoError(t, err)
	a, err := x.r.Export(x.ctx, x.pa, &workerclient.ExportRequest{
		OrderHeader: workerclient.OrderHeader{Fence: 1},
		ID:          m.ID,
	})
	require.NoError(t, err)
	return *a.Identity
}

func (x *pairOf) move(m workerclient.Identity) error {
	_, err := x.r.Import(x.ctx, x.da, &workerclient.ImportRequest{
		OrderHeader: workerclient.OrderHeader{Fence: 1},
		Identity:    m,
		Source:      x.pa,
	})
	return err
}

func (x *pairOf) resume(m workerclient.Identity) error {
	_, err := x.r.Resume(x.ctx, x.da, &workerclient.IDRequest{
		OrderHeader: workerclient.OrderHeader{Fence: 1},
		ID:          m.ID,
	})
	return err
}

func (x *pairOf) rest(t *testing.T, m workerclient.Identity) []int32 {
	out := append([]int32(nil), m.Output...)
	require.NoError(t, x.r.Stream(x.ctx, x.da, m.ID, len(out), time.Second, func(p workerclient.TokenEvent) error {
		if p.End == "" {
			out = append(out, p.Token)
		}
		return nil
	}))
	return out
}

func solo(m workerclient.Identity) []int32 {
	return Solo(
		m.Prompt,
		m.Params.MaxTokens,
		m.Params.Seed,
		m.Params.Temperature,
		m.Model.Name,
		m.Model.Weights,
		m.Model.Adapters,
	)
}

// TestSameTokens: after prefill plus one step, and again in mid-decode, the
// request that moved gives what a run that never moved gives. The source is
// clean, and the destination pays exactly the block bill.
func TestSameTokens(t *testing.T) {
	twin(t, 64, func(x *pairOf) {
		for _, sent := range []int{0, 1, 3, 5} {
			m := x.identity(fmt.Sprintf("r%d", sent), 100, 8)
			complete := solo(m)
			require.Greater(t, len(complete), sent)
			m.Output = complete[:sent:sent]
			got := x.read(t, m)
			require.Zero(t, x.p.Used(), "the source must come back clean")
			require.NoError(t, x.move(got))
			require.Equal(t, ids.Blocks(got.Computed, 16), x.d.Used(), "the bill is ceil(computed / block size)")
			require.NoError(t, x.resume(got))
			require.Equal(t, complete, x.rest(t, got))
			require.Zero(t, x.d.Used())
		}
	})
}

// TestLoudImport: what does not fit whole, answer included, is refused at the
// import, before any token; and nothing is taken.
func TestLoudImport(t *testing.T) {
	twin(t, 8, func(x *pairOf) {
		m := x.identity("big", 100, 40)
		got := x.read(t, m)
		err := x.move(got)
		require.True(t, failure.Is(err, failure.NotExecuted), "%v", err)
		require.Zero(t, x.d.Used())
		require.Equal(t, 1, x.d.Tallies()["big"].Bounced)
		fit := x.read(t, x.identity("fits", 100, 20))
		require.NoError(t, x.move(fit))
	})
}

// TestArrivalFence: attention waits for every byte. The planted worker that
// hurries gives other tokens, so the check can fail.
func TestArrivalFence(t *testing.T) {
	twin(t, 64, func(x *pairOf) {
		x.p.Order(Faults{Speed: 20_000})
		m := x.read(t, x.identity("slow", 200, 8))
		require.NoError(t, x.move(m))
		require.NoError(t, x.resume(m))
		require.Equal(t, solo(m), x.rest(t, m))
		x.d.Order(Faults{Hurry: true})
		m = x.read(t, x.identity("hurried", 200, 8))
		require.NoError(t, x.move(m))
		require.NoError(t, x.resume(m))
		require.NotEqual(t, solo(m), x.rest(t, m))
	})
}

// TestSpoilt: memory whose digest is off, or that breaks off, is never resumed.
func TestSpoilt(t *testing.T) {
	for _, f := range []Faults{{Corrupt: true}, {Drop: true}} {
		twin(t, 64, func(x *pairOf) {
			x.p.Order(f)
			m := x.read(t, x.identity("spoilt", 100, 8))
			require.NoError(t, x.move(m))
			require.True(t, failure.Is(x.resume(m), failure.DataLost))
			require.Zero(t, x.d.Used())
			require.Zero(t, x.d.Tallies()["spoilt"].Runs)
		})
	}
}

// TestOrphans: an import that is never resumed and a run that nobody reads end
// by themselves, and a cancelled attempt can never start.
func TestOrphans(t *testing.T) {
	twin(t, 64, func(x *pairOf) {
		m := x.read(t, x.identity("left", 100, 8))
		require.NoError(t, x.move(m))
		time.Sleep(3 * time.Second)
		require.Zero(t, x.d.Used())
		require.True(t, failure.Is(x.resume(m), failure.DataLost))
		m = x.read(t, x.identity("stopped", 100, 8))
		a, err := x.r.Cancel(x.ctx, x.da, &workerclient.IDRequest{
			OrderHeader: workerclient.OrderHeader{Fence: 1},
			ID:          m.ID,
		})
		require.NoError(t, err)
		require.Equal(t, workerclient.FateNever, a.Fate)
		require.True(t, failure.Is(x.move(m), failure.DataLost))
	})
}

// TestFence: an order under an older fence is refused and changes nothing.
func TestFence(t *testing.T) {
	twin(t, 64, func(x *pairOf) {
		_, err := x.r.SetRole(x.ctx, x.da, &workerclient.RoleRequest{
			OrderHeader: workerclient.OrderHeader{Fence: 5},
			Role:        ids.Decode,
		})
		require.NoError(t, err)
		m := x.read(t, x.identity("old", 100, 8))
		require.True(t, failure.Is(x.move(m), failure.Stale))
		require.Zero(t, x.d.Used())
	})
}

// TestBadOrders: what is malformed or for another model is named and refused.
func TestBadOrders(t *testing.T) {
	twin(t, 64, func(x *pairOf) {
		m := x.identity("other", 10, 4)
		m.Model.Weights = "w9"
		_, err := x.r.Prefill(x.ctx, x.pa, &workerclient.PrefillRequest{
			OrderHeader: workerclient.OrderHeader{Fence: 1},
			Identity:    m,
		})
		require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
		x.d.Order(Faults{Garbage: true})
		_, err = x.r.Report(x.ctx, x.da)
		require.ErrorContains(t, err, "garbage")
		require.Equal(t, x.da, failure.Peer(err))
	})
}
