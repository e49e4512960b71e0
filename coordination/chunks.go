// The chunk store holds what a machine will never change again, in chunks of a fixed
// content. A snapshot names its chunks and does not contain them, so neither a
// takeover nor a compaction grows with all that was ever agreed on: a chunk is
// saved once and sent only to a machine that lacks it. Register voters that
// carry no data fetch chunks beforehand, so that they can become the backup soon.

package coordination

import (
	"context"
	"strings"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// Chunk is a sealed part of a machine's state. Its name is that of its content.
type Chunk struct {
	Name string
	Body []byte
}

// NewChunk names a content.
func NewChunk(body []byte) Chunk { return Chunk{ShortHash(string(body)), body} }

// ChunkStore is what a StateMachine may be too. Chunks lists what its snapshots leave out, in
// an order that every copy has; RestoreChunks gives them back before Restore.
type ChunkStore interface {
	Chunks() []Chunk
	RestoreChunks(all []Chunk)
}

const chunkPrefix = "sheet-"

func chunksOf(m StateMachine) []Chunk {
	if s, ok := m.(ChunkStore); ok {
		return s.Chunks()
	}
	return nil
}

// saveChunk saves a chunk unless it is on disk already.
func (s *store) saveChunk(one Chunk) error {
	if s.hasChunk(one.Name) {
		return nil
	}
	err := s.timedWithin(4*s.timeout, "save chunk", func() error { return s.disk.Save(chunkPrefix+one.Name, one.Body) })
	if err == nil {
		s.chunks.Store(one.Name, true)
	}
	return err
}

func (s *store) hasChunk(name string) bool { _, ok := s.chunks.Load(name); return ok }

// loadChunks gives the chunks that a snapshot names: those in memory, else those on
// disk, each held against its name.
func (s *store) loadChunks(names []string, near []Chunk) ([]Chunk, error) {
	had := map[string]Chunk{}
	for _, one := range near {
		had[one.Name] = one
	}
	out := make([]Chunk, len(names))
	for i, n := range names {
		if one, ok := had[n]; ok {
			out[i] = one
			continue
		}
		body, err := s.disk.Load(chunkPrefix + n)
		if err != nil {
			return nil, failure.As(err, failure.InvalidArgument, "read chunk "+n, "disk")
		}
		if out[i] = NewChunk(body); out[i].Name != n {
			return nil, failure.New(
				failure.InvalidArgument, "read chunk "+n, "disk", "its content is that of %s", out[i].Name,
			)
		}
	}
	return out, nil
}

// listChunks learns which chunks the disk holds.
func (s *store) listChunks() error {
	names, err := s.disk.List()
	for _, n := range names {
		if after, ok := strings.CutPrefix(n, chunkPrefix); ok {
			s.chunks.Store(after, true)
		}
	}
	return err
}

// dropChunks drops those that no snapshot here names any more.
func (s *store) dropChunks(snapshot *Snapshot) {
	named := map[string]bool{}
	for _, n := range snapshot.Chunks {
		named[n] = true
	}
	s.chunks.Range(func(k, _ any) bool {
		if n := k.(string); !named[n] && s.disk.Remove(chunkPrefix+n) == nil {
			s.chunks.Delete(n)
		}
		return true
	})
}

// handleChunk takes a chunk from a proposer that this register has promised to, or gives
// one to a voter that collects them.
func (c *Core) handleChunk(_ context.Context, request *ChunkRequest) (*ChunkResponse, error) {
	if request.Body != nil {
		if _, promised := c.acceptedRecord(); promised != request.Epoch {
			return &ChunkResponse{}, nil
		}
		return &ChunkResponse{OK: true}, c.saveChunk(Chunk{request.Name, request.Body}, "proposer")
	}
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	all := chunksOf(c.state.machine)
	r := &ChunkResponse{OK: c.Leads(), Count: len(all)}
	if r.OK && request.Index < len(all) {
		r.Name, r.Body = all[request.Index].Name, all[request.Index].Body
	}
	return r, nil
}

func (c *Core) saveChunk(one Chunk, near string) error {
	if NewChunk(one.Body).Name != one.Name {
		return failure.New(
			failure.InvalidArgument, "take chunk", near, "the content of %s does not fit its name", one.Name,
		)
	}
	return c.store.saveChunk(one)
}

// sendChunks sends the chunks that a backup-to-be said it lacks.
func (c *Core) sendChunks(ctx context.Context, e ids.Epoch, to Replica, lacks []string, all []Chunk) error {
	want := map[string]bool{}
	for _, n := range lacks {
		want[n] = true
	}
	for _, one := range all {
		if !want[one.Name] {
			continue
		}
		callContext, stop := context.WithTimeout(ctx, sendTimeout(len(one.Body)))
		r, err := rpc.Call[ChunkRequest, ChunkResponse](
			callContext,
			c.caller,
			c.directory.Addr(to),
			chunkMethod,
			&ChunkRequest{
				Epoch: e,
				Name:  one.Name,
				Body:  one.Body,
			},
		)
		stop()
		if err != nil {
			return err
		}
		if !r.OK {
			return failure.New(failure.Stale, "send chunk", to.Addr, "refused")
		}
	}
	return nil
}

// prefetchChunks fetches chunks from the primary while this machine holds a register and
// no data, one at a time.
func (c *Core) prefetchChunks(ctx context.Context) {
	at, of := 0, ""
	for wait := time.Second; host.Sleep(ctx, wait); {
		wait = time.Second
		record, _ := c.acceptedRecord()
		if record.ClusterID == "" || c.isDataReplica(record) || !containsDisk(record.Voters, c.self.Disk) {
			continue
		}
		if of != record.ClusterID {
			at, of = 0, record.ClusterID
		}
		callContext, stop := context.WithTimeout(ctx, 2*time.Second)
		r, err := rpc.Call[ChunkRequest, ChunkResponse](
			callContext, c.caller, c.directory.Addr(record.Primary), chunkMethod, &ChunkRequest{Index: at},
		)
		stop()
		if err != nil || !r.OK || r.Body == nil {
			continue
		}
		if err := c.saveChunk(Chunk{r.Name, r.Body}, record.Primary.Addr); err != nil {
			c.options.Ring.Warn().AnErr("cause", err).Msg("chunk not saved")
			continue
		}
		if at++; at < r.Count {
			wait = 20 * time.Millisecond
		}
	}
}
