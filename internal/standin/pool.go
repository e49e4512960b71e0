// Package standin holds the stand-ins: a model worker, callers, a platform. This
// file is the worker's memory: a pool of blocks of KV cells, and block tables
// that put them in the order of tokens. Freed blocks keep their old cells, as
// real memory does, so reading what was never filled gives foreign content.
package standin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"keelstair.example/ids"
)

type pool struct {
	size     int
	cells    [][]uint64
	free     []int
	reserved int
}

func newPool(capacity, size int) *pool {
	p := &pool{size: size}
	for i := range capacity {
		p.cells = append(p.cells, make([]uint64, size))
		p.free = append(p.free, capacity-1-i)
	}
	return p
}

func (p *pool) used() int { return len(p.cells) - len(p.free) }

// fits tells whether so many blocks can be had beside all pledged growth.
func (p *pool) fits(n int) bool { return len(p.free)-p.reserved >= n }

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

func (p *pool) set(blocks []int, pos int, v uint64) { p.cells[blocks[pos/p.size]][pos%p.size] = v }
func (p *pool) get(blocks []int, pos int) uint64    { return p.cells[blocks[pos/p.size]][pos%p.size] }

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

// kvCell is what a token's KV is on given weights and adapters.
func kvCell(model, previous uint64, pos int, token int32) uint64 {
	return mix(mix(model, previous), uint64(pos)<<32|uint64(uint32(token)))
}

// attention reads every cell below n through the table; the next token hangs on
// all of it, on the seed and on the temperature.
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

// sampleToken turns what was attended to into a token; 0 ends the answer.
func sampleToken(v uint64, at int) int32 {
	if at > 2 && v%23 == 0 {
		return 0
	}
	return int32(v%50000) + 1
}

// kvBytes is the KV as it crosses the wire.
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

// ReferenceOutput is the answer of a run that never moves: the measure for all others.
func ReferenceOutput(prompt []int32, maxTokens int, seed uint64, temperature float64, name, weights string, adapters []string) []int32 {
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

func modelHash(model, weights string, adapters []string) uint64 {
	v := mix(hashString(model), hashString(weights))
	for _, a := range adapters {
		v = mix(v, hashString(a))
	}
	return v
}
