// Failures with a fault tolerance of two machines.

package coordination_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTwoMachinesLost checks that no acknowledged command is lost and the core goes on when two of six
// machines lose power or their disks at the same moment right after an answer, in each of three
// rounds. The pairs include the primary with a backup and both backups.
func TestTwoMachinesLost(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newClusterOfSize(seed, 6, 2)
		defer f.close()
		r := rand.New(rand.NewPCG(seed, 1))
		want := int64(0)
		for i := range 3 {
			require.NoError(t, f.submitNumber(1, fmt.Sprint("op", i), 10*time.Second), "round %d", i)
			want++
			lead := f.leader()
			ips := []string{lead}
			record := f.cores[lead].Directory().Record()
			switch r.IntN(3) {
			case 0:
				ips = append(ips, record.Backup.Addr[:8])
			case 1:
				ips = []string{record.Backup.Addr[:8], record.MoreBackups[0].Addr[:8]}
			default:
				for len(ips) < 2 {
					if ip := f.seeds[r.IntN(len(f.seeds))][:8]; ip != lead {
						ips = append(ips, ip)
					}
				}
			}
			for _, ip := range ips {
				f.powerOff(ip)
				if r.IntN(2) == 0 {
					f.world.Machine(ip).WipeDisk()
				}
			}
			require.NoError(t, f.submitNumber(1, fmt.Sprint("then", i), 10*time.Second), "round %d without %v", i, ips)
			want++
			for _, ip := range ips {
				f.startMember(ip + ":1")
			}
			time.Sleep(14 * time.Second) // lost voters are replaced by reachable machines
			for _, v := range f.watchers {
				require.Equal(t, want, v.sum.Load())
			}
		}
		all := 0
		for _, c := range f.cores {
			record := c.Directory().Record()
			require.Len(t, record.Voters, 5)
			require.Len(t, record.MoreBackups, 1)
			all++
		}
		require.Equal(t, 6, all)
	})
}

// TestDataReplicasLostWhileBackupOff checks that a command acknowledged while one backup is off survives when the
// primary and the other backup are then lost with their disks. The core has it once the first
// backup is back, although that one never received it from the old primary.
func TestDataReplicasLostWhileBackupOff(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newClusterOfSize(seed, 6, 2)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		time.Sleep(time.Duration(seed%5) * 300 * time.Millisecond)
		lead := f.leader()
		record := f.cores[lead].Directory().Record()
		offline, other := record.MoreBackups[0].Addr[:8], record.Backup.Addr[:8]
		if seed%2 == 0 {
			offline, other = other, offline
		}
		f.powerOff(offline)
		require.NoError(t, f.submitNumber(2, "b", 10*time.Second))
		for _, ip := range []string{lead, other} {
			f.powerOff(ip)
			f.world.Machine(ip).WipeDisk()
		}
		f.startMember(offline + ":1")
		ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
		defer stop()
		r, err := f.agents[1].Submit(ctx, "c", "add", []byte("4"))
		require.NoError(t, err)
		require.Equal(t, "7", string(r.Body))
	})
}
