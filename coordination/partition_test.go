// Tests cores that are partitioned from the others for 20 s.

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

// lossDirection is the direction in which packets between a machine and the other cores are lost.
type lossDirection string

const (
	bothWays     lossDirection = "both ways"
	inboundLost  lossDirection = "inbound packets lost"
	outboundLost lossDirection = "outbound packets lost"
)

// partitionCores partitions machines from the other cores, or reconnects them. Nodes still reach them.
func (f *testCluster) partitionCores(group []string, loss lossDirection, partitioned bool) {
	var rest []string
	for ip := range f.cores {
		rest = append(rest, ip)
	}
	for _, ip := range group {
		if loss != outboundLost {
			f.world.Block(rest, []string{ip}, partitioned)
		}
		if loss != inboundLost {
			f.world.Block([]string{ip}, rest, partitioned)
		}
	}
}

// submitAndRead sends one core, whether or not it is the primary, a command that does not change the sum and
// a read of the whole state. It returns the errors of both.
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

// TestPartition partitions the primary, the backup or a voter without data, or two of them where the cluster
// tolerates two losses, from the other cores for 20 s, both ways or one way. Commands must be answered
// all the time. A machine that is partitioned both ways must neither confirm nor refuse a command, nor
// answer a read. Afterwards all watchers must have all commands, and the next loss must be tolerated.
func TestPartition(t *testing.T) {
	sizes := []struct{ machines, losses int }{{3, 1}, {6, 2}}
	for _, size := range sizes {
		for _, loss := range []lossDirection{bothWays, inboundLost, outboundLost} {
			for first := range size.losses + 2 {
				for second := first; second < size.losses+2; second++ {
					if second > first && size.losses < 2 {
						continue
					}
					t.Run(fmt.Sprintf(
						"%d machines, voters %d and %d, %s", size.machines, first, second, loss,
					), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) {
							testPartition(t, size.machines, size.losses, first, second, loss)
						})
					})
				}
			}
		}
	}
}

// voterMachines returns the addresses of the primary, its backups and one voter without data, in this order.
func (f *testCluster) voterMachines(t *testing.T) []string {
	record := f.cores[f.leader()].Directory().Record()
	out := []string{machineIP(record.Primary.Addr), machineIP(record.Backup.Addr)}
	for _, b := range record.MoreBackups {
		out = append(out, machineIP(b.Addr))
	}
	for _, v := range record.Voters {
		if ip := machineIP(v.Addr); !slices.Contains(out, ip) {
			return append(out, ip)
		}
	}
	t.Fatal("every voter has the data")
	return nil
}

// testPartition runs TestPartition for two places in voterMachines, which may be the same.
func testPartition(t *testing.T, machines, faultTolerance, first, second int, loss lossDirection) {
	f := newClusterOfSize(uint64(first*7+second+1), machines, faultTolerance)
	defer f.close()
	require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
	time.Sleep(2 * time.Second)
	addr := f.voterMachines(t)
	group := []string{addr[first]}
	if second != first {
		group = append(group, addr[second])
	}
	f.partitionCores(group, loss, true)
	began := time.Now()
	sum := 1
	for n := 0; time.Since(began) < partitionDuration; n++ {
		require.NoError(t, f.submitNumber(1, fmt.Sprint("during", n), 8*time.Second))
		sum++
		for _, ip := range group {
			submitted, read := f.submitAndRead(ip, fmt.Sprint(ip, "/", n))
			if loss == bothWays {
				require.Error(t, submitted, "a command was confirmed")
				require.False(
					t,
					failure.Is(submitted, failure.Stale) || failure.Is(submitted, failure.InvalidArgument),
					"a command was refused: %v",
					submitted,
				)
				require.Error(t, read, "a read returned a state that may be stale")
			}
		}
		time.Sleep(time.Second)
	}
	f.partitionCores(group, loss, false)
	time.Sleep(4 * time.Second)
	require.NoError(t, f.submitNumber(1, "after", 5*time.Second))
	f.powerOff(f.leader())
	require.NoError(t, f.submitNumber(1, "without the primary", 8*time.Second))
	time.Sleep(time.Second)
	for _, v := range f.watchers {
		require.EqualValues(t, sum+2, v.sum.Load())
	}
}
