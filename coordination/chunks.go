// Chunks hold the parts of a state machine's state that never change again. A snapshot names its
// chunks and does not contain them, so the cost of a takeover or a compaction does not grow with the
// whole history: a chunk is saved once and sent only to a replica that lacks it. Voters without data
// prefetch chunks, so that they can become a backup quickly.

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

// Chunk is an immutable part of a state machine's state. Its name is a hash of its content.
type Chunk struct {
	Name string
	Body []byte
}

// NewChunk returns the chunk with a content.
func NewChunk(body []byte) Chunk { return Chunk{ShortHash(string(body)), body} }

// ChunkStore is an optional interface of a StateMachine. Chunks lists the chunks that its snapshots leave
// out, in the same order at every replica; RestoreChunks is called with them before Restore.
type ChunkStore interface {
	Chunks() []Chunk
	RestoreChunks(chunks []Chunk)
}

// chunkPrefix begins the file name of each chunk.
const chunkPrefix = "sheet-"

// chunksOf returns the chunks of a state machine, or nil if it is no ChunkStore.
func chunksOf(m StateMachine) []Chunk {
	if s, ok := m.(ChunkStore); ok {
		return s.Chunks()
	}
	return nil
}

// saveChunk saves a chunk unless it is on disk already.
func (s *store) saveChunk(chunk Chunk) error {
	if s.hasChunk(chunk.Name) {
		return nil
	}
	err := s.runStepWithin(4*s.timeout, "save chunk", func() error {
		return s.disk.Save(chunkPrefix+chunk.Name, chunk.Body)
	})
	if err == nil {
		s.chunks.Store(chunk.Name, true)
	}
	return err
}

// hasChunk reports whether the chunk of a name is on disk.
func (s *store) hasChunk(name string) bool { _, ok := s.chunks.Load(name); return ok }

// loadChunks returns the chunks that a snapshot names: from the cached ones, or else from disk, where
// the content is checked against the name.
func (s *store) loadChunks(names []string, cached []Chunk) ([]Chunk, error) {
	byName := map[string]Chunk{}
	for _, chunk := range cached {
		byName[chunk.Name] = chunk
	}
	out := make([]Chunk, len(names))
	for i, n := range names {
		if chunk, ok := byName[n]; ok {
			out[i] = chunk
			continue
		}
		body, err := s.disk.Load(chunkPrefix + n)
		if err != nil {
			return nil, failure.As(err, failure.InvalidArgument, "read chunk "+n, "disk")
		}
		if out[i] = NewChunk(body); out[i].Name != n {
			return nil, failure.New(
				failure.InvalidArgument, "read chunk "+n, "disk", "the content is that of chunk %s", out[i].Name,
			)
		}
	}
	return out, nil
}

// listChunks reads which chunks are on disk.
func (s *store) listChunks() error {
	names, err := s.disk.List()
	for _, n := range names {
		if name, ok := strings.CutPrefix(n, chunkPrefix); ok {
			s.chunks.Store(name, true)
		}
	}
	return err
}

// dropChunks removes the chunks that the snapshot does not name.
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

// handleChunk saves a chunk sent by a proposer if this core has promised the proposer's epoch. For a
// request without a body, it returns a chunk to a voter that prefetches the primary's chunks.
func (c *Core) handleChunk(_ context.Context, request *ChunkRequest) (*ChunkResponse, error) {
	if request.Body != nil {
		if _, promised := c.acceptedRecord(); promised != request.Epoch {
			return &ChunkResponse{}, nil
		}
		return &ChunkResponse{OK: true}, c.saveChunk(Chunk{request.Name, request.Body}, "proposer")
	}
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	chunks := chunksOf(c.state.machine)
	r := &ChunkResponse{OK: c.Leads(), Count: len(chunks)}
	if r.OK && request.Index < len(chunks) {
		r.Name, r.Body = chunks[request.Index].Name, chunks[request.Index].Body
	}
	return r, nil
}

// saveChunk saves a chunk that was received from source, if its content fits its name.
func (c *Core) saveChunk(chunk Chunk, source string) error {
	if NewChunk(chunk.Body).Name != chunk.Name {
		return failure.New(
			failure.InvalidArgument, "take chunk", source, "the content of %s does not fit its name", chunk.Name,
		)
	}
	return c.store.saveChunk(chunk)
}

// sendChunks sends the chunks that a future backup reported as missing.
func (c *Core) sendChunks(ctx context.Context, e ids.Epoch, to Replica, missing []string, chunks []Chunk) error {
	want := map[string]bool{}
	for _, n := range missing {
		want[n] = true
	}
	for _, chunk := range chunks {
		if !want[chunk.Name] {
			continue
		}
		callContext, stop := context.WithTimeout(ctx, catchUpCallTimeout(len(chunk.Body)))
		r, err := rpc.Call[ChunkRequest, ChunkResponse](
			callContext,
			c.caller,
			c.directory.Addr(to),
			chunkMethod,
			&ChunkRequest{
				Epoch: e,
				Name:  chunk.Name,
				Body:  chunk.Body,
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

// prefetchChunks fetches chunks from the primary, one at a time, while this replica is a voter without
// data.
func (c *Core) prefetchChunks(ctx context.Context) {
	index, clusterID := 0, ""
	for wait := time.Second; host.Sleep(ctx, wait); {
		wait = time.Second
		record, _ := c.acceptedRecord()
		if record.ClusterID == "" || c.isDataReplica(record) || !containsDisk(record.Voters, c.self.Disk) {
			continue
		}
		if clusterID != record.ClusterID {
			index, clusterID = 0, record.ClusterID
		}
		callContext, stop := context.WithTimeout(ctx, 2*time.Second)
		r, err := rpc.Call[ChunkRequest, ChunkResponse](
			callContext, c.caller, c.directory.Addr(record.Primary), chunkMethod, &ChunkRequest{Index: index},
		)
		stop()
		if err != nil || !r.OK || r.Body == nil {
			continue
		}
		if err := c.saveChunk(Chunk{r.Name, r.Body}, record.Primary.Addr); err != nil {
			c.options.Ring.Warn().AnErr("cause", err).Msg("prefetched chunk not saved")
			continue
		}
		if index++; index < r.Count {
			wait = 20 * time.Millisecond
		}
	}
}
