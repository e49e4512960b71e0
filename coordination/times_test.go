// How long the control plane takes over what it must do when something fails, in simulated
// time over many seeds: KEELSTAIR_TIMES=100 go test -run TestTimes -v ./coordination

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

// timed is what is measured: the time that a run took from its trouble on.
type timed struct {
	name string
	run  func(t *testing.T, f *testCluster, seed uint64) time.Duration
}

var times = []timed{
	{"primary loses power, until a command is answered", func(t *testing.T, f *testCluster, seed uint64) time.Duration {
		f.powerOff(f.leader())
		return f.waitForAnswer(t)
	}},
	{
		"primary is cut off from the other machines for 20 s, until a command is answered",
		func(t *testing.T, f *testCluster, seed uint64) time.Duration {
			f.isolate([]string{f.leader()}, true)
			return f.waitForAnswer(t)
		},
	},
	{"the same, one way: it hears nothing", func(t *testing.T, f *testCluster, seed uint64) time.Duration {
		lead := f.leader()
		var rest []string
		for ip := range f.processes {
			if ip != lead {
				rest = append(rest, ip)
			}
		}
		f.world.Block(rest, []string{lead}, true)
		return f.waitForAnswer(t)
	}},
	{"backup loses power, until a command is answered", func(t *testing.T, f *testCluster, seed uint64) time.Duration {
		_, backup, _, _ := f.roles(t)
		f.powerOff(backup)
		return f.waitForAnswer(t)
	}},
	{"holder lost for good, until a spare has its register", func(t *testing.T, f *testCluster, seed uint64) time.Duration {
		primary, _, witness, spare := f.roles(t)
		f.powerOff(witness)
		began := time.Now()
		require.True(t, await(20*time.Second, func() bool {
			for _, h := range f.cores[primary].Directory().Record().Voters {
				if machineOf(h.Addr) == spare {
					return true
				}
			}
			return false
		}))
		return time.Since(began)
	}},
}

// join heals every cut.
func (f *testCluster) join() {
	var all []string
	for ip := range f.processes {
		all = append(all, ip)
	}
	f.world.Partition(all, all, false)
}

// waitForAnswer is the time until a new command is answered.
func (f *testCluster) waitForAnswer(t *testing.T) time.Duration {
	began := time.Now()
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	_, err := f.agents[0].Submit(ctx, ids.OpID("timed"), "add", []byte("1"))
	require.NoError(t, err)
	return time.Since(began)
}

// TestTimes prints the distributions.
func TestTimes(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("KEELSTAIR_TIMES"))
	if seeds == 0 {
		t.Skip("a measurement: KEELSTAIR_TIMES says over how many seeds")
	}
	for _, one := range times {
		var list []time.Duration
		for seed := range uint64(seeds) {
			synctest.Test(t, func(t *testing.T) {
				f := newClusterOfSize(seed+1, 4, 1)
				defer f.close()
				require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
				time.Sleep(2*time.Second + time.Duration(seed%10)*37*time.Millisecond)
				list = append(list, one.run(t, f, seed))
				f.join()
			})
		}
		slices.Sort(list)
		ms := func(part float64) int64 { return list[int(part*float64(len(list)-1))].Milliseconds() }
		fmt.Printf("| %s | %d | %d | %d | %d |\n", one.name, ms(0), ms(0.5), ms(0.95), ms(1))
	}
}
