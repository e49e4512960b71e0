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

// fixture runs a prefill and a decode worker and gives a client to drive them.
type fixture struct {
	prefill, decode         *Worker
	prefillAddr, decodeAddr string
	client                  *workerclient.Client
	ctx                     context.Context
}

func withWorkers(t *testing.T, capacity int, test func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		world := simulated.NewWorld(1)
		ctx, stop := context.WithCancel(context.Background())
		x := &fixture{prefillAddr: "10.0.0.1:90", decodeAddr: "10.0.0.2:90", ctx: ctx}
		for i, role := range []ids.Role{ids.Prefill, ids.Decode} {
			host := world.Machine(fmt.Sprintf("10.0.0.%d", i+1)).Start().Host()
			addr := fmt.Sprintf("10.0.0.%d:90", i+1)
			worker := NewWorker(WorkerOptions{
				ID:       ids.WorkerID(role),
				Addr:     addr,
				Role:     role,
				Capacity: capacity,
				Host:     host,
				Model:    workerclient.Model{Name: "m", Weights: "w1"},
			})
			l, err := host.Net.Listen(addr)
			require.NoError(t, err)
			go rpc.Serve(ctx, l, worker.Handler())
			go worker.Run(ctx)
			if role == ids.Prefill {
				x.prefill = worker
			} else {
				x.decode = worker
			}
		}
		clientMachine := world.Machine("10.0.0.9").Start()
		x.client = workerclient.New(clientMachine.Host().Net)
		defer func() {
			stop()
			x.client.Close()
			clientMachine.Kill()
			for i := range 2 {
				world.Machine(fmt.Sprintf("10.0.0.%d", i+1)).PowerOff()
			}
			time.Sleep(10 * time.Second) // simulated: what is under way runs out
		}()
		test(x)
	})
}

func (x *fixture) identity(name string, prompt, max int) workerclient.Identity {
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

func (x *fixture) prefillAndExport(t *testing.T, m workerclient.Identity) workerclient.Identity {
	_, err := x.client.Prefill(x.ctx, x.prefillAddr, &workerclient.PrefillRequest{
		OrderHeader: workerclient.OrderHeader{Fence: 1},
		Identity:    m,
	})
	require.NoError(t, err)
	a, err := x.client.Export(x.ctx, x.prefillAddr, &workerclient.ExportRequest{
		OrderHeader: workerclient.OrderHeader{Fence: 1},
		ID:          m.ID,
	})
	require.NoError(t, err)
	return *a.Identity
}

func (x *fixture) importKV(m workerclient.Identity) error {
	_, err := x.client.Import(x.ctx, x.decodeAddr, &workerclient.ImportRequest{
		OrderHeader: workerclient.OrderHeader{Fence: 1},
		Identity:    m,
		Source:      x.prefillAddr,
	})
	return err
}

func (x *fixture) resume(m workerclient.Identity) error {
	_, err := x.client.Resume(x.ctx, x.decodeAddr, &workerclient.IDRequest{
		OrderHeader: workerclient.OrderHeader{Fence: 1},
		ID:          m.ID,
	})
	return err
}

func (x *fixture) streamRest(t *testing.T, m workerclient.Identity) []int32 {
	out := append([]int32(nil), m.Output...)
	require.NoError(t, x.client.Stream(x.ctx, x.decodeAddr, m.ID, len(out), time.Second, func(p workerclient.TokenEvent) error {
		if p.End == "" {
			out = append(out, p.Token)
		}
		return nil
	}))
	return out
}

func referenceOutput(m workerclient.Identity) []int32 {
	return ReferenceOutput(
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
	withWorkers(t, 64, func(x *fixture) {
		for _, sent := range []int{0, 1, 3, 5} {
			m := x.identity(fmt.Sprintf("r%d", sent), 100, 8)
			reference := referenceOutput(m)
			require.Greater(t, len(reference), sent)
			m.Output = reference[:sent:sent]
			got := x.prefillAndExport(t, m)
			require.Zero(t, x.prefill.UsedBlocks(), "the source must come back clean")
			require.NoError(t, x.importKV(got))
			require.Equal(t, ids.Blocks(got.Computed, 16), x.decode.UsedBlocks(), "the bill is ceil(computed / block size)")
			require.NoError(t, x.resume(got))
			require.Equal(t, reference, x.streamRest(t, got))
			require.Zero(t, x.decode.UsedBlocks())
		}
	})
}

// TestImportWithoutCapacity: what does not fit whole, answer included, is refused at the
// import, before any token; and nothing is taken.
func TestImportWithoutCapacity(t *testing.T) {
	withWorkers(t, 8, func(x *fixture) {
		m := x.identity("big", 100, 40)
		got := x.prefillAndExport(t, m)
		err := x.importKV(got)
		require.True(t, failure.Is(err, failure.NotExecuted), "%v", err)
		require.Zero(t, x.decode.UsedBlocks())
		require.Equal(t, 1, x.decode.RequestCounts()["big"].RejectedImports)
		fit := x.prefillAndExport(t, x.identity("fits", 100, 20))
		require.NoError(t, x.importKV(fit))
	})
}

// TestDecodeWaitsForKV: attention waits for every byte. The planted worker that
// hurries gives other tokens, so the check can fail.
func TestDecodeWaitsForKV(t *testing.T) {
	withWorkers(t, 64, func(x *fixture) {
		x.prefill.SetFaults(Faults{TransferRate: 20_000})
		m := x.prefillAndExport(t, x.identity("slow", 200, 8))
		require.NoError(t, x.importKV(m))
		require.NoError(t, x.resume(m))
		require.Equal(t, referenceOutput(m), x.streamRest(t, m))
		x.decode.SetFaults(Faults{SkipArrivalCheck: true})
		m = x.prefillAndExport(t, x.identity("hurried", 200, 8))
		require.NoError(t, x.importKV(m))
		require.NoError(t, x.resume(m))
		require.NotEqual(t, referenceOutput(m), x.streamRest(t, m))
	})
}

// TestFailedTransfer: memory whose digest is off, or that breaks off, is never resumed.
func TestFailedTransfer(t *testing.T) {
	for _, f := range []Faults{{Corrupt: true}, {Drop: true}} {
		withWorkers(t, 64, func(x *fixture) {
			x.prefill.SetFaults(f)
			m := x.prefillAndExport(t, x.identity("spoilt", 100, 8))
			require.NoError(t, x.importKV(m))
			require.True(t, failure.Is(x.resume(m), failure.DataLost))
			require.Zero(t, x.decode.UsedBlocks())
			require.Zero(t, x.decode.RequestCounts()["spoilt"].Runs)
		})
	}
}

// TestOrphans: an import that is never resumed and a run that nobody reads end
// by themselves, and a cancelled attempt can never start.
func TestOrphans(t *testing.T) {
	withWorkers(t, 64, func(x *fixture) {
		m := x.prefillAndExport(t, x.identity("left", 100, 8))
		require.NoError(t, x.importKV(m))
		time.Sleep(3 * time.Second)
		require.Zero(t, x.decode.UsedBlocks())
		require.True(t, failure.Is(x.resume(m), failure.DataLost))
		m = x.prefillAndExport(t, x.identity("stopped", 100, 8))
		a, err := x.client.Cancel(x.ctx, x.decodeAddr, &workerclient.IDRequest{
			OrderHeader: workerclient.OrderHeader{Fence: 1},
			ID:          m.ID,
		})
		require.NoError(t, err)
		require.Equal(t, workerclient.FateNotStarted, a.Fate)
		require.True(t, failure.Is(x.importKV(m), failure.DataLost))
	})
}

// TestFence: an order under an older fence is refused and changes nothing.
func TestFence(t *testing.T) {
	withWorkers(t, 64, func(x *fixture) {
		_, err := x.client.SetRole(x.ctx, x.decodeAddr, &workerclient.RoleRequest{
			OrderHeader: workerclient.OrderHeader{Fence: 5},
			Role:        ids.Decode,
		})
		require.NoError(t, err)
		m := x.prefillAndExport(t, x.identity("old", 100, 8))
		require.True(t, failure.Is(x.importKV(m), failure.Stale))
		require.Zero(t, x.decode.UsedBlocks())
	})
}

// TestInvalidOrders: what is malformed or for another model is named and refused.
func TestInvalidOrders(t *testing.T) {
	withWorkers(t, 64, func(x *fixture) {
		m := x.identity("other", 10, 4)
		m.Model.Weights = "w9"
		_, err := x.client.Prefill(x.ctx, x.prefillAddr, &workerclient.PrefillRequest{
			OrderHeader: workerclient.OrderHeader{Fence: 1},
			Identity:    m,
		})
		require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
		x.decode.SetFaults(Faults{Garbage: true})
		_, err = x.client.Report(x.ctx, x.decodeAddr)
		require.ErrorContains(t, err, "garbage")
		require.Equal(t, x.decodeAddr, failure.Peer(err))
	})
}
