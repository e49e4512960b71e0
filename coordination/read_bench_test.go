// Measures the cost of a linearizable read: go test -run '^$' -bench Read ./coordination

package coordination_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/rpc"
)

// BenchmarkRead reads the whole state from the primary of three cores over loopback and real disks. It
// reports the time per read and the CPU time of all cores and the client, which share one process.
func BenchmarkRead(b *testing.B) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var listeners []net.Listener
	var seeds []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		listeners, seeds = append(listeners, l), append(seeds, l.Addr().String())
	}
	var env host.Host
	for i, l := range listeners {
		var err error
		env, err = host.Real(b.TempDir())
		require.NoError(b, err)
		core, err := coordination.New(coordination.Options{
			Addr:    seeds[i],
			Host:    env,
			Seeds:   seeds,
			Machine: func() coordination.StateMachine { return &sumStateMachine{} },
		})
		require.NoError(b, err)
		mux := http.NewServeMux()
		core.Mount(mux)
		go rpc.Serve(ctx, l, mux)
		go core.Run(ctx)
	}
	caller := rpc.NewCaller(env.Net)
	directory := coordination.NewDirectory(env, caller, seeds, coordination.Replica{})
	read := func() {
		limit, end := context.WithTimeout(ctx, 20*time.Second)
		defer end()
		_, _, err := coordination.CallPrimary[coordination.WatchRequest, coordination.WatchResponse](
			limit, caller, directory, time.Second, coordination.WatchMethod, &coordination.WatchRequest{}, nil,
		)
		require.NoError(b, err)
	}
	read()
	before := cpuTime(b)
	b.ResetTimer()
	for range b.N {
		read()
	}
	b.StopTimer()
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
