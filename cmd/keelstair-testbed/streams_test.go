package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStreamsOfLostWorkers guards against streams of lost worker processes that look complete or are joined.
func TestStreamsOfLostWorkers(t *testing.T) {
	dir := t.TempDir()
	for _, program := range []string{"keelstair-platform", "keelstair-testbed"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, program), "keelstair.example/cmd/"+program)
		build.Stderr = os.Stderr
		require.NoError(t, build.Run())
	}
	require.NoError(t, runStreams(t.Context(), &streamsCmd{
		Dir: filepath.Join(dir, "data"), BinDir: dir, Machines: 3, Workers: 9, Clients: 48, LoadSeconds: 20, Seed: 1,
	}))
}
