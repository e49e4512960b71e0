// Package standin contains stand-ins for the systems around the routers: a model worker, clients that generate
// load, and the platform.
package standin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"keelstair.example/ids"
)

// pool is the memory of a worker: a fixed number of blocks of KV cells. A block table lists the blocks of a run in
// token order. As in real memory, freed blocks keep their content, so a read of cells that the run has not written
// may return the content of another request.
type pool struct {
	blockSize int // cells per block
	cells     [][]uint64
	free      []int // indices of the free blocks
	reserved  int   // free blocks that are reserved for the growth of runs
}

// newPool returns a pool of capacity blocks with size cells each.
func newPool(capacity, size int) *pool {
	p := &pool{blockSize: size}
	for i := range capacity {
		p.cells = append(p.cells, make([]uint64, size))
		p.free = append(p.free, capacity-1-i)
	}
	return p
}

func (p *pool) used() int { return len(p.cells) - len(p.free) }

// fits reports whether n blocks are free in addition to those that are reserved.
func (p *pool) fits(n int) bool { return len(p.free)-p.reserved >= n }

// allocate returns n free blocks, or nil if there are too few.
func (p *pool) allocate(n int) []int {
	if n > len(p.free) {
		return nil
	}
	at := len(p.free) - n
	out := append([]int(nil), p.free[at:]...)
	p.free = p.free[:at]
	return out
}

func (p *pool) release(blocks []int) { p.free = append(p.free, blocks...) }

func (p *pool) set(blocks []int, pos int, v uint64) {
	p.cells[blocks[pos/p.blockSize]][pos%p.blockSize] = v
}
func (p *pool) get(blocks []int, pos int) uint64 {
	return p.cells[blocks[pos/p.blockSize]][pos%p.blockSize]
}

// mix returns a hash of a and b.
func mix(a, b uint64) uint64 {
	v := a*0x9e3779b97f4a7c15 ^ (b + 0x7f4a7c15f39cc060)
	v ^= v >> 29
	v *= 0xbf58476d1ce4e5b9
	return v ^ v>>32
}

func hashString(s string) uint64 {
	v := uint64(14695981039346656037)
	for _, c := range []byte(s) {
		v = (v ^ uint64(c)) * 1099511628211
	}
	return v
}

// kvCell returns the KV cell of a token, which depends on the model, on the previous cell and on the position.
func kvCell(model, previous uint64, pos int, token int32) uint64 {
	return mix(mix(model, previous), uint64(pos)<<32|uint64(uint32(token)))
}

// attention returns a hash of the model, the seed, the temperature and the first n cells of a block table. The next
// token is derived from it, so it depends on each of them.
func (p *pool) attention(blocks []int, n int, model, seed uint64, temperature float64) uint64 {
	v := mix(model, seed)
	if temperature > 0 {
		v = mix(v, uint64(temperature*1000))
	}
	for i := range n {
		v = mix(v, p.get(blocks, i))
	}
	return v
}

// sampleToken derives the token at position at of the output from the result of attention. 0 ends the output.
func sampleToken(v uint64, at int) int32 {
	if at > 2 && v%23 == 0 {
		return 0
	}
	return int32(v%50000) + 1
}

// kvBytes returns the first n cells of a block table as transferred between workers, with their digest.
func (p *pool) kvBytes(blocks []int, n int) ([]byte, string) {
	out := make([]byte, 0, 8*n)
	for i := range n {
		out = binary.LittleEndian.AppendUint64(out, p.get(blocks, i))
	}
	return out, digest(out)
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:12])
}

// ReferenceOutput returns the output of a request that is processed by a single worker without a handoff. The
// output of every other run must be equal to it.
func ReferenceOutput(
	prompt []int32,
	maxTokens int,
	seed uint64,
	temperature float64,
	name, weights string,
	adapters []string,
) []int32 {
	p := newPool(ids.Blocks(len(prompt)+maxTokens+1, 16), 16)
	blocks := p.allocate(len(p.cells))
	model := modelHash(name, weights, adapters)
	var last uint64
	for i, t := range prompt {
		last = kvCell(model, last, i, t)
		p.set(blocks, i, last)
	}
	var out []int32
	for n := len(prompt); len(out) < maxTokens; n++ {
		t := sampleToken(p.attention(blocks, n, model, seed, temperature), len(out))
		if t == 0 {
			break
		}
		out = append(out, t)
		last = kvCell(model, last, n, t)
		p.set(blocks, n, last)
	}
	return out
}

// modelHash returns a hash that depends on the model, its weights and the adapters in their order.
func modelHash(model, weights string, adapters []string) uint64 {
	v := mix(hashString(model), hashString(weights))
	for _, a := range adapters {
		v = mix(v, hashString(a))
	}
	return v
}
