// A primary's snapshot that its disk saves only after the primary has stood down.

package coordination

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host"
	"keelstair.example/host/simulated"
)

// lateSnapshotDisk saves its snapshots late.
type lateSnapshotDisk struct {
	host.Disk
	late time.Duration
}

func (d *lateSnapshotDisk) Save(name string, body []byte) error {
	if name == snapshotFile {
		time.Sleep(d.late)
	}
	return d.Disk.Save(name, body)
}

// commitEntry has a primary without backups write one entry; it gives the error that
// its client sees, and the one that makes the primary stand down.
func commitEntry(l *leader, body string) (answer, standDown error) {
	op := &operation{entry: &Entry{Kind: "put", Body: []byte(body)}, done: make(chan struct{})}
	standDown = l.commit(context.Background(), []*operation{op})
	<-op.done
	return op.err, standDown
}

// TestLateSnapshot: the snapshot on disk may name the new log once the step ends, so
// the primary reads its disk again before it leads again. Otherwise what it writes
// to the old log and acknowledges is gone at the next start.
func TestLateSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := simulated.NewWorld(1).Machine("10.0.0.1")
		host := machine.Start().Host()
		disk := &lateSnapshotDisk{Disk: host.Disk}
		host.Disk = disk
		c, err := New(Options{Addr: "10.0.0.1:1", Host: host, Machine: func() StateMachine { return &listStateMachine{} }})
		require.NoError(t, err)
		l := &leader{core: c}
		disk.late = 10 * time.Second
		var standDown error
		for i := 0; standDown == nil; i++ {
			require.Less(t, i, 100, "the log is never full")
			var answer error
			answer, standDown = commitEntry(l, strings.Repeat("x", 100_000))
			require.NoError(t, answer)
		}
		require.ErrorContains(t, standDown, "stalled")
		time.Sleep(20 * time.Second)
		require.False(t, c.reloadPending(), "the disk can be read again")
		answer, _ := commitEntry(l, "after")
		require.NoError(t, answer)
		machine.PowerOff()

		r := newReplicatedState(&listStateMachine{})
		require.NoError(t, newStore(machine.Start().Host().Disk).load(r))
		require.True(t, strings.HasSuffix(r.machine.(*listStateMachine).all(), "after"), "the acknowledged entry is lost")
		machine.PowerOff()
		time.Sleep(time.Minute)
	})
}
