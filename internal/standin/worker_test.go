// These tests check the stand-in worker against the guarantees that the paper on the handoff of requests tests, and
// against those that the paper leaves open: arrival of the KV cache, lost KV cache, orphaned runs and fencing.

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

// fixture is a prefill and a decode worker on a simulated network, with a client that sends them orders.
type fixture struct {
	prefill, decode         *Worker
	prefillAddr, decodeAddr string
	client                  *workerclient.Client
	ctx                     context.Context
}

// withWorkers runs test with a fixture whose workers have capacity cache blocks each.
func withWorkers(t *testing.T, capacity int, test func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		world := simulated.NewWorld(1)
		ctx, stop := context.WithCancel(context.Background())
		fx := &fixture{prefillAddr: "10.0.0.1:90", decodeAddr: "10.0.0.2:90", ctx: ctx}
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
			listener, err := host.Net.Listen(addr)
			require.NoError(t, err)
			go rpc.Serve(ctx, listener, worker.Handler())
			go worker.Run(ctx)
			if role == ids.Prefill {
				fx.prefill = worker
			} else {
				fx.decode = worker
			}
		}
		clientMachine := world.Machine("10.0.0.9").Start()
		fx.client = workerclient.New(clientMachine.Host().Net)
		defer func() {
			stop()
			fx.client.Close()
			clientMachine.Kill()
			for i := range 2 {
				world.Machine(fmt.Sprintf("10.0.0.%d", i+1)).PowerOff()
			}
			time.Sleep(10 * time.Second) // simulated time: goroutines in progress end
		}()
		test(fx)
	})
}

func (fx *fixture) identity(name string, prompt, max int) workerclient.Identity {
	state := workerclient.Identity{
		ID:     workerclient.ID{Request: name, Attempt: 1},
		Params: workerclient.Params{MaxTokens: max, Seed: 7},
		Model:  workerclient.Model{Name: "m", Weights: "w1"},
	}
	for i := range prompt {
		state.Prompt = append(state.Prompt, int32(i*31%997+len(name)))
	}
	return state
}

func (fx *fixture) prefillAndExport(t *testing.T, state workerclient.Identity) workerclient.Identity {
	_, err := fx.client.Prefill(fx.ctx, fx.prefillAddr, &workerclient.PrefillRequest{
		OrderHeader: workerclient.OrderHeader{Fence: 1},
		Identity:    state,
	})
	require.NoError(t, err)
	resp, err := fx.client.Export(fx.ctx, fx.prefillAddr, &workerclient.ExportRequest{
		OrderHeader: workerclient.OrderHeader{Fence: 1},
		ID:          state.ID,
	})
	require.NoError(t, err)
	return *resp.Identity
}

func (fx *fixture) importKV(state workerclient.Identity) error {
	_, err := fx.client.Import(fx.ctx, fx.decodeAddr, &workerclient.ImportRequest{
		OrderHeader: workerclient.OrderHeader{Fence: 1},
		Identity:    state,
		Source:      fx.prefillAddr,
	})
	return err
}

func (fx *fixture) resume(state workerclient.Identity) error {
	_, err := fx.client.Resume(fx.ctx, fx.decodeAddr, &workerclient.IDRequest{
		OrderHeader: workerclient.OrderHeader{Fence: 1},
		ID:          state.ID,
	})
	return err
}

func (fx *fixture) streamRest(t *testing.T, state workerclient.Identity) []int32 {
	out := append([]int32(nil), state.Output...)
	require.NoError(t, fx.client.Stream(
		fx.ctx,
		fx.decodeAddr,
		state.ID,
		len(out),
		time.Second,
		func(event workerclient.TokenEvent) error {
			if event.End == "" {
				out = append(out, event.Token)
			}
			return nil
		},
	))
	return out
}

func referenceOutput(state workerclient.Identity) []int32 {
	return ReferenceOutput(
		state.Prompt,
		state.Params.MaxTokens,
		state.Params.Seed,
		state.Params.Temperature,
		state.Model.Name,
		state.Model.Weights,
		state.Model.Adapters,
	)
}

// TestSameTokens checks that a request that is handed over, after prefill or in the middle of decode, has the same
// output as one that runs on a single worker. The source must have freed all blocks, and the destination must
// allocate exactly the blocks of the computed tokens.
func TestSameTokens(t *testing.T) {
	withWorkers(t, 64, func(fx *fixture) {
		for _, sent := range []int{0, 1, 3, 5} {
			state := fx.identity(fmt.Sprintf("r%d", sent), 100, 8)
			reference := referenceOutput(state)
			require.Greater(t, len(reference), sent)
			state.Output = reference[:sent:sent]
			exported := fx.prefillAndExport(t, state)
			require.Zero(t, fx.prefill.UsedBlocks(), "the source must free all blocks")
			require.NoError(t, fx.importKV(exported))
			require.Equal(
				t,
				ids.Blocks(exported.Computed, 16),
				fx.decode.UsedBlocks(),
				"the import takes ceil(computed / block size) blocks",
			)
			require.NoError(t, fx.resume(exported))
			require.Equal(t, reference, fx.streamRest(t, exported))
			require.Zero(t, fx.decode.UsedBlocks())
		}
	})
}

// TestImportWithoutCapacity checks that a request whose prompt and output do not fit is rejected at import, before any
// token is generated, and that no block is allocated.
func TestImportWithoutCapacity(t *testing.T) {
	withWorkers(t, 8, func(fx *fixture) {
		state := fx.identity("big", 100, 40)
		exported := fx.prefillAndExport(t, state)
		err := fx.importKV(exported)
		require.True(t, failure.Is(err, failure.NotExecuted), "%v", err)
		require.Zero(t, fx.decode.UsedBlocks())
		require.Equal(t, 1, fx.decode.RequestCounts()["big"].RejectedImports)
		fit := fx.prefillAndExport(t, fx.identity("fits", 100, 20))
		require.NoError(t, fx.importKV(fit))
	})
}

// TestDecodeWaitsForKV checks that decoding waits until every byte of the KV cache has arrived. A worker with the
// SkipArrivalCheck fault must generate different tokens, which shows that the check can fail.
func TestDecodeWaitsForKV(t *testing.T) {
	withWorkers(t, 64, func(fx *fixture) {
		fx.prefill.SetFaults(Faults{TransferRate: 20_000})
		state := fx.prefillAndExport(t, fx.identity("slow", 200, 8))
		require.NoError(t, fx.importKV(state))
		require.NoError(t, fx.resume(state))
		require.Equal(t, referenceOutput(state), fx.streamRest(t, state))
		fx.decode.SetFaults(Faults{SkipArrivalCheck: true})
		state = fx.prefillAndExport(t, fx.identity("hurried", 200, 8))
		require.NoError(t, fx.importKV(state))
		require.NoError(t, fx.resume(state))
		require.NotEqual(t, referenceOutput(state), fx.streamRest(t, state))
	})
}

// TestFailedTransfer checks that an attempt is never resumed if its KV cache has a wrong digest or the transfer was
// aborted.
func TestFailedTransfer(t *testing.T) {
	for _, f := range []Faults{{Corrupt: true}, {Drop: true}} {
		withWorkers(t, 64, func(fx *fixture) {
			fx.prefill.SetFaults(f)
			state := fx.prefillAndExport(t, fx.identity("spoilt", 100, 8))
			require.NoError(t, fx.importKV(state))
			require.True(t, failure.Is(fx.resume(state), failure.DataLost))
			require.Zero(t, fx.decode.UsedBlocks())
			require.Zero(t, fx.decode.RequestCounts()["spoilt"].Runs)
		})
	}
}

// TestOrphans checks that an import that is never resumed is dropped after a timeout, and that a cancelled attempt can
// never start.
func TestOrphans(t *testing.T) {
	withWorkers(t, 64, func(fx *fixture) {
		state := fx.prefillAndExport(t, fx.identity("left", 100, 8))
		require.NoError(t, fx.importKV(state))
		time.Sleep(3 * time.Second)
		require.Zero(t, fx.decode.UsedBlocks())
		require.True(t, failure.Is(fx.resume(state), failure.DataLost))
		state = fx.prefillAndExport(t, fx.identity("stopped", 100, 8))
		resp, err := fx.client.Cancel(fx.ctx, fx.decodeAddr, &workerclient.IDRequest{
			OrderHeader: workerclient.OrderHeader{Fence: 1},
			ID:          state.ID,
		})
		require.NoError(t, err)
		require.Equal(t, workerclient.FateNotStarted, resp.Fate)
		require.True(t, failure.Is(fx.importKV(state), failure.DataLost))
	})
}

// TestFence checks that an order with an outdated fencing token is rejected and has no effect.
func TestFence(t *testing.T) {
	withWorkers(t, 64, func(fx *fixture) {
		_, err := fx.client.SetRole(fx.ctx, fx.decodeAddr, &workerclient.RoleRequest{
			OrderHeader: workerclient.OrderHeader{Fence: 5},
			Role:        ids.Decode,
		})
		require.NoError(t, err)
		state := fx.prefillAndExport(t, fx.identity("old", 100, 8))
		require.True(t, failure.Is(fx.importKV(state), failure.Stale))
		require.Zero(t, fx.decode.UsedBlocks())
	})
}

// TestInvalidOrders checks that an order for another model is rejected, and that a malformed response is reported with
// the worker's address.
func TestInvalidOrders(t *testing.T) {
	withWorkers(t, 64, func(fx *fixture) {
		state := fx.identity("other", 10, 4)
		state.Model.Weights = "w9"
		_, err := fx.client.Prefill(fx.ctx, fx.prefillAddr, &workerclient.PrefillRequest{
			OrderHeader: workerclient.OrderHeader{Fence: 1},
			Identity:    state,
		})
		require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
		fx.decode.SetFaults(Faults{Garbage: true})
		_, err = fx.client.Report(fx.ctx, fx.decodeAddr)
		require.ErrorContains(t, err, "garbage")
		require.Equal(t, fx.decodeAddr, failure.Peer(err))
	})
}
