package ids

import "hash/fnv"

// Hash returns the 64-bit FNV-1a hash of s. Nodes use it to assign responsibilities among
// themselves, so its results must be the same in all versions of the code.
func Hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// Mix returns v with its bits mixed by the finalizer of MurmurHash3: for inputs that differ in a
// few bits, about half of the output bits differ. Like those of Hash, its results must never
// change.
func Mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}
