// Machines that are cut off for twenty seconds.

package coordination_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

const partitionDuration = 20 * time.Second

// lossDirection is which way packets between a machine and the other cores are lost.
type lossDirection string

const (
	bothWays     lossDirection = "both ways"
	inboundLost  lossDirection = "it hears nothing"
	outboundLost lossDirection = "it reaches nobody"
)

// partitionCores cuts machines off from the other cores, or joins them again. Nodes reach them.
func (f *testCluster) partitionCores(group []string, how lossDirection, partitioned bool) {
	var rest []string
	for ip := range f.cores {
		rest = append(rest, ip)
	}
	for _, ip := range group {
		if how != outboundLost {
			f.world.Block(rest, []string{ip}, partitioned)
		}
		if how != inboundLost {
			f.world.Block([]string{ip}, rest, partitioned)
		}
	}
}

// submitAndRead asks one core for a command that changes nothing of the sum, and for all there is,
// whoever leads.
func (f *testCluster) submitAndRead(ip, op string) (submitted, read error) {
	caller := rpc.NewCaller(f.processes["10.0.1.1"].Host().Net)
	defer caller.Close()
	ctx, stop := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer stop()
	request := &coordination.SubmitRequest{Op: ids.OpID(op), Kind: "add", Body: []byte("0")}
	_, submitted = rpc.Call[coordination.SubmitRequest, coordination.SubmitResponse](
		ctx, caller, ip+":1", coordination.SubmitMethod, request,
	)
	_, read = rpc.Call[coordination.WatchRequest, coordination.WatchResponse](
		ctx, caller, ip+":1", coordination.WatchMethod, &coordination.WatchRequest{},
	)
	return submitted, read
}

// TestPartition: the primary, the backup or a holder without data, or two of them where two
// losses are borne, are cut off from the other cores for 20 s, both ways or one way. Commands
// are answered all the while. A machine that is cut off both ways takes no order, confirms
// none, refuses none and tells nothing of its state. Afterwards all have all, and the next
// loss is borne.
func TestPartition(t *testing.T) {
	sizes := []struct{ machines, losses int }{{3, 1}, {6, 2}}
	for _, size := range sizes {
		for _, how := range []lossDirection{bothWays, inboundLost, outboundLost} {
			for first := range size.losses + 2 {
				for second := first; second < size.losses+2; second++ {
					if second > first && size.losses < 2 {
						continue
					}
					t.Run(fmt.Sprintf(
						"%d machines, places %d and %d, %s", size.machines, first, second, how,
					), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) {
							testPartition(t, size.machines, size.losses, first, second, how)
						})
					})
				}
			}
		}
	}
}

// voterMachines are the machines of the record: the primary, its backups, then a holder without data.
func (f *testCluster) voterMachines(t *testing.T) []string {
	record := f.cores[f.leader()].Directory().Record()
	out := []string{machineOf(record.Primary.Addr), machineOf(record.Backup.Addr)}
	for _, b := range record.MoreBackups {
		out = append(out, machineOf(b.Addr))
	}
	for _, h := range record.Voters {
		if ip := machineOf(h.Addr); !slices.Contains(out, ip) {
			return append(out, ip)
		}
	}
	t.Fatal("all holders have the data")
	return nil
}

func testPartition(t *testing.T, machines, faultTolerance, first, second int, how lossDirection) {
	f := newClusterOfSize(uint64(first*7+second+1), machines, faultTolerance)
	defer f.close()
	require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
	time.Sleep(2 * time.Second)
	addr := f.voterMachines(t)
	group := []string{addr[first]}
	if second != first {
		group = append(group, addr[second])
	}
	f.partitionCores(group, how, true)
	began := time.Now()
	sum := 1
	for n := 0; time.Since(began) < partitionDuration; n++ {
		require.NoError(t, f.submitNumber(1, fmt.Sprint("during", n), 8*time.Second))
		sum++
		for _, ip := range group {
			submitted, read := f.submitAndRead(ip, fmt.Sprint(ip, "/", n))
			if how == bothWays {
				require.Error(t, submitted, "an order was confirmed")
				require.False(
					t,
					failure.Is(submitted, failure.Stale) || failure.Is(submitted, failure.InvalidArgument),
					"an order was refused: %v",
					submitted,
				)
				require.Error(t, read, "it told a state that may be old")
			}
		}
		time.Sleep(time.Second)
	}
	f.partitionCores(group, how, false)
	time.Sleep(4 * time.Second)
	require.NoError(t, f.submitNumber(1, "after", 5*time.Second))
	f.powerOff(f.leader())
	require.NoError(t, f.submitNumber(1, "without the primary", 8*time.Second))
	time.Sleep(time.Second)
	for _, v := range f.watchers {
		require.EqualValues(t, sum+2, v.sum.Load())
	}
}
