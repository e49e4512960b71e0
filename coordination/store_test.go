// Snapshots of the core whose disk step stalls, fails or comes late, and the bound
// of the log.

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

// lateDisk is a disk whose next snapshot is saved late, and which counts logs.
type lateDisk struct {
	host.Disk
	saveDelay                time.Duration // of the next snapshot, if any
	savedSnapshots, openLogs atomic.Int32  // saved; open
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
	log, rows, err := d.Disk.Open(name)
	if err != nil {
		return nil, nil, err
	}
	return d.countOpen(log), rows, nil
}

func (d *lateDisk) countOpen(log host.Log) host.Log {
	d.openLogs.Add(1)
	return &countedLog{log, d}
}

type countedLog struct {
	host.Log
	disk *lateDisk
}

func (l *countedLog) Close() error {
	l.disk.openLogs.Add(-1)
	return l.Log.Close()
}

// startCoreOnLateDisk starts a core on a disk that counts and may be late.
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

// addPadded adds n by a command of so many bytes.
func (f *testCluster) addPadded(n int, op string, size int, duration time.Duration) error {
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	number := strconv.Itoa(n)
	_, err := f.agents[0].Submit(ctx, ids.OpID(op), "add", []byte(strings.Repeat("0", size-len(number))+number))
	return err
}

// newLateDiskCluster is a fleet on such disks that has agreed on a first command.
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

const longEntryBytes = 200_000

// TestOneLogOpen: however snapshots come late, a core holds one log open.
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

// TestLongRows: a log gives way to a snapshot by its bytes as well as by its rows, at
// the primary and at the backup.
func TestLongRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, disks := newLateDiskCluster(t, 7)
		defer f.close()
		const rows = 50
		for i := range rows {
			require.NoError(t, f.addPadded(1, fmt.Sprint("long", i), longEntryBytes, 20*time.Second))
		}
		sent := 0
		for _, d := range disks {
			if d.savedSnapshots.Load() >= rows*longEntryBytes/(5<<20) {
				sent++
			}
		}
		require.GreaterOrEqual(t, sent, 2, "both copies of the data took snapshots")
	})
}
