package ids

import "hash/fnv"

// Hash returns the 64-bit FNV-1a hash of a text. Nodes derive from it who is responsible for
// what, so it must stay the same in all versions of the code.
func Hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// Mix returns v with its bits mixed (the finalizer of MurmurHash3): inputs that differ in a
// few bits give outputs that differ in about half of them. Like Hash, it must stay the same.
func Mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}
