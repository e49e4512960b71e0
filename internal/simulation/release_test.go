// Tests that controllers start on the data directories of an earlier release.

package simulation

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/standin"
)

const (
	releaseFolder   = "testdata/release-1"
	releaseKeys     = 30 // requests with an idempotency key to which the earlier release responded
	releaseRetained = 4  // idempotency records that it kept in full; older ones are fixed-size entries, sealed in chunks
)

// writeRelease is the environment variable that makes TestWriteRelease record the data directories.
const writeRelease = "KEELSTAIR_RELEASE_WRITE"

// releaseState is the state that operators read from the earlier release. It is stored in state.json beside
// the data directories.
type releaseState struct {
	Version   uint64          `json:"version"`
	Policy    json.RawMessage `json:"policy"`
	Evacuated []string        `json:"evacuated"`
	Tokens    []int32         `json:"tokens"` // tokens of the newest request with an idempotency key
}

func releaseRequest(i int) api.StreamRequest {
	request := verdictRequest
	request.Key = fmt.Sprint("release-", i)
	return request
}

// sendUntilAnswered sends a request to the routers in turn, beginning with the given index, until it completes or is
// refused with a status code below 500.
func (c *Cluster) sendUntilAnswered(t *testing.T, i int, request api.StreamRequest) ([]api.StreamEvent, *api.Fault) {
	t.Helper()
	var lines []api.StreamEvent
	var refusal *api.Fault
	routers := c.ProcessesOf("router")
	attempt := i
	require.True(t, c.WaitUntil(8*time.Second, func() bool {
		got, err := c.stream(routers[attempt%len(routers)], request)
		attempt++ // try the next router next time, since routers of an evacuated zone refuse requests
		lines = got
		if errors.As(err, &refusal) {
			return refusal.Code < 500
		}
		refusal = nil
		return err == nil && got[len(got)-1].End == api.EndComplete
	}), "key %d: %v", i, refusal)
	return lines, refusal
}

// withReleaseRetention sets how many answers the controllers retain.
func withReleaseRetention(c *Cluster) {
	c.Retention = fleetstate.Retention{FullRecords: releaseRetained, ChunkEntries: 8}
}

// TestWriteRelease records the data directories that the current code writes. It runs only if
// KEELSTAIR_RELEASE_WRITE is set, because the checked-in directories are those of a release, which later code
// must be able to open.
func TestWriteRelease(t *testing.T) {
	if os.Getenv(writeRelease) == "" {
		t.Skip("records " + releaseFolder + " where " + writeRelease + " is set")
	}
	withCluster(t, "vatuloa", withReleaseRetention, func(t *testing.T, c *Cluster) {
		var newest []api.StreamEvent
		for i := range releaseKeys {
			newest, _ = c.sendUntilAnswered(t, i, releaseRequest(i))
		}
		initialState := newestActivePolicy(c)
		_, err := c.Apply(&api.ApplyRequest{
			Op:          "release",
			BaseVersion: initialState.Version,
			Partial:     true,
			Source:      "{limits: queue: 12}",
		})
		require.NoError(t, err)
		require.NoError(t, c.SetDrained("/v1/zones/"+string(c.Site.Zones[0]), "release-zone", true))
		time.Sleep(2 * time.Second)
		state := newestActivePolicy(c)
		record := releaseState{Version: state.Version, Policy: state.Policy, Evacuated: state.EvacuatedZones}
		for _, line := range newest[:len(newest)-1] {
			record.Tokens = append(record.Tokens, line.Token)
		}
		require.NoError(t, os.RemoveAll(releaseFolder))
		for _, p := range c.ProcessesOf("controller") {
			c.Kill(p)
		}
		for _, p := range c.ProcessesOf("controller") {
			folder := filepath.Join(releaseFolder, p.Name)
			to, err := host.OpenDisk(folder)
			require.NoError(t, err)
			copyDisk(t, p.Machine.Start().Host().Disk, to)
			require.NoError(t, os.Remove(filepath.Join(folder, "lock")))
		}
		body, err := json.MarshalIndent(record, "", "\t")
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(releaseFolder, "state.json"), append(body, '\n'), 0o644))
	})
}

// copyDisk copies every file and every log of one disk to another.
func copyDisk(t *testing.T, from, to host.Disk) {
	t.Helper()
	names, err := from.List()
	require.NoError(t, err)
	require.NotEmpty(t, names)
	for _, name := range names {
		if strings.HasPrefix(name, "lock") {
			continue
		}
		body, err := from.Load(name)
		if err == nil {
			require.NoError(t, to.Save(name, body))
			continue
		}
		_, rows, err := from.Open(name)
		require.NoError(t, err, name)
		log, err := to.Create(name)
		require.NoError(t, err, name)
		require.NoError(t, log.Append(rows), name)
		require.NoError(t, log.Close(), name)
	}
}

// TestOpensRelease starts three controllers on the data directories of an earlier release. It checks that one
// becomes the leader, that the configuration, the evacuation and the newest answer are those that the release
// reported, that requests with older keys are refused as already answered, and that new requests are served.
func TestOpensRelease(t *testing.T) {
	skipUnderRace(t)
	body, err := os.ReadFile(filepath.Join(releaseFolder, "state.json"))
	require.NoError(t, err)
	var record releaseState
	require.NoError(t, json.Unmarshal(body, &record))
	folders := t.TempDir()
	require.NoError(t, os.CopyFS(folders, os.DirFS(releaseFolder)))
	tune := func(c *Cluster) {
		withReleaseRetention(c)
		for i := range 3 {
			disk, err := host.OpenDisk(filepath.Join(folders, fmt.Sprintf("controller-%d", i+1)))
			require.NoError(t, err)
			process := c.World.Machine(fmt.Sprintf("10.1.0.%d", i+1)).Start()
			copyDisk(t, disk, process.Host().Disk)
			process.Kill()
		}
	}
	synctest.Test(t, func(t *testing.T) {
		c := Build(2, standin.Sites["vatuloa"], tune)
		defer c.Close()
		require.True(t, c.WaitUntil(10*time.Second, func() bool { return c.Leader() != nil }))
		require.True(t, c.WaitUntil(10*time.Second, func() bool { return newestActivePolicy(c).Version == record.Version }))
		state := newestActivePolicy(c)
		require.JSONEq(t, string(record.Policy), string(state.Policy))
		require.Equal(t, record.Evacuated, state.EvacuatedZones)
		newest, refusal := c.sendUntilAnswered(t, 1, releaseRequest(releaseKeys-1))
		require.Nil(t, refusal)
		for i, token := range record.Tokens {
			require.Equal(t, token, newest[i].Token)
			require.True(t, newest[i].Replay)
		}
		for i := range releaseKeys - releaseRetained {
			_, refusal := c.sendUntilAnswered(t, i, releaseRequest(i))
			require.NotNil(t, refusal, "key %d", i)
			require.Equal(t, "answer-aged", refusal.Name, "key %d", i)
		}
		fresh := verdictRequest
		fresh.Key = "after the release"
		_, refusal = c.sendUntilAnswered(t, 2, fresh)
		require.Nil(t, refusal)
	})
}
