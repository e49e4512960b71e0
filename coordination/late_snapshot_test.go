// Tests a primary whose disk saves a snapshot only after the primary has stepped down.

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

// lateSnapshotDisk is a disk that saves snapshots after a delay.
type lateSnapshotDisk struct {
	host.Disk
	delay time.Duration
}

func (d *lateSnapshotDisk) Save(name string, body []byte) error {
	if name == snapshotFile {
		time.Sleep(d.delay)
	}
	return d.Disk.Save(name, body)
}

// commitEntry commits one entry at a primary without backups. It returns the error that the client gets and
// the error that makes the primary step down.
func commitEntry(l *leader, body string) (clientErr, stepDown error) {
	op := &operation{entry: &Entry{Kind: "put", Body: []byte(body)}, done: make(chan struct{})}
	stepDown = l.commit(context.Background(), []*operation{op})
	<-op.done
	return op.err, stepDown
}

// TestLateSnapshot checks that a primary reloads its disk before it leads again after saving a snapshot
// has stalled: the snapshot that is saved late names the new log, so entries that the primary
// acknowledged after writing them to the old log would be lost at the next start.
func TestLateSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := simulated.NewWorld(1).Machine("10.0.0.1")
		host := machine.Start().Host()
		disk := &lateSnapshotDisk{Disk: host.Disk}
		host.Disk = disk
		c, err := New(Options{Addr: "10.0.0.1:1", Host: host, Machine: func() StateMachine { return &listStateMachine{} }})
		require.NoError(t, err)
		l := &leader{core: c}
		disk.delay = 10 * time.Second
		var stepDown error
		for i := 0; stepDown == nil; i++ {
			require.Less(t, i, 100, "the log was never compacted")
			var clientErr error
			clientErr, stepDown = commitEntry(l, strings.Repeat("x", 100_000))
			require.NoError(t, clientErr)
		}
		require.ErrorContains(t, stepDown, "stalled")
		time.Sleep(20 * time.Second)
		require.False(t, c.reloadPending(), "the disk must be readable again")
		clientErr, _ := commitEntry(l, "after")
		require.NoError(t, clientErr)
		machine.PowerOff()

		r := newReplicatedState(&listStateMachine{})
		require.NoError(t, newStore(machine.Start().Host().Disk).load(r))
		require.True(t, strings.HasSuffix(r.machine.(*listStateMachine).all(), "after"), "the acknowledged entry is lost")
		machine.PowerOff()
		time.Sleep(time.Minute)
	})
}
