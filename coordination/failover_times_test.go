// Measurements of the control plane's recovery times after failures, in simulated time over many
// seeds: KEELSTAIR_TIMES=100 go test -run TestTimes -v ./coordination

package coordination_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

// failoverScenario is a failure scenario; run causes the failure and returns the recovery time.
type failoverScenario struct {
	name string
	run  func(t *testing.T, f *testCluster, seed uint64) time.Duration
}

var failoverScenarios = []failoverScenario{
	{"primary loses power, until a command is answered", func(t *testing.T, f *testCluster, seed uint64) time.Duration {
		f.powerOff(f.leader())
		return f.waitForAnswer(t)
	}},
	{
		"primary is partitioned from the other machines for up to 20 s, until a command is answered",
		func(t *testing.T, f *testCluster, seed uint64) time.Duration {
			f.isolate([]string{f.leader()}, true)
			return f.waitForAnswer(t)
		},
	},
	{"primary is partitioned one way and receives nothing, until a command is answered", func(t *testing.T, f *testCluster, seed uint64) time.Duration {
		primary := f.leader()
		var rest []string
		for ip := range f.processes {
			if ip != primary {
				rest = append(rest, ip)
			}
		}
		f.world.Block(rest, []string{primary}, true)
		return f.waitForAnswer(t)
	}},
	{"backup loses power, until a command is answered", func(t *testing.T, f *testCluster, seed uint64) time.Duration {
		_, backup, _, _ := f.roles(t)
		f.powerOff(backup)
		return f.waitForAnswer(t)
	}},
	{"voter is lost for good, until a spare replaces it", func(t *testing.T, f *testCluster, seed uint64) time.Duration {
		primary, _, witness, spare := f.roles(t)
		f.powerOff(witness)
		began := time.Now()
		require.True(t, waitUntil(20*time.Second, func() bool {
			for _, h := range f.cores[primary].Directory().Record().Voters {
				if machineIP(h.Addr) == spare {
					return true
				}
			}
			return false
		}))
		return time.Since(began)
	}},
}

// healPartitions heals all partitions.
func (f *testCluster) healPartitions() {
	var all []string
	for ip := range f.processes {
		all = append(all, ip)
	}
	f.world.Partition(all, all, false)
}

// waitForAnswer submits a new command and returns the time until it is answered.
func (f *testCluster) waitForAnswer(t *testing.T) time.Duration {
	began := time.Now()
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	_, err := f.agents[0].Submit(ctx, ids.OpID("timed"), "add", []byte("1"))
	require.NoError(t, err)
	return time.Since(began)
}

// TestTimes prints the minimum, the median, the 95th percentile and the maximum of each scenario's
// recovery time.
func TestTimes(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("KEELSTAIR_TIMES"))
	if seeds == 0 {
		t.Skip("a measurement: set KEELSTAIR_TIMES to the number of seeds")
	}
	for _, scenario := range failoverScenarios {
		var list []time.Duration
		for seed := range uint64(seeds) {
			synctest.Test(t, func(t *testing.T) {
				f := newClusterOfSize(seed+1, 4, 1)
				defer f.close()
				require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
				time.Sleep(2*time.Second + time.Duration(seed%10)*37*time.Millisecond)
				list = append(list, scenario.run(t, f, seed))
				f.healPartitions()
			})
		}
		slices.Sort(list)
		ms := func(quantile float64) int64 { return list[int(quantile*float64(len(list)-1))].Milliseconds() }
		fmt.Printf("| %s | %d | %d | %d | %d |\n", scenario.name, ms(0), ms(0.5), ms(0.95), ms(1))
	}
}
