// The shutdown of control plane processes on SIGTERM.

package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/host/simulated"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/logging"
	"keelstair.example/platform"
	"keelstair.example/rpc"
)

const (
	disklessAddr = "10.0.1.1:1"
	zone         = "north"
)

// controlPlane is a simulated control plane of three processes with a disk and one without.
type controlPlane struct {
	*testing.T
	world   *simulated.World
	client  *http.Client
	caller  *rpc.Caller
	cores   []string
	sigterm map[string]context.CancelFunc // by address

	directory *coordination.Directory
	processes map[string]*simulated.Process
}

func withControlPlane(t *testing.T, f func(c *controlPlane)) {
	synctest.Test(t, func(t *testing.T) {
		c := &controlPlane{T: t, world: simulated.NewWorld(1), sigterm: map[string]context.CancelFunc{}, processes: map[string]*simulated.Process{}}
		client := c.world.Machine("10.0.9.1").Start()
		c.client = rpc.NewHTTPClient(client.Host().Net)
		c.caller = rpc.NewCaller(client.Host().Net)
		for i := range 3 {
			c.cores = append(c.cores, fmt.Sprintf("10.0.0.%d:1", i+1))
		}
		c.directory = coordination.NewDirectory(client.Host(), c.caller, c.cores, coordination.Replica{})
		for _, addr := range append(c.cores, disklessAddr) {
			c.start(addr)
		}
		defer func() {
			for _, stop := range c.sigterm {
				stop()
			}
			time.Sleep(time.Minute)
			c.client.CloseIdleConnections()
			c.caller.Close()
			client.Kill()
			time.Sleep(time.Minute) // all timers must expire before the bubble ends
		}()
		f(c)
	})
}

// start starts the process at an address. Its process exits when its main function returns.
func (c *controlPlane) start(addr string) {
	shutdown, terminate := context.WithCancel(context.Background())
	c.sigterm[addr] = terminate
	process := c.world.Machine(addr[:len(addr)-2]).Start()
	c.processes[addr] = process
	settings := &platform.Settings{
		ControlAddr: addr,
		Zone:        zone,
		Zones:       []string{zone},
		Seeds:       c.cores,
		Bootstrap:   true,
		GracePeriod: 8 * time.Second,
	}
	go func() {
		if addr == disklessAddr {
			serveDiskless(shutdown, settings, nil, process.Host(), logging.Discard())
		} else if err := serveCore(shutdown, settings, nil, process.Host(), logging.Discard()); err != nil {
			c.Errorf("%s: %v", addr, err)
		}
		process.Kill()
	}()
}

// evacuate sends an evacuation of the zone, or its end, to one process. An error means that it was not acknowledged.
func (c *controlPlane) evacuate(addr, op string, out bool) error {
	ctx, stop := context.WithTimeout(context.Background(), 6*time.Second)
	defer stop()
	return api.Send(ctx, c.client, []string{addr}, http.MethodPost, "/v1/zones/"+zone, &api.MarkRequest{Op: op, Out: out}, nil)
}

// awaitCore waits until the core takes operations.
func (c *controlPlane) awaitCore() {
	for range 100 {
		if c.evacuate(disklessAddr, "first", false) == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(c, "no operation was acknowledged")
}

// evacuated reads from the core whether the zone is evacuated.
func (c *controlPlane) evacuated() bool {
	for range 100 {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		state, err := fleetstate.ReadState(ctx, c.caller, c.directory)
		stop()
		if err == nil {
			return slices.Contains(state.EvacuatedZones, zone)
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(c, "the state cannot be read")
	return false
}

// TestOperatorRequestInProgressIsAnsweredAtShutdown sends SIGTERM to a control plane process without a disk while it
// waits for the core to store an evacuation.
func TestOperatorRequestInProgressIsAnsweredAtShutdown(t *testing.T) {
	withControlPlane(t, func(c *controlPlane) {
		c.awaitCore()
		for _, addr := range c.cores {
			c.world.Machine(addr[:len(addr)-2]).SetDiskDelay(200 * time.Millisecond)
		}
		time.AfterFunc(50*time.Millisecond, c.sigterm[disklessAddr])
		require.NoError(c, c.evacuate(disklessAddr, "out", true))
	})
}

// TestOperationsDuringLeaveAreAnswered sends operations to a core process from its SIGTERM until it has exited. Each
// operation that takes effect must have been acknowledged.
func TestOperationsDuringLeaveAreAnswered(t *testing.T) {
	withControlPlane(t, func(c *controlPlane) {
		c.awaitCore()
		exited := c.processes[c.cores[0]].Done()
		c.sigterm[c.cores[0]]()
		out := false
		for n, running := 0, true; running; n++ {
			select {
			case <-exited:
				running = false
			default:
			}
			if c.evacuate(c.cores[0], fmt.Sprint("op-", n), !out) == nil {
				out = !out
			}
			time.Sleep(time.Millisecond)
			require.Equal(c, out, c.evacuated())
		}
	})
}
