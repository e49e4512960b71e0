// Two of three disk machines lost for good.

package coordination_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestForceNewCluster: from one surviving copy and two empty machines the core goes on with
// all that was acknowledged, operations keep their outcomes, and the watchers go on
// as they were; keys are dealt under higher fences.
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
		// What was lost comes back after all: it joins as a spare, and nothing changes.
		f.startMember("10.0.0.7:1")
		time.Sleep(2 * time.Second)
		require.NoError(t, f.submitNumber(1, "c", 5*time.Second))
		time.Sleep(time.Second)
		require.EqualValues(t, 10, f.watchers[0].sum.Load())
	})
}

// TestForceNewClusterRefused: it is refused, in one clear line, while another holder lives,
// on a disk without data, on an empty one, and on one that is behind.
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
		says := func(end chan error, part string) {
			select {
			case err := <-end:
				require.ErrorContains(t, err, part)
			case <-time.After(20 * time.Second):
				t.Fatal("it was not refused: " + part)
			}
		}
		f.powerOff(at(record.Backup.Addr))
		says(f.startCore(record.Backup.Addr, true), "lives")
		f.powerOff(at(record.Backup.Addr))
		f.powerOff(witness)
		says(f.startCore(witness+":1", true), "no data")
		says(f.startCore("10.0.0.6:1", true), "no fleet")
		f.powerOff(witness)
		f.powerOff("10.0.0.6")
		f.startMember(witness + ":1")
		f.startMember(record.Backup.Addr)
		time.Sleep(4 * time.Second)
		// The old primary is gone a while, the others go on: its disk is behind then.
		f.powerOff(at(record.Primary.Addr))
		time.Sleep(4 * time.Second)
		require.NoError(t, f.submitNumber(1, "b", 8*time.Second))
		says(f.startCore(record.Primary.Addr, true), "")
		time.Sleep(time.Second)
		require.NoError(t, f.submitNumber(1, "c", 8*time.Second))
	})
}
