// Tests cores whose snapshots are saved late, and the compaction of logs with long entries.

package coordination_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/ids"
)

// lateDisk is a disk that can delay the next snapshot, and that counts saved snapshots and open logs.
type lateDisk struct {
	host.Disk
	saveDelay                time.Duration // delay of the next snapshot, if positive
	savedSnapshots, openLogs atomic.Int32
}

func (d *lateDisk) Save(name string, body []byte) error {
	if name == "picture" {
		wait := d.saveDelay
		d.saveDelay = 0
		time.Sleep(wait)
		defer d.savedSnapshots.Add(1)
	}
	return d.Disk.Save(name, body)
}

func (d *lateDisk) Create(name string) (host.Log, error) {
	log, err := d.Disk.Create(name)
	return d.countOpen(log), err
}

func (d *lateDisk) Open(name string) (host.Log, [][]byte, error) {
	log, entries, err := d.Disk.Open(name)
	if err != nil {
		return nil, nil, err
	}
	return d.countOpen(log), entries, nil
}

// countOpen counts a log as open until it is closed.
func (d *lateDisk) countOpen(log host.Log) host.Log {
	d.openLogs.Add(1)
	return &countedLog{log, d}
}

// countedLog is a log that lateDisk counts while it is open.
type countedLog struct {
	host.Log
	disk *lateDisk
}

func (l *countedLog) Close() error {
	l.disk.openLogs.Add(-1)
	return l.Log.Close()
}

// startCoreOnLateDisk starts a core on a lateDisk and returns the disk.
func (f *testCluster) startCoreOnLateDisk(addr string) *lateDisk {
	ip := addr[:len(addr)-2]
	p := f.world.Machine(ip).Start()
	host := p.Host()
	late := &lateDisk{Disk: host.Disk}
	host.Disk = late
	c, err := coordination.New(coordination.Options{
		Addr:           addr,
		Host:           host,
		Seeds:          f.seeds,
		Machine:        func() coordination.StateMachine { return &sumStateMachine{} },
		FaultTolerance: f.faultTolerance,
	})
	if err != nil {
		panic(err)
	}
	f.cores[ip] = c
	f.startProcess(ip, addr, p, c.Mount, func(ctx context.Context) { c.Run(ctx) })
	return late
}

// addPadded adds n by a command whose body is padded with zeros to a size.
func (f *testCluster) addPadded(n int, op string, size int, duration time.Duration) error {
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	number := strconv.Itoa(n)
	_, err := f.agents[0].Submit(ctx, ids.OpID(op), "add", []byte(strings.Repeat("0", size-len(number))+number))
	return err
}

// newLateDiskCluster returns a cluster that has committed a first command. Each core uses a lateDisk, which can
// delay the saving of a snapshot.
func newLateDiskCluster(t *testing.T, seed uint64) (*testCluster, map[string]*lateDisk) {
	f := newCluster(seed)
	disks := map[string]*lateDisk{}
	for _, addr := range f.seeds {
		f.powerOff(addr[:8])
		f.world.Machine(addr[:8]).WipeDisk()
		disks[addr[:8]] = f.startCoreOnLateDisk(addr)
	}
	require.NoError(t, f.submitNumber(1, "first", 20*time.Second))
	return f, disks
}

// longEntryBytes is the size of a command that counts as many log units.
const longEntryBytes = 200_000

// TestOneLogOpen checks that a core keeps only one log open when the disk saves snapshots later than the
// time limit.
func TestOneLogOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, disks := newLateDiskCluster(t, 6)
		defer f.close()
		for i := range 45 {
			for _, d := range disks {
				if i%20 == 0 {
					d.saveDelay = 6 * time.Second
				}
			}
			require.NoError(t, f.addPadded(1, fmt.Sprint("long", i), longEntryBytes, 60*time.Second))
		}
		time.Sleep(30 * time.Second)
		for ip, d := range disks {
			require.EqualValues(t, 1, d.openLogs.Load(), ip)
		}
	})
}

// TestLongEntriesTriggerCompaction checks that the primary and the backup replace a log by a snapshot
// because of the bytes in it, not only the number of entries.
func TestLongEntriesTriggerCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, disks := newLateDiskCluster(t, 7)
		defer f.close()
		const entries = 50
		for i := range entries {
			require.NoError(t, f.addPadded(1, fmt.Sprint("long", i), longEntryBytes, 20*time.Second))
		}
		compacted := 0
		for _, d := range disks {
			if d.savedSnapshots.Load() >= entries*longEntryBytes/(5<<20) {
				compacted++
			}
		}
		require.GreaterOrEqual(t, compacted, 2, "the primary and the backup must take snapshots")
	})
}
