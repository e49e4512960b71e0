// The shutdown of control plane processes on SIGTERM.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/logging"
	"keelstair.example/platform"
	"keelstair.example/rpc"
)

const disklessAddr = "10.0.1.1:1"

// controlPlane is a simulated control plane of three processes with a disk and one without.
type controlPlane struct {
	*testing.T
	world   *simulated.World
	client  *http.Client
	cores   []string
	sigterm map[string]context.CancelFunc // by address

	processes map[string]*simulated.Process
}

func withControlPlane(t *testing.T, f func(c *controlPlane)) {
	synctest.Test(t, func(t *testing.T) {
		c := &controlPlane{T: t, world: simulated.NewWorld(1), sigterm: map[string]context.CancelFunc{}, processes: map[string]*simulated.Process{}}
		client := c.world.Machine("10.0.9.1").Start()
		c.client = rpc.NewHTTPClient(client.Host().Net)
		for i := range 3 {
			c.cores = append(c.cores, fmt.Sprintf("10.0.0.%d:1", i+1))
		}
		for _, addr := range append(c.cores, disklessAddr) {
			c.start(addr)
		}
		defer func() {
			for _, stop := range c.sigterm {
				stop()
			}
			time.Sleep(time.Minute)
			c.client.CloseIdleConnections()
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
		Zone:        "north",
		Zones:       []string{"north"},
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

// call sends an operator's request and returns the status and the body of the response. The status 0 means that no
// complete response arrived.
func (c *controlPlane) call(method, addr string, base int, body string) (int, []byte) {
	ctx, stop := context.WithTimeout(context.Background(), 6*time.Second)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/configuration", strings.NewReader(body))
	require.NoError(c, err)
	request.Header.Set("If-Match", fmt.Sprint(base))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, got
}

// putConfiguration sends a configuration over the given version.
func (c *controlPlane) putConfiguration(addr string, version int) int {
	document := fmt.Sprintf(`{"revision":%d,"routes":[],"plants":[],"limits":{}}`, version+1)
	status, _ := c.call(http.MethodPut, addr, version, document)
	return status
}

// currentVersion reads the newest version from the core.
func (c *controlPlane) currentVersion() int {
	for range 100 {
		status, body := c.call(http.MethodGet, disklessAddr, 0, "")
		var document struct{ Revision int }
		if status == http.StatusOK && json.Unmarshal(body, &document) == nil {
			return document.Revision
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(c, "the configuration cannot be read")
	return 0
}

// putUntilTaken repeats putConfiguration until the configuration is acknowledged.
func (c *controlPlane) putUntilTaken(version int) {
	for range 100 {
		if c.putConfiguration(disklessAddr, version) == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(c, "no configuration was acknowledged")
}

// TestOperatorRequestInProgressIsAnsweredAtShutdown sends SIGTERM to a control plane process without a disk while it
// waits for the core to store a change.
func TestOperatorRequestInProgressIsAnsweredAtShutdown(t *testing.T) {
	withControlPlane(t, func(c *controlPlane) {
		c.putUntilTaken(0)
		for _, addr := range c.cores {
			c.world.Machine(addr[:len(addr)-2]).SetDiskDelay(200 * time.Millisecond)
		}
		time.AfterFunc(50*time.Millisecond, c.sigterm[disklessAddr])
		require.Equal(c, http.StatusOK, c.putConfiguration(disklessAddr, 1))
	})
}

// TestChangesDuringLeaveAreAnswered sends changes to a core process from its SIGTERM until it has exited. Each
// change that comes into force must have been acknowledged.
func TestChangesDuringLeaveAreAnswered(t *testing.T) {
	withControlPlane(t, func(c *controlPlane) {
		c.putUntilTaken(0)
		exited := c.processes[c.cores[0]].Done()
		c.sigterm[c.cores[0]]()
		version := 1
		for running := true; running; {
			select {
			case <-exited:
				running = false
			default:
			}
			if c.putConfiguration(c.cores[0], version) == http.StatusOK {
				version++
			}
			time.Sleep(time.Millisecond)
			require.Equal(c, version, c.currentVersion())
		}
	})
}
