// Runs the store on a real directory and simulates a power loss right before every sync, with all
// states that it may leave on disk, and a second power loss during the restart from such a state.

package coordination

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host"
	"keelstair.example/host/simulated"
	"keelstair.example/ids"
)

// listStateMachine appends each value to a list and moves the older values into chunks.
type listStateMachine struct {
	chunks []Chunk
	values []string
}

const valuesPerChunk = 5

func (m *listStateMachine) Apply(_ ids.Seq, kind string, body []byte) ([]byte, error) {
	if kind != "put" {
		return nil, errors.New("unknown kind")
	}
	m.values = append(m.values, string(body))
	if len(m.values) == valuesPerChunk {
		m.chunks = append(m.chunks, NewChunk([]byte(strings.Join(m.values, ","))))
		m.values = nil
	}
	return nil, nil
}

func (m *listStateMachine) all() string {
	var parts []string
	for _, one := range m.chunks {
		parts = append(parts, string(one.Body))
	}
	return strings.Join(append(parts, m.values...), ",")
}

func (m *listStateMachine) Published(string) bool { return true }

func (m *listStateMachine) Snapshot(bool) []byte { return []byte(strings.Join(m.values, ",")) }

func (m *listStateMachine) Restore(body []byte) error {
	m.values = nil
	if len(body) > 0 {
		m.values = strings.Split(string(body), ",")
	}
	return nil
}

func (m *listStateMachine) Keys() []ids.Key                                  { return nil }
func (m *listStateMachine) DueCommands(ids.Tick, ids.Seq, ids.Seq) []Command { return nil }
func (m *listStateMachine) Chunks() []Chunk                                  { return m.chunks }
func (m *listStateMachine) RestoreChunks(all []Chunk)                        { m.chunks = all }

// storeRun drives a store and records its acknowledged and requested writes.
type storeRun struct {
	store                                   *store
	state                                   *replicatedState
	acknowledged, requested                 string   // the list after the last acknowledged and the last requested append
	acknowledgedRegister, requestedRegister register // the last saved and the last requested register
	lastValue                               int      // the last value appended
}

func newStore(disk host.Disk) *store { return &store{disk: disk, timeout: 20 * time.Second} }

// check loads the store from a disk and checks that its list and register are the acknowledged or the
// requested ones.
func (run *storeRun) check(disk host.Disk) error {
	s, r := newStore(disk), newReplicatedState(&listStateMachine{})
	if err := s.load(r); err != nil {
		return err
	}
	defer s.log.Close()
	if got := r.machine.(*listStateMachine).all(); got != run.acknowledged && got != run.requested {
		return fmt.Errorf("the state is %q, but want the acknowledged %q or the requested %q", got, run.acknowledged, run.requested)
	}
	reg, err := s.loadRegister()
	if err != nil {
		return err
	}
	if reg.Promised != run.acknowledgedRegister.Promised && reg.Promised != run.requestedRegister.Promised {
		return fmt.Errorf(
			"the register promises %d, but want the acknowledged %d or the requested %d",
			reg.Promised,
			run.acknowledgedRegister.Promised,
			run.requestedRegister.Promised,
		)
	}
	return nil
}

func (run *storeRun) appendRandom(random *rand.Rand) error {
	return run.appendCount(1 + random.IntN(3))
}

func (run *storeRun) appendCount(count int) error {
	var entries []Entry
	for range count {
		run.lastValue++
		e := Entry{Kind: "put", Body: []byte(strconv.Itoa(run.lastValue))}
		if _, err := run.state.apply(&e); err != nil {
			return err
		}
		entries = append(entries, e)
	}
	run.requested = run.state.machine.(*listStateMachine).all()
	err := run.store.append(entries)
	if err == nil {
		run.acknowledged = run.requested
	}
	return err
}

func (run *storeRun) promise() error {
	run.requestedRegister.Promised++
	err := run.store.saveRegister(run.requestedRegister)
	if err == nil {
		run.acknowledgedRegister = run.requestedRegister
	}
	return err
}

func (run *storeRun) compact() error {
	return run.store.compact(run.state.snapshot(false), chunksOf(run.state.machine))
}

func (run *storeRun) reload() error {
	run.state = newReplicatedState(&listStateMachine{})
	return run.store.load(run.state)
}

func (run *storeRun) step(random *rand.Rand) error {
	switch random.IntN(6) {
	case 0:
		return run.compact()
	case 1:
		return run.promise()
	case 2:
		return run.reload()
	}
	return run.appendRandom(random)
}

// restartWithPowerLoss restarts from a state left by a power loss, and simulates another power loss
// right before each sync of the restart.
func (run *storeRun) restartWithPowerLoss(t *testing.T, dir string, seed uint64) {
	loss, err := simulated.NewPowerLoss(dir, seed)
	if err != nil {
		t.Error(err)
		return
	}
	defer loss.Close()
	disk, err := host.OpenObservedDisk(dir, func(path string) {
		if err := loss.BeforeSync(path, func(dir string) { run.checkSecondRestart(t, dir) }); err != nil {
			t.Error(err)
		}
	})
	if err == nil {
		err = run.check(disk)
	}
	if err != nil {
		t.Errorf("seed %d: %v", seed, err)
	}
}

// checkSecondRestart checks the state that a power loss during the first restart left.
func (run *storeRun) checkSecondRestart(t *testing.T, dir string) {
	disk, err := host.OpenDisk(dir)
	if err == nil {
		err = run.check(disk)
	}
	if err != nil {
		t.Errorf("at the second restart: %v", err)
	}
}

// TestStorePowerLoss loses power at every disk step of appending, saving the register, taking a snapshot,
// dropping chunks and starting, with every choice of lost unsynced files. The state read back must
// contain every acknowledged entry and be the state before or after the interrupted step.
func TestStorePowerLoss(t *testing.T) {
	seeds := 1
	if more, err := strconv.Atoi(os.Getenv("KEELSTAIR_SEEDS")); err == nil {
		seeds = more
	}
	states := 0
	for seed := uint64(1); seed <= uint64(seeds) && !t.Failed(); seed++ {
		states += storePowerLoss(t, seed)
	}
	t.Logf("%d states after a power loss", states)
}

func storePowerLoss(t *testing.T, seed uint64) int {
	dir := t.TempDir()
	loss, err := simulated.NewPowerLoss(dir, seed)
	require.NoError(t, err)
	defer loss.Close()
	random := rand.New(rand.NewPCG(seed, 1))
	run := &storeRun{}
	states := 0
	disk, err := host.OpenObservedDisk(dir, func(path string) {
		err := loss.BeforeSync(path, func(dir string) {
			states++
			run.restartWithPowerLoss(t, dir, seed)
		})
		if err != nil {
			t.Error(err)
		}
	})
	require.NoError(t, err)
	run.store = newStore(disk)
	require.NoError(t, run.reload())
	require.NoError(t, run.promise())
	for i := range 30 {
		require.NoError(t, run.step(random), "seed %d step %d", seed, i)
		if t.Failed() {
			break
		}
	}
	return states
}

// TestUnusedChunksDropped checks that chunks which the state machine no longer has are removed from disk.
func TestUnusedChunksDropped(t *testing.T) {
	disk, err := host.OpenDisk(t.TempDir())
	require.NoError(t, err)
	run := &storeRun{store: newStore(disk)}
	require.NoError(t, run.reload())
	countChunkFiles := func() (count int) {
		names, err := disk.List()
		require.NoError(t, err)
		for _, name := range names {
			if strings.HasPrefix(name, chunkPrefix) {
				count++
			}
		}
		return count
	}
	for range 3 * valuesPerChunk {
		_, err := run.state.apply(&Entry{Kind: "put", Body: []byte("x")})
		require.NoError(t, err)
		require.NoError(t, run.compact())
	}
	machine := run.state.machine.(*listStateMachine)
	require.Equal(t, 1, countChunkFiles(), "chunks with equal content share one file")
	machine.chunks = []Chunk{NewChunk([]byte("another"))}
	require.NoError(t, run.compact())
	require.Equal(t, 1, countChunkFiles())
}

// TestCompletedStepNotPending checks that a disk step no longer counts as pending once it has returned.
// Otherwise a snapshot right after it would be refused as stalled, and the primary would step down.
func TestCompletedStepNotPending(t *testing.T) {
	var wg sync.WaitGroup
	var stillPending atomic.Int32
	for range 8 * runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			s := newStore(nil)
			for range 8_000 {
				s.runStep("no step", func() error { return nil })
				stillPending.Add(s.pendingSteps.Load())
			}
		})
	}
	wg.Wait()
	require.Zero(t, stillPending.Load(), "completed steps still counted as pending")
}

// corruption is a change to a file on disk. reason is a part of the error with which reading it fails.
type corruption struct {
	name, file string
	change     func([]byte) []byte
	reason     string
}

const filledLog = "log-1/00000000000000000001" // the log's file on a disk written by fillStore

// corruptions returns the ways to corrupt a disk written by fillStore; chunk is the file of its chunk.
func corruptions(chunk string) []corruption {
	withChecksum := func(body []byte) func([]byte) []byte {
		return func([]byte) []byte { return host.AddChecksum(body) }
	}
	half := func(b []byte) []byte { return b[:len(b)/2] }
	none := func([]byte) []byte { return nil }
	flip := func(b []byte) []byte { b = bytes.Clone(b); b[len(b)/2] ^= 8; return b }
	entry := Entry{Seq: 99, Kind: "put", Body: []byte("x")}
	appended := func(bodies ...[]byte) func([]byte) []byte {
		return func(all []byte) []byte {
			for _, body := range bodies {
				encoded := host.AddChecksum(body)
				all = append(append(all, byte(len(encoded))), encoded...)
			}
			return all
		}
	}
	after := Entry{Seq: 9, Kind: "put", Body: []byte("9")}
	return []corruption{
		{"snapshot cut short", "picture", half, "counts as lost"},
		{"snapshot empty", "picture", none, "counts as lost"},
		{"snapshot changed", "picture", flip, "counts as lost"},
		{"snapshot with an empty message", "picture", withChecksum([]byte{0x80}), "not that of a snapshot"},
		{"snapshot is not a message", "picture", withChecksum([]byte("hello")), "read snapshot"},
		{"snapshot with trailing bytes", "picture", func(b []byte) []byte {
			return host.AddChecksum(append(b[4:len(b):len(b)], 0)) // the first 4 bytes are the checksum
		}, "not that of a snapshot"},
		{"register cut short", "register", half, "counts as lost"},
		{"register empty", "register", none, "counts as lost"},
		{"register changed", "register", flip, "counts as lost"},
		{"register with an empty message", "register", withChecksum([]byte{0x80}), "not that of a register"},
		{"register is not a message", "register", withChecksum([]byte("hello")), "read register"},
		{"register with an accepted epoch above the promised one", "register", withChecksum(MustMarshal(&BallotResponse{
			Promised: 1,
			Accepted: Record{Epoch: 2, ClusterID: "f"},
		})), "not that of a register"},
		{"log changed in the middle", filledLog, func(b []byte) []byte {
			b = bytes.Clone(b)
			b[8] ^= 8
			return b
		}, "counts as lost"},
		{"log with missing entries", filledLog, appended(MustMarshal(&entry)), "follows"},
		{"log with an empty message as entry", filledLog, appended([]byte{0x80}), "follows"},
		{"log with an entry that is not a message", filledLog, appended([]byte("hello")), "read log"},
		{
			"log with trailing bytes after an entry",
			filledLog,
			appended(append(MustMarshal(&after), 0)),
			"trailing bytes after entry",
		},
		{"log with an unknown command", filledLog, appended(MustMarshal(&Entry{Seq: 9, Kind: "newer"})), "replay log"},
		{"chunk cut short", chunk, half, "read chunk"},
		{"chunk changed", chunk, flip, "read chunk"},
		{"chunk of another name", chunk, withChecksum([]byte("other")), "the content is that of chunk"},
	}
}

// newFilledDisk returns the directory of a disk written by fillStore and the file name of its chunk.
func newFilledDisk(t *testing.T) (dir, chunk string) {
	dir = t.TempDir()
	fillStore(t, dir)
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), chunkPrefix) {
			chunk = entry.Name()
		}
	}
	return dir, chunk
}

// TestDamagedDisk checks that a snapshot, register, log or chunk that is truncated, changed, or of another
// type or version is rejected with a one-line error and never loaded as state.
func TestDamagedDisk(t *testing.T) {
	healthy, chunk := newFilledDisk(t)
	for _, c := range corruptions(chunk) {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, os.CopyFS(dir, os.DirFS(healthy)))
			body, err := os.ReadFile(dir + "/" + c.file)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(dir+"/"+c.file, c.change(body), 0o644))
			requireRefused(t, dir, c.reason)
		})
	}
}

// TestMissingFile checks that a disk with a missing file is rejected with a one-line error.
func TestMissingFile(t *testing.T) {
	healthy, chunk := newFilledDisk(t)
	for _, c := range []struct{ file, reason string }{
		{"picture", "there is a register, but neither a snapshot nor log-0"},
		{"log-1", "log-1, which the snapshot names, is missing"},
		{filledLog, "log-1, which the snapshot names, is missing"},
		{chunk, "read chunk"},
	} {
		t.Run(c.file, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, os.CopyFS(dir, os.DirFS(healthy)))
			require.NoError(t, os.RemoveAll(dir+"/"+c.file))
			requireRefused(t, dir, c.reason)
		})
	}
}

// fillStore writes a disk with a chunk, a snapshot after entry 6, and entries 7 and 8 after it.
func fillStore(t *testing.T, dir string) {
	disk, err := host.OpenDisk(dir)
	require.NoError(t, err)
	run := &storeRun{store: newStore(disk)}
	require.NoError(t, run.reload())
	require.NoError(t, run.promise())
	for number := 1; number <= 8; number++ {
		e := Entry{Kind: "put", Body: []byte(strconv.Itoa(number))}
		_, err := run.state.apply(&e)
		require.NoError(t, err)
		require.NoError(t, run.store.append([]Entry{e}))
		if number == 6 {
			require.NoError(t, run.compact())
		}
	}
	require.NoError(t, run.store.log.Close())
}

// requireRefused checks that loading a disk fails with a one-line error that contains reason.
func requireRefused(t *testing.T, dir, reason string) {
	disk, err := host.OpenDisk(dir)
	require.NoError(t, err)
	s := newStore(disk)
	if _, err = s.loadRegister(); err == nil {
		err = s.load(newReplicatedState(&listStateMachine{}))
	}
	require.ErrorContains(t, err, reason)
	require.NotContains(t, err.Error(), "\n")
}

// TestDiskUsageBound checks that with entries of 50 KB, the size of a large document, the old
// and the new log, snapshots and chunks together stay far below the 64 MB of a disk.
func TestDiskUsageBound(t *testing.T) {
	const entries, entrySize, bound = 400, 50_000, 12_000_000
	dir := t.TempDir()
	maxUsed := int64(0)
	disk, err := host.OpenObservedDisk(dir, func(string) {
		used := int64(0)
		filepath.WalkDir(dir, func(_ string, entry os.DirEntry, err error) error {
			if info, err := entry.Info(); err == nil && !entry.IsDir() {
				used += info.Size()
			}
			return err
		})
		maxUsed = max(maxUsed, used)
	})
	require.NoError(t, err)
	run := &storeRun{store: newStore(disk)}
	require.NoError(t, run.reload())
	machine := run.state.machine.(*listStateMachine)
	compactions := 0
	for range entries {
		e := Entry{Kind: "put", Body: bytes.Repeat([]byte("x"), entrySize)}
		_, err := run.state.apply(&e)
		require.NoError(t, err)
		require.NoError(t, run.store.append([]Entry{e}))
		if last := len(machine.chunks); last > 1 {
			machine.chunks = machine.chunks[last-1:]
		}
		if run.store.logUnits > compactionThreshold {
			require.NoError(t, run.compact())
			compactions++
		}
	}
	t.Logf("%d bytes at most, %d snapshots", maxUsed, compactions)
	require.Positive(t, compactions)
	require.Less(t, maxUsed, int64(bound))
}
