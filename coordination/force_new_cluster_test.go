// Recovery after two of three voters are lost for good.

package coordination_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestForceNewCluster checks that a cluster forced from one surviving copy and two empty machines
// has all acknowledged commands, keeps the outcomes of operations, continues the change feed of the
// watchers, and assigns keys under higher fencing tokens.
func TestForceNewCluster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(3)
		defer f.close()
		require.NoError(t, f.submitNumber(7, "a", 10*time.Second))
		time.Sleep(2 * time.Second)
		_, before, _ := f.agents[0].KeyOwner("left")
		lead := f.leader()
		var data string
		for ip, c := range f.cores {
			if b := c.Directory().Record().Backup.Addr; b == ip+":1" {
				data = ip
			}
		}
		require.NotEmpty(t, data)
		for _, a := range f.seeds {
			f.powerOff(a[:8])
			if a[:8] != data {
				f.world.Machine(a[:8]).WipeDisk()
			}
		}
		require.NotEqual(t, lead, data)
		end := f.startCore(data+":1", true)
		f.startMember("10.0.0.8:1")
		f.startMember("10.0.0.9:1")
		require.NoError(t, f.submitNumber(7, "a", 20*time.Second), "the same operation again")
		require.NoError(t, f.submitNumber(2, "b", 5*time.Second))
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 9, f.watchers[0].sum.Load())
		require.EqualValues(t, 9, f.watchers[1].sum.Load())
		_, after, ok := f.agents[0].KeyOwner("left")
		require.True(t, ok)
		require.Greater(t, after, before)
		select {
		case err := <-end:
			t.Fatal(err)
		default:
		}
		// A machine starts that was not part of the cluster: it joins as a spare, and nothing changes.
		f.startMember("10.0.0.7:1")
		time.Sleep(2 * time.Second)
		require.NoError(t, f.submitNumber(1, "c", 5*time.Second))
		time.Sleep(time.Second)
		require.EqualValues(t, 10, f.watchers[0].sum.Load())
	})
}

// TestForceNewClusterRefused checks that forcing a new cluster is refused with a clear error while
// another voter is alive, on a disk without data, on an empty disk, and on a disk that is behind.
func TestForceNewClusterRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(4)
		defer f.close()
		require.NoError(t, f.submitNumber(7, "a", 10*time.Second))
		time.Sleep(2 * time.Second)
		record := f.cores[f.leader()].Directory().Record()
		at := func(addr string) string { return addr[:8] }
		var witness string
		for _, s := range record.Voters {
			if s.Disk != record.Primary.Disk && s.Disk != record.Backup.Disk {
				witness = at(s.Addr)
			}
		}
		requireRefusal := func(end chan error, text string) {
			select {
			case err := <-end:
				require.ErrorContains(t, err, text)
			case <-time.After(20 * time.Second):
				t.Fatal("it was not refused: " + text)
			}
		}
		f.powerOff(at(record.Backup.Addr))
		requireRefusal(f.startCore(record.Backup.Addr, true), "is alive")
		f.powerOff(at(record.Backup.Addr))
		f.powerOff(witness)
		requireRefusal(f.startCore(witness+":1", true), "no data")
		requireRefusal(f.startCore("10.0.0.6:1", true), "no cluster")
		f.powerOff(witness)
		f.powerOff("10.0.0.6")
		f.startMember(witness + ":1")
		f.startMember(record.Backup.Addr)
		time.Sleep(4 * time.Second)
		// The old primary is off while the others take a command, so its disk is behind.
		f.powerOff(at(record.Primary.Addr))
		time.Sleep(4 * time.Second)
		require.NoError(t, f.submitNumber(1, "b", 8*time.Second))
		requireRefusal(f.startCore(record.Primary.Addr, true), "")
		time.Sleep(time.Second)
		require.NoError(t, f.submitNumber(1, "c", 8*time.Second))
	})
}
