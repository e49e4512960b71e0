// What a confirmed read costs: go test -run '^$' -bench Read ./coordination

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

// BenchmarkRead reads the whole state from a primary of three cores over loopback and real
// disks. It gives the time of one read, and the processor time of all processes together.
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
	var machine host.Host
	for i, l := range listeners {
		var err error
		machine, err = host.Real(b.TempDir())
		require.NoError(b, err)
		core, err := coordination.New(coordination.Options{
			Addr:    seeds[i],
			Host:    machine,
			Seeds:   seeds,
			Machine: func() coordination.StateMachine { return &sumStateMachine{} },
		})
		require.NoError(b, err)
		mux := http.NewServeMux()
		core.Mount(mux)
		go rpc.Serve(ctx, l, mux)
		go core.Run(ctx)
	}
	caller := rpc.NewCaller(machine.Net)
	directory := coordination.NewDirectory(machine, caller, seeds, coordination.Replica{})
	read := func() {
		limit, end := context.WithTimeout(ctx, 20*time.Second)
		defer end()
		_, _, err := coordination.CallPrimary[coordination.WatchRequest, coordination.WatchResponse](
			limit, caller, directory, time.Second, coordination.WatchMethod, &coordination.WatchRequest{}, nil,
		)
		require.NoError(b, err)
	}
	read()
	before := processorTime(b)
	b.ResetTimer()
	for range b.N {
		read()
	}
	b.StopTimer()
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

// processorTime is what this process has used so far.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
