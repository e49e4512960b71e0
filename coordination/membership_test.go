// Changes of membership that are cut short at each of their steps.

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

// machineOf is the IP number of a replica's address.
func machineOf(addr string) string { return addr[:len(addr)-2] }

// roles gives the primary, the backup, a holder without data, and a spare machine.
func (f *testCluster) roles(t *testing.T) (primary, backup, witness, spare string) {
	t.Helper()
	primary = f.leader()
	require.NotEmpty(t, primary)
	record := f.cores[primary].Directory().Record()
	backup = machineOf(record.Backup.Addr)
	isVoter := map[string]bool{}
	for _, h := range record.Voters {
		isVoter[machineOf(h.Addr)] = true
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

// await waits until a condition holds, for a span at most.
func await(duration time.Duration, condition func() bool) bool {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(200 * time.Microsecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// TestBegunChange: the primary replaces a silent holder by a spare, and loses power when
// only its backup has accepted the new record. It restarts without that backup, leads over
// the old holders and acknowledges a command. Then it is lost. The backup and the spare are
// most of the new holders, but must not lead without that command. Many seeds.
func TestBegunChange(t *testing.T) {
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
		require.True(t, await(20*time.Second, accepted), "the change begins")
		f.powerOff(primary)
		f.world.Machine(primary).SetDiskDelay(time.Millisecond)
		f.isolate([]string{backup}, true)
		f.isolate([]string{spare}, true)
		f.world.Partition([]string{witness}, []string{primary}, false)
		f.startMember(primary + ":1")
		err := f.submitNumber(2, "b", 6*time.Second)
		if err != nil {
			return // the primary had accepted the new record itself: there is no split to see
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

// isolate cuts a group of machines off from all others, or joins them again.
func (f *testCluster) isolate(group []string, partitioned bool) {
	var rest []string
	for ip := range f.processes {
		if !slices.Contains(group, ip) {
			rest = append(rest, ip)
		}
	}
	f.world.Partition(group, rest, partitioned)
}

// leave has a core hand over and then ends its process; its disk stays.
func (f *testCluster) leave(ip string, duration time.Duration) error {
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	err := f.cores[ip].Leave(ctx)
	f.powerOff(ip)
	return err
}

// TestLeaving: a primary, a backup or a holder without data leaves for good, and at that
// very moment another machine is lost with its disk. What was acknowledged is there, and
// the core goes on at once, since the leaver has handed over all that it had.
func TestLeaving(t *testing.T) {
	for role, who := range []string{"primary", "backup", "witness"} {
		for next, then := range []string{"primary", "backup"} {
			t.Run(who+" leaves, "+then+" is lost", func(t *testing.T) {
				forEachSeed(t, func(t *testing.T, seed uint64) {
					f := newClusterOfSize(seed, 4, 1)
					defer f.close()
					require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
					time.Sleep(time.Duration(seed) * 100 * time.Millisecond)
					primary, backup, witness, _ := f.roles(t)
					leaver := []string{primary, backup, witness}[role]
					require.NoError(t, f.leave(leaver, 5*time.Second))
					f.world.Machine(leaver).WipeDisk()
					require.NoError(t, f.submitNumber(2, "b", 2*time.Second), "orders are taken at once")
					record := f.cores[f.leader()].Directory().Record()
					lost := []string{machineOf(record.Primary.Addr), machineOf(record.Backup.Addr)}[next]
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

// TestLeavingWithoutSpare: of three machines each one in turn leaves and starts again on the
// same disk, under commands. Each hand-over is done, and takes less than a takeover.
func TestLeavingWithoutSpare(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		want := int64(1)
		for i, a := range f.seeds {
			ip := machineOf(a)
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

// TestRestartSendsNoSnapshot: a holder without data, and then the backup, start again at once on
// the same disk. No whole state is sent to anyone.
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

// TestChangeSendsNoSnapshot: a holder without data is lost and replaced by a spare. The backup,
// which stays, is not sent the state that it has.
func TestChangeSendsNoSnapshot(t *testing.T) {
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
		require.Greater(t, f.cores[primary].Directory().Record().Epoch, epoch, "the holder is replaced")
		require.Equal(t, sent, f.cores[primary].SnapshotsSent())
	})
}

// TestCaughtUpByEntries: a backup that was cut off for a moment is sent the entries that it
// lacks, not the whole state, when it becomes the backup again.
func TestCaughtUpByEntries(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		time.Sleep(time.Second)
		primary := f.leader()
		record := f.cores[primary].Directory().Record()
		backup := machineOf(record.Backup.Addr)
		f.isolate([]string{backup}, true)
		require.NoError(t, f.submitNumber(2, "b", 5*time.Second))
		other := machineOf(f.cores[primary].Directory().Record().Backup.Addr)
		require.NotEqual(t, backup, other)
		f.isolate([]string{backup}, false)
		time.Sleep(time.Second)
		sent := f.cores[primary].SnapshotsSent()
		f.powerOff(other)
		f.world.Machine(other).WipeDisk()
		require.NoError(t, f.submitNumber(4, "c", 5*time.Second))
		require.Equal(t, sent, f.cores[primary].SnapshotsSent())
		f.startMember(other + ":1")
		time.Sleep(3 * time.Second) // its register passes on to the empty disk
		f.powerOff(primary)
		ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
		defer stop()
		r, err := f.agents[1].Submit(ctx, "d", "add", []byte("8"))
		require.NoError(t, err)
		require.Equal(t, "15", string(r.Body))
	})
}

// TestRefusalOfDeposed: a primary that is cut off from the other machines refuses nothing: the
// state that it would judge by may be old. Its answer tells that the outcome is not known.
func TestRefusalOfDeposed(t *testing.T) {
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
			"it refused from a state that may be old: %v",
			err,
		)
	})
}

// TestDivergedTail: a primary that is cut off keeps a command on its disk that nobody else
// took; meanwhile another one is acknowledged under the same number. Back as the backup, it
// is given the state that was acknowledged, not taken for one that has it.
func TestDivergedTail(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		time.Sleep(2 * time.Second)
		previous := f.leader()
		record := f.cores[previous].Directory().Record()
		backup := machineOf(record.Backup.Addr)
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

// TestFeedOfDeposed: a node that has news of an epoch takes none of an older one, however new
// its number.
func TestFeedOfDeposed(t *testing.T) {
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

// TestLeavingOneAfterAnother: of three machines the next is asked to leave before the one before it is
// back. Each waits until the data has its two copies elsewhere, and then ends.
func TestLeavingOneAfterAnother(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		time.Sleep(time.Second)
		primary := f.leader()
		backup := machineOf(f.cores[primary].Directory().Record().Backup.Addr)
		require.NoError(t, f.leave(backup, 5*time.Second))
		go func() {
			time.Sleep(1500 * time.Millisecond)
			f.startMember(backup + ":1")
		}()
		time.Sleep(700 * time.Millisecond)
		record := f.cores[primary].Directory().Record()
		next := primary
		if seed%2 == 0 {
			next = machineOf(record.Backup.Addr)
		}
		began, epoch := time.Now(), record.Epoch
		require.NoError(t, f.leave(next, 6*time.Second))
		require.LessOrEqual(
			t,
			f.cores[f.leader()].Directory().Record().Epoch,
			epoch+3,
			"no ballots are begun while they can't succeed",
		)
		require.Greater(t, time.Since(began), 700*time.Millisecond, "the other one was not back yet")
		f.world.Machine(next).WipeDisk()
		require.NoError(t, f.submitNumber(2, "b", 2*time.Second))
		time.Sleep(time.Second)
		require.EqualValues(t, 3, f.watchers[0].sum.Load())
	})
}

// TestSpread: of six machines in three zones each leaves once and starts again, and one is lost
// with its disk. Soon after, the three holders stand in three zones again, so that the loss of
// any zone leaves a majority.
func TestSpread(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newClusterInZones(seed, 6, 1, "a", "b", "c")
		defer f.close()
		require.NoError(t, f.submitNumber(1, "a", 10*time.Second))
		for i := range f.seeds {
			ip := machineOf(f.seeds[(i+int(seed))%len(f.seeds)])
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
