// Changes of membership: interrupted voter changes, replicas that leave, catch-up without snapshots,
// deposed primaries, and the spread of voters over zones.

package coordination_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// machineIP returns the IP address in a replica's address, whose port has one digit.
func machineIP(addr string) string { return addr[:len(addr)-2] }

// roles returns the IP addresses of the primary, the backup, a voter without data, and a spare.
func (f *testCluster) roles(t *testing.T) (primary, backup, witness, spare string) {
	t.Helper()
	primary = f.leader()
	require.NotEmpty(t, primary)
	record := f.cores[primary].Directory().Record()
	backup = machineIP(record.Backup.Addr)
	isVoter := map[string]bool{}
	for _, h := range record.Voters {
		isVoter[machineIP(h.Addr)] = true
	}
	for ip := range f.cores {
		switch {
		case ip == primary || ip == backup:
		case isVoter[ip]:
			witness = ip
		default:
			spare = ip
		}
	}
	require.NotEmpty(t, witness)
	require.NotEmpty(t, spare)
	return primary, backup, witness, spare
}

// waitUntil waits until a condition holds, for the given duration at most, and reports whether it holds.
func waitUntil(duration time.Duration, condition func() bool) bool {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(200 * time.Microsecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// TestInterruptedVoterChange guards against a split cluster after an interrupted change of voters. The primary
// replaces a silent voter by a spare, and loses power when only its backup has accepted the new
// record. It restarts without that backup, leads with the old voters and acknowledges a command.
// Then it is lost. The backup and the spare are a majority of the new voters, but must not lead
// without that command.
func TestInterruptedVoterChange(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newClusterOfSize(seed, 4, 1)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		time.Sleep(time.Second)
		primary, backup, witness, spare := f.roles(t)
		all := []string{primary, backup, witness, spare}
		before := f.cores[primary].Directory().Record().Epoch
		f.world.Machine(primary).SetDiskDelay(200 * time.Millisecond)
		f.world.Partition([]string{witness}, all, true)
		accepted := func() bool { return f.cores[backup].Directory().Record().Epoch > before }
		require.True(t, waitUntil(20*time.Second, accepted), "the change begins")
		f.powerOff(primary)
		f.world.Machine(primary).SetDiskDelay(time.Millisecond)
		f.isolate([]string{backup}, true)
		f.isolate([]string{spare}, true)
		f.world.Partition([]string{witness}, []string{primary}, false)
		f.startMember(primary + ":1")
		err := f.submitNumber(2, "b", 6*time.Second)
		if err != nil {
			return // the primary had accepted the new record itself, so no split is possible
		}
		f.powerOff(primary)
		f.isolate([]string{backup}, false)
		f.isolate([]string{spare}, false)
		f.world.Partition([]string{witness}, []string{backup, spare}, true)
		time.Sleep(5 * time.Second)
		require.False(t, f.cores[backup].Leads(), "it leads without an acknowledged command")
		f.world.Partition([]string{witness}, []string{backup, spare}, false)
		ctx, stop := context.WithTimeout(context.Background(), 15*time.Second)
		defer stop()
		r, err := f.agents[1].Submit(ctx, "c", "add", []byte("4"))
		require.NoError(t, err)
		require.Equal(t, "7", string(r.Body), "an acknowledged command is lost")
	})
}

// isolate partitions a group of machines from all others, or heals that partition.
func (f *testCluster) isolate(group []string, partitioned bool) {
	var rest []string
	for ip := range f.processes {
		if !slices.Contains(group, ip) {
			rest = append(rest, ip)
		}
	}
	f.world.Partition(group, rest, partitioned)
}

// leave makes a core hand over its roles and then powers it off; its disk stays.
func (f *testCluster) leave(ip string, duration time.Duration) error {
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	err := f.cores[ip].Leave(ctx)
	f.powerOff(ip)
	return err
}

// TestLeaveThenLoss checks that a leaving replica has handed over its roles when Leave returns. A primary,
// a backup or a voter without data leaves for good, and another machine is then lost with its disk.
// Commands are accepted at once after the departure, and no acknowledged command is lost.
func TestLeaveThenLoss(t *testing.T) {
	for leaverIndex, leaverRole := range []string{"primary", "backup", "witness"} {
		for lostIndex, lostRole := range []string{"primary", "backup"} {
			t.Run(leaverRole+" leaves, "+lostRole+" is lost", func(t *testing.T) {
				forEachSeed(t, func(t *testing.T, seed uint64) {
					f := newClusterOfSize(seed, 4, 1)
					defer f.close()
					require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
					time.Sleep(time.Duration(seed) * 100 * time.Millisecond)
					primary, backup, witness, _ := f.roles(t)
					leaver := []string{primary, backup, witness}[leaverIndex]
					require.NoError(t, f.leave(leaver, 5*time.Second))
					f.world.Machine(leaver).WipeDisk()
					require.NoError(t, f.submitNumber(2, "b", 2*time.Second), "commands are accepted at once")
					record := f.cores[f.leader()].Directory().Record()
					lost := []string{machineIP(record.Primary.Addr), machineIP(record.Backup.Addr)}[lostIndex]
					f.powerOff(lost)
					f.world.Machine(lost).WipeDisk()
					ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
					defer stop()
					r, err := f.agents[1].Submit(ctx, "c", "add", []byte("4"))
					require.NoError(t, err)
					require.Equal(t, "7", string(r.Body))
				})
			})
		}
	}
}

// TestLeaveWithoutSpare makes each of three machines in turn leave and restart on the same disk,
// while commands are submitted. Each handoff completes, and takes less time than a takeover.
func TestLeaveWithoutSpare(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		want := int64(1)
		for i, a := range f.seeds {
			ip := machineIP(a)
			time.Sleep(time.Second)
			require.NoError(t, f.leave(ip, 5*time.Second))
			began := time.Now()
			require.NoError(t, f.submitNumber(1, "op"+a, 5*time.Second))
			require.Less(t, time.Since(began), 700*time.Millisecond, "machine %d left", i)
			want++
			time.Sleep(time.Second)
			f.startMember(a)
		}
		time.Sleep(2 * time.Second)
		require.EqualValues(t, want, f.watchers[0].sum.Load())
	})
}

// TestRestartSendsNoSnapshot checks that no full snapshot is sent when a voter without data, and then
// the backup, restart at once on the same disk.
func TestRestartSendsNoSnapshot(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newClusterOfSize(seed, 4, 1)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		time.Sleep(time.Second)
		primary, backup, witness, _ := f.roles(t)
		sent := f.cores[primary].SnapshotsSent()
		for _, ip := range []string{witness, backup} {
			f.powerOff(ip)
			f.startMember(ip + ":1")
			require.NoError(t, f.submitNumber(1, "b"+ip, 5*time.Second))
			time.Sleep(2 * time.Second)
		}
		require.Equal(t, primary, f.leader())
		require.Equal(t, sent, f.cores[primary].SnapshotsSent())
	})
}

// TestVoterChangeSendsNoSnapshot checks that a backup that stays is not sent the state that it has, when a
// voter without data is lost and replaced by a spare.
func TestVoterChangeSendsNoSnapshot(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newClusterOfSize(seed, 4, 1)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		time.Sleep(time.Second)
		primary, _, witness, _ := f.roles(t)
		sent := f.cores[primary].SnapshotsSent()
		epoch := f.cores[primary].Directory().Record().Epoch
		f.powerOff(witness)
		time.Sleep(5 * time.Second)
		require.Greater(t, f.cores[primary].Directory().Record().Epoch, epoch, "the voter is replaced")
		require.Equal(t, sent, f.cores[primary].SnapshotsSent())
	})
}

// TestCatchUpByEntries checks that a backup that was partitioned for a moment is sent the entries
// that it is missing, not a full snapshot, when it becomes the backup again.
func TestCatchUpByEntries(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		time.Sleep(time.Second)
		primary := f.leader()
		record := f.cores[primary].Directory().Record()
		backup := machineIP(record.Backup.Addr)
		f.isolate([]string{backup}, true)
		require.NoError(t, f.submitNumber(2, "b", 5*time.Second))
		other := machineIP(f.cores[primary].Directory().Record().Backup.Addr)
		require.NotEqual(t, backup, other)
		f.isolate([]string{backup}, false)
		time.Sleep(time.Second)
		sent := f.cores[primary].SnapshotsSent()
		f.powerOff(other)
		f.world.Machine(other).WipeDisk()
		require.NoError(t, f.submitNumber(4, "c", 5*time.Second))
		require.Equal(t, sent, f.cores[primary].SnapshotsSent())
		f.startMember(other + ":1")
		time.Sleep(3 * time.Second) // wait until the restarted core, whose disk was wiped, has become a voter again
		f.powerOff(primary)
		ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
		defer stop()
		r, err := f.agents[1].Submit(ctx, "d", "add", []byte("8"))
		require.NoError(t, err)
		require.Equal(t, "15", string(r.Body))
	})
}

// TestDeposedPrimaryRejectsNothing checks that a primary that is partitioned from the other machines rejects no
// command, since it would decide on a state that may be stale. Its error says that the outcome is
// unknown.
func TestDeposedPrimaryRejectsNothing(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		time.Sleep(time.Second)
		primary := f.leader()
		var others []string
		for ip := range f.cores {
			if ip != primary {
				others = append(others, ip)
			}
		}
		caller := rpc.NewCaller(f.processes["10.0.1.1"].Host().Net)
		request := &coordination.SubmitRequest{Op: "b", Kind: "add", Body: []byte("no number")}
		_, err := rpc.Call[coordination.SubmitRequest, coordination.SubmitResponse](
			t.Context(), caller, primary+":1", coordination.SubmitMethod, request,
		)
		require.True(t, failure.Is(err, failure.InvalidArgument), "while it leads: %v", err)
		f.world.Partition([]string{primary}, others, true)
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		_, err = rpc.Call[coordination.SubmitRequest, coordination.SubmitResponse](
			ctx, caller, primary+":1", coordination.SubmitMethod, request,
		)
		require.Error(t, err)
		require.False(
			t,
			failure.Is(err, failure.InvalidArgument) || failure.Is(err, failure.Stale),
			"it rejected the command on a state that may be stale: %v",
			err,
		)
	})
}

// TestDivergedLogReplaced checks that a replica whose log has the expected length but other content is not
// considered up to date. A partitioned primary keeps a command on its disk that no other replica
// received; meanwhile another command is acknowledged under the same sequence number. When the
// replica becomes the backup, it is sent the acknowledged state.
func TestDivergedLogReplaced(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		time.Sleep(2 * time.Second)
		previous := f.leader()
		record := f.cores[previous].Directory().Record()
		backup := machineIP(record.Backup.Addr)
		var witness string
		for ip := range f.cores {
			if ip != previous && ip != backup {
				witness = ip
			}
		}
		f.world.Partition([]string{previous}, []string{backup, witness}, true)
		caller := rpc.NewCaller(f.processes["10.0.1.2"].Host().Net)
		request := &coordination.SubmitRequest{Op: "lost", Kind: "add", Body: []byte("100")}
		_, err := rpc.Call[coordination.SubmitRequest, coordination.SubmitResponse](
			t.Context(), caller, previous+":1", coordination.SubmitMethod, request,
		)
		require.Error(t, err)
		f.world.Partition([]string{"10.0.1.1", "10.0.1.2"}, []string{previous}, true)
		require.NoError(t, f.submitNumber(2, "b", 10*time.Second))
		f.powerOff(witness)
		f.world.Partition([]string{previous}, []string{backup, witness, "10.0.1.1", "10.0.1.2"}, false)
		require.NoError(t, f.submitNumber(4, "c", 10*time.Second))
		f.powerOff(backup)
		f.startMember(witness + ":1")
		ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
		defer stop()
		r, err := f.agents[1].Submit(ctx, "d", "add", []byte("8"))
		require.NoError(t, err)
		require.Equal(t, "15", string(r.Body))
	})
}

// TestFeedOfOlderEpochRefused checks that a node that has received a feed update of an epoch accepts none of an
// older epoch, however high its sequence number.
func TestFeedOfOlderEpochRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(1)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		f.powerOff(f.leader())
		require.NoError(t, f.submitNumber(2, "b", 10*time.Second))
		time.Sleep(time.Second)
		previous := coordination.Snapshot{Seq: 9999, State: []byte("77")}
		p := f.world.Machine("10.0.2.1").Start()
		f.startProcess("10.0.2.1", "10.0.2.1:1", p, func(mux *http.ServeMux) {
			rpc.Handle(mux, coordination.WatchMethod, func(context.Context, *coordination.WatchRequest) (*coordination.WatchResponse, error) {
				return &coordination.WatchResponse{
					Seq:      previous.Seq,
					Snapshot: coordination.MustMarshal(&previous),
					Epoch:    1,
				}, nil
			})
		}, func(context.Context) {})
		require.Error(t, f.agents[0].Fetch(t.Context(), "10.0.2.1:1"))
		require.EqualValues(t, 3, f.watchers[0].sum.Load())
	})
}

// TestConsecutiveLeaves asks the second of three machines to leave before the first is back. Each
// Leave returns only once two other machines have copies of the data.
func TestConsecutiveLeaves(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		time.Sleep(time.Second)
		primary := f.leader()
		backup := machineIP(f.cores[primary].Directory().Record().Backup.Addr)
		require.NoError(t, f.leave(backup, 5*time.Second))
		go func() {
			time.Sleep(1500 * time.Millisecond)
			f.startMember(backup + ":1")
		}()
		time.Sleep(700 * time.Millisecond)
		record := f.cores[primary].Directory().Record()
		next := primary
		if seed%2 == 0 {
			next = machineIP(record.Backup.Addr)
		}
		began, epoch := time.Now(), record.Epoch
		require.NoError(t, f.leave(next, 6*time.Second))
		require.LessOrEqual(
			t,
			f.cores[f.leader()].Directory().Record().Epoch,
			epoch+3,
			"no ballots are started while they cannot succeed",
		)
		require.Greater(t, time.Since(began), 700*time.Millisecond, "the first machine was not back yet")
		f.world.Machine(next).WipeDisk()
		require.NoError(t, f.submitNumber(2, "b", 2*time.Second))
		time.Sleep(time.Second)
		require.EqualValues(t, 3, f.watchers[0].sum.Load())
	})
}

// TestVotersSpreadOverZones checks that voters are rebalanced over the zones. Each of six machines in three zones
// leaves once and restarts, one of them with a wiped disk. Within 40 s the three voters are in three
// zones again, so that the loss of any zone leaves a majority.
func TestVotersSpreadOverZones(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newClusterInZones(seed, 6, 1, "a", "b", "c")
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		for i := range f.seeds {
			ip := machineIP(f.seeds[(i+int(seed))%len(f.seeds)])
			require.NoError(t, f.leave(ip, 5*time.Second))
			if i == 3 {
				f.world.Machine(ip).WipeDisk()
			}
			time.Sleep(time.Second)
			f.startMember(ip + ":1")
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(40 * time.Second)
		record := f.cores[f.leader()].Directory().Record()
		zones := map[ids.Zone]bool{}
		for _, h := range record.Voters {
			zones[h.Zone] = true
		}
		require.Len(t, zones, 3, "%v", record.Voters)
		lost := record.Primary.Zone
		for ip, zone := range f.zones {
			if zone == lost {
				f.powerOff(ip)
			}
		}
		require.NoError(t, f.submitNumber(2, "b", 10*time.Second))
	})
}
